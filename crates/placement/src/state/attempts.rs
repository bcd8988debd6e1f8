//! Placement, eviction and end of attempts, and the reservations that attempts hold.

use super::{PlacementState, Task, holder, is_over};
use crate::{
    command::{EndedAttempt, Placement},
    messages::AttemptEnd,
};
use cyclamenloft_types::{AttemptNumber, LogIndex, Resources, TaskKey, TaskState, WorkerId};

/// Factor on the maximum number of failures of a task while its job has failed
/// on fewer than [`MIN_FAILING_WORKERS`] workers, because the worker may be the
/// cause of the failures.
const SINGLE_WORKER_FAILURE_FACTOR: u32 = 3;
/// Number of different workers on which a job must have failed before the job
/// itself is taken as the cause.
const MIN_FAILING_WORKERS: usize = 2;
/// Maximum number of workers recorded as having failed a job.
const MAX_FAILED_ON: usize = 8;

impl PlacementState {
    pub(super) fn place(&mut self, placement: &Placement) -> Option<()> {
        let job = self.jobs.get(&placement.task.job)?;
        let task = job.tasks.get(placement.task.index as usize)?;
        let waiting = matches!(task.state, TaskState::Waiting { .. });
        if !waiting || placement.attempt != task.attempt.checked_add(1)? {
            return None;
        }
        let worker = self.workers.get(&placement.worker)?;
        if !worker.alive || worker.record.boot != placement.boot {
            return None;
        }
        let total = worker.reserved.checked_add(&placement.reserved)?;
        if !total.fits_in(&worker.record.capacity) {
            return None;
        }
        self.index.queue.remove(&job.spec, job.at_unix_ms, &placement.task);
        let team = job.spec.team.clone();
        self.index.teams.entry(team).or_default().add(&placement.reserved);
        self.change_worker(&placement.worker, |entry| {
            if let Some(w) = entry {
                w.reserved = total;
                w.tasks.insert(placement.task.clone());
            }
        });
        let task = self.task_mut(&placement.task)?;
        task.attempt = placement.attempt;
        task.reserved = placement.reserved;
        task.state =
            TaskState::Placed { worker: placement.worker.clone(), attempt: placement.attempt };
        Some(())
    }

    pub(super) fn evict(&mut self, key: &TaskKey, attempt: AttemptNumber) -> Option<()> {
        let task = self.task_mut(key)?;
        match &task.state {
            TaskState::Placed { worker, attempt: current } if *current == attempt => {
                task.state = TaskState::Evicting { worker: worker.clone(), attempt };
                Some(())
            }
            _ => None,
        }
    }

    pub(super) fn end_attempt(&mut self, index: LogIndex, ended: &EndedAttempt) -> Option<()> {
        let task = self.task(&ended.task)?;
        let Some((worker, attempt)) = holder(&task.state) else {
            return self.end_lost_attempt(index, ended);
        };
        if attempt != ended.attempt {
            return None;
        }
        let worker = worker.clone();
        self.release(&ended.task);
        match &ended.end {
            AttemptEnd::Finished => self.finish(index, &ended.task, TaskState::Finished),
            AttemptEnd::Failed { .. } => self.fail_attempt(index, ended, &worker),
            AttemptEnd::Evicted { checkpoint } => {
                if checkpoint.is_some() {
                    self.task_mut(&ended.task)?.checkpoint = checkpoint.clone();
                }
                self.requeue(index, &ended.task);
            }
            AttemptEnd::Refused { .. } | AttemptEnd::Stopped => self.requeue(index, &ended.task),
        }
        Some(())
    }

    /// Applies the end of the last attempt of a task that is waiting again
    /// because its worker was declared lost. A completed task stays completed,
    /// and a saved checkpoint is kept.
    fn end_lost_attempt(&mut self, index: LogIndex, ended: &EndedAttempt) -> Option<()> {
        let task = self.task(&ended.task)?;
        let waits = matches!(task.state, TaskState::Waiting { .. } | TaskState::CannotRun);
        if !waits || task.attempt != ended.attempt {
            return None;
        }
        match &ended.end {
            AttemptEnd::Finished => {
                self.dequeue(&ended.task);
                self.finish(index, &ended.task, TaskState::Finished);
                Some(())
            }
            AttemptEnd::Evicted { checkpoint: Some(checkpoint) }
                if task.checkpoint.as_ref() != Some(checkpoint) =>
            {
                let task = self.task_mut(&ended.task)?;
                task.checkpoint = Some(checkpoint.clone());
                if let TaskState::Waiting { checkpoint } = &mut task.state {
                    checkpoint.clone_from(&task.checkpoint);
                }
                Some(())
            }
            _ => None,
        }
    }

    fn fail_attempt(&mut self, index: LogIndex, ended: &EndedAttempt, worker: &WorkerId) {
        let key = &ended.task;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.failed_on.len() < MAX_FAILED_ON && !job.failed_on.contains(worker) {
            job.failed_on.push(worker.clone());
        }
        let on_several_workers = job.failed_on.len() >= MIN_FAILING_WORKERS;
        let Some(task) = job.tasks.get_mut(key.index as usize) else {
            return;
        };
        task.failures += 1;
        let factor = if on_several_workers { 1 } else { SINGLE_WORKER_FAILURE_FACTOR };
        let given_up = task.failures >= ended.max_failures.saturating_mul(factor);
        if given_up {
            self.finish(index, key, TaskState::Failed);
        } else {
            self.requeue(index, key);
        }
    }

    /// Releases the reservation of a task.
    pub(super) fn release(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(key.index as usize) else {
            return;
        };
        let Some((worker, _)) = holder(&task.state) else {
            return;
        };
        let worker = worker.clone();
        let reserved = std::mem::replace(&mut task.reserved, Resources::ZERO);
        if let Some(team) = self.index.teams.get_mut(&job.spec.team) {
            team.sub(&reserved);
            if team.is_zero() {
                self.index.teams.remove(&job.spec.team);
            }
        }
        self.change_worker(&worker, |entry| {
            if let Some(w) = entry {
                w.reserved = w.reserved.checked_sub(&reserved).unwrap_or(Resources::ZERO);
                w.tasks.remove(key);
            }
        });
    }

    /// Returns a task whose attempt is over to the queue, unless its job was
    /// cancelled or fits no worker.
    pub(super) fn requeue(&mut self, index: LogIndex, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.cancelled {
            self.finish(index, key, TaskState::Cancelled);
            return;
        }
        let Some(task) = job.tasks.get_mut(key.index as usize) else {
            return;
        };
        if !job.feasible {
            task.state = TaskState::CannotRun;
            return;
        }
        task.state = TaskState::Waiting { checkpoint: task.checkpoint.clone() };
        self.index.queue.insert(&job.spec, job.at_unix_ms, key.clone());
    }

    /// Removes a task from the queue.
    pub(super) fn dequeue(&mut self, key: &TaskKey) {
        if let Some(job) = self.jobs.get(&key.job) {
            self.index.queue.remove(&job.spec, job.at_unix_ms, key);
        }
    }

    /// Moves a task to a final state, and ends its job after the last task.
    pub(super) fn finish(&mut self, index: LogIndex, key: &TaskKey, state: TaskState) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(key.index as usize).filter(|t| !is_over(&t.state))
        else {
            return;
        };
        task.state = state;
        task.checkpoint = None;
        job.live = job.live.saturating_sub(1);
        self.index.live_tasks = self.index.live_tasks.saturating_sub(1);
        if job.live > 0 {
            return;
        }
        job.done_at = Some(index);
        job.spec.payload = Box::default();
        self.index.infeasible.remove(&key.job);
        self.index.done.insert((index, key.job.clone()));
        self.index.done_tasks += job.tasks.len();
    }

    fn task_mut(&mut self, key: &TaskKey) -> Option<&mut Task> {
        self.jobs.get_mut(&key.job)?.tasks.get_mut(key.index as usize)
    }
}
