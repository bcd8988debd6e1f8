//! What a placement group agrees on: workers, jobs, tasks and reservations.
//!
//! The rules that must hold through every failure are checked where a command
//! is applied, not only where it is decided: a reservation never exceeds the
//! worker's capacity, a task has one attempt at a time, and a checkpoint is
//! resumed by exactly one attempt.

use crate::{
    command::{Applied, Command, EndedAttempt, Placement, Receipt, WorkerRecord},
    messages::AttemptEnd,
};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::{
    AttemptNumber, BootId, CheckpointId, Error, ErrorKind, JobId, JobSpec, JobState, LogIndex,
    Resources, Result, TaskKey, TaskState, WorkerId,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Failures after which a task is given up.
const MAX_FAILURES: u32 = 5;

/// A worker and what is reserved on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerState {
    /// The worker as announced.
    pub record: WorkerRecord,
    /// Whether its lease has not surely expired.
    pub alive: bool,
    /// The sum of the reservations.
    pub reserved: Resources,
    /// The tasks that hold reservations.
    pub tasks: BTreeSet<TaskKey>,
}

/// A task and its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Where it stands.
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
    /// The job as submitted.
    pub spec: JobSpec,
    /// Wall clock at submission, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The tasks, by position.
    pub tasks: Vec<Task>,
    /// Whether some worker is large enough.
    pub feasible: bool,
    /// Whether the job was cancelled.
    pub cancelled: bool,
}

/// The state of a placement group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementState {
    pub(crate) workers: BTreeMap<WorkerId, WorkerState>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) waiting: BTreeSet<TaskKey>,
}

impl PlacementState {
    /// The workers that were ever announced.
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

    /// One job as operators see it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownJob`] naming the job.
    pub fn job_state(&self, id: &str) -> Result<JobState> {
        let job = self
            .jobs
            .get(id)
            .ok_or_else(|| Error::new(ErrorKind::UnknownJob, format!("no job {id:?}")))?;
        let tasks = job.tasks.iter().map(|t| t.state.clone()).collect();
        let reason = match (job.cancelled, job.feasible) {
            (true, _) => "cancelled",
            (false, false) => "needs more than the largest worker holds",
            (false, true) => "",
        };
        Ok(JobState { spec: job.spec.clone(), tasks, reason: reason.into() })
    }

    /// One task.
    #[must_use]
    pub fn task(&self, key: &TaskKey) -> Option<&Task> {
        self.jobs.get(&key.job)?.tasks.get(key.index as usize)
    }

    /// The tasks that wait for room.
    pub fn waiting(&self) -> impl Iterator<Item = &TaskKey> {
        self.waiting.iter()
    }

    fn task_mut(&mut self, key: &TaskKey) -> Option<&mut Task> {
        self.jobs.get_mut(&key.job)?.tasks.get_mut(key.index as usize)
    }

    fn register(&mut self, record: &WorkerRecord) -> Applied {
        if let Some(known) = self.workers.get_mut(&record.id) {
            if known.record == *record && known.alive {
                return Applied::Already;
            }
            if known.record.boot != record.boot {
                let (id, boot) = (known.record.id.clone(), known.record.boot);
                self.worker_lost(&id, boot);
            }
        }
        let tasks = self.workers.get(&record.id).map(|w| w.tasks.clone()).unwrap_or_default();
        let reserved = self.workers.get(&record.id).map_or(Resources::ZERO, |w| w.reserved);
        let state = WorkerState { record: record.clone(), alive: true, reserved, tasks };
        self.workers.insert(record.id.clone(), state);
        Applied::Changed
    }

    fn worker_lost(&mut self, worker: &str, boot: BootId) -> Applied {
        let Some(state) = self.workers.get_mut(worker) else {
            return Applied::Already;
        };
        if state.record.boot != boot || !state.alive {
            return Applied::Already;
        }
        state.alive = false;
        for key in std::mem::take(&mut state.tasks) {
            self.free_task(&key, worker);
            self.requeue(&key);
        }
        Applied::Changed
    }

    fn submit(&mut self, spec: &JobSpec, at_unix_ms: u64) -> Receipt {
        if let Some(known) = self.jobs.get(&spec.id) {
            if known.spec == *spec {
                return Ok(Applied::Already);
            }
            return Err(Error::new(
                ErrorKind::Conflict,
                format!("job {:?} exists with other content", spec.id),
            ));
        }
        let task = Task {
            state: TaskState::Waiting { checkpoint: None },
            attempt: 0,
            reserved: Resources::ZERO,
            checkpoint: None,
            failures: 0,
        };
        for index in 0..spec.tasks {
            self.waiting.insert(TaskKey { job: spec.id.clone(), index });
        }
        let job = Job {
            spec: spec.clone(),
            at_unix_ms,
            tasks: vec![task; spec.tasks as usize],
            feasible: true,
            cancelled: false,
        };
        self.jobs.insert(spec.id.clone(), job);
        Ok(Applied::Changed)
    }

    fn cancel(&mut self, ids: &[JobId]) -> Applied {
        let mut applied = Applied::Already;
        for id in ids {
            let Some(job) = self.jobs.get_mut(id).filter(|j| !j.cancelled) else {
                continue;
            };
            job.cancelled = true;
            applied = Applied::Changed;
            for (index, task) in job.tasks.iter_mut().enumerate() {
                let key = TaskKey { job: id.clone(), index: index as u32 };
                if matches!(task.state, TaskState::Waiting { .. } | TaskState::CannotRun) {
                    task.state = TaskState::Cancelled;
                    self.waiting.remove(&key);
                }
            }
        }
        applied
    }

    fn place(&mut self, placement: &Placement) -> Option<()> {
        let task = self.task(&placement.task)?;
        let waiting = matches!(task.state, TaskState::Waiting { .. });
        if !waiting || placement.attempt != task.attempt + 1 {
            return None;
        }
        let worker = self.workers.get_mut(&placement.worker)?;
        if !worker.alive || worker.record.boot != placement.boot {
            return None;
        }
        let total = worker.reserved.checked_add(&placement.reserved)?;
        if !total.fits_in(&worker.record.capacity) {
            return None;
        }
        worker.reserved = total;
        worker.tasks.insert(placement.task.clone());
        self.waiting.remove(&placement.task);
        let task = self.task_mut(&placement.task)?;
        task.attempt = placement.attempt;
        task.reserved = placement.reserved;
        task.state =
            TaskState::Placed { worker: placement.worker.clone(), attempt: placement.attempt };
        Some(())
    }

    fn evict(&mut self, key: &TaskKey, attempt: AttemptNumber) -> Option<()> {
        let task = self.task_mut(key)?;
        match &task.state {
            TaskState::Placed { worker, attempt: present } if *present == attempt => {
                task.state = TaskState::Evicting { worker: worker.clone(), attempt };
                Some(())
            }
            _ => None,
        }
    }

    fn ended(&mut self, ended: &EndedAttempt) -> Option<()> {
        let task = self.task(&ended.task)?;
        let (worker, attempt) = holder(&task.state)?;
        if attempt != ended.attempt {
            return None;
        }
        let worker = worker.clone();
        self.free_task(&ended.task, &worker);
        if let Some(state) = self.workers.get_mut(&worker) {
            state.tasks.remove(&ended.task);
        }
        match &ended.end {
            AttemptEnd::Finished => self.task_mut(&ended.task)?.state = TaskState::Finished,
            AttemptEnd::Failed { .. } => {
                let task = self.task_mut(&ended.task)?;
                task.failures += 1;
                if task.failures >= MAX_FAILURES {
                    task.state = TaskState::Failed;
                } else {
                    self.requeue(&ended.task);
                }
            }
            AttemptEnd::Evicted { checkpoint } => {
                if checkpoint.is_some() {
                    self.task_mut(&ended.task)?.checkpoint = checkpoint.clone();
                }
                self.requeue(&ended.task);
            }
            AttemptEnd::Refused { .. } | AttemptEnd::Stopped => self.requeue(&ended.task),
        }
        Some(())
    }

    fn free_task(&mut self, key: &TaskKey, worker: &str) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let reserved = std::mem::replace(&mut task.reserved, Resources::ZERO);
        if let Some(state) = self.workers.get_mut(worker) {
            state.reserved = state.reserved.checked_sub(&reserved).unwrap_or(Resources::ZERO);
        }
    }

    /// Puts a task whose attempt is over back into the queue, unless its job
    /// was cancelled.
    fn requeue(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let cancelled = job.cancelled;
        let Some(task) = job.tasks.get_mut(key.index as usize) else {
            return;
        };
        if cancelled {
            task.state = TaskState::Cancelled;
            return;
        }
        task.state = TaskState::Waiting { checkpoint: task.checkpoint.clone() };
        self.waiting.insert(key.clone());
    }

    fn feasible(&mut self, id: &str, feasible: bool) -> Applied {
        match self.jobs.get_mut(id) {
            Some(job) if job.feasible != feasible => {
                job.feasible = feasible;
                Applied::Changed
            }
            _ => Applied::Already,
        }
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

fn any<T>(items: &[T], mut apply: impl FnMut(&T) -> Option<()>) -> Applied {
    // Every item is applied; `any` would stop at the first change.
    let changed = items.iter().filter_map(&mut apply).count();
    if changed > 0 { Applied::Changed } else { Applied::Already }
}

impl StateMachine for PlacementState {
    type Command = Command;
    type Answer = Receipt;

    fn apply(&mut self, _index: LogIndex, command: &Command) -> Receipt {
        match command {
            Command::Register(record) => Ok(self.register(record)),
            Command::WorkerLost { worker, boot } => Ok(self.worker_lost(worker, *boot)),
            Command::Submit { spec, at_unix_ms } => self.submit(spec, *at_unix_ms),
            Command::Cancel(ids) => Ok(self.cancel(ids)),
            Command::Place(placements) => Ok(any(placements, |p| self.place(p))),
            Command::Evict(tasks) => Ok(any(tasks, |(task, attempt)| self.evict(task, *attempt))),
            Command::Ended(ended) => Ok(any(ended, |e| self.ended(e))),
            Command::Feasible { job, feasible } => Ok(self.feasible(job, *feasible)),
        }
    }

    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a state of plain data always encodes")
    }

    fn decode(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes)
            .map_err(|e| Error::new(ErrorKind::Corrupt, format!("placement snapshot: {e}")))
    }
}
