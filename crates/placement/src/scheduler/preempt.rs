//! Making room for urgent tasks and replicas of services by evicting batch.

use super::{Scheduler, eviction::Victim, round::Blocked};
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

/// Time for which freed room is kept for the task that it was freed for.
const CLAIM: Duration = Duration::from_secs(30);
/// Most workers compared to make room for one task.
const MAX_WORKERS: usize = 256;

#[derive(Debug)]
struct Claim {
    priority: Priority,
    worker: WorkerId,
    need: Resources,
    expires: Instant,
}

/// Room that is being freed for certain tasks.
#[derive(Debug, Default)]
pub(super) struct Claims(BTreeMap<TaskKey, Claim>);

impl Claims {
    pub(super) fn remove(&mut self, task: &TaskKey) {
        self.0.remove(task);
    }

    /// What a worker keeps for tasks that go before `priority`.
    pub(super) fn held_against(&self, priority: Priority, worker: &WorkerId) -> Resources {
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
    /// Evicts batch tasks for the tasks that the last round found no room for.
    pub(super) fn preemptions(
        &mut self,
        state: &PlacementState,
        now: Timestamp,
    ) -> Option<Command> {
        self.claims.expire(state, now);
        let mut evicted = Vec::new();
        for blocked in std::mem::take(&mut self.blocked) {
            if self.claims.0.contains_key(&blocked.task) {
                continue;
            }
            let Some((worker, victims)) = self.cheapest_room(state, &blocked, now) else {
                continue;
            };
            if !self.preemption_budget.take(victims.len(), self.policy.preemptions_per_hour, now) {
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
                expires: now.instant + CLAIM,
            };
            for victim in victims {
                tracing::info!(
                    target: "cyclamenloft::decision",
                    task = %victim.task, attempt = victim.attempt, worker = %claim.worker,
                    reason = "room for another task", beneficiary = %blocked.task,
                    cost_ms = victim.cost_ms, "evict"
                );
                self.evicting.insert(victim.task.clone(), now);
                evicted.push((victim.task, victim.attempt));
            }
            self.claims.0.insert(blocked.task, claim);
        }
        if evicted.is_empty() { None } else { Some(Command::Evict(evicted)) }
    }

    /// The worker on which room costs the least lost work, and what to evict.
    fn cheapest_room<'s>(
        &self,
        state: &'s PlacementState,
        blocked: &Blocked,
        now: Timestamp,
    ) -> Option<(&'s WorkerState, Vec<Victim>)> {
        state
            .workers()
            .filter(|w| w.alive && blocked.need.fits_in(&w.record.capacity))
            .filter(|w| self.quarantine.allows(&w.record.id, now))
            .take(MAX_WORKERS)
            .filter_map(|w| Some((w, self.room_on(state, w, blocked)?)))
            .min_by_key(|(_, victims)| {
                (victims.iter().map(|v| v.cost_ms).sum::<u64>(), victims.len())
            })
    }

    /// The cheapest batch tasks whose eviction makes room on a worker.
    fn room_on(
        &self,
        state: &PlacementState,
        worker: &WorkerState,
        blocked: &Blocked,
    ) -> Option<Vec<Victim>> {
        let claimed = self.claims.sum(&worker.record.id, |_| true);
        let wanted = claimed.checked_add(&blocked.need)?;
        let mut free = self.planned.free(worker)?;
        let leaving = worker.tasks.iter().filter(|key| self.leaves(state, key));
        for task in leaving.filter_map(|key| state.task(key)) {
            free = free.checked_add(&task.reserved)?;
        }
        let mut victims = Vec::new();
        for victim in self.victims(state, worker).into_iter().filter(|v| v.is_batch()) {
            if wanted.fits_in(&free) {
                break;
            }
            free = free.checked_add(&victim.reserved)?;
            victims.push(victim);
        }
        wanted.fits_in(&free).then_some(victims)
    }
}
