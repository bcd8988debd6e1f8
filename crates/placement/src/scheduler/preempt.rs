//! Preemption: evicts batch tasks to make room for urgent tasks and replicas of
//! services.

use super::{Scheduler, eviction::EvictionCandidate, round::BlockedTask};
use crate::{
    command::Command,
    state::{PlacementState, WorkerState},
    time::Timestamp,
};
use cyclamenloft_types::{Priority, Resources, TaskKey, WorkerId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time for which freed room is reserved for the task that it was freed for.
const CLAIM_TTL: Duration = Duration::from_secs(30);
/// Limit on the workers compared to make room for one task.
const MAX_COMPARED_WORKERS: usize = 256;

/// Room on a worker that is reserved for a waiting task.
#[derive(Debug)]
struct Claim {
    priority: Priority,
    worker: WorkerId,
    need: Resources,
    expires: Instant,
}

/// The claims of waiting tasks on room that is being freed for them.
#[derive(Debug, Default)]
pub(super) struct Claims(BTreeMap<TaskKey, Claim>);

impl Claims {
    pub(super) fn remove(&mut self, task: &TaskKey) {
        self.0.remove(task);
    }

    /// Returns the resources claimed on a worker by tasks of a priority above
    /// `priority`.
    pub(super) fn reserved_above(&self, priority: Priority, worker: &WorkerId) -> Resources {
        self.sum(worker, |claim| claim.priority > priority)
    }

    fn sum(&self, worker: &WorkerId, counts: impl Fn(&Claim) -> bool) -> Resources {
        let claims = self.0.values().filter(|c| c.worker == *worker && counts(c));
        claims.fold(Resources::ZERO, |sum, c| sum.checked_add(&c.need).unwrap_or(sum))
    }

    fn expire(&mut self, state: &PlacementState, now: Timestamp) {
        self.0.retain(|task, claim| {
            let waits = state
                .task(task)
                .is_some_and(|t| matches!(t.state, cyclamenloft_types::TaskState::Waiting { .. }));
            waits && claim.expires > now.instant
        });
    }
}

impl Scheduler {
    /// Evicts batch tasks to make room for the tasks that the last round found no
    /// room for.
    pub(super) fn preempt(&mut self, state: &PlacementState, now: Timestamp) -> Option<Command> {
        self.claims.expire(state, now);
        let mut evicted = Vec::new();
        for blocked in std::mem::take(&mut self.blocked) {
            if self.claims.0.contains_key(&blocked.task) {
                continue;
            }
            let Some((worker, candidates)) = self.cheapest_preemption(state, &blocked, now) else {
                continue;
            };
            if !self.preemption_budget.try_spend(
                candidates.len(),
                self.policy.preemptions_per_hour,
                now,
            ) {
                tracing::info!(
                    target: "cyclamenloft::decision",
                    task = %blocked.task, reason = "the hour's preemptions are used up", "refuse"
                );
                break;
            }
            let claim = Claim {
                priority: blocked.priority,
                worker: worker.record.id.clone(),
                need: blocked.need,
                expires: now.instant + CLAIM_TTL,
            };
            for candidate in candidates {
                tracing::info!(
                    target: "cyclamenloft::decision",
                    task = %candidate.task, attempt = candidate.attempt, worker = %claim.worker,
                    reason = "room for another task", beneficiary = %blocked.task,
                    cost_ms = candidate.cost_ms, "evict"
                );
                self.proposed_evictions.insert(candidate.task.clone(), now);
                evicted.push((candidate.task, candidate.attempt));
            }
            self.claims.0.insert(blocked.task, claim);
        }
        if evicted.is_empty() { None } else { Some(Command::Evict(evicted)) }
    }

    /// Returns the worker on which making room loses the least work, and the
    /// tasks to evict from it.
    fn cheapest_preemption<'s>(
        &self,
        state: &'s PlacementState,
        blocked: &BlockedTask,
        now: Timestamp,
    ) -> Option<(&'s WorkerState, Vec<EvictionCandidate>)> {
        state
            .workers()
            .filter(|w| w.alive && blocked.need.fits_in(&w.record.capacity))
            .filter(|w| self.quarantine.allows(&w.record.id, now))
            .take(MAX_COMPARED_WORKERS)
            .filter_map(|w| Some((w, self.evictions_on(state, w, blocked)?)))
            .min_by_key(|(_, candidates)| {
                (candidates.iter().map(|v| v.cost_ms).sum::<u64>(), candidates.len())
            })
    }

    /// Returns batch tasks to evict, in ascending order of cost, until the
    /// blocked task fits on the worker. Returns `None` if it doesn't fit even
    /// without them.
    fn evictions_on(
        &self,
        state: &PlacementState,
        worker: &WorkerState,
        blocked: &BlockedTask,
    ) -> Option<Vec<EvictionCandidate>> {
        let claimed = self.claims.sum(&worker.record.id, |_| true);
        let needed = claimed.checked_add(&blocked.need)?;
        let mut free = self.proposed_placements.free(worker)?;
        let leaving = worker.tasks.iter().filter(|key| self.is_leaving(state, key));
        for task in leaving.filter_map(|key| state.task(key)) {
            free = free.checked_add(&task.reserved)?;
        }
        let mut candidates = Vec::new();
        for candidate in
            self.eviction_candidates(state, worker).into_iter().filter(|v| v.is_batch())
        {
            if needed.fits_in(&free) {
                break;
            }
            free = free.checked_add(&candidate.reserved)?;
            candidates.push(candidate);
        }
        needed.fits_in(&free).then_some(candidates)
    }
}
