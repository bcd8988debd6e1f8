//! Choice of the tasks to evict, by the cost of evicting them.

use super::{Scheduler, view::WorkerView};
use crate::{
    command::Command,
    state::{PlacementState, WorkerState},
    time::Timestamp,
};
use cyclamenloft_types::{AttemptNumber, Priority, Resources, TaskKey, TaskState};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after which a proposed eviction that was not committed is dropped.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Progress from which a task counts as near its end.
const NEAR_END_PERCENT: u8 = 85;
/// Cost of evicting a task that is near its end, in addition to its unsaved work.
const NEAR_END_COST_MS: u64 = 30 * 60 * 1000;
/// Cost of evicting a replica of a service.
const SERVICE_COST_MS: u64 = 24 * 60 * 60 * 1000;

/// A task that could be evicted.
#[derive(Clone, Debug)]
pub(super) struct EvictionCandidate {
    pub(super) task: TaskKey,
    pub(super) attempt: AttemptNumber,
    pub(super) reserved: Resources,
    priority: Priority,
    /// Expected cost of the eviction, in milliseconds of lost work.
    pub(super) cost_ms: u64,
}

impl EvictionCandidate {
    pub(super) fn is_batch(&self) -> bool {
        self.priority == Priority::Batch
    }
}

/// Evictions that are proposed and not committed yet.
#[derive(Debug, Default)]
pub(super) struct ProposedEvictions(BTreeMap<TaskKey, Instant>);

impl ProposedEvictions {
    pub(super) fn insert(&mut self, task: TaskKey, now: Timestamp) {
        self.0.insert(task, now.instant + PROPOSAL_TIMEOUT);
    }

    pub(super) fn remove(&mut self, task: &TaskKey) {
        self.0.remove(task);
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.0.retain(|_, expires| *expires > now.instant);
    }

    pub(super) fn contains(&self, task: &TaskKey) -> bool {
        self.0.contains_key(task)
    }
}

impl Scheduler {
    /// Returns the tasks of a worker that could be evicted, cheapest first.
    pub(super) fn eviction_candidates(
        &self,
        state: &PlacementState,
        worker: &WorkerState,
    ) -> Vec<EvictionCandidate> {
        let view = self.workers.get(&worker.record.id);
        let mut candidates: Vec<EvictionCandidate> = worker
            .tasks
            .iter()
            .filter(|key| !self.proposed_evictions.contains(key))
            .filter_map(|key| {
                let job = state.job(&key.job).filter(|j| !j.cancelled)?;
                let task = job.tasks.get(key.index as usize)?;
                let TaskState::Placed { attempt, .. } = task.state else {
                    return None;
                };
                let cost_ms = cost_ms(view, key, job.spec.priority)?;
                let (reserved, priority) = (task.reserved, job.spec.priority);
                Some(EvictionCandidate { task: key.clone(), attempt, reserved, priority, cost_ms })
            })
            .collect();
        candidates.sort_by(|a, b| (a.cost_ms, &a.task).cmp(&(b.cost_ms, &b.task)));
        candidates
    }

    /// Evicts tasks from workers whose capacity is below what is reserved on them.
    pub(super) fn evict_surplus(
        &mut self,
        state: &PlacementState,
        now: Timestamp,
    ) -> Option<Command> {
        self.proposed_evictions.expire(now);
        let mut evicted = Vec::new();
        for worker in state.overcommitted() {
            let leaving = worker.tasks.iter().filter(|key| self.is_leaving(state, key));
            let mut remaining =
                leaving.filter_map(|key| state.task(key)).fold(worker.reserved, |sum, task| {
                    sum.checked_sub(&task.reserved).unwrap_or_default()
                });
            for candidate in self.eviction_candidates(state, worker) {
                if remaining.fits_in(&worker.record.capacity) {
                    break;
                }
                remaining = remaining.checked_sub(&candidate.reserved).unwrap_or_default();
                tracing::info!(
                    target: "cyclamenloft::decision",
                    task = %candidate.task, attempt = candidate.attempt, worker = %worker.record.id,
                    reason = "capacity shrank", cost_ms = candidate.cost_ms, "evict"
                );
                self.proposed_evictions.insert(candidate.task.clone(), now);
                evicted.push((candidate.task, candidate.attempt));
            }
        }
        if evicted.is_empty() { None } else { Some(Command::Evict(evicted)) }
    }

    /// Returns whether a task is being evicted or cancelled.
    pub(super) fn is_leaving(&self, state: &PlacementState, key: &TaskKey) -> bool {
        let ordered = || {
            let job = state.job(&key.job)?;
            let task = job.tasks.get(key.index as usize)?;
            Some(job.cancelled || matches!(task.state, TaskState::Evicting { .. }))
        };
        self.proposed_evictions.contains(key) || ordered().unwrap_or(false)
    }
}

/// Returns the cost of evicting a task, or `None` for an urgent task, which is
/// never evicted.
fn cost_ms(view: Option<&WorkerView>, key: &TaskKey, priority: Priority) -> Option<u64> {
    let last = view.and_then(|v| v.running.get(key)).map(|r| &r.last);
    let unsaved_ms = last.map_or(0, |l| l.unsaved_ms);
    let near_end = last.and_then(|l| l.progress_percent).is_some_and(|p| p >= NEAR_END_PERCENT);
    let extra = if near_end { NEAR_END_COST_MS } else { 0 };
    match priority {
        Priority::Urgent => None,
        Priority::Service => Some(unsaved_ms.saturating_add(SERVICE_COST_MS)),
        Priority::Batch => Some(unsaved_ms.saturating_add(extra)),
    }
}
