//! Placements: the queue in its order, and a worker for each task.

use super::Scheduler;
use crate::{
    command::{Command, Placement},
    state::{PlacementState, SearchFrom, WorkerState},
    time::Timestamp,
};
use cyclamenloft_types::{Priority, Resources, TaskKey, WorkerId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Most tasks placed by one log entry.
const MAX_BATCH: usize = 256;
/// Time after which a proposed placement that was not committed counts as void.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Placements that were proposed and not committed yet.
#[derive(Debug, Default)]
pub(super) struct Planned {
    tasks: BTreeMap<TaskKey, (WorkerId, Resources, Instant)>,
    reserved: BTreeMap<WorkerId, Resources>,
}

impl Planned {
    pub(super) fn insert(&mut self, p: &Placement, now: Timestamp) {
        let expires = now.instant + PROPOSAL_TIMEOUT;
        let planned = (p.worker.clone(), p.reserved, expires);
        self.tasks.insert(p.task.clone(), planned);
        let sum = self.reserved.entry(p.worker.clone()).or_default();
        *sum = sum.checked_add(&p.reserved).unwrap_or(*sum);
    }

    pub(super) fn remove(&mut self, task: &TaskKey) {
        let Some((worker, reserved, _)) = self.tasks.remove(task) else {
            return;
        };
        if let Some(sum) = self.reserved.get_mut(&worker) {
            *sum = sum.checked_sub(&reserved).unwrap_or_default();
            if *sum == Resources::ZERO {
                self.reserved.remove(&worker);
            }
        }
    }

    fn expire(&mut self, now: Timestamp) {
        let void: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, (_, _, expires))| *expires <= now.instant)
            .map(|(task, _)| task.clone())
            .collect();
        for task in &void {
            self.remove(task);
        }
    }

    pub(super) fn contains(&self, task: &TaskKey) -> bool {
        self.tasks.contains_key(task)
    }

    /// What is free on a worker besides the proposed placements.
    pub(super) fn free(&self, worker: &WorkerState) -> Option<Resources> {
        let free = worker.free()?;
        match self.reserved.get(&worker.record.id) {
            Some(planned) => free.checked_sub(planned),
            None => Some(free),
        }
    }
}

impl Scheduler {
    /// Places waiting tasks.
    pub(super) fn placements(&mut self, state: &PlacementState, now: Timestamp) -> Option<Command> {
        self.planned.expire(now);
        self.retry_at.retain(|_, at| *at > now.instant);
        let mut placements = Vec::new();
        for priority in [Priority::Urgent, Priority::Service, Priority::Batch] {
            for (_, lane) in state.lanes(priority) {
                for (_, number) in lane {
                    self.place_group(state, *number, &mut placements, now);
                }
            }
        }
        if placements.is_empty() { None } else { Some(Command::Place(placements)) }
    }

    fn place_group(
        &mut self,
        state: &PlacementState,
        number: u32,
        placements: &mut Vec<Placement>,
        now: Timestamp,
    ) {
        let Some((group, tasks)) = state.group(number) else {
            return;
        };
        for (_, key) in tasks {
            if placements.len() >= MAX_BATCH {
                return;
            }
            if self.planned.contains(key) || self.retry_at.contains_key(key) {
                continue;
            }
            let Some(task) = state.task(key) else {
                continue;
            };
            let need = group.resources;
            let fits = |w: &&WorkerState| self.planned.free(w).is_some_and(|f| need.fits_in(&f));
            let Some(worker) = state.candidates(need, SearchFrom::Tightest).find(fits) else {
                return;
            };
            let placement = Placement {
                task: key.clone(),
                attempt: task.attempt + 1,
                worker: worker.record.id.clone(),
                boot: worker.record.boot,
                reserved: need,
            };
            self.planned.insert(&placement, now);
            placements.push(placement);
        }
    }
}
