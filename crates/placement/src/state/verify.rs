//! A full check of the state's invariants, for tests and support.

use super::{PlacementState, holder, is_over, jobs::live_count};
use cyclamenloft_types::{Resources, TaskKey, TaskState, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// The sum of the reservations on a worker, and the tasks that hold them.
type Reservations = (Resources, BTreeSet<TaskKey>);

impl PlacementState {
    /// Checks every invariant by iterating over all workers and jobs.
    ///
    /// # Errors
    ///
    /// Returns a description of the first violation found.
    pub fn verify(&self) -> Result<(), Box<str>> {
        let reservations = self.verify_jobs()?;
        for (id, worker) in &self.workers {
            let empty = (Resources::ZERO, BTreeSet::new());
            let (reserved, tasks) = reservations.get(id).unwrap_or(&empty);
            if *reserved != worker.reserved || *tasks != worker.tasks {
                return Err(
                    format!("worker {id}: reservations differ from those of its tasks").into()
                );
            }
            if !worker.alive && !tasks.is_empty() {
                return Err(format!("worker {id} is lost but has tasks").into());
            }
            let overcommitted = worker.alive && !reserved.fits_in(&worker.record.capacity);
            if overcommitted != self.index.overcommitted.contains(id) {
                return Err(format!("worker {id}: index of overcommitted workers is wrong").into());
            }
            if let Some(free) = worker.free()
                && !self
                    .index
                    .free_capacity
                    .candidates(free, super::SearchFrom::LeastFree)
                    .any(|w| w == id)
            {
                return Err(
                    format!("worker {id} is missing from the index of free capacity").into()
                );
            }
        }
        match reservations.keys().find(|id| !self.workers.contains_key(*id)) {
            Some(id) => Err(format!("worker {id} has tasks but is not registered").into()),
            None => Ok(()),
        }
    }

    fn verify_jobs(&self) -> Result<BTreeMap<WorkerId, Reservations>, Box<str>> {
        let mut reservations: BTreeMap<WorkerId, Reservations> = BTreeMap::new();
        let mut waiting = BTreeSet::new();
        let mut live = 0;
        for (id, job) in &self.jobs {
            if job.live != live_count(job) || (job.live == 0) != job.done_at.is_some() {
                return Err(format!("job {id}: wrong count of unfinished tasks").into());
            }
            for (index, task) in job.tasks.iter().enumerate() {
                let key = TaskKey { job: id.clone(), index: index as u32 };
                live += usize::from(!is_over(&task.state));
                if matches!(task.state, TaskState::Waiting { .. }) {
                    waiting.insert(key.clone());
                }
                if let Some((worker, attempt)) = holder(&task.state) {
                    if attempt != task.attempt {
                        return Err(format!(
                            "task {key}: its reservation belongs to an old attempt"
                        )
                        .into());
                    }
                    let entry = reservations.entry(worker.clone()).or_default();
                    entry.0 = entry
                        .0
                        .checked_add(&task.reserved)
                        .ok_or("sum of reservations overflows")?;
                    entry.1.insert(key);
                }
            }
        }
        if waiting != self.waiting().cloned().collect() || live != self.index.live_tasks {
            return Err(
                "the queue or the count of unfinished tasks differs from the task states".into()
            );
        }
        if !self.index.queue.is_consistent() {
            return Err("groups, team queues and counts of the queue disagree".into());
        }
        Ok(reservations)
    }
}
