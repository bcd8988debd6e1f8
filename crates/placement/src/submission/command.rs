//! The changes that the group agrees on, as they stand in its log.

use super::{
    interference::LearnedPair,
    routes::{QueuePolicy, RouteTable},
    spec::{Submission, SubmissionId, TaskId},
    state::LifeId,
    waves::{MachineId, Upkeep, Wave, WaveNumber},
};
use cyclamenloft_types::{AttemptNumber, DomainName, RackName, Resources, ServiceName, WorkerId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One life of a worker: from a start of its process to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLife {
    /// Name of the worker, which a later life may bear too.
    pub id: WorkerId,
    /// When the life began, in milliseconds since 1970; tells lives apart.
    pub born_ms: u64,
    /// Service whose pool the worker is in.
    pub service: ServiceName,
    /// Where the worker takes calls.
    pub addr: SocketAddr,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker, the last of its labels.
    pub rack: RackName,
    /// All labels.
    pub labels: Vec<Box<str>>,
    /// What the worker holds.
    pub capacity: Resources,
    /// Machine that the worker is a life of, where it says so.
    pub machine: Option<Box<str>>,
    /// The worker leaves and takes no new work.
    pub draining: bool,
    /// The worker has said farewell: it ends now.
    pub leaving: bool,
}

impl WorkerLife {
    /// This life after it has reported `newer`. What it said of its end stands,
    /// as reports may overtake each other.
    #[must_use]
    pub fn updated(&self, newer: &Self) -> Self {
        Self {
            draining: self.draining || newer.draining,
            leaving: self.leaving || newer.leaving,
            ..newer.clone()
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndHow {
    /// It did its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease expired, or its worker's life is over.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
    /// The worker refused the start, so it never ran.
    NeverRan,
}

impl EndHow {
    /// The text used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
            Self::NeverRan => "never-ran",
        }
    }
}

/// The end of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub how: EndHow,
    /// Newest checkpoint; empty where there is none.
    pub checkpoint: Box<str>,
}

/// One run put on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    /// The task.
    pub task: TaskId,
    /// Number of the start; one more than the task's last.
    pub attempt: AttemptNumber,
    /// The worker's life.
    pub life: LifeId,
}

/// Newest checkpoints that were seen of some tasks.
pub type Checkpoints = Vec<(TaskId, Box<str>)>;

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Nothing: a read that must be the newest waits for it.
    Barrier,
    /// A configuration; one whose number isn't higher changes nothing.
    Configure(RouteTable),
    /// A submission.
    Submit {
        /// The checked submission.
        submission: Submission,
        /// The queue's policy when it was accepted.
        policy: QueuePolicy,
        /// Wall clock of the leader, in milliseconds since 1970.
        at_ms: u64,
    },
    /// Submissions are cancelled.
    Cancel(Vec<SubmissionId>),
    /// A worker's life began, or it says that it leaves.
    Register(WorkerLife),
    /// A life is over, and its runs with it.
    Lost {
        /// The life.
        life: LifeId,
        /// Newest checkpoints that were seen of its runs.
        checkpoints: Checkpoints,
    },
    /// Runs are put on workers.
    Place(Vec<Placed>),
    /// Runs of one life ended.
    Ended {
        /// The life.
        life: LifeId,
        /// The ends.
        ends: Vec<RunEnd>,
    },
    /// The operator asks for a wave of upkeep; a known one changes nothing.
    Wave(Wave),
    /// A step of a machine's upkeep; one that may not be taken changes nothing.
    Upkeep {
        /// The wave.
        wave: WaveNumber,
        /// The machine.
        machine: MachineId,
        /// The step.
        step: Upkeep,
    },
    /// What the leader has learned of how images disturb each other.
    Learned(Vec<LearnedPair>),
    /// Submissions that are over are no longer remembered.
    Forget(Vec<SubmissionId>),
}

/// What the proposer of a [`Change`] is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The state is as the change asks.
    Done,
    /// The submission's id is taken by another one.
    Taken,
    /// No such submission, or a step of upkeep that may not be taken.
    Unknown,
    /// The runs that were placed; others were void.
    Placed(Vec<Placed>),
    /// Submissions that are over with this change.
    Over(Vec<SubmissionId>),
}
