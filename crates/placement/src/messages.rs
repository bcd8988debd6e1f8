//! Messages between workers and the system, as JSON carries them.

use cyclamenloft_types::{
    AttemptNumber, BootId, CheckpointId, DomainName, RackName, Resources, TaskKey, WorkerId,
};
use serde::{Deserialize, Serialize};

/// A worker makes itself known; sent at its start and whenever it is told
/// `unknown-worker`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The worker's name.
    pub worker: WorkerId,
    /// Drawn anew at each start of the worker; tasks of another boot are over.
    pub boot: BootId,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker.
    pub rack: RackName,
    /// What the worker holds.
    pub capacity: Resources,
}

/// What a worker is granted with the answer to an announcement or report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Milliseconds from the sending of the report until the worker must have
    /// stopped its tasks, unless a newer report was answered.
    pub lease_ms: u64,
    /// Milliseconds between reports.
    pub report_ms: u64,
}

/// A running task in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// The attempt that runs.
    pub attempt: AttemptNumber,
    /// Measured use, averaged over the report period.
    pub usage: Resources,
    /// For a service: the 99th percentile of its answer times in microseconds.
    #[serde(default)]
    pub p99_us: Option<u64>,
    /// For a service: its load, in percent of what the replica is sized for.
    #[serde(default)]
    pub load_percent: Option<u16>,
    /// For batch: work done so far, in percent, where the task knows it.
    #[serde(default)]
    pub progress_percent: Option<u8>,
    /// Milliseconds of work that an eviction without a new checkpoint would lose.
    #[serde(default)]
    pub unsaved_ms: u64,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "end")]
pub enum AttemptEnd {
    /// The task ran to its end.
    Finished,
    /// The task failed by itself.
    Failed {
        /// Why, for an operator.
        reason: Box<str>,
    },
    /// The worker did not start it: over capacity, or the attempt had been seen.
    Refused {
        /// Why, for an operator.
        reason: Box<str>,
    },
    /// It was checkpointed and stopped as ordered.
    Evicted {
        /// The checkpoint to resume from; absent where the task keeps none.
        checkpoint: Option<CheckpointId>,
    },
    /// It was stopped as ordered, without a checkpoint.
    Stopped,
}

/// A worker's periodic report. It renews the worker's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The worker.
    pub worker: WorkerId,
    /// The worker's present boot.
    pub boot: BootId,
    /// Grows by one with each report of a boot.
    pub sequence: u64,
    /// Running tasks whose figures changed since the last answered report; all
    /// of them where `full` is set.
    #[serde(default)]
    pub running: Vec<RunningTask>,
    /// Whether `running` is the whole list.
    #[serde(default)]
    pub full: bool,
    /// Attempts that ended and were not yet in an answered report.
    #[serde(default)]
    pub ended: Vec<EndedTask>,
    /// Milliseconds that the measurements lag behind the sending.
    #[serde(default)]
    pub lag_ms: u64,
}

/// An ended attempt in a report. Unknown fields can't be denied beside a
/// flattened field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// The task.
    pub task: TaskKey,
    /// The attempt that ended.
    pub attempt: AttemptNumber,
    /// How it ended.
    #[serde(flatten)]
    pub end: AttemptEnd,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "order")]
pub enum Order {
    /// Start an attempt, unless an equal or later attempt has been seen.
    Start {
        /// The task.
        task: TaskKey,
        /// The attempt.
        attempt: AttemptNumber,
        /// What is reserved for it.
        resources: Resources,
        /// Checkpoint to resume from.
        checkpoint: Option<CheckpointId>,
        /// The job's payload.
        payload: Box<str>,
        /// The declared run time in milliseconds; zero for a service.
        run_time_ms: u64,
    },
    /// Limit the processor share of an attempt.
    Throttle {
        /// The task.
        task: TaskKey,
        /// The attempt.
        attempt: AttemptNumber,
        /// Processor share that remains, in percent of what is reserved; 100 lifts it.
        cpu_percent: u8,
    },
    /// Checkpoint an attempt, stop it, and report it as evicted.
    Evict {
        /// The task.
        task: TaskKey,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Stop an attempt and report it as stopped.
    Stop {
        /// The task.
        task: TaskKey,
        /// The attempt.
        attempt: AttemptNumber,
    },
}

/// An order with its number in the worker's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedOrder {
    /// Grows with each order to this worker; a new leader starts above all
    /// numbers of its predecessors.
    pub number: u64,
    /// The order.
    #[serde(flatten)]
    pub order: Order,
}

/// A worker's long poll for orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrdersRequest {
    /// The worker.
    pub worker: WorkerId,
    /// The worker's present boot.
    pub boot: BootId,
    /// Highest order number that the worker has handled; 0 at first.
    pub handled: u64,
    /// Longest time to wait for an order, in milliseconds.
    pub wait_ms: u64,
}
