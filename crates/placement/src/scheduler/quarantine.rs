//! Workers on which several different jobs fail are kept free of tasks, with a
//! growing back-off and one probe at a time.

use crate::time::Timestamp;
use cyclamenloft_types::{JobId, TaskKey, WorkerId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Different jobs that must fail on a worker, without a success in between.
const FAILING_JOBS: usize = 3;
/// Time after which a failure no longer counts.
const MEMORY: Duration = Duration::from_secs(10 * 60);
/// First time without tasks; it doubles with each probe that fails.
const FIRST_BACK_OFF: Duration = Duration::from_secs(60);
/// Longest time without tasks.
const LONGEST_BACK_OFF: Duration = Duration::from_secs(60 * 60);
/// Time after which a probe that told nothing makes way for another.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10 * 60);

#[derive(Debug, Default)]
struct Record {
    failing: BTreeMap<JobId, Instant>,
    /// Until when the worker takes no task; afterwards one probe at a time.
    until: Option<Instant>,
    back_off: Duration,
    probe: Option<(TaskKey, Instant)>,
}

/// The failures of workers.
#[derive(Debug, Default)]
pub(super) struct Quarantine(BTreeMap<WorkerId, Record>);

impl Quarantine {
    /// Whether a worker may be given a task now.
    pub(super) fn allows(&self, worker: &WorkerId, now: Timestamp) -> bool {
        let Some(record) = self.0.get(worker) else {
            return true;
        };
        let probed = record
            .probe
            .as_ref()
            .is_some_and(|(_, at)| now.instant.duration_since(*at) < PROBE_TIMEOUT);
        record.until.is_none_or(|until| now.instant >= until && !probed)
    }

    /// Until when a worker is kept free of tasks, where it is quarantined.
    pub(super) fn until(&self, worker: &WorkerId) -> Option<Instant> {
        self.0.get(worker)?.until
    }

    /// Takes in a placement, which is a probe where the worker is quarantined.
    pub(super) fn placed(&mut self, worker: &WorkerId, task: &TaskKey, now: Timestamp) {
        if let Some(record) = self.0.get_mut(worker)
            && record.until.is_some()
        {
            tracing::info!(
                target: "cyclamenloft::decision", %worker, %task, "probe a quarantined worker"
            );
            record.probe = Some((task.clone(), now.instant));
        }
    }

    /// Takes in that a task failed or was refused on a worker.
    pub(super) fn failed(&mut self, worker: &WorkerId, task: &TaskKey, now: Timestamp) {
        let record = self.0.entry(worker.clone()).or_default();
        record.failing.retain(|_, at| now.instant.duration_since(*at) < MEMORY);
        record.failing.insert(task.job.clone(), now.instant);
        let probe_failed = record.probe.as_ref().is_some_and(|(probe, _)| probe == task);
        let newly = record.until.is_none() && record.failing.len() >= FAILING_JOBS;
        if !probe_failed && !newly {
            return;
        }
        record.probe = None;
        record.back_off = (record.back_off * 2).clamp(FIRST_BACK_OFF, LONGEST_BACK_OFF);
        record.until = Some(now.instant + record.back_off);
        tracing::info!(
            target: "cyclamenloft::decision",
            %worker,
            failing_jobs = record.failing.len(),
            back_off_s = record.back_off.as_secs(),
            "quarantine"
        );
    }

    /// Takes in that a task finished on a worker, which ends its quarantine.
    pub(super) fn finished(&mut self, worker: &WorkerId) {
        if let Some(record) = self.0.remove(worker)
            && record.until.is_some()
        {
            tracing::info!(target: "cyclamenloft::decision", %worker, "end of quarantine");
        }
    }

    /// Forgets a worker whose boot is over; a worker is not cured by a reboot.
    pub(super) fn forget(&mut self, worker: &WorkerId) {
        self.0.remove(worker);
    }
}
