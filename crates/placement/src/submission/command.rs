//! The commands of the group's replicated log.

use super::{
    evacuation::{EvacuationOutcome, EvacuationVersion},
    interference::LearnedPair,
    open_starts::RunId,
    record::IncarnationId,
    routes::{QueuePolicy, RouteTable},
    spec::{Submission, SubmissionId, TaskId},
    waves::{MachineId, Maintenance, Wave, WaveNumber},
};
use cyclamenloft_types::{AttemptNumber, DomainName, RackName, Resources, ServiceName, WorkerId};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Data that one incarnation of a worker reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Name of the worker. A later incarnation may have the same name.
    pub id: WorkerId,
    /// Time at which the incarnation started, in milliseconds since the Unix
    /// epoch. It distinguishes the incarnations of a worker.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Service whose pool the worker belongs to.
    pub service: ServiceName,
    /// Address on which the worker accepts calls.
    pub addr: SocketAddr,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker, the last of its labels.
    pub rack: RackName,
    /// All labels.
    pub labels: Vec<Box<str>>,
    /// Resources of the worker.
    pub capacity: Resources,
    /// Machine that the worker runs on, if the worker states one.
    pub machine: Option<Box<str>>,
    /// Whether the worker is draining and accepts no new work.
    pub draining: bool,
    /// Whether the worker has announced that it exits now.
    pub leaving: bool,
}

/// A worker's report about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The data.
    pub worker: WorkerInfo,
    /// Number of the report, which rises with each report of an incarnation.
    pub sequence: u64,
}

/// Why a report isn't one of the worker that it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForeignReport {
    /// The configuration has no such service.
    UnknownService,
    /// The incarnation belongs to another service.
    OtherService,
    /// The incarnation has another address.
    OtherAddress,
    /// The incarnation is in another failure domain.
    OtherDomain,
    /// The incarnation runs on another machine.
    OtherMachine,
}

impl ForeignReport {
    /// Returns the field that differs from what is known, and what is expected there.
    #[must_use]
    pub const fn detail(self) -> &'static str {
        match self {
            Self::UnknownService => "service: expected one of the configuration",
            Self::OtherService => "service: expected that of the worker's earlier reports",
            Self::OtherAddress => "address: expected that of the worker's earlier reports",
            Self::OtherDomain => "failure domain: expected that of the worker's earlier reports",
            Self::OtherMachine => "machine: expected that of the worker's earlier reports",
        }
    }
}

impl WorkerInfo {
    /// Returns what this worker has in common with `other` that two workers can't have at the same
    /// time, as a text for logs.
    #[must_use]
    pub fn shared_with(&self, other: &Self) -> Option<&'static str> {
        let same_machine = self.machine.is_some() && self.machine == other.machine;
        match () {
            () if self.id == other.id => Some("id"),
            () if self.addr == other.addr => Some("address"),
            () if same_machine => Some("machine"),
            () => None,
        }
    }

    /// Returns this information updated by the report `newer`. `draining` and
    /// `leaving` are never reset, because reports may overtake each other.
    #[must_use]
    pub fn updated(&self, newer: &Self) -> Self {
        Self {
            draining: self.draining || newer.draining,
            leaving: self.leaving || newer.leaving,
            ..newer.clone()
        }
    }
}

/// Why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndReason {
    /// The run finished its work.
    Done,
    /// The run failed. Either the task or the worker may be the cause.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The run's lease expired, or its worker's incarnation ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The run waited too long for the other members of its gang to start.
    Alone,
    /// The worker refused the start, so the run never began.
    NeverRan,
}

impl EndReason {
    /// Returns the text used in logs.
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
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Why the run ended.
    #[serde(rename = "how")]
    pub reason: EndReason,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
}

/// The placement of one run on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt, higher than that of the task's last one.
    pub attempt: AttemptNumber,
    /// Incarnation of the worker.
    #[serde(rename = "life")]
    pub incarnation: IncarnationId,
}

/// The newest known checkpoints of some tasks.
pub type Checkpoints = Vec<(TaskId, Box<str>)>;

/// A run on a worker that has become unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentRun {
    /// The task.
    pub task: TaskId,
    /// How long the run had gone on, in milliseconds. It is zero for a start that got no answer,
    /// so that the run may not have begun.
    pub age_ms: u32,
    /// Whether the age is exact. The run of a former leader is at least this old, if it has begun
    /// at all.
    pub exact: bool,
}

impl SilentRun {
    /// Returns how long the run had gone on, at least.
    #[must_use]
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }
}

/// What a leader knew of an incarnation when it became unreachable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence {
    /// The incarnation.
    pub incarnation: IncarnationId,
    /// Time at which it became unreachable, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Its runs, without those that have certainly not begun.
    pub runs: Vec<SilentRun>,
    /// Newest known checkpoints of its runs.
    pub checkpoints: Checkpoints,
}

/// A task that is given up because it crashes its workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// The task.
    pub task: TaskId,
    /// The workers that crashed under it, in the order of the crashes, each with the time for
    /// which the task had run.
    pub crashes: Vec<(WorkerId, Duration)>,
}

/// A command that changes the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing. A linearizable read waits until this command is applied.
    Barrier,
    /// Applies a configuration. It is ignored unless its number is higher than
    /// that of the active configuration.
    Configure(RouteTable),
    /// Accepts a submission.
    Submit {
        /// The checked submission.
        submission: Submission,
        /// Policy of the queue at acceptance.
        policy: QueuePolicy,
        /// The leader's wall clock at acceptance, in milliseconds since the
        /// Unix epoch.
        at_ms: u64,
    },
    /// Cancels submissions.
    Cancel(Vec<SubmissionId>),
    /// Registers an incarnation of a worker, or updates its data, for example that
    /// it is draining, regardless of the order of reports.
    Register(WorkerInfo),
    /// Ends an incarnation and with it all its runs.
    Lost {
        /// The incarnation.
        #[serde(rename = "life")]
        incarnation: IncarnationId,
        /// Newest known checkpoints of the incarnation's runs.
        checkpoints: Checkpoints,
    },
    /// Places runs on workers.
    Place(Vec<Placement>),
    /// Records the ends of runs on one incarnation.
    Ended {
        /// The incarnation.
        #[serde(rename = "life")]
        incarnation: IncarnationId,
        /// The ends.
        ends: Vec<RunEnd>,
    },
    /// Adds a maintenance wave of the operator. A wave that is already known is
    /// ignored.
    Wave(Wave),
    /// Moves the maintenance of a machine to its next state. A transition that
    /// isn't allowed is ignored.
    #[serde(rename = "Upkeep")]
    Maintenance {
        /// The wave.
        wave: WaveNumber,
        /// The machine.
        machine: MachineId,
        /// The new state.
        step: Maintenance,
    },
    /// Stores the interference between images that the leader has learned.
    Learned(Vec<LearnedPair>),
    /// Removes the records of submissions that have ended.
    Forget(Vec<SubmissionId>),
    /// Records what ran on incarnations that have become unreachable.
    Silent(Vec<Silence>),
    /// Registers an incarnation of a worker or updates its data. Of a report that is older than
    /// the last one only what is never reset counts.
    Report(WorkerReport),
    /// Evacuates a failure domain, or withdraws the order. It has no effect if a later order for
    /// the domain than `expected` is committed.
    Evacuate {
        /// The domain.
        domain: DomainName,
        /// Whether the domain is evacuated from now on.
        on: bool,
        /// Number of the last order, of any domain, that the asking replica had applied when the
        /// operator's call arrived.
        expected: EvacuationVersion,
        /// The leader's wall clock at acceptance, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Records that the starts of these runs, which have begun or ended, can't be carried out any
    /// more.
    Settled(Vec<RunId>),
    /// Records the times, in milliseconds since the Unix epoch, by which runs on lost workers have
    /// ended that these starts begin, so that the next leader waits no longer.
    Waits(Vec<(RunId, u64)>),
}

/// The result of a [`Command`], returned to its proposer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The command is in effect.
    Done,
    /// Another submission has the same id.
    IdTaken,
    /// There is no such submission, or the maintenance step isn't allowed.
    Unknown,
    /// The runs that were placed. The other placements were rejected.
    Placed(Vec<Placement>),
    /// Submissions that this command ended.
    Over(Vec<SubmissionId>),
    /// Tasks that are given up because they crash their workers. Their submissions have failed.
    GivenUp(Vec<GivenUp>),
    /// What an evacuation order did, and the number of the last order for its domain.
    Evacuated(EvacuationOutcome, EvacuationVersion),
}
