//! Operators that race each other for the same numbers, and resend through any
//! entry host until they are told whether a change was accepted.

use super::plan::{EntryHost, apply_request};
use crate::checker::Proposal;
use compio::runtime::{JoinHandle, spawn};
use cyclamenloft_http::JsonClient;
use cyclamenloft_operator::messages::ApplyResponse;
use cyclamenloft_types::Result;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::{Duration, Instant};

/// Pause before a change that was not decided on is sent again.
const PAUSE: Duration = Duration::from_millis(30);
/// Longest time until a change is decided on; reached only where a test fails.
const LIMIT: Duration = Duration::from_secs(90);

/// How operators race.
#[derive(Clone, Copy)]
pub struct Race {
    /// Operators at once.
    pub operators: u64,
    /// Changes that each has accepted.
    pub changes: usize,
    pub seed: u64,
    /// What every change leaves as it is.
    pub base: &'static str,
}

/// Operators at work.
pub struct Operators(Vec<JoinHandle<Vec<Proposal>>>);

impl Operators {
    /// Starts operators who ask any of `hosts`.
    pub fn start(client: &JsonClient, hosts: &[EntryHost], race: Race) -> Self {
        let one = |id| {
            let operator = Operator {
                client: client.clone(),
                hosts: hosts.to_vec(),
                rng: SmallRng::seed_from_u64(race.seed ^ id),
                name: format!("operator-{}-{id}", race.seed),
                base: race.base,
                known: 0,
            };
            spawn(operator.work(race.changes))
        };
        Self((0..race.operators).map(one).collect())
    }

    /// Whether all changes are decided on.
    pub fn finished(&self) -> bool {
        self.0.iter().all(JoinHandle::is_finished)
    }

    /// Waits for all changes; returns every proposal that was made.
    pub async fn finish(self) -> Vec<Proposal> {
        let mut all = Vec::new();
        for operator in self.0 {
            all.extend(operator.await.unwrap());
        }
        all
    }
}

struct Operator {
    client: JsonClient,
    hosts: Vec<EntryHost>,
    rng: SmallRng,
    name: String,
    base: &'static str,
    /// The last number that it has heard of.
    known: u64,
}

impl Operator {
    async fn work(mut self, changes: usize) -> Vec<Proposal> {
        let mut proposals: Vec<Proposal> = Vec::new();
        let mut accepted = 0;
        while accepted < changes {
            let author = format!("{}-{}", self.name, proposals.len());
            let mut proposal =
                Proposal { number: self.known + 1, author: author.into(), answers: Vec::new() };
            self.have_decided(&mut proposal).await;
            accepted += usize::from(proposal.accepted().is_some());
            proposals.push(proposal);
        }
        proposals
    }

    /// Sends a change until it is decided on, and now and then once more.
    async fn have_decided(&mut self, proposal: &mut Proposal) {
        let limit = Instant::now() + LIMIT;
        loop {
            let answer = self.send(proposal).await;
            proposal.answers.push(answer.clone());
            match answer {
                Ok(ApplyResponse::Accepted(entry)) => self.known = self.known.max(entry.number),
                Ok(ApplyResponse::Conflict { last, .. }) => {
                    self.known = last.map_or(self.known, |last| last.number);
                }
                Ok(ApplyResponse::Invalid(report)) => panic!("{proposal:?}: {report:?}"),
                Err(e) => {
                    assert!(Instant::now() < limit, "not decided on: {proposal:?}: {e}");
                    compio::time::sleep(PAUSE).await;
                    continue;
                }
            }
            if self.rng.random_range(0..3) > 0 {
                return;
            }
        }
    }

    async fn send(&mut self, proposal: &Proposal) -> Result<ApplyResponse> {
        let host = self.hosts[self.rng.random_range(0..self.hosts.len())];
        // The content names the proposal, so that no two are equal.
        let text =
            format!("{}[teams.{}]\nweight = {}\n", self.base, proposal.author, proposal.number);
        let req = apply_request(proposal.number, &proposal.author, &text);
        self.client.post_decided(host.operators, "/v1/config", &req).await
    }
}
