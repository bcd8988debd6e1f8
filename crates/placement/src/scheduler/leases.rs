//! Leases of workers: granting, renewing, and counting them as expired.

use super::{Scheduler, WorkerView};
use crate::{command::Command, state::PlacementState, time::Timestamp};
use cyclamenloft_types::{BootId, WorkerId};
use std::time::{Duration, Instant};

/// The lease that this leader grants, and when its bound may sink.
#[derive(Debug)]
pub(super) struct LeaseBound {
    /// No lease that any leader granted is longer.
    agreed: Duration,
    /// Since when leases shorter than the bound are granted.
    shorter_since: Option<Instant>,
    /// No lease expires before this moment.
    next_expiry: Option<Instant>,
}

impl LeaseBound {
    pub(super) fn new(state: &PlacementState) -> Self {
        Self { agreed: state.lease_bound(), shorter_since: None, next_expiry: None }
    }

    pub(super) fn agreed(&mut self, bound: Duration) {
        self.agreed = bound;
        self.shorter_since = None;
    }

    /// Has all leases looked at again.
    pub(super) fn recheck(&mut self) {
        self.next_expiry = None;
    }
}

impl Scheduler {
    /// Length of the leases that are granted now: never above the agreed
    /// bound, since a next leader waits out just that.
    pub(super) fn granted(&self) -> Duration {
        self.policy.lease.min(self.leases.agreed)
    }

    /// When a lease renewed at `now` has surely expired.
    pub(super) fn lease_end(&self, now: Timestamp) -> Instant {
        now.instant + self.granted() + self.policy.drift_margin
    }

    /// The view of a worker's boot; a new one waits out a lease of any leader.
    pub(super) fn view(
        &mut self,
        worker: &WorkerId,
        boot: BootId,
        now: Timestamp,
    ) -> &mut WorkerView {
        let expires = now.instant + self.leases.agreed + self.policy.drift_margin;
        let last_order = self.last_order;
        let view = self
            .workers
            .entry(worker.clone())
            .or_insert_with(|| WorkerView::new(boot, now.instant, expires, last_order));
        if view.boot != boot {
            *view = WorkerView::new(boot, now.instant, expires, last_order);
        }
        view
    }

    /// Brings the agreed bound of leases in line with the policy.
    pub(super) fn lease_bound(&mut self, now: Timestamp) -> Option<Command> {
        let (wanted, bound) = (self.policy.lease, &mut self.leases);
        if wanted == bound.agreed {
            bound.shorter_since = None;
            return None;
        }
        if wanted < bound.agreed {
            // The longer leases that were granted must run out first.
            let since = *bound.shorter_since.get_or_insert(now.instant);
            if now.instant.duration_since(since) < bound.agreed + self.policy.drift_margin {
                return None;
            }
        }
        Some(Command::LeaseBound { lease_ms: wanted.as_millis() as u64 })
    }

    /// The workers whose lease has surely expired.
    pub(super) fn expired(&mut self, state: &PlacementState, now: Timestamp) -> Vec<Command> {
        if self.leases.next_expiry.is_some_and(|at| now.instant < at) {
            return Vec::new();
        }
        let known: Vec<(WorkerId, BootId)> = state
            .workers()
            .filter(|w| w.alive && !self.workers.contains_key(&w.record.id))
            .map(|w| (w.record.id.clone(), w.record.boot))
            .collect();
        for (worker, boot) in known {
            self.view(&worker, boot, now);
        }
        let again = self.leases.agreed;
        let mut commands = Vec::new();
        self.workers.retain(|id, view| {
            if view.lease_expires > now.instant {
                return true;
            }
            let Some(w) = state.worker(id).filter(|w| w.alive) else {
                return false;
            };
            let proposed = view.losing.is_some_and(|at| now.instant < at + again);
            if w.record.boot == view.boot && !proposed {
                tracing::info!(worker = %id, boot = view.boot, "lease expired");
                view.losing = Some(now.instant);
                let (worker, boot, registered) = (id.clone(), view.boot, w.registered);
                commands.push(Command::WorkerLost { worker, boot, registered });
            }
            true
        });
        let soonest = self.workers.values().map(|v| v.lease_expires.max(now.instant)).min();
        let latest = now.instant + self.granted();
        self.leases.next_expiry = Some(soonest.unwrap_or(latest).min(latest));
        commands
    }
}
