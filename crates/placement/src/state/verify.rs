//! A full check of the state's rules, for tests and support.

use super::{PlacementState, holder, is_over, jobs::live_count};
use cyclamenloft_types::{Resources, TaskKey, TaskState, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

type Reservations = (Resources, BTreeSet<TaskKey>);

impl PlacementState {
    /// Checks every rule by going through all workers and jobs.
    ///
    /// # Errors
    ///
    /// The first rule found broken, in words.
    pub fn verify(&self) -> Result<(), Box<str>> {
        let reservations = self.verify_jobs()?;
        for (id, worker) in &self.workers {
            let empty = (Resources::ZERO, BTreeSet::new());
            let (reserved, tasks) = reservations.get(id).unwrap_or(&empty);
            if *reserved != worker.reserved || *tasks != worker.tasks {
                return Err(format!("worker {id}: reservations differ from its tasks").into());
            }
            if !worker.alive && !tasks.is_empty() {
                return Err(format!("worker {id} is lost and holds tasks").into());
            }
            let over = worker.alive && !reserved.fits_in(&worker.record.capacity);
            if over != self.index.overcommitted.contains(id) {
                return Err(format!("worker {id}: overcommitted without being listed").into());
            }
            if let Some(free) = worker.free()
                && !self
                    .index
                    .free_capacity
                    .candidates(free, super::SearchFrom::LeastFree)
                    .any(|w| w == id)
            {
                return Err(format!("worker {id} is missing from the index of room").into());
            }
        }
        match reservations.keys().find(|id| !self.workers.contains_key(*id)) {
            Some(id) => Err(format!("worker {id} holds tasks and is unknown").into()),
            None => Ok(()),
        }
    }

    fn verify_jobs(&self) -> Result<BTreeMap<WorkerId, Reservations>, Box<str>> {
        let mut reservations: BTreeMap<WorkerId, Reservations> = BTreeMap::new();
        let mut waiting = BTreeSet::new();
        let mut live = 0;
        for (id, job) in &self.jobs {
            if job.live != live_count(job) || (job.live == 0) != job.done_at.is_some() {
                return Err(format!("job {id} miscounts its tasks").into());
            }
            for (index, task) in job.tasks.iter().enumerate() {
                let key = TaskKey { job: id.clone(), index: index as u32 };
                live += usize::from(!is_over(&task.state));
                if matches!(task.state, TaskState::Waiting { .. }) {
                    waiting.insert(key.clone());
                }
                if let Some((worker, attempt)) = holder(&task.state) {
                    if attempt != task.attempt {
                        return Err(format!("task {key} holds an old attempt").into());
                    }
                    let entry = reservations.entry(worker.clone()).or_default();
                    entry.0 = entry.0.checked_add(&task.reserved).ok_or("sum overflows")?;
                    entry.1.insert(key);
                }
            }
        }
        if waiting != self.waiting().cloned().collect() || live != self.index.live_tasks {
            return Err("the queue differs from the waiting tasks".into());
        }
        if !self.index.queue.is_consistent() {
            return Err("the queue's groups and lanes differ".into());
        }
        Ok(reservations)
    }
}
