//! Measures how long a new leader takes from its election to the first start, and until the
//! long-running tasks of its predecessors run again.
//!
//! Load handled: the restart of all core hosts, after which all leases have ended and every
//! long-running task has to be started again.

use cyclamenloft_placement::submission::TaskId;
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Time between two checks which long-running tasks run again.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A step of a recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryStep {
    /// An entry of the term is committed and the lease is valid, so that it may decide.
    Barrier,
    /// Every replica that may call workers has accepted a session or has not answered.
    RelaysOpen,
    /// The first worker has answered a poll.
    FirstPoll,
    /// The first worker has accepted a start.
    FirstStart,
    /// The last long-running task that a former leader had started runs again.
    TasksBack,
}

impl RecoveryStep {
    /// Returns the name in the log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Barrier => "barrier",
            Self::RelaysOpen => "relays-open",
            Self::FirstPoll => "first-poll",
            Self::FirstStart => "first-start",
            Self::TasksBack => "tasks-back",
        }
    }
}

/// The recovery of one leadership.
#[derive(Debug)]
pub struct Recovery {
    elected_at: Instant,
    reached: BTreeSet<RecoveryStep>,
    /// The long-running tasks that don't run again yet.
    missing: BTreeSet<TaskId>,
    next_check: Instant,
}

impl Recovery {
    /// Returns the recovery of a leader that was elected at `elected_at`, with the long-running
    /// tasks that former leaders had started.
    #[must_use]
    pub fn new(elected_at: Instant, missing: BTreeSet<TaskId>) -> Self {
        Self { elected_at, reached: BTreeSet::new(), missing, next_check: elected_at }
    }

    /// Records that a step is reached. Returns the time since the election if it is the first
    /// time.
    pub fn record(&mut self, step: RecoveryStep, now: Instant) -> Option<Duration> {
        let is_first = self.reached.insert(step);
        is_first.then(|| now.saturating_duration_since(self.elected_at))
    }

    /// Checks which long-running tasks run again. Returns the time since the election once all
    /// of them do.
    pub fn check_tasks(
        &mut self,
        is_back: impl Fn(TaskId) -> bool,
        now: Instant,
    ) -> Option<Duration> {
        if now < self.next_check || self.reached.contains(&RecoveryStep::TasksBack) {
            return None;
        }
        self.next_check = now + CHECK_INTERVAL;
        self.missing.retain(|task| !is_back(*task));
        if !self.missing.is_empty() {
            return None;
        }
        self.record(RecoveryStep::TasksBack, now)
    }

    /// Returns the number of long-running tasks that don't run again yet.
    #[must_use]
    pub fn missing_count(&self) -> usize {
        self.missing.len()
    }
}
