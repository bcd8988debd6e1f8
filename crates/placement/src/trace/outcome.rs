//! The outcome of a replay.

use serde::Serialize;

/// Counts of the invariant violations seen in a replay, all of which must be zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct InvariantViolations {
    /// Starts that would have exceeded the capacity of the worker.
    pub over_capacity: u64,
    /// Starts of a task that was still running.
    pub two_places: u64,
    /// Starts from another checkpoint than the latest confirmed one, or of a task
    /// that had completed.
    pub wrong_resumes: u64,
    /// Tasks that completed more than once.
    pub finished_twice: u64,
    /// Failed checks of the state's invariants.
    pub state_rules: u64,
}

impl InvariantViolations {
    /// Returns the total number of violations.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.over_capacity
            + self.two_places
            + self.wrong_resumes
            + self.finished_twice
            + self.state_rules
    }
}

/// The outcome of a replay.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Length of the trace in milliseconds.
    pub length_ms: u64,
    /// Invariant violations.
    pub broken: InvariantViolations,
    /// Batch tasks that completed.
    pub batch_finished: u64,
    /// Batch tasks that were submitted and not cancelled.
    pub batch_submitted: u64,
    /// Batch tasks that did not complete by their deadline.
    pub deadline_misses: u64,
    /// Evictions that were ordered.
    pub evictions: u64,
    /// Work that was lost and has to be repeated, in milliseconds.
    pub lost_work_ms: u64,
    /// Orders that lowered the CPU limit of a task.
    pub throttles: u64,
    /// Reported tail latencies of services.
    pub service_reports: u64,
    /// Reported tail latencies that exceed their target.
    pub over_target: u64,
    /// Starts of tasks.
    pub starts: u64,
    /// Median time from submission to the first start, in milliseconds.
    pub start_p50_ms: u64,
    /// 99th percentile of the time from submission to the first start, in milliseconds.
    pub start_p99_ms: u64,
    /// Urgent tasks that started.
    pub urgent_started: u64,
    /// Urgent tasks that never started.
    pub urgent_waiting: u64,
    /// Maximum time from submission to start of an urgent task, in milliseconds.
    pub urgent_start_max_ms: u64,
    /// Jobs that fit no worker.
    pub cannot_run: u64,
    /// Tasks that failed too often.
    pub failed: u64,
}

impl Outcome {
    /// Returns the number of batch tasks completed per hour.
    #[must_use]
    pub fn batch_per_hour(&self) -> f64 {
        self.batch_finished as f64 * 3_600_000.0 / self.length_ms.max(1) as f64
    }

    /// Returns the share of service reports over target.
    #[must_use]
    pub fn over_target_share(&self) -> f64 {
        self.over_target as f64 / self.service_reports.max(1) as f64
    }
}
