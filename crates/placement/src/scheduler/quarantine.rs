//! Quarantine of workers on which several different jobs fail. A quarantined
//! worker gets no tasks for an exponentially growing backoff, then one probe
//! task at a time.

use crate::time::Timestamp;
use cyclamenloft_types::{JobId, TaskKey, WorkerId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Number of different jobs that fail on a worker, without a success in between,
/// before the worker is quarantined.
const MIN_FAILING_JOBS: usize = 3;
/// Time after which a failure no longer counts.
const FAILURE_WINDOW: Duration = Duration::from_secs(10 * 60);
/// Initial backoff; it doubles with each probe that fails.
const FIRST_BACKOFF: Duration = Duration::from_secs(60);
/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(60 * 60);
/// Time after which a probe without a result is replaced by another.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10 * 60);

/// Recent failures of one worker, and its quarantine.
#[derive(Debug, Default)]
struct FailureRecord {
    /// Jobs that failed on the worker, with the time of the last failure.
    failing: BTreeMap<JobId, Instant>,
    /// Time until which the worker gets no task; afterwards it gets one probe
    /// at a time. `None` if the worker isn't quarantined.
    until: Option<Instant>,
    backoff: Duration,
    /// The current probe and the time at which it was placed.
    probe: Option<(TaskKey, Instant)>,
}

/// The failure records of workers.
#[derive(Debug, Default)]
pub(super) struct Quarantine(BTreeMap<WorkerId, FailureRecord>);

impl Quarantine {
    /// Returns whether a worker may be given a task now.
    pub(super) fn allows(&self, worker: &WorkerId, now: Timestamp) -> bool {
        let Some(record) = self.0.get(worker) else {
            return true;
        };
        let probing = record
            .probe
            .as_ref()
            .is_some_and(|(_, at)| now.instant.duration_since(*at) < PROBE_TIMEOUT);
        record.until.is_none_or(|until| now.instant >= until && !probing)
    }

    /// Returns the time until which a worker is given no tasks, or `None` if it
    /// isn't quarantined.
    pub(super) fn until(&self, worker: &WorkerId) -> Option<Instant> {
        self.0.get(worker)?.until
    }

    /// Records a placement, which is a probe if the worker is quarantined.
    pub(super) fn on_placed(&mut self, worker: &WorkerId, task: &TaskKey, now: Timestamp) {
        if let Some(record) = self.0.get_mut(worker)
            && record.until.is_some()
        {
            tracing::info!(
                target: "cyclamenloft::decision", %worker, %task, "probe a quarantined worker"
            );
            record.probe = Some((task.clone(), now.instant));
        }
    }

    /// Records that a task failed or was refused on a worker.
    pub(super) fn record_failure(&mut self, worker: &WorkerId, task: &TaskKey, now: Timestamp) {
        let record = self.0.entry(worker.clone()).or_default();
        record.failing.retain(|_, at| now.instant.duration_since(*at) < FAILURE_WINDOW);
        record.failing.insert(task.job.clone(), now.instant);
        let probe_failed = record.probe.as_ref().is_some_and(|(probe, _)| probe == task);
        let newly = record.until.is_none() && record.failing.len() >= MIN_FAILING_JOBS;
        if !probe_failed && !newly {
            return;
        }
        record.probe = None;
        record.backoff = (record.backoff * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
        record.until = Some(now.instant + record.backoff);
        tracing::info!(
            target: "cyclamenloft::decision",
            %worker,
            failing_jobs = record.failing.len(),
            back_off_s = record.backoff.as_secs(),
            "quarantine"
        );
    }

    /// Records that a task finished on a worker, which ends its quarantine.
    pub(super) fn record_success(&mut self, worker: &WorkerId) {
        if let Some(record) = self.0.remove(worker)
            && record.until.is_some()
        {
            tracing::info!(target: "cyclamenloft::decision", %worker, "end of quarantine");
        }
    }

    /// Removes the record of a lost worker whose removal from the group is
    /// proposed. A reboot doesn't end a quarantine, so this isn't called for it.
    pub(super) fn remove(&mut self, worker: &WorkerId) {
        self.0.remove(worker);
    }
}
