//! Invariants of configurations: an accepted configuration is in the history once, under
//! its number, and is never replaced. The number of a process's active configuration
//! never decreases.

use crate::harness::{Deployment, EntryHost, until_ok, wait_for};
use compio::runtime::spawn;
use cyclamenloft_http::JsonClient;
use cyclamenloft_operator::messages::{
    ApplyResponse, HistoryEntry, HistoryRequest, HistoryResponse,
};
use cyclamenloft_peer::calls::StatusResponse;
use cyclamenloft_types::{Error, Outcome, Result};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

/// The time between two reads of the numbers of the active configurations.
const POLL_PERIOD: Duration = Duration::from_millis(40);
/// The number of history entries to request at once.
const PAGE_ENTRIES: usize = 500;

/// A configuration that an operator proposed, with every answer to it.
#[derive(Clone, Debug)]
pub struct Proposal {
    pub number: u64,
    /// Unique to the proposal and part of its content.
    pub author: Box<str>,
    pub answers: Vec<Result<ApplyResponse>>,
}

impl Proposal {
    /// Returns the entry of the first answer that accepted the proposal.
    pub fn accepted(&self) -> Option<&HistoryEntry> {
        self.answers.iter().find_map(|answer| match answer {
            Ok(ApplyResponse::Accepted(entry)) => Some(entry),
            _ => None,
        })
    }

    /// Returns whether every answer said that the proposal was not accepted and never
    /// will be.
    fn refused(&self) -> bool {
        let refuses = |answer: &Result<ApplyResponse>| match answer {
            Ok(ApplyResponse::Accepted(_)) => false,
            Ok(ApplyResponse::Conflict { .. } | ApplyResponse::Invalid(_)) => true,
            Err(e) => e.info().outcome == Outcome::NotRun,
        };
        self.answers.iter().all(refuses)
    }

    /// Returns whether the last answer was a conflict. The proposal was not sent again
    /// after that answer.
    fn ended_in_conflict(&self) -> bool {
        matches!(self.answers.last(), Some(Ok(ApplyResponse::Conflict { .. })))
    }
}

/// The accepted configurations according to the config group, oldest first.
pub struct ConfigHistory(Vec<HistoryEntry>);

impl ConfigHistory {
    /// Reads the whole history through an entry host.
    pub async fn read(deployment: &Deployment, host: &EntryHost) -> Self {
        let mut entries = Vec::new();
        loop {
            let before = entries.last().map(|e: &HistoryEntry| e.number);
            let req = HistoryRequest { before, limit: Some(PAGE_ENTRIES) };
            let page: HistoryResponse = until_ok("the history", async || {
                deployment.operators.post(host.operators, "/v1/config/history", &req).await
            })
            .await;
            entries.extend(page.entries);
            if !page.older {
                break;
            }
        }
        entries.reverse();
        Self(entries)
    }

    /// Creates a history from entries.
    pub fn of(entries: Vec<HistoryEntry>) -> Self {
        Self(entries)
    }

    /// Returns the highest configuration number, or 0 if the history is empty.
    pub fn last(&self) -> u64 {
        self.0.last().map_or(0, |e| e.number)
    }

    /// Checks the history against the answers that operators got.
    ///
    /// # Panics
    ///
    /// Panics with the configuration that violates an invariant.
    pub fn check(&self, proposals: &[Proposal]) {
        for (at, entry) in self.0.iter().enumerate() {
            assert_eq!(entry.number, at as u64 + 1, "numbers follow each other: {:?}", self.0);
        }
        let by_number: BTreeMap<u64, &HistoryEntry> =
            self.0.iter().map(|e| (e.number, e)).collect();
        for proposal in proposals {
            let holder = by_number.get(&proposal.number).filter(|e| e.author == proposal.author);
            for answer in &proposal.answers {
                if let Ok(ApplyResponse::Accepted(entry)) = answer {
                    assert_eq!(
                        Some(&entry),
                        holder,
                        "accepted, but the history differs: {proposal:?}"
                    );
                }
            }
            let false_refusal =
                holder.is_some() && (proposal.refused() || proposal.ended_in_conflict());
            assert!(!false_refusal, "in the history though refused: {proposal:?}");
        }
        for entry in &self.0 {
            let by = |p: &&Proposal| p.number == entry.number && p.author == entry.author;
            let count = proposals.iter().filter(by).count();
            assert_eq!(count, 1, "{count} proposals, not 1, match {entry:?}");
        }
    }
}

/// Monitors the number of the active configuration at every process. The number must
/// never decrease, even across restarts.
pub struct ConfigMonitor {
    highest: Rc<RefCell<BTreeMap<Box<str>, u64>>>,
    regressions: Rc<RefCell<Vec<String>>>,
    stopped: Rc<Cell<bool>>,
}

impl ConfigMonitor {
    /// Starts to monitor the entry hosts and their domains' control replicas.
    pub fn start(deployment: &Deployment) -> Self {
        let monitor =
            Self { highest: Rc::default(), regressions: Rc::default(), stopped: Rc::default() };
        for host in &deployment.hosts {
            let task = poll(
                deployment.operators.clone(),
                *host,
                monitor.highest.clone(),
                monitor.regressions.clone(),
                monitor.stopped.clone(),
            );
            spawn(task).detach();
        }
        monitor
    }

    /// Waits until every process that was ever seen has an active configuration with at
    /// least `number`, and checks that no process's number ever decreased.
    ///
    /// # Panics
    ///
    /// Panics with the processes whose number decreased.
    pub async fn check(&self, number: u64) {
        let all = async || self.highest.borrow().values().all(|seen| *seen >= number);
        wait_for(&format!("number {number} everywhere"), all).await;
        self.stopped.set(true);
        let regressions = self.regressions.borrow();
        assert!(regressions.is_empty(), "the number in force decreased: {regressions:?}");
    }
}

async fn poll(
    operators: JsonClient,
    host: EntryHost,
    highest: Rc<RefCell<BTreeMap<Box<str>, u64>>>,
    regressions: Rc<RefCell<Vec<String>>>,
    stopped: Rc<Cell<bool>>,
) {
    while !stopped.get() {
        let before = highest.borrow().clone();
        let status: Result<Vec<StatusResponse>, Error> =
            operators.get(host.operators, "/v1/status").await;
        for process in status.unwrap_or_default().iter().filter(|s| s.ready) {
            // Compares with the numbers from before the request, because a response
            // through another host may have arrived earlier with a newer number.
            let known = before.get(&process.host).copied().unwrap_or(0);
            if process.config < known {
                let what = format!("{}: {} after {known}", process.host, process.config);
                regressions.borrow_mut().push(what);
            }
            let mut highest = highest.borrow_mut();
            let seen = highest.entry(process.host.clone()).or_default();
            *seen = process.config.max(*seen);
        }
        compio::time::sleep(POLL_PERIOD).await;
    }
}
