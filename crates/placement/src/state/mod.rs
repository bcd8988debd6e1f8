//! The replicated state of a placement group: workers, jobs, tasks and
//! reservations.
//!
//! The invariants that must hold through every failure are checked when a
//! command is applied, not only when it is proposed: reservations never exceed
//! the worker's capacity, a task has one attempt at a time, and a checkpoint is
//! resumed by exactly one attempt.

mod attempts;
mod free_capacity;
mod jobs;
mod queue;
mod snapshot;
mod totals;
mod verify;
mod workers;

pub use free_capacity::SearchFrom;
pub use queue::WaitingGroup;
pub(crate) use queue::{DueTask, GroupNumber, TeamQueue};
pub use totals::Totals;

use crate::command::{Applied, Command, CommandResult, WorkerRecord};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::{
    AttemptNumber, CheckpointId, JobId, JobSpec, LogIndex, Priority, Resources, Result, TaskKey,
    TaskState, TeamName, WorkerId,
};
use free_capacity::FreeCapacityIndex;
use queue::WaitingQueue;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Upper bound of lease lengths before the first [`Command::LeaseBound`].
const INITIAL_LEASE_BOUND: Duration = Duration::from_secs(10);

/// A worker and the reservations on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerState {
    /// The worker as announced.
    pub record: WorkerRecord,
    /// Whether the worker is registered and hasn't been declared lost since.
    pub alive: bool,
    /// Index of the log entry that made the worker alive.
    pub registered: LogIndex,
    /// Sum of the reservations on the worker.
    pub reserved: Resources,
    /// Tasks that hold a reservation on the worker.
    pub tasks: BTreeSet<TaskKey>,
}

impl WorkerState {
    /// Returns the free resources, or `None` if the worker is lost or its
    /// reservations exceed its capacity.
    #[must_use]
    pub fn free(&self) -> Option<Resources> {
        if self.alive { self.record.capacity.checked_sub(&self.reserved) } else { None }
    }
}

/// A task and its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// The current state.
    #[serde(with = "crate::codec::task_state")]
    pub state: TaskState,
    /// Number of the last attempt; 0 before the first.
    pub attempt: AttemptNumber,
    /// Resources reserved for the current attempt.
    pub reserved: Resources,
    /// The latest confirmed checkpoint.
    pub checkpoint: Option<CheckpointId>,
    /// Number of failed attempts.
    pub failures: u32,
}

/// A job and its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The job as submitted; the payload is dropped when the job is over.
    pub spec: JobSpec,
    /// Hash of the job as submitted, which identifies a repeated submission.
    pub spec_hash: u64,
    /// Wall clock at submission, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The tasks, ordered by index.
    pub tasks: Vec<Task>,
    /// Whether a task of the job fits some worker.
    pub feasible: bool,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Workers on which tasks of the job failed, up to a maximum number.
    pub failed_on: Vec<WorkerId>,
    /// Number of tasks that are not over.
    pub live: u32,
    /// Index of the log entry that ended the last task.
    pub done_at: Option<LogIndex>,
}

/// The state of a placement group.
#[derive(Clone, Debug, Default)]
pub struct PlacementState {
    workers: BTreeMap<WorkerId, WorkerState>,
    jobs: BTreeMap<JobId, Job>,
    /// Upper bound of leases that may be in force, in milliseconds; 0 before the
    /// first [`Command::LeaseBound`].
    lease_bound_ms: u64,
    index: Index,
}

/// Data derived from the workers and jobs, kept for fast lookups.
#[derive(Clone, Debug, Default)]
struct Index {
    queue: WaitingQueue,
    free_capacity: FreeCapacityIndex,
    /// Number of workers of each capacity.
    capacity_counts: BTreeMap<(u32, u32, u16), usize>,
    /// Jobs that fit no worker.
    infeasible: BTreeSet<JobId>,
    /// Jobs that are over, ordered by the log entry that ended them.
    done: BTreeSet<(LogIndex, JobId)>,
    done_tasks: usize,
    live_tasks: usize,
    /// Workers whose reservations exceed their capacity.
    overcommitted: BTreeSet<WorkerId>,
    /// Workers that were declared lost.
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
    /// Returns the upper bound of the leases that workers hold.
    #[must_use]
    pub fn lease_bound(&self) -> Duration {
        match self.lease_bound_ms {
            0 => INITIAL_LEASE_BOUND,
            ms => Duration::from_millis(ms),
        }
    }

    fn set_lease_bound(&mut self, lease_ms: u64) -> Applied {
        let before = std::mem::replace(&mut self.lease_bound_ms, lease_ms);
        if before == lease_ms { Applied::Already } else { Applied::Changed }
    }

    /// Returns all workers, including lost ones.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerState> {
        self.workers.values()
    }

    /// Returns a worker by its id.
    #[must_use]
    pub fn worker(&self, id: &str) -> Option<&WorkerState> {
        self.workers.get(id)
    }

    /// Returns all jobs, including those that are over and not yet removed.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns a job by its id.
    #[must_use]
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns a task by its key.
    #[must_use]
    pub fn task(&self, key: &TaskKey) -> Option<&Task> {
        self.jobs.get(&key.job)?.tasks.get(key.index as usize)
    }

    /// Returns the waiting tasks, in no particular order.
    pub fn waiting(&self) -> impl Iterator<Item = &TaskKey> {
        self.index.queue.groups().flat_map(|(_, tasks)| tasks.iter().map(|(_, key)| key))
    }

    /// Returns the number of waiting tasks of `priority`.
    #[must_use]
    pub fn waiting_count(&self, priority: Priority) -> usize {
        self.index.queue.depth(priority)
    }

    /// Returns the total capacity of the workers that are alive.
    #[must_use]
    pub fn capacity(&self) -> Totals {
        self.index.capacity
    }

    /// Returns the sum of the reservations on the workers that are alive.
    #[must_use]
    pub fn reserved(&self) -> Totals {
        self.index.reserved
    }

    /// Returns the sum of the reservations of a team.
    #[must_use]
    pub fn team_reserved(&self, team: &str) -> Totals {
        self.index.teams.get(team).copied().unwrap_or_default()
    }

    /// Returns the workers that may have enough free capacity for `need`. The
    /// caller checks each of them.
    pub fn candidates(
        &self,
        need: Resources,
        from: SearchFrom,
    ) -> impl Iterator<Item = &WorkerState> {
        self.index.free_capacity.candidates(need, from).filter_map(|id| self.workers.get(id))
    }

    /// Returns the workers whose reservations exceed their capacity, which
    /// happens after the capacity shrank.
    pub fn overcommitted(&self) -> impl Iterator<Item = &WorkerState> {
        self.index.overcommitted.iter().filter_map(|id| self.workers.get(id))
    }

    pub(crate) fn team_queues(
        &self,
        priority: Priority,
    ) -> impl Iterator<Item = (&TeamName, &TeamQueue)> {
        self.index.queue.team_queues(priority)
    }

    pub(crate) fn group_of(&self, spec: &JobSpec) -> Option<GroupNumber> {
        self.index.queue.number(spec)
    }

    pub(crate) fn group(&self, number: GroupNumber) -> Option<(&WaitingGroup, &BTreeSet<DueTask>)> {
        self.index.queue.group(number)
    }
}

/// Returns the worker and attempt that hold a reservation in this state, if any.
#[must_use]
pub fn holder(state: &TaskState) -> Option<(&WorkerId, AttemptNumber)> {
    match state {
        TaskState::Placed { worker, attempt } | TaskState::Evicting { worker, attempt } => {
            Some((worker, *attempt))
        }
        _ => None,
    }
}

/// Returns whether the state is final, so that the task will never run again.
#[must_use]
pub fn is_over(state: &TaskState) -> bool {
    matches!(state, TaskState::Finished | TaskState::Failed | TaskState::Cancelled)
}

fn apply_each<T>(items: &[T], mut apply: impl FnMut(&T) -> Option<()>) -> Applied {
    // All items must be applied; `Iterator::any` would stop at the first change.
    let changed = items.iter().filter_map(&mut apply).count();
    if changed > 0 { Applied::Changed } else { Applied::Already }
}

impl StateMachine for PlacementState {
    type Command = Command;
    type Response = CommandResult;

    fn apply(&mut self, index: LogIndex, command: &Command) -> CommandResult {
        match command {
            Command::Register(record) => Ok(self.register(index, record)),
            Command::WorkerLost { worker, boot, registered } => {
                Ok(self.worker_lost(index, worker, *boot, *registered))
            }
            Command::Submit { spec, at_unix_ms } => self.submit(spec, *at_unix_ms),
            Command::Cancel(ids) => Ok(apply_each(ids, |id| self.cancel(index, id))),
            Command::Place(placements) => Ok(apply_each(placements, |p| self.place(p))),
            Command::Evict(tasks) => {
                Ok(apply_each(tasks, |(task, attempt)| self.evict(task, *attempt)))
            }
            Command::Ended(ended) => Ok(apply_each(ended, |e| self.end_attempt(index, e))),
            Command::LeaseBound { lease_ms } => Ok(self.set_lease_bound(*lease_ms)),
            Command::Forget { jobs, workers } => Ok(self.remove_ended(jobs, workers)),
        }
    }

    fn encode(&self) -> Vec<u8> {
        snapshot::encode(self)
    }

    fn decode(bytes: &[u8]) -> Result<Self> {
        snapshot::decode(bytes)
    }
}
