//! Promises on configurations: what was accepted stands, once, in order, and is
//! never taken back.

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

/// Time between two looks at the numbers in force.
const LOOK: Duration = Duration::from_millis(40);
/// Entries of the history asked for at once.
const PAGE: usize = 500;

/// A change that an operator proposed, and every answer to it.
#[derive(Clone, Debug)]
pub struct Proposal {
    pub number: u64,
    /// Unique to the proposal, and so to its content.
    pub author: Box<str>,
    pub answers: Vec<Result<ApplyResponse>>,
}

impl Proposal {
    /// The entry that an answer called accepted.
    pub fn accepted(&self) -> Option<&HistoryEntry> {
        self.answers.iter().find_map(|answer| match answer {
            Ok(ApplyResponse::Accepted(entry)) => Some(entry),
            _ => None,
        })
    }

    /// Whether every answer said that the change was not accepted and will not be.
    fn refused(&self) -> bool {
        let refuses = |answer: &Result<ApplyResponse>| match answer {
            Ok(ApplyResponse::Accepted(_)) => false,
            Ok(ApplyResponse::Conflict { .. } | ApplyResponse::Invalid(_)) => true,
            Err(e) => e.info().outcome == Outcome::NotRun,
        };
        self.answers.iter().all(refuses)
    }

    /// Whether an answer after which nothing was sent again was a conflict.
    fn lost(&self) -> bool {
        matches!(self.answers.last(), Some(Ok(ApplyResponse::Conflict { .. })))
    }
}

/// What the group says was accepted, oldest first.
pub struct Changes(Vec<HistoryEntry>);

impl Changes {
    /// Reads the whole history through a host.
    pub async fn read(deployment: &Deployment, host: &EntryHost) -> Self {
        let mut entries = Vec::new();
        loop {
            let before = entries.last().map(|e: &HistoryEntry| e.number);
            let req = HistoryRequest { before, limit: Some(PAGE) };
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

    /// A history read elsewhere.
    pub fn of(entries: Vec<HistoryEntry>) -> Self {
        Self(entries)
    }

    /// The last number.
    pub fn last(&self) -> u64 {
        self.0.last().map_or(0, |e| e.number)
    }

    /// Checks the history against what operators were told.
    ///
    /// # Panics
    ///
    /// Naming the change.
    pub fn check(&self, proposals: &[Proposal]) {
        for (at, entry) in self.0.iter().enumerate() {
            assert_eq!(entry.number, at as u64 + 1, "numbers follow each other: {:?}", self.0);
        }
        let stands: BTreeMap<u64, &HistoryEntry> = self.0.iter().map(|e| (e.number, e)).collect();
        for proposal in proposals {
            let holder = stands.get(&proposal.number).filter(|e| e.author == proposal.author);
            for answer in &proposal.answers {
                if let Ok(ApplyResponse::Accepted(entry)) = answer {
                    assert_eq!(
                        Some(&entry),
                        holder,
                        "accepted, and not as it stands: {proposal:?}"
                    );
                }
            }
            let false_refusal = holder.is_some() && (proposal.refused() || proposal.lost());
            assert!(!false_refusal, "stands though refused: {proposal:?}");
        }
        for entry in &self.0 {
            let by = |p: &&Proposal| p.number == entry.number && p.author == entry.author;
            let count = proposals.iter().filter(by).count();
            assert_eq!(count, 1, "nobody, or somebody twice, proposed {entry:?}");
        }
    }
}

/// Watches the number in force at every process: it must never fall, restarts
/// included.
pub struct Watch {
    highest: Rc<RefCell<BTreeMap<Box<str>, u64>>>,
    fell: Rc<RefCell<Vec<String>>>,
    stopped: Rc<Cell<bool>>,
}

impl Watch {
    /// Begins to watch the entry hosts and their domains' control replicas.
    pub fn start(deployment: &Deployment) -> Self {
        let watch = Self { highest: Rc::default(), fell: Rc::default(), stopped: Rc::default() };
        for host in &deployment.hosts {
            let task = look(
                deployment.operators.clone(),
                *host,
                watch.highest.clone(),
                watch.fell.clone(),
                watch.stopped.clone(),
            );
            spawn(task).detach();
        }
        watch
    }

    /// Waits until every process that was ever seen has `number` in force, and
    /// checks that none went back.
    ///
    /// # Panics
    ///
    /// Naming the process that went back.
    pub async fn check(&self, number: u64) {
        let all = async || self.highest.borrow().values().all(|seen| *seen >= number);
        wait_for(&format!("number {number} everywhere"), all).await;
        self.stopped.set(true);
        let fell = self.fell.borrow();
        assert!(fell.is_empty(), "the number in force fell: {fell:?}");
    }
}

async fn look(
    operators: JsonClient,
    host: EntryHost,
    highest: Rc<RefCell<BTreeMap<Box<str>, u64>>>,
    fell: Rc<RefCell<Vec<String>>>,
    stopped: Rc<Cell<bool>>,
) {
    while !stopped.get() {
        let before = highest.borrow().clone();
        let status: Result<Vec<StatusResponse>, Error> =
            operators.get(host.operators, "/v1/status").await;
        for process in status.unwrap_or_default().iter().filter(|s| s.ready) {
            // Another host's look may have passed this answer on its way.
            let known = before.get(&process.host).copied().unwrap_or(0);
            if process.config < known {
                let what = format!("{}: {} after {known}", process.host, process.config);
                fell.borrow_mut().push(what);
            }
            let mut highest = highest.borrow_mut();
            let seen = highest.entry(process.host.clone()).or_default();
            *seen = process.config.max(*seen);
        }
        compio::time::sleep(LOOK).await;
    }
}
