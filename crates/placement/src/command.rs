//! The commands in the replicated log of a placement group.

use crate::messages::AttemptEnd;
use cyclamenloft_types::{
    AttemptNumber, BootId, DomainName, Error, JobId, JobSpec, LogIndex, RackName, Resources,
    TaskKey, WorkerId,
};
use serde::{Deserialize, Serialize};

/// A registered worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The worker's name.
    pub id: WorkerId,
    /// The worker's current boot.
    pub boot: BootId,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Total resources of the worker.
    pub capacity: Resources,
}

/// The placement of one task on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The task.
    pub task: TaskKey,
    /// Number of the attempt: one above that of the task's last attempt.
    pub attempt: AttemptNumber,
    /// The worker.
    pub worker: WorkerId,
    /// The worker's boot; the placement is ignored if the worker has another boot by then.
    pub boot: BootId,
    /// Resources reserved for the attempt.
    pub reserved: Resources,
}

/// An attempt that ended on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedAttempt {
    /// The task.
    pub task: TaskKey,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How the attempt ended.
    #[serde(with = "crate::codec::attempt_end")]
    pub end: AttemptEnd,
    /// Number of failed attempts after which the task is marked as failed.
    pub max_failures: u32,
}

/// A change of the group's replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A worker announced itself. A new boot ends the attempts of the previous boot.
    Register(WorkerRecord),
    /// A worker's lease has certainly expired, so its attempts are over.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
        /// The boot whose lease expired.
        boot: BootId,
        /// Index of the log entry that registered the worker; the command is
        /// ignored if the worker has registered again since.
        registered: LogIndex,
    },
    /// A job was submitted.
    Submit {
        /// The validated job.
        spec: JobSpec,
        /// Wall clock at submission, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
    /// Jobs were cancelled. One entry can cancel many jobs.
    Cancel(Vec<JobId>),
    /// Tasks were placed on workers.
    Place(Vec<Placement>),
    /// Attempts are to be checkpointed and stopped.
    Evict(Vec<(TaskKey, AttemptNumber)>),
    /// Attempts ended.
    Ended(Vec<EndedAttempt>),
    /// Sets the upper bound on lease lengths: longer leases are no longer
    /// granted, and those granted earlier have expired.
    LeaseBound {
        /// The bound in milliseconds.
        lease_ms: u64,
    },
    /// Removes jobs that are over and workers that are lost.
    Forget {
        /// The jobs to remove; a job that is not over is kept.
        jobs: Vec<JobId>,
        /// The workers to remove; a worker that is alive is kept.
        workers: Vec<WorkerId>,
    },
}

/// The result of applying a [`Command`], returned to its proposer.
pub type CommandResult = Result<Applied, Error>;

/// Whether a command changed the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The command changed the state.
    Changed,
    /// The command changed nothing, because it was a repetition or was out of date.
    Already,
}
