//! Operators that concurrently propose changes with the same configuration numbers. They
//! resend each change through any entry host until they learn whether it was accepted.

use super::plan::{EntryHost, apply_request};
use crate::checker::Proposal;
use compio::runtime::{JoinHandle, spawn};
use cyclamenloft_http::JsonClient;
use cyclamenloft_operator::messages::ApplyResponse;
use cyclamenloft_types::Result;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::{Duration, Instant};

/// The pause before an undecided change is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// The timeout of the decision on a change. Only a failing test reaches it.
const DECISION_TIMEOUT: Duration = Duration::from_secs(90);

/// The number of concurrent operators and the changes that they propose.
#[derive(Clone, Copy)]
pub struct Race {
    /// The number of operators.
    pub operators: u64,
    /// The number of accepted changes after which each operator stops.
    pub changes: usize,
    pub seed: u64,
    /// Content that every proposed configuration contains.
    pub base: &'static str,
}

/// Running operators.
pub struct Operators(Vec<JoinHandle<Vec<Proposal>>>);

impl Operators {
    /// Starts operators that send their changes to random ones of `hosts`.
    pub fn start(client: &JsonClient, hosts: &[EntryHost], race: Race) -> Self {
        let one = |id| {
            let operator = Operator {
                client: client.clone(),
                hosts: hosts.to_vec(),
                rng: SmallRng::seed_from_u64(race.seed ^ id),
                name: format!("operator-{}-{id}", race.seed),
                base: race.base,
                last_known: 0,
            };
            spawn(operator.run(race.changes))
        };
        Self((0..race.operators).map(one).collect())
    }

    /// Returns whether all operators have finished.
    pub fn finished(&self) -> bool {
        self.0.iter().all(JoinHandle::is_finished)
    }

    /// Waits for all operators and returns every proposal that was made.
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
    /// The last accepted number that the operator knows of.
    last_known: u64,
}

impl Operator {
    async fn run(mut self, changes: usize) -> Vec<Proposal> {
        let mut proposals: Vec<Proposal> = Vec::new();
        let mut accepted = 0;
        while accepted < changes {
            let author = format!("{}-{}", self.name, proposals.len());
            let mut proposal = Proposal {
                number: self.last_known + 1,
                author: author.into(),
                answers: Vec::new(),
            };
            self.send_until_decided(&mut proposal).await;
            accepted += usize::from(proposal.accepted().is_some());
            proposals.push(proposal);
        }
        proposals
    }

    /// Sends a change until it is decided. After each decision, sends it again with a
    /// probability of 1/3, as an operator does who resends a change.
    async fn send_until_decided(&mut self, proposal: &mut Proposal) {
        let deadline = Instant::now() + DECISION_TIMEOUT;
        loop {
            let answer = self.send(proposal).await;
            proposal.answers.push(answer.clone());
            match answer {
                Ok(ApplyResponse::Accepted(entry)) => {
                    self.last_known = self.last_known.max(entry.number)
                }
                Ok(ApplyResponse::Conflict { last, .. }) => {
                    self.last_known = last.map_or(self.last_known, |last| last.number);
                }
                Ok(ApplyResponse::Invalid(report)) => panic!("{proposal:?}: {report:?}"),
                Err(e) => {
                    assert!(Instant::now() < deadline, "not decided: {proposal:?}: {e}");
                    compio::time::sleep(RETRY_PAUSE).await;
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
        // The content includes the author, so that no two proposals are equal.
        let text =
            format!("{}[teams.{}]\nweight = {}\n", self.base, proposal.author, proposal.number);
        let req = apply_request(proposal.number, &proposal.author, &text);
        self.client.post_any_status(host.operators, "/v1/config", &req).await
    }
}
