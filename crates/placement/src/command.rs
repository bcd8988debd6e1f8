//! The changes that a placement group agrees on, as they stand in its log.

use crate::messages::AttemptEnd;
use cyclamenloft_types::{
    AttemptNumber, BootId, DomainName, Error, JobId, JobSpec, LogIndex, RackName, Resources,
    TaskKey, WorkerId,
};
use serde::{Deserialize, Serialize};

/// A worker as the group knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The worker's name.
    pub id: WorkerId,
    /// The worker's present boot.
    pub boot: BootId,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker.
    pub rack: RackName,
    /// What the worker holds.
    pub capacity: Resources,
}

/// One task put on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The task.
    pub task: TaskKey,
    /// The attempt; one more than the task's last.
    pub attempt: AttemptNumber,
    /// The worker.
    pub worker: WorkerId,
    /// The worker's boot; a placement on another boot is void.
    pub boot: BootId,
    /// What is reserved.
    pub reserved: Resources,
}

/// An attempt that ended on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedAttempt {
    /// The task.
    pub task: TaskKey,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    #[serde(with = "crate::codec::attempt_end")]
    pub end: AttemptEnd,
    /// Failed attempts after which the task is given up.
    pub max_failures: u32,
}

/// A change of the group's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A worker announced itself. A new boot ends the attempts of the former one.
    Register(WorkerRecord),
    /// A worker's lease has surely expired; its attempts are over.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
        /// The boot whose lease expired.
        boot: BootId,
        /// Position of the log entry that registered it; the command is void
        /// where the worker has registered again since.
        registered: LogIndex,
    },
    /// A job was submitted.
    Submit {
        /// The checked job.
        spec: JobSpec,
        /// Wall clock at submission, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
    /// Jobs were cancelled; one entry carries a whole wave.
    Cancel(Vec<JobId>),
    /// Tasks were put on workers.
    Place(Vec<Placement>),
    /// Tasks are to be checkpointed and stopped.
    Evict(Vec<(TaskKey, AttemptNumber)>),
    /// Attempts ended.
    Ended(Vec<EndedAttempt>),
    /// No lease longer than this is granted from now on, and none that was
    /// granted before outlasts it.
    LeaseBound {
        /// The bound in milliseconds.
        lease_ms: u64,
    },
    /// Jobs that are over and workers that are lost are no longer remembered.
    Forget {
        /// The jobs; one that is not over stays.
        jobs: Vec<JobId>,
        /// The workers; one that is alive stays.
        workers: Vec<WorkerId>,
    },
}

/// What the proposer of a [`Command`] is told.
pub type CommandResult = Result<Applied, Error>;

/// How far a command changed the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It changed the state.
    Changed,
    /// The state was so already; the command is a repetition.
    Already,
}
