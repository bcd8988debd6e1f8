//! The age of what workers report about themselves.
//!
//! Load handled: workers of services without admission control, which start whatever they are
//! told, behind links that are cut and heal. A worker's capacity may have shrunk while it was
//! unreachable, so a start must not rely on a capacity that was reported too long ago. A start
//! states the time up to which the capacity may be relied on, on the worker's own clock, and the
//! worker rejects it afterwards, wherever it was held up.

use super::{
    super::{
        spec::TaskId,
        state::{Incarnation, IncarnationId, SubmissionState},
    },
    Fleet, known_run,
    run::RunView,
};
use cyclamenloft_types::{AttemptNumber, Resources, WorkerId};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Rate of the slowest clock that a worker may have, relative to the users' clock. They state a
/// deviation of up to 2%.
const SLOWEST_CLOCK: f64 = 0.975;
/// Part of the bound that is not used: the worker's process may be late by this much when it
/// reads its clock for a report or checks a deadline.
const MARGIN: Duration = Duration::from_millis(100);
/// Shortest time before its deadline at which a start is sent: a call inside the system takes
/// a few round trips between failure domains. A start that is sent later would be rejected.
const LEAD: Duration = Duration::from_millis(50);
/// Time beyond the interval of reports after which a run that waits for one is placed elsewhere.
/// A report takes up to a quarter of a second from its replica to the leader.
const REPORT_GRACE: Duration = Duration::from_millis(500);

/// Time between two searches for workers on which starts wait. Rounds follow each other within
/// milliseconds, and a search visits all workers.
const STALE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a start may rely on a former capacity of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportBound {
    /// Time between two reports of a worker.
    pub interval: Duration,
    /// Time beyond `interval` for which the former capacity counts after a change.
    pub stability_window: Duration,
}

impl ReportBound {
    /// Returns how long after a report was made its capacity may be relied on, by the clock of
    /// the worker.
    #[must_use]
    pub fn longest_age(&self) -> Duration {
        (self.interval + self.stability_window).mul_f64(SLOWEST_CLOCK).saturating_sub(MARGIN)
    }
}

/// What the leader keeps of a worker's report: when it was made, and what may change without
/// notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportStamp {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Start time of the incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Number of the report.
    pub sequence: u64,
    /// The worker's clock when it made the report, in milliseconds.
    pub clock_ms: u64,
    /// Time until the worker has warmed up, in milliseconds; 0 if it has.
    pub cold_remaining_ms: u32,
    /// The capacity that the worker reported. The replicated state may have another one for a
    /// while, because a late report can change it.
    pub capacity: Resources,
}

impl ReportStamp {
    /// Returns whether this report was made after `other`, which is of the same incarnation.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.sequence, self.clock_ms) > (other.sequence, other.clock_ms)
    }
}

/// The beginning or the end of a time in which starts on a worker wait for its next report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaleChange {
    /// The incarnation.
    pub incarnation: IncarnationId,
    /// How long starts have waited; `None` if they begin to wait now.
    pub waited: Option<Duration>,
    /// The runs that are placed on the worker and wait for their start.
    pub runs: Vec<(TaskId, AttemptNumber)>,
}

/// The newest reports of workers, as far as this leader knows them.
#[derive(Debug, Default)]
pub(super) struct Reports {
    bound: Option<ReportBound>,
    newest: BTreeMap<IncarnationId, ReportStamp>,
    /// Reachable workers on which starts wait for a report, and since when.
    stale_since: BTreeMap<IncarnationId, Instant>,
    /// Time of the next search for such workers.
    next_check: Option<Instant>,
}

impl Reports {
    pub(super) fn retain(&mut self, state: &SubmissionState) {
        self.newest.retain(|id, _| state.incarnation(*id).is_some());
        self.stale_since.retain(|id, _| state.incarnation(*id).is_some());
    }
}

/// Returns whether the workers of an incarnation's service refuse what exceeds their capacity.
fn has_admission_control(state: &SubmissionState, incarnation: &Incarnation) -> bool {
    state.routes().has_admission_control(&incarnation.worker.service)
}

impl Fleet {
    /// Sets how long a start may rely on a reported capacity; `None` means without a limit.
    pub fn set_report_bound(&mut self, bound: Option<ReportBound>) {
        self.reports.bound = bound;
    }

    /// Records a report of an incarnation. A report that is older than the newest one is ignored.
    pub fn record_report(&mut self, incarnation: IncarnationId, stamp: ReportStamp) {
        match self.reports.newest.get_mut(&incarnation) {
            Some(known) if stamp.is_newer_than(known) => *known = stamp,
            Some(_) => {}
            None => drop(self.reports.newest.insert(incarnation, stamp)),
        }
    }

    /// Returns the time on the worker's clock, in milliseconds, after which the worker must not
    /// carry out a start that is sent now: `u64::MAX` if there is no limit, `None` if nothing may
    /// be started because the age of the capacity isn't known.
    #[must_use]
    pub fn start_deadline_ms(&self, state: &SubmissionState, id: IncarnationId) -> Option<u64> {
        let Some(bound) = self.reports.bound else { return Some(u64::MAX) };
        let incarnation = state.incarnation(id)?;
        if has_admission_control(state, incarnation) {
            return Some(u64::MAX);
        }
        let stamp = self.reports.newest.get(&id)?;
        if !incarnation.worker.capacity.fits_in(&stamp.capacity) {
            return None;
        }
        let age = u64::try_from(bound.longest_age().as_millis()).unwrap_or(u64::MAX);
        Some(stamp.clock_ms.saturating_add(age))
    }

    /// Returns whether a start that is sent now may rely on the capacity of an incarnation.
    #[must_use]
    pub fn capacity_is_fresh(
        &self,
        state: &SubmissionState,
        id: IncarnationId,
        now: Instant,
    ) -> bool {
        match self.start_deadline_ms(state, id) {
            None => false,
            Some(u64::MAX) => true,
            Some(deadline_ms) => {
                let clock_ms = self.view(id).and_then(|v| v.lease.clock_ms_at(now + LEAD));
                clock_ms.is_some_and(|clock_ms| clock_ms < deadline_ms)
            }
        }
    }

    /// Returns whether a poll that is sent now must be answered at once, because the lease that the
    /// worker has could be over before the end of a `wait`: a start with a deadline doesn't extend
    /// the lease. This doesn't concern workers whose starts have no deadline.
    #[must_use]
    pub fn lacks_lease(
        &self,
        state: &SubmissionState,
        id: IncarnationId,
        wait: Duration,
        now: Instant,
    ) -> bool {
        if self.start_deadline_ms(state, id) == Some(u64::MAX) {
            return false;
        }
        let end = now + wait.min(self.longest_lease / 2);
        let lease = self.view(id).map(|v| &v.lease);
        lease.is_some_and(|lease| lease.clock_ms_at(end) > lease.granted_end_ms())
    }

    /// Returns whether a worker must be polled often because starts on it wait for a report, or
    /// because a run was stopped before it began: only a poll that is sent after the stop shows
    /// that the run is over. This doesn't concern workers whose starts have no deadline.
    #[must_use]
    pub fn delays_starts(&self, state: &SubmissionState, id: IncarnationId) -> bool {
        if self.start_deadline_ms(state, id) == Some(u64::MAX) {
            return false;
        }
        let never_ran = |run: &RunView| run.stopped.is_some() && run.started.is_none();
        self.reports.stale_since.contains_key(&id)
            || self.view(id).is_some_and(|v| v.runs.values().any(never_ran))
    }

    /// Returns whether an incarnation has not warmed up yet, as far as its reports tell. Without a
    /// bound on the age of reports, no worker counts as cold.
    #[must_use]
    pub fn is_cold(&self, incarnation: IncarnationId, now: Instant) -> bool {
        let Some(stamp) = self.reports.newest.get(&incarnation) else { return false };
        if self.reports.bound.is_none() || stamp.cold_remaining_ms == 0 {
            return false;
        }
        let warm_at_ms = stamp.clock_ms.saturating_add(stamp.cold_remaining_ms.into());
        let clock_ms = self.view(incarnation).and_then(|v| v.lease.clock_ms_at(now));
        clock_ms.is_none_or(|clock_ms| clock_ms < warm_at_ms)
    }

    /// Returns whether short tasks should prefer other workers because this one is cold. Workers
    /// of services with admission control get tasks regardless of that.
    pub(in crate::submission) fn is_avoided_as_cold(
        &self,
        state: &SubmissionState,
        id: IncarnationId,
        now: Instant,
    ) -> bool {
        self.is_cold(id, now)
            && state.incarnation(id).is_some_and(|i| !has_admission_control(state, i))
    }

    /// Returns the number of reachable workers on which starts wait for a report.
    #[must_use]
    pub fn stale_count(&self) -> usize {
        self.reports.stale_since.len()
    }

    /// Returns the workers on which starts have begun or ceased to wait for a report since the
    /// last call. Calls that follow each other closely find none.
    pub fn update_stale(&mut self, state: &SubmissionState, now: Instant) -> Vec<StaleChange> {
        let is_early = self.reports.next_check.is_some_and(|at| now < at);
        if self.reports.bound.is_none() || is_early {
            return Vec::new();
        }
        self.reports.next_check = Some(now + STALE_CHECK_INTERVAL);
        let mut changes = Vec::new();
        for (id, incarnation) in state.incarnations() {
            let is_fresh = self.capacity_is_fresh(state, id, now);
            let since = self.reports.stale_since.get(&id).copied();
            let is_usable = || self.view(id).is_some_and(|v| v.is_usable(now));
            let runs = match (since, is_fresh) {
                (None, true) | (Some(_), false) => continue,
                _ => self.unstarted(state, id, incarnation),
            };
            // A new leader learns the ages of all workers with the first batches.
            let is_learning = runs.is_empty()
                && now < self.leader_since + REPORT_GRACE
                && !self.reports.newest.contains_key(&id);
            let waited = match since {
                Some(since) => {
                    self.reports.stale_since.remove(&id);
                    Some(now.saturating_duration_since(since))
                }
                None if !is_learning && !incarnation.worker.draining && is_usable() => {
                    self.reports.stale_since.insert(id, now);
                    None
                }
                None => continue,
            };
            changes.push(StaleChange { incarnation: id, waited, runs });
        }
        changes
    }

    /// Withdraws runs that have waited for a report of their worker for longer than one should
    /// take, so that they are placed elsewhere. Returns the withdrawn runs.
    pub fn withdraw_stale(
        &mut self,
        state: &SubmissionState,
        now: Instant,
    ) -> Vec<(IncarnationId, TaskId)> {
        let Some(bound) = self.reports.bound else { return Vec::new() };
        let patience = bound.interval + REPORT_GRACE;
        let is_due = |since: &Instant| now >= *since + patience;
        let due = self.reports.stale_since.iter().filter(|(_, since)| is_due(since));
        let due: Vec<IncarnationId> = due.map(|(id, _)| *id).collect();
        let mut withdrawn = Vec::new();
        for id in due {
            let Some(incarnation) = state.incarnation(id) else { continue };
            for (task, _) in self.unstarted(state, id, incarnation) {
                let run = self.views.get_mut(&id).and_then(|v| v.runs.get_mut(&task));
                if let Some(run) = run.filter(|run| !run.withdrawn) {
                    run.withdrawn = true;
                    withdrawn.push((id, task));
                }
            }
        }
        withdrawn
    }

    /// Returns the runs that are placed on an incarnation and have not been started.
    fn unstarted(
        &self,
        state: &SubmissionState,
        id: IncarnationId,
        incarnation: &Incarnation,
    ) -> Vec<(TaskId, AttemptNumber)> {
        let is_started = |task: &TaskId, attempt| {
            let run = self.view(id).and_then(|v| v.runs.get(task));
            run.is_some_and(|r| r.attempt == attempt && r.started.is_some())
        };
        let runs = incarnation.runs.iter().filter_map(|task| known_run(state, id, *task));
        let runs = runs.map(|(task, _, run)| (task, run.attempt));
        runs.filter(|(task, attempt)| !is_started(task, *attempt)).collect()
    }
}
