//! What a placement group agrees on: workers, jobs, tasks and reservations.
//!
//! The rules that must hold through every failure are checked where a command
//! is applied, not only where it is decided: a reservation never exceeds the
//! worker's capacity, a task has one attempt at a time, and a checkpoint is
//! resumed by exactly one attempt.

mod attempts;
mod jobs;
mod queue;
mod room;
mod snapshot;
mod totals;
mod verify;
mod workers;

pub use queue::WaitingGroup;
pub(crate) use queue::{DueTask, GroupNumber, Lane};
pub use room::SearchFrom;
pub use totals::Totals;

use crate::command::{Applied, Command, Receipt, WorkerRecord};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::{
    AttemptNumber, CheckpointId, JobId, JobSpec, LogIndex, Priority, Resources, Result, TaskKey,
    TaskState, TeamName, WorkerId,
};
use queue::WaitingQueue;
use room::RoomIndex;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Bound of leases before the group has agreed on one.
const FIRST_LEASE_BOUND: Duration = Duration::from_secs(10);

/// A worker and what is reserved on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerState {
    /// The worker as announced.
    pub record: WorkerRecord,
    /// Whether its lease has not surely expired.
    pub alive: bool,
    /// Position of the log entry that made it alive.
    pub registered: LogIndex,
    /// The sum of the reservations.
    pub reserved: Resources,
    /// The tasks that hold reservations.
    pub tasks: BTreeSet<TaskKey>,
}

impl WorkerState {
    /// What is free; nothing where the worker is lost or holds less than is
    /// reserved.
    #[must_use]
    pub fn free(&self) -> Option<Resources> {
        if self.alive { self.record.capacity.checked_sub(&self.reserved) } else { None }
    }
}

/// A task and its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Where it stands.
    #[serde(with = "crate::codec::task_state")]
    pub state: TaskState,
    /// The last attempt; 0 before the first.
    pub attempt: AttemptNumber,
    /// What the present attempt has reserved.
    pub reserved: Resources,
    /// Newest confirmed checkpoint.
    pub checkpoint: Option<CheckpointId>,
    /// Failed attempts so far.
    pub failures: u32,
}

/// A job and its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The job as submitted; the payload is dropped when the job is over.
    pub spec: JobSpec,
    /// Hash of the job as submitted, to recognise a repeated submission.
    pub spec_hash: u64,
    /// Wall clock at submission, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The tasks, by position.
    pub tasks: Vec<Task>,
    /// Whether some worker is large enough.
    pub feasible: bool,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Workers on which its tasks failed, up to a bound.
    pub failed_on: Vec<WorkerId>,
    /// Tasks that are not over.
    pub live: u32,
    /// Position of the log entry that ended the last task.
    pub done_at: Option<LogIndex>,
}

/// The state of a placement group.
#[derive(Clone, Debug, Default)]
pub struct PlacementState {
    workers: BTreeMap<WorkerId, WorkerState>,
    jobs: BTreeMap<JobId, Job>,
    /// Longest lease that may be in force, in milliseconds; 0 before the first
    /// agreement.
    lease_bound_ms: u64,
    index: Index,
}

/// What follows from the workers and jobs, kept for quick access.
#[derive(Clone, Debug, Default)]
struct Index {
    queue: WaitingQueue,
    room: RoomIndex,
    /// Number of workers of each capacity.
    shapes: BTreeMap<(u32, u32, u16), usize>,
    /// Jobs that fit no worker.
    infeasible: BTreeSet<JobId>,
    /// Jobs that are over, by the log entry that ended them.
    done: BTreeSet<(LogIndex, JobId)>,
    done_tasks: usize,
    live_tasks: usize,
    /// Workers that hold less than is reserved on them.
    overcommitted: BTreeSet<WorkerId>,
    /// Workers whose lease has expired.
    lost: BTreeSet<WorkerId>,
    capacity: Totals,
    reserved: Totals,
    teams: BTreeMap<TeamName, Totals>,
}

impl PartialEq for PlacementState {
    fn eq(&self, other: &Self) -> bool {
        self.workers == other.workers
            && self.jobs == other.jobs
            && self.lease_bound_ms == other.lease_bound_ms
    }
}

impl Eq for PlacementState {}

impl PlacementState {
    /// No worker holds a lease longer than this.
    #[must_use]
    pub fn lease_bound(&self) -> Duration {
        match self.lease_bound_ms {
            0 => FIRST_LEASE_BOUND,
            ms => Duration::from_millis(ms),
        }
    }

    fn bound_leases(&mut self, lease_ms: u64) -> Applied {
        let before = std::mem::replace(&mut self.lease_bound_ms, lease_ms);
        if before == lease_ms { Applied::Already } else { Applied::Changed }
    }

    /// The workers that are remembered.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerState> {
        self.workers.values()
    }

    /// One worker.
    #[must_use]
    pub fn worker(&self, id: &str) -> Option<&WorkerState> {
        self.workers.get(id)
    }

    /// The jobs that are remembered.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// One job.
    #[must_use]
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// One task.
    #[must_use]
    pub fn task(&self, key: &TaskKey) -> Option<&Task> {
        self.jobs.get(&key.job)?.tasks.get(key.index as usize)
    }

    /// The tasks that wait for room, in no particular order.
    pub fn waiting(&self) -> impl Iterator<Item = &TaskKey> {
        self.index.queue.groups().flat_map(|(_, tasks)| tasks.iter().map(|(_, key)| key))
    }

    /// Number of tasks of `priority` that wait for room.
    #[must_use]
    pub fn waiting_count(&self, priority: Priority) -> usize {
        self.index.queue.depth(priority)
    }

    /// Capacity of the workers that are alive.
    #[must_use]
    pub fn capacity(&self) -> Totals {
        self.index.capacity
    }

    /// What is reserved on the workers that are alive.
    #[must_use]
    pub fn reserved(&self) -> Totals {
        self.index.reserved
    }

    /// What the tasks of a team have reserved.
    #[must_use]
    pub fn team_reserved(&self, team: &str) -> Totals {
        self.index.teams.get(team).copied().unwrap_or_default()
    }

    /// The workers that may have room for `need`; the caller checks each.
    pub fn candidates(
        &self,
        need: Resources,
        from: SearchFrom,
    ) -> impl Iterator<Item = &WorkerState> {
        self.index.room.candidates(need, from).filter_map(|id| self.workers.get(id))
    }

    /// Workers that hold less than is reserved on them, since their capacity shrank.
    pub fn overcommitted(&self) -> impl Iterator<Item = &WorkerState> {
        self.index.overcommitted.iter().filter_map(|id| self.workers.get(id))
    }

    pub(crate) fn lanes(&self, priority: Priority) -> impl Iterator<Item = (&TeamName, &Lane)> {
        self.index.queue.lanes(priority)
    }

    pub(crate) fn group_of(&self, spec: &JobSpec) -> Option<GroupNumber> {
        self.index.queue.number(spec)
    }

    pub(crate) fn group(&self, number: GroupNumber) -> Option<(&WaitingGroup, &BTreeSet<DueTask>)> {
        self.index.queue.group(number)
    }
}

/// The worker and attempt that hold a reservation, if the state has one.
#[must_use]
pub fn holder(state: &TaskState) -> Option<(&WorkerId, AttemptNumber)> {
    match state {
        TaskState::Placed { worker, attempt } | TaskState::Evicting { worker, attempt } => {
            Some((worker, *attempt))
        }
        _ => None,
    }
}

/// Whether a task in this state will never run again.
#[must_use]
pub fn is_over(state: &TaskState) -> bool {
    matches!(state, TaskState::Finished | TaskState::Failed | TaskState::Cancelled)
}

fn any<T>(items: &[T], mut apply: impl FnMut(&T) -> Option<()>) -> Applied {
    // Every item is applied; `any` would stop at the first change.
    let changed = items.iter().filter_map(&mut apply).count();
    if changed > 0 { Applied::Changed } else { Applied::Already }
}

impl StateMachine for PlacementState {
    type Command = Command;
    type Response = Receipt;

    fn apply(&mut self, index: LogIndex, command: &Command) -> Receipt {
        match command {
            Command::Register(record) => Ok(self.register(index, record)),
            Command::WorkerLost { worker, boot, registered } => {
                Ok(self.worker_lost(index, worker, *boot, *registered))
            }
            Command::Submit { spec, at_unix_ms } => self.submit(spec, *at_unix_ms),
            Command::Cancel(ids) => Ok(any(ids, |id| self.cancel(index, id))),
            Command::Place(placements) => Ok(any(placements, |p| self.place(p))),
            Command::Evict(tasks) => Ok(any(tasks, |(task, attempt)| self.evict(task, *attempt))),
            Command::Ended(ended) => Ok(any(ended, |e| self.ended(index, e))),
            Command::LeaseBound { lease_ms } => Ok(self.bound_leases(*lease_ms)),
            Command::Forget { jobs, workers } => Ok(self.forget(jobs, workers)),
        }
    }

    fn encode(&self) -> Vec<u8> {
        snapshot::encode(self)
    }

    fn decode(bytes: &[u8]) -> Result<Self> {
        snapshot::decode(bytes)
    }
}
