//! Periodic reports of simulated workers. They reach one of two replicas, which send what they
//! have acknowledged to the leader in batches. A report passes the same link as the leader's
//! calls.

use super::{Cluster, Link, ONE_WAY_MS, SHRINK_GRACE_MS};
use cyclamenloft_placement::submission::{Command, ReportBound, ReportStamp, WorkerReport};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time between two reports of a worker.
pub const REPORT_INTERVAL_MS: u64 = 300;
/// Time between two batches of a replica to the leader.
pub const BATCH_MS: u64 = 60;
/// Time after which a worker turns to the other replica if a report is not acknowledged.
const ACK_TIMEOUT_MS: u64 = 200;

/// Returns the bound on the age of reports that the simulated workers are checked against.
pub fn bound() -> ReportBound {
    ReportBound {
        interval: Duration::from_millis(REPORT_INTERVAL_MS),
        stability_window: Duration::from_millis(SHRINK_GRACE_MS - REPORT_INTERVAL_MS),
    }
}

/// A report on its way to a replica.
struct Sent {
    at: u64,
    replica: usize,
    report: WorkerReport,
    stamp: ReportStamp,
}

/// The reports of all workers.
#[derive(Default)]
pub struct Reporting {
    /// Time of each worker's next report.
    next: BTreeMap<Box<str>, u64>,
    /// The replica to which each worker reports.
    replica: BTreeMap<Box<str>, usize>,
    sent: Vec<Sent>,
    /// The newest reports that each replica has acknowledged.
    acknowledged: [BTreeMap<Box<str>, ReportStamp>; 2],
    /// Replicas that the leader can't be reached from.
    pub cut_off: BTreeSet<usize>,
    /// Workers that send no reports.
    pub silent: BTreeSet<Box<str>>,
    /// How long each worker stays cold after its start, in milliseconds.
    pub cold_ms: BTreeMap<Box<str>, u32>,
    next_batch: u64,
}

impl Cluster {
    /// Lets workers report periodically. A start must not rely on a report that is older than
    /// `bound`, if there is one.
    pub fn with_reports(mut self, bound: Option<ReportBound>) -> Self {
        self.bound = bound;
        self.fleet.set_report_bound(bound);
        self.reporting = Some(Reporting::default());
        self
    }

    /// Returns the reports of all workers.
    pub fn reporting(&mut self) -> &mut Reporting {
        self.reporting.as_mut().unwrap()
    }

    /// Sets the time of a worker's next report.
    pub fn report_at(&mut self, name: &str, at: u64) {
        self.reporting().next.insert(name.into(), at);
    }

    /// Sends and delivers the reports that are due.
    pub(super) fn exchange_reports(&mut self) {
        let Some(mut reporting) = self.reporting.take() else { return };
        let now = self.now;
        for (name, worker) in self.workers.iter().filter(|(_, w)| w.up) {
            let at = reporting.next.entry(name.clone()).or_insert(now);
            if now < *at || reporting.silent.contains(name) {
                continue;
            }
            *at = now + REPORT_INTERVAL_MS;
            let delay = match worker.link {
                Link::Open | Link::NoOrders | Link::Refused => ONE_WAY_MS,
                Link::Delayed(after) => after,
                Link::Cut => continue,
            };
            let cold_ms = u64::from(reporting.cold_ms.get(name).copied().unwrap_or(0));
            let info = worker.info.clone();
            let stamp = ReportStamp {
                worker: name.clone(),
                started_ms: info.started_ms,
                sequence: now,
                clock_ms: worker.clock_ms(now),
                cold_remaining_ms: u32::try_from(cold_ms.saturating_sub(now)).unwrap(),
                capacity: info.capacity,
            };
            let report = WorkerReport { worker: info, sequence: now };
            let replica = reporting.replica.get(name).copied().unwrap_or(0);
            reporting.sent.push(Sent { at: now + delay, replica, report, stamp });
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut reporting.sent).into_iter().partition(|s| s.at <= now);
        reporting.sent = later;
        for Sent { replica, report, stamp, .. } in due {
            let name = stamp.worker.clone();
            if reporting.cut_off.contains(&replica) {
                reporting.replica.insert(name.clone(), 1 - replica);
                reporting.next.insert(name, now + ACK_TIMEOUT_MS);
                continue;
            }
            self.register(&report.worker.clone(), Command::Report(report));
            let acknowledged = &mut reporting.acknowledged[replica];
            if acknowledged.get(&name).is_none_or(|known| stamp.is_newer_than(known)) {
                acknowledged.insert(name, stamp);
            }
        }
        if now >= reporting.next_batch {
            reporting.next_batch = now + BATCH_MS;
            for (replica, stamps) in reporting.acknowledged.iter().enumerate() {
                let reaches_leader = !reporting.cut_off.contains(&replica);
                for stamp in stamps.values().filter(|_| reaches_leader) {
                    let newest = self.state.newest_incarnation(&stamp.worker);
                    if let Some((id, i)) = newest
                        && i.worker.started_ms == stamp.started_ms
                    {
                        self.fleet.record_report(id, stamp.clone());
                    }
                }
            }
        }
        self.reporting = Some(reporting);
    }
}
