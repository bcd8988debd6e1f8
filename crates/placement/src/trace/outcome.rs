//! What came out of a replay.

use serde::Serialize;

/// Promises that a replay saw broken; each must be zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct InvariantViolations {
    /// Starts that would have taken a worker over its capacity.
    pub over_capacity: u64,
    /// Starts of a task that was still running elsewhere.
    pub two_places: u64,
    /// Starts from another checkpoint than the newest confirmed one, or of a
    /// task that had run to its end.
    pub wrong_resumes: u64,
    /// Tasks that ran to their end more than once.
    pub finished_twice: u64,
    /// Checks of the state's rules that failed.
    pub state_rules: u64,
}

impl InvariantViolations {
    /// How many promises were broken.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.over_capacity
            + self.two_places
            + self.wrong_resumes
            + self.finished_twice
            + self.state_rules
    }
}

/// What came out of a replay.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Length of the trace in milliseconds.
    pub length_ms: u64,
    /// Promises that were broken.
    pub broken: InvariantViolations,
    /// Batch tasks that ran to their end.
    pub batch_finished: u64,
    /// Batch tasks that were submitted and not cancelled.
    pub batch_submitted: u64,
    /// Batch tasks not finished by their deadline.
    pub deadline_misses: u64,
    /// Attempts that were evicted.
    pub evictions: u64,
    /// Work that was done and has to be done again, in milliseconds.
    pub lost_work_ms: u64,
    /// Throttles that were ordered.
    pub throttles: u64,
    /// Figures on the tail latency of services.
    pub service_reports: u64,
    /// Those over their target.
    pub over_target: u64,
    /// Starts of tasks.
    pub starts: u64,
    /// Median time from submission to the first start, in milliseconds.
    pub start_p50_ms: u64,
    /// 99th percentile of the same.
    pub start_p99_ms: u64,
    /// Urgent tasks that started.
    pub urgent_started: u64,
    /// Urgent tasks that never started.
    pub urgent_waiting: u64,
    /// Longest time from the submission of an urgent task to its start.
    pub urgent_start_max_ms: u64,
    /// Jobs named as fitting no worker.
    pub cannot_run: u64,
    /// Tasks that were given up.
    pub failed: u64,
}

impl Outcome {
    /// Batch tasks finished per hour.
    #[must_use]
    pub fn batch_per_hour(&self) -> f64 {
        self.batch_finished as f64 * 3_600_000.0 / self.length_ms.max(1) as f64
    }

    /// Share of service reports over target.
    #[must_use]
    pub fn over_target_share(&self) -> f64 {
        self.over_target as f64 / self.service_reports.max(1) as f64
    }
}
