//! Brings the newest reports of workers to the leader.
//!
//! A worker reports to any replica, and a report that changes nothing isn't committed. Each
//! replica keeps the newest report that it has received of each worker whose capacity may be
//! relied on only for a while, or that is cold, and sends what is new to the leader in batches.
//! A new leader gets all of it. A report of the first kind is acknowledged only once the leader
//! has it, so that a worker doesn't stay with a replica that can't reach the leader.

use crate::{
    leader::Leadership,
    node::{Node, own_id},
    notify::Notify,
    port::Port,
    protocol::{PeerRequest, PeerResponse},
    run_log::{MAX_RUNS_BYTES, RunName, push_name},
};
use cyclamenloft_placement::submission::{IncarnationId, ReportStamp, fleet::StaleChange};
use cyclamenloft_types::{Error, ErrorKind, ReplicaId, Result, Term, WorkerId};
use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Weak,
    time::{Duration, Instant},
};

/// Shortest time between two batches to the leader.
const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the leader's answer to a batch, after which it is sent again.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two checks for a new leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A report, and whether the present leader has it.
#[derive(Debug)]
struct Kept {
    stamp: ReportStamp,
    sent: bool,
}

/// The newest reports that a replica has received.
#[derive(Debug, Default)]
pub struct ReportStore {
    kept: RefCell<BTreeMap<WorkerId, Kept>>,
    /// Notified when there is something to send.
    added: Notify,
    /// Notified when the leader has received a batch.
    delivered: Notify,
}

impl ReportStore {
    /// Keeps a report unless a newer one of the worker is known.
    pub fn add(&self, stamp: ReportStamp) {
        let mut kept = self.kept.borrow_mut();
        let newest = |known: &ReportStamp| {
            (stamp.started_ms, stamp.sequence, stamp.clock_ms)
                > (known.started_ms, known.sequence, known.clock_ms)
        };
        if kept.get(&stamp.worker).is_none_or(|known| newest(&known.stamp)) {
            kept.insert(stamp.worker.clone(), Kept { stamp, sent: false });
            self.added.notify();
        }
    }

    /// Removes the report of a worker that has warmed up and whose capacity doesn't matter.
    pub fn remove(&self, worker: &str) {
        self.kept.borrow_mut().remove(worker);
    }

    /// Returns whether the leader has the newest report of a worker.
    #[must_use]
    pub fn is_delivered(&self, worker: &str) -> bool {
        self.kept.borrow().get(worker).is_none_or(|kept| kept.sent)
    }

    /// Returns the reports that the present leader doesn't have.
    #[must_use]
    pub fn unsent(&self) -> Vec<ReportStamp> {
        let kept = self.kept.borrow();
        kept.values().filter(|k| !k.sent).map(|k| k.stamp.clone()).collect()
    }

    /// Records that the leader has received these reports. Newer ones remain to be sent.
    pub fn record_sent(&self, stamps: &[ReportStamp]) {
        let mut kept = self.kept.borrow_mut();
        for stamp in stamps {
            if let Some(k) = kept.get_mut(&stamp.worker).filter(|k| k.stamp == *stamp) {
                k.sent = true;
            }
        }
        self.delivered.notify();
    }

    /// Records that another leader has been elected, which has none of the reports.
    pub fn forget_sent(&self) {
        self.kept.borrow_mut().values_mut().for_each(|k| k.sent = false);
    }

    /// Removes the reports that the leader has of incarnations that have ended. One that it
    /// doesn't have may be of an incarnation that this replica doesn't know yet.
    pub fn retain(&self, is_known: impl Fn(&ReportStamp) -> bool) {
        self.kept.borrow_mut().retain(|_, k| !k.sent || is_known(&k.stamp));
    }
}

/// Keeps a worker's report and, where the leader must know its age, waits until the leader has
/// received it.
///
/// # Errors
///
/// `NoQuorum` if the leader has not received the report by `until`.
pub(crate) async fn deliver<P: Port>(
    node: &Node<P>,
    service: &str,
    stamp: ReportStamp,
    until: Instant,
) -> Result<()> {
    if node.settings.report_bound.is_none() {
        return Ok(());
    }
    let worker = stamp.worker.clone();
    if node.state(|s| s.routes().has_admission_control(service)) {
        match stamp.cold_remaining_ms {
            0 => node.reports.remove(&worker),
            _ => node.reports.add(stamp),
        }
        return Ok(());
    }
    node.reports.add(stamp);
    loop {
        let seen = node.reports.delivered.change_count();
        if node.reports.is_delivered(&worker) {
            return Ok(());
        }
        let delivered = node.reports.delivered.changed(seen);
        if compio::time::timeout_at(until, delivered).await.is_err() {
            let detail = format!("worker {worker}: the leader has not received the report");
            return Err(Error::new(ErrorKind::NoQuorum, detail));
        }
    }
}

/// Sends what is new to the leader. Runs until the replica is dropped.
pub(crate) async fn send<P: Port>(node: Weak<Node<P>>) {
    let mut known: Option<(ReplicaId, Term)> = None;
    while let Some(node) = node.upgrade() {
        let seen = node.reports.added.change_count();
        let status = node.replica.status();
        let leader = status.leader.map(|id| (id, status.term));
        if leader != known {
            node.reports.forget_sent();
            known = leader;
        }
        node.state(|s| {
            let is_known = |stamp: &ReportStamp| {
                let newest = s.newest_incarnation(&stamp.worker);
                newest.is_some_and(|(_, i)| i.worker.started_ms == stamp.started_ms)
            };
            node.reports.retain(is_known);
        });
        let batch = node.reports.unsent();
        let Some((leader, _)) = leader.filter(|_| !batch.is_empty()) else {
            let added = node.reports.added.changed(seen);
            let _ = compio::time::timeout(LEADER_CHECK_INTERVAL, added).await;
            continue;
        };
        let began = Instant::now();
        if send_batch(&node, leader, &batch).await {
            node.reports.record_sent(&batch);
        }
        drop(node);
        compio::time::sleep_until(began + SEND_INTERVAL).await;
    }
}

/// Sends a batch to the leader. Returns whether it has received it.
async fn send_batch<P: Port>(node: &Node<P>, leader: ReplicaId, batch: &[ReportStamp]) -> bool {
    if leader == own_id(node) {
        return record(node, batch);
    }
    let req = PeerRequest::Reported(batch.to_vec());
    let until = Instant::now() + SEND_TIMEOUT;
    match node.peers.request(leader, &req, until).await {
        Ok(PeerResponse::Done) => true,
        Ok(response) => {
            tracing::debug!(leader, ?response, "reports not received");
            false
        }
        Err(e) => {
            tracing::debug!(leader, error = %e, "reports not received");
            false
        }
    }
}

/// Records reports of workers as the leader. Returns false if this replica doesn't lead.
pub(crate) fn record<P: Port>(node: &Node<P>, stamps: &[ReportStamp]) -> bool {
    // The state of an earlier term is about to be dropped.
    let is_present = |l: &std::rc::Rc<Leadership>| l.token == node.replica.status().term;
    let Some(leadership) = node.leading().filter(is_present) else { return false };
    let now = Instant::now();
    let became_fresh: Vec<IncarnationId> = node.state(|s| {
        let mut fleet = leadership.fleet.borrow_mut();
        let mut became_fresh = Vec::new();
        for stamp in stamps {
            let newest = s.newest_incarnation(&stamp.worker);
            let Some((id, _)) = newest.filter(|(_, i)| i.worker.started_ms == stamp.started_ms)
            else {
                continue;
            };
            let was_fresh = fleet.capacity_is_fresh(s, id, now);
            fleet.record_report(id, stamp.clone());
            if !was_fresh && fleet.capacity_is_fresh(s, id, now) {
                became_fresh.push(id);
            }
        }
        became_fresh
    });
    became_fresh.iter().for_each(|id| leadership.wake(*id));
    if !became_fresh.is_empty() {
        node.decision_due.notify();
    }
    true
}

/// Logs the workers on which starts begin or cease to wait for a report, and updates the gauge.
pub(crate) fn log_stale<P: Port>(node: &Node<P>, leadership: &Leadership) {
    if node.settings.report_bound.is_none() {
        return;
    }
    let now = Instant::now();
    let changes = node.state(|s| leadership.fleet.borrow_mut().update_stale(s, now));
    for StaleChange { incarnation, waited, runs } in changes {
        let worker = node.state(|s| s.incarnation(incarnation).map(|i| i.worker.id.clone()));
        let worker = worker.unwrap_or_default();
        let mut names = String::new();
        for (task, attempt) in runs {
            if names.len() < MAX_RUNS_BYTES {
                let worker = &worker;
                push_name(&mut names, RunName { task, attempt, worker, incarnation, took: None });
            }
        }
        match waited {
            None => tracing::info!(
                event = "capacity-stale", %worker, life = incarnation, runs = names
            ),
            Some(waited) => {
                let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
                tracing::info!(
                    event = "capacity-fresh", %worker, life = incarnation, waited_ms, runs = names
                );
                node.metrics.time("stale", waited);
            }
        }
    }
    node.metrics.level("stale", leadership.fleet.borrow().stale_count());
}
