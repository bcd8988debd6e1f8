//! Leases of workers: their length, renewal and expiry.

use super::{Scheduler, WorkerView};
use crate::{command::Command, state::PlacementState, time::Timestamp};
use cyclamenloft_types::{BootId, WorkerId};
use std::time::{Duration, Instant};

/// The agreed bound on lease lengths, and when leases must be checked for expiry.
#[derive(Debug)]
pub(super) struct Leases {
    /// Bound in the replicated state; no lease that any leader granted is
    /// longer.
    agreed: Duration,
    /// Time since which the granted leases are shorter than the bound; `None`
    /// if they aren't.
    shorter_since: Option<Instant>,
    /// Time before which no lease expires; `None` if all leases must be
    /// checked.
    next_expiry: Option<Instant>,
}

impl Leases {
    pub(super) fn new(state: &PlacementState) -> Self {
        Self { agreed: state.lease_bound(), shorter_since: None, next_expiry: None }
    }

    pub(super) fn set_agreed(&mut self, bound: Duration) {
        self.agreed = bound;
        self.shorter_since = None;
    }

    /// Makes the next tick check all leases.
    pub(super) fn recheck(&mut self) {
        self.next_expiry = None;
    }
}

impl Scheduler {
    /// Returns the length of the leases that are granted now. It never exceeds the
    /// agreed bound, since the next leader waits for just that long.
    pub(super) fn granted_lease(&self) -> Duration {
        self.policy.lease.min(self.leases.agreed)
    }

    /// Returns the time by which a lease renewed at `now` has expired on the
    /// worker, provided that its clock deviates by at most the drift margin.
    pub(super) fn lease_expiry(&self, now: Timestamp) -> Instant {
        now.instant + self.granted_lease() + self.policy.drift_margin
    }

    /// Returns the view of a worker's boot. A new view assumes a lease of the
    /// agreed bound, since a former leader may just have granted one.
    pub(super) fn view_mut(
        &mut self,
        worker: &WorkerId,
        boot: BootId,
        now: Timestamp,
    ) -> &mut WorkerView {
        let expires = now.instant + self.leases.agreed + self.policy.drift_margin;
        let last_order_number = self.last_order_number;
        let view = self
            .workers
            .entry(worker.clone())
            .or_insert_with(|| WorkerView::new(boot, now.instant, expires, last_order_number));
        if view.boot != boot {
            *view = WorkerView::new(boot, now.instant, expires, last_order_number);
        }
        view
    }

    /// Proposes a new bound on leases if the policy's lease differs from the agreed
    /// bound.
    pub(super) fn adjust_lease_bound(&mut self, now: Timestamp) -> Option<Command> {
        let (wanted, leases) = (self.policy.lease, &mut self.leases);
        if wanted == leases.agreed {
            leases.shorter_since = None;
            return None;
        }
        if wanted < leases.agreed {
            // The longer leases that were already granted must expire first.
            let since = *leases.shorter_since.get_or_insert(now.instant);
            if now.instant.duration_since(since) < leases.agreed + self.policy.drift_margin {
                return None;
            }
        }
        Some(Command::LeaseBound { lease_ms: wanted.as_millis() as u64 })
    }

    /// Proposes the loss of workers whose lease has expired. The proposal is
    /// repeated if it is not committed within the agreed bound.
    pub(super) fn expire_leases(&mut self, state: &PlacementState, now: Timestamp) -> Vec<Command> {
        if self.leases.next_expiry.is_some_and(|at| now.instant < at) {
            return Vec::new();
        }
        let known: Vec<(WorkerId, BootId)> = state
            .workers()
            .filter(|w| w.alive && !self.workers.contains_key(&w.record.id))
            .map(|w| (w.record.id.clone(), w.record.boot))
            .collect();
        for (worker, boot) in known {
            self.view_mut(&worker, boot, now);
        }
        let repeat_after = self.leases.agreed;
        let mut commands = Vec::new();
        self.workers.retain(|id, view| {
            if view.lease_expires > now.instant {
                return true;
            }
            let Some(w) = state.worker(id).filter(|w| w.alive) else {
                return false;
            };
            let proposed = view.loss_proposed_at.is_some_and(|at| now.instant < at + repeat_after);
            if w.record.boot == view.boot && !proposed {
                tracing::info!(worker = %id, boot = view.boot, "lease expired");
                view.loss_proposed_at = Some(now.instant);
                let (worker, boot, registered) = (id.clone(), view.boot, w.registered);
                commands.push(Command::WorkerLost { worker, boot, registered });
            }
            true
        });
        let soonest = self.workers.values().map(|v| v.lease_expires.max(now.instant)).min();
        let next_check = now.instant + self.granted_lease();
        self.leases.next_expiry = Some(soonest.unwrap_or(next_check).min(next_check));
        commands
    }
}
