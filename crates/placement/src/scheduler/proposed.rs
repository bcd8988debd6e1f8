//! Placements that are proposed and not committed yet.

use crate::{command::Placement, state::WorkerState, time::Timestamp};
use cyclamenloft_types::{Resources, TaskKey, WorkerId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after which a proposed placement that was not committed is dropped.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Proposed {
    worker: WorkerId,
    reserved: Resources,
    expires: Instant,
}

/// Placements that are proposed and not committed yet, so that neither a task
/// nor its room is proposed twice.
#[derive(Debug, Default)]
pub(super) struct ProposedPlacements {
    tasks: BTreeMap<TaskKey, Proposed>,
    /// Sum of the proposed reservations on each worker.
    reserved: BTreeMap<WorkerId, Resources>,
}

impl ProposedPlacements {
    pub(super) fn insert(&mut self, p: &Placement, now: Timestamp) {
        let expires = now.instant + PROPOSAL_TIMEOUT;
        let proposed = Proposed { worker: p.worker.clone(), reserved: p.reserved, expires };
        self.tasks.insert(p.task.clone(), proposed);
        let sum = self.reserved.entry(p.worker.clone()).or_default();
        *sum = sum.checked_add(&p.reserved).unwrap_or(*sum);
    }

    pub(super) fn remove(&mut self, task: &TaskKey) {
        let Some(proposed) = self.tasks.remove(task) else {
            return;
        };
        if let Some(sum) = self.reserved.get_mut(&proposed.worker) {
            *sum = sum.checked_sub(&proposed.reserved).unwrap_or_default();
            if *sum == Resources::ZERO {
                self.reserved.remove(&proposed.worker);
            }
        }
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        let expired: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, proposed)| proposed.expires <= now.instant)
            .map(|(task, _)| task.clone())
            .collect();
        for task in &expired {
            self.remove(task);
        }
    }

    pub(super) fn contains(&self, task: &TaskKey) -> bool {
        self.tasks.contains_key(task)
    }

    /// Returns the resources that are free on a worker after the proposed
    /// placements.
    pub(super) fn free(&self, worker: &WorkerState) -> Option<Resources> {
        let free = worker.free()?;
        match self.reserved.get(&worker.record.id) {
            Some(proposed) => free.checked_sub(proposed),
            None => Some(free),
        }
    }
}
