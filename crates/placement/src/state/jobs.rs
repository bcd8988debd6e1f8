//! Submission, cancellation and removal of jobs, and jobs that fit no worker.

use super::{Job, PlacementState, Task, is_over};
use crate::command::{Applied, CommandResult};
use cyclamenloft_types::{
    Error, ErrorKind, JobId, JobSpec, JobState, LogIndex, Resources, Result, TaskKey, TaskState,
    WorkerId,
};

/// Maximum number of unfinished tasks in one placement group.
pub const MAX_LIVE_TASKS: usize = 250_000;

impl PlacementState {
    /// Returns the state of a job as shown to operators.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::UnknownJob`] with the id of the job.
    pub fn job_state(&self, id: &str) -> Result<JobState> {
        let job = self
            .jobs
            .get(id)
            .ok_or_else(|| Error::new(ErrorKind::UnknownJob, format!("no job {id:?}")))?;
        let tasks = job.tasks.iter().map(|t| t.state.clone()).collect();
        Ok(JobState { spec: job.spec.clone(), tasks, reason: self.reason(job) })
    }

    fn reason(&self, job: &Job) -> Box<str> {
        if job.cancelled {
            return "cancelled".into();
        }
        if !job.feasible {
            let needs = job.spec.resources;
            return match self.largest_worker() {
                Some(largest) => {
                    format!("needs {needs} a task; the largest worker holds {largest}").into()
                }
                None => format!("needs {needs} a task; there is no worker").into(),
            };
        }
        let failed = job.tasks.iter().filter(|t| t.state == TaskState::Failed).count();
        if failed > 0 {
            let workers = job.failed_on.join(", ");
            return format!("{failed} tasks failed too often, on workers {workers}").into();
        }
        Box::default()
    }

    /// Returns the largest capacity of a single worker, ordered by CPU, then memory.
    #[must_use]
    pub fn largest_worker(&self) -> Option<Resources> {
        self.index
            .capacity_counts
            .keys()
            .next_back()
            .map(|&(cpu, mem, acc)| Resources::new(cpu, mem, acc))
    }

    /// Returns whether `need` fits into the total capacity of some worker.
    #[must_use]
    pub fn fits_some_worker(&self, need: &Resources) -> bool {
        self.index
            .capacity_counts
            .keys()
            .rev()
            .any(|&(cpu, mem, acc)| need.fits_in(&Resources::new(cpu, mem, acc)))
    }

    /// Returns the jobs that are over, in the order in which they ended.
    pub fn done_jobs(&self) -> impl Iterator<Item = &Job> {
        self.index.done.iter().filter_map(|(_, id)| self.jobs.get(id))
    }

    /// Returns the number of jobs that are over and not yet removed, and of their tasks.
    #[must_use]
    pub fn done_counts(&self) -> (usize, usize) {
        (self.index.done.len(), self.index.done_tasks)
    }

    pub(super) fn submit(&mut self, spec: &JobSpec, at_unix_ms: u64) -> CommandResult {
        let spec_hash = spec_hash(spec);
        if let Some(existing) = self.jobs.get(&spec.id) {
            if existing.spec_hash == spec_hash {
                return Ok(Applied::Already);
            }
            return Err(Error::new(
                ErrorKind::Conflict,
                format!("job {:?} already exists with a different spec", spec.id),
            ));
        }
        spec.check()?;
        if self.index.live_tasks + spec.tasks as usize > MAX_LIVE_TASKS {
            return Err(Error::new(
                ErrorKind::Overloaded,
                format!(
                    "job {:?}: {} new and {} unfinished tasks exceed the limit of {MAX_LIVE_TASKS}",
                    spec.id, spec.tasks, self.index.live_tasks
                ),
            ));
        }
        // Without any worker it is unknown whether the job will fit, so it waits.
        let feasible =
            self.index.capacity_counts.is_empty() || self.fits_some_worker(&spec.resources);
        let state = match feasible {
            true => TaskState::Waiting { checkpoint: None },
            false => TaskState::CannotRun,
        };
        let task =
            Task { state, attempt: 0, reserved: Resources::ZERO, checkpoint: None, failures: 0 };
        let job = Job {
            spec: spec.clone(),
            spec_hash,
            at_unix_ms,
            tasks: vec![task; spec.tasks as usize],
            feasible,
            cancelled: false,
            failed_on: Vec::new(),
            live: spec.tasks,
            done_at: None,
        };
        self.insert_job(job);
        Ok(Applied::Changed)
    }

    /// Adds a job and updates the indexes.
    pub(super) fn insert_job(&mut self, job: Job) {
        let id = job.spec.id.clone();
        for (index, task) in job.tasks.iter().enumerate() {
            if matches!(task.state, TaskState::Waiting { .. }) {
                let key = TaskKey { job: id.clone(), index: index as u32 };
                self.index.queue.insert(&job.spec, job.at_unix_ms, key);
            }
        }
        self.index.live_tasks += job.live as usize;
        if let Some(at) = job.done_at {
            self.index.done.insert((at, id.clone()));
            self.index.done_tasks += job.tasks.len();
        } else if !job.feasible {
            self.index.infeasible.insert(id.clone());
        }
        self.jobs.insert(id, job);
    }

    pub(super) fn cancel(&mut self, index: LogIndex, id: &JobId) -> Option<()> {
        let job = self.jobs.get_mut(id).filter(|j| !j.cancelled && j.done_at.is_none())?;
        job.cancelled = true;
        let unplaced: Vec<TaskKey> = (0..job.tasks.len() as u32)
            .zip(&job.tasks)
            .filter(|(_, t)| matches!(t.state, TaskState::Waiting { .. } | TaskState::CannotRun))
            .map(|(index, _)| TaskKey { job: id.clone(), index })
            .collect();
        for key in &unplaced {
            self.dequeue(key);
            self.finish(index, key, TaskState::Cancelled);
        }
        Some(())
    }

    /// Removes jobs that are over and workers that are lost.
    pub(super) fn remove_ended(&mut self, jobs: &[JobId], workers: &[WorkerId]) -> Applied {
        let jobs = super::apply_each(jobs, |id| self.remove_job(id));
        let workers = super::apply_each(workers, |id| self.remove_worker(id));
        if Applied::Changed == jobs { jobs } else { workers }
    }

    fn remove_job(&mut self, id: &JobId) -> Option<()> {
        let job = self.jobs.get(id)?;
        let at = job.done_at?;
        self.index.done.remove(&(at, id.clone()));
        self.index.done_tasks -= job.tasks.len();
        self.jobs.remove(id);
        Some(())
    }

    /// Records a change of a worker's capacity, and updates the jobs that now
    /// fit some worker, or no longer fit any.
    pub(super) fn change_capacity_counts(
        &mut self,
        before: Option<Resources>,
        after: Option<Resources>,
    ) {
        if before == after {
            return;
        }
        let capacity_key = |r: Resources| (r.cpu_millis, r.memory_mib, r.accelerators);
        if let Some(after) = after {
            let count = self.index.capacity_counts.entry(capacity_key(after)).or_default();
            *count += 1;
            if *count == 1 {
                self.requeue_feasible_jobs(&after);
            }
        }
        if let Some(before) = before
            && let Some(count) = self.index.capacity_counts.get_mut(&capacity_key(before))
        {
            *count -= 1;
            if *count == 0 {
                self.index.capacity_counts.remove(&capacity_key(before));
            }
        }
        // This is also needed when capacity grows: jobs that waited without any
        // worker may not fit the first one.
        self.withdraw_infeasible_jobs();
    }

    fn requeue_feasible_jobs(&mut self, capacity: &Resources) {
        let feasible: Vec<JobId> = self
            .index
            .infeasible
            .iter()
            .filter(|id| self.jobs.get(*id).is_some_and(|j| j.spec.resources.fits_in(capacity)))
            .cloned()
            .collect();
        for id in feasible {
            self.index.infeasible.remove(&id);
            self.set_feasible(&id, true);
        }
    }

    fn withdraw_infeasible_jobs(&mut self) {
        if self.index.capacity_counts.is_empty() {
            return;
        }
        let infeasible: Vec<JobId> = self
            .index
            .queue
            .groups()
            .filter(|(group, _)| !self.fits_some_worker(&group.resources))
            .flat_map(|(_, tasks)| tasks.iter().map(|(_, key)| key.job.clone()))
            .collect();
        for id in infeasible {
            if self.index.infeasible.insert(id.clone()) {
                self.set_feasible(&id, false);
            }
        }
    }

    fn set_feasible(&mut self, id: &JobId, feasible: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.feasible = feasible;
        for (index, task) in job.tasks.iter_mut().enumerate() {
            let key = TaskKey { job: id.clone(), index: index as u32 };
            match (&task.state, feasible) {
                (TaskState::CannotRun, true) => {
                    task.state = TaskState::Waiting { checkpoint: task.checkpoint.clone() };
                    self.index.queue.insert(&job.spec, job.at_unix_ms, key);
                }
                (TaskState::Waiting { .. }, false) => {
                    task.state = TaskState::CannotRun;
                    self.index.queue.remove(&job.spec, job.at_unix_ms, &key);
                }
                _ => {}
            }
        }
    }
}

/// Returns the number of tasks of a job that are not over.
pub(super) fn live_count(job: &Job) -> u32 {
    job.tasks.iter().filter(|t| !is_over(&t.state)).count() as u32
}

fn spec_hash(spec: &JobSpec) -> u64 {
    let bytes = postcard::to_stdvec(spec).expect("encoding a job spec does not fail");
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
