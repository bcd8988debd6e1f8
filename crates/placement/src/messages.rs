//! JSON messages between workers and the control plane.

use cyclamenloft_types::{
    AttemptNumber, BootId, CheckpointId, DomainName, RackName, Resources, TaskKey, WorkerId,
};
use serde::{Deserialize, Serialize};

/// Registers a worker. A worker sends it at its start and whenever it is
/// answered with `unknown-worker`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The worker's name.
    pub worker: WorkerId,
    /// A new id at each start of the worker; the tasks of any other boot have
    /// ended.
    pub boot: BootId,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Total resources of the worker.
    pub capacity: Resources,
}

/// The lease granted to a worker in the answer to its announcement or report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Milliseconds from the sending of the report until the worker must have
    /// stopped its tasks, unless a newer report has been answered.
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
    /// The running attempt.
    pub attempt: AttemptNumber,
    /// Measured usage, averaged over the report period.
    pub usage: Resources,
    /// For a service: the 99th percentile of its response times in microseconds.
    #[serde(default)]
    pub p99_us: Option<u64>,
    /// For a service: its load, in percent of the replica's design load.
    #[serde(default)]
    pub load_percent: Option<u16>,
    /// For batch: work done so far in percent, if the task reports it.
    #[serde(default)]
    pub progress_percent: Option<u8>,
    /// Milliseconds of work that would be lost by an eviction without a new checkpoint.
    #[serde(default)]
    pub unsaved_ms: u64,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "end")]
pub enum AttemptEnd {
    /// The task completed.
    Finished,
    /// The task itself failed.
    Failed {
        /// The reason, shown to operators.
        reason: Box<str>,
    },
    /// The worker did not start the attempt, because it lacked the capacity or
    /// had already seen the attempt.
    Refused {
        /// The reason, shown to operators.
        reason: Box<str>,
    },
    /// The attempt was checkpointed and stopped as ordered.
    Evicted {
        /// The checkpoint to resume from; `None` if the task keeps none.
        checkpoint: Option<CheckpointId>,
    },
    /// The attempt was stopped as ordered, without a checkpoint.
    Stopped,
}

/// A worker's periodic report. It renews the worker's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The worker.
    pub worker: WorkerId,
    /// The worker's current boot.
    pub boot: BootId,
    /// Increases by one with each report of a boot.
    pub sequence: u64,
    /// Running tasks whose measurements changed since the last answered report,
    /// or all running tasks if `full` is set.
    #[serde(default)]
    pub running: Vec<RunningTask>,
    /// Whether `running` lists every running task.
    #[serde(default)]
    pub full: bool,
    /// Attempts that ended and have not been part of an answered report.
    #[serde(default)]
    pub ended: Vec<EndedTask>,
    /// Age of the measurements when the report is sent, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
}

/// An ended attempt in a report.
///
/// Unknown fields are accepted here, because serde can't combine
/// `deny_unknown_fields` with a flattened field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// The task.
    pub task: TaskKey,
    /// The attempt that ended.
    pub attempt: AttemptNumber,
    /// How the attempt ended.
    #[serde(flatten)]
    pub end: AttemptEnd,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "order")]
pub enum Order {
    /// Start an attempt, unless the worker has seen this or a later attempt of the task.
    Start {
        /// The task.
        task: TaskKey,
        /// The attempt.
        attempt: AttemptNumber,
        /// Resources reserved for the attempt.
        resources: Resources,
        /// Checkpoint to resume from.
        checkpoint: Option<CheckpointId>,
        /// The job's payload.
        payload: Box<str>,
        /// The declared run time in milliseconds; 0 for a service.
        run_time_ms: u64,
    },
    /// Limit the CPU share of an attempt.
    Throttle {
        /// The task.
        task: TaskKey,
        /// The attempt.
        attempt: AttemptNumber,
        /// CPU limit in percent of the reservation; 100 lifts the limit.
        cpu_percent: u8,
    },
    /// Checkpoint an attempt, stop it and report it as evicted.
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

/// An order with its number in the worker's sequence of orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedOrder {
    /// Increases with each order to this worker; a new leader starts above all
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
    /// The worker's current boot.
    pub boot: BootId,
    /// Highest order number that the worker has handled; 0 before the first.
    pub handled: u64,
    /// Longest time to wait for an order, in milliseconds.
    pub wait_ms: u64,
}
