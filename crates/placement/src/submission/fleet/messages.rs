//! Poll answers of workers, orders to workers, and the answers to orders.

use super::super::{command::RunEnd, spec::TaskId, state::SubmissionState};
use cyclamenloft_types::AttemptNumber;
use serde::{Deserialize, Serialize};

/// A run that a worker lists in its answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
    /// Progress, in percent. It is 100 once a long-running task is ready.
    pub percent: u8,
    /// The tail latency in milliseconds if the task has a latency target,
    /// otherwise the CPU time in use, in thousandths of a core.
    pub metric: u32,
}

/// A worker's answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Start time of the incarnation that answered, in milliseconds since the
    /// Unix epoch.
    pub started_ms: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// All runs on the worker.
    pub running: Vec<ListedRun>,
    /// Ends of runs that have not been acknowledged yet.
    pub ended: Vec<RunEnd>,
    /// Whether there may be further ends, which the worker lists once these are acknowledged.
    #[serde(skip)]
    pub is_partial: bool,
}

impl ListedRun {
    /// Returns whether the group knows the task and has never placed this attempt. As each attempt
    /// is committed before its start is ordered, another program has written the row.
    #[must_use]
    pub fn is_never_placed(&self, state: &SubmissionState) -> bool {
        let task = state.record(self.task.submission).and_then(|r| r.task(self.task));
        task.is_some_and(|t| t.attempt < self.attempt)
    }
}

impl Observation {
    /// Returns the listed runs that were never placed.
    pub fn never_placed(&self, state: &SubmissionState) -> impl Iterator<Item = &ListedRun> {
        self.running.iter().filter(|run| run.is_never_placed(state))
    }
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Start the run.
    Start,
    /// Stop the run.
    Stop,
    /// Set the pace of the run, in percent of full speed.
    Pace(u8),
}

/// An order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Kind of the order.
    pub kind: OrderKind,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// The worker has accepted the order.
    Taken,
    /// The worker has no room for the run.
    NoRoom,
    /// The run isn't newer than one that ended or was stopped on this worker.
    Outdated,
    /// The lease that came with the order has already expired.
    Late,
    /// A newer leader has called the worker, so the worker rejects this leader's
    /// orders.
    Fenced,
    /// The worker is unhealthy and hasn't carried out the order.
    Unhealthy,
    /// Another incarnation of the worker answered.
    OtherLife,
    /// The worker can't read the order.
    Refused,
    /// The advisor's ticket is missing or not valid for this worker.
    NoTicket,
    /// The order has certainly not left this host.
    NotSent,
    /// There is no answer. The worker may carry out the order now or later.
    Unanswered,
}
