//! Choice of a request's target, and ejection of unhealthy targets.

use crate::{
    decision::{AttemptResult, Estimates, Permit, RequestMeta},
    ejection::EjectionCause,
    policy::ChoicePolicy,
    service::ServiceRouter,
    targets::{Target, TargetIndex, TargetSet},
};
use cyclamenloft_types::TargetId;
use rand::Rng;
use std::time::{Duration, Instant};

/// Maximum number of random draws to find two candidates, before all free
/// targets are scanned.
const MAX_DRAWS: usize = 8;
/// Time for which a due probe waits for an idempotent request before it uses a
/// request that is not idempotent.
const NON_IDEMPOTENT_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Names of the reasons for a choice, as the decision log shows them.
pub(crate) mod reason {
    pub(crate) const TWO_CHOICES: &str = "two-choices";
    pub(crate) const ONLY_CANDIDATE: &str = "only-candidate";
    pub(crate) const HEDGE: &str = "hedge";
    pub(crate) const PROBE: &str = "probe";
    pub(crate) const ROUND_ROBIN: &str = "round-robin";
    pub(crate) const LEAST_IN_FLIGHT: &str = "least-in-flight";
}

impl ServiceRouter {
    /// Chooses a target and occupies one of its slots, if any target can take
    /// the request. `since` is the time at which the request arrived.
    pub(crate) fn pick(
        &mut self,
        meta: &RequestMeta,
        avoid: &[TargetId],
        since: Instant,
        now: Instant,
    ) -> Option<Permit> {
        if let Some(i) = self.due_probe(meta, avoid, now) {
            if let Some(target) = self.targets.get_mut(i) {
                target.probing = true;
            }
            self.update_next_probe();
            return self.permit(i, meta, reason::PROBE, since, now);
        }
        let (i, reason) = self.choose(meta, avoid, now)?;
        self.permit(i, meta, reason, since, now)
    }

    /// Chooses among the targets in use according to the policy.
    pub(crate) fn choose(
        &mut self,
        meta: &RequestMeta,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<(TargetIndex, &'static str)> {
        match self.routing.choice {
            ChoicePolicy::TwoChoices => self.two_choices(meta, avoid, now),
            ChoicePolicy::RoundRobin => {
                self.round_robin(meta, avoid, now).map(|i| (i, reason::ROUND_ROBIN))
            }
            ChoicePolicy::LeastInFlight => {
                self.least_in_flight(meta, avoid, now).map(|i| (i, reason::LEAST_IN_FLIGHT))
            }
        }
    }

    /// Occupies a slot of target `i` and returns the permit for it.
    pub(crate) fn permit(
        &mut self,
        i: TargetIndex,
        meta: &RequestMeta,
        reason: &'static str,
        since: Instant,
        now: Instant,
    ) -> Option<Permit> {
        let seq = self.next_seq();
        let (deadline, floor_only) =
            (self.attempt_deadline(meta, now), self.is_floor_only(meta, now));
        let service_latency = self.median.unwrap_or_default();
        let target = self.targets.get(i)?;
        let permit = Permit {
            target: target.record.id.clone(),
            addr: target.record.addr,
            reason,
            since: now,
            deadline,
            estimates: Estimates {
                wait: now.saturating_duration_since(since),
                in_flight: u32::from(target.occupied()),
                share: u32::from(target.allowance.total),
                ewma: Duration::from_secs_f64(target.latency(service_latency, now)),
            },
            seq,
            probe: reason == reason::PROBE,
            floor_only,
        };
        self.targets.occupy(i, floor_only, now);
        self.refresh(i, now);
        Some(permit)
    }

    /// Returns whether target `i` has a slot for the request now.
    fn can_take(
        &self,
        i: TargetIndex,
        meta: &RequestMeta,
        avoid: &[TargetId],
        now: Instant,
    ) -> bool {
        let floor_only = self.is_floor_only(meta, now);
        self.targets.get(i).is_some_and(|t| {
            t.usable(now) && t.has_slot(floor_only) && !avoid.contains(&t.record.id)
        })
    }

    fn two_choices(
        &mut self,
        meta: &RequestMeta,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<(TargetIndex, &'static str)> {
        let count = self.targets.free().len();
        let mut first = None;
        for _ in 0..MAX_DRAWS.min(count * 4) {
            let drawn = self.targets.free()[self.rng.random_range(0..count)];
            if first == Some(drawn) || !self.can_take(drawn, meta, avoid, now) {
                continue;
            }
            match first {
                None => first = Some(drawn),
                Some(other) => return Some((self.cheaper(other, drawn, now), reason::TWO_CHOICES)),
            }
        }
        let fallback = || {
            let free = self.targets.free().iter().copied();
            free.into_iter().find(|i| self.can_take(*i, meta, avoid, now))
        };
        Some((first.or_else(fallback)?, reason::ONLY_CANDIDATE))
    }

    fn cheaper(&self, a: TargetIndex, b: TargetIndex, now: Instant) -> TargetIndex {
        let service_latency = self.median.unwrap_or_default();
        let cost = |i| self.targets.get(i).map_or(f64::INFINITY, |t| t.cost(service_latency, now));
        if cost(b) < cost(a) { b } else { a }
    }

    fn round_robin(
        &mut self,
        meta: &RequestMeta,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<TargetIndex> {
        let order = self.targets.order();
        let from = (0, self.round_robin_next);
        let mut candidates = order.range(from..).chain(order.range(..from)).map(|(_, i)| *i);
        let i = candidates.find(|i| self.can_take(*i, meta, avoid, now))?;
        self.round_robin_next = i + 1;
        Some(i)
    }

    fn least_in_flight(
        &self,
        meta: &RequestMeta,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<TargetIndex> {
        let mut candidates = self.targets.order().iter().map(|(_, i)| *i);
        candidates.find(|i| self.can_take(*i, meta, avoid, now))
    }

    /// Returns an ejected target whose probe is due and may use this request.
    fn due_probe(
        &self,
        meta: &RequestMeta,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<TargetIndex> {
        if self.next_probe.is_none_or(|t| t > now) {
            return None;
        }
        let delay = if meta.idempotent { Duration::ZERO } else { NON_IDEMPOTENT_PROBE_DELAY };
        let due = |i: &TargetIndex| self.probe_due_at(*i).is_some_and(|t| t + delay <= now);
        self.ejected.iter().copied().filter(due).find(|i| self.can_take(*i, meta, avoid, now))
    }

    /// Returns whether a probe of an ejected target is due.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        self.next_probe.is_some_and(|t| t <= now)
            && self.ejected.iter().any(|i| self.probe_due_at(*i).is_some_and(|t| t <= now))
    }

    /// Returns the time from which ejected target `i` may be probed, or `None`
    /// while it has a probe or other requests in flight.
    fn probe_due_at(&self, i: TargetIndex) -> Option<Instant> {
        let idle = |t: &&Target| !t.probing && t.in_flight == 0;
        self.targets.get(i).filter(idle)?.health.probe_at()
    }

    fn update_next_probe(&mut self) {
        let waiting = self.ejected.iter().filter_map(|i| self.targets.get(*i));
        self.next_probe = waiting.filter(|t| !t.probing).filter_map(|t| t.health.probe_at()).min();
    }

    /// Updates the target's health with the result of an attempt. The target may
    /// be ejected or put back into use.
    pub(crate) fn update_health(
        &mut self,
        i: TargetIndex,
        probe: bool,
        result: &AttemptResult,
        now: Instant,
    ) {
        let median = self.median;
        let Some(target) = self.targets.get_mut(i) else { return };
        if probe {
            target.probing = false;
            if target.health.is_ejected() && target.health.observe_probe(result, median, now) {
                target.slow_start(now);
                self.ejected.retain(|e| *e != i);
            }
            self.update_next_probe();
            return;
        }
        target.health.observe(result, now);
        if self.routing.choice != ChoicePolicy::TwoChoices || target.health.is_ejected() {
            return;
        }
        let Some(cause) = target.health.ejection_cause(median) else { return };
        if !self.eject(i, cause, now) && cause == EjectionCause::ConsecutiveFailures {
            self.pause(i, now);
        }
    }

    /// Ejects a target unless that would exceed the cap. Returns whether the target
    /// was ejected.
    fn eject(&mut self, i: TargetIndex, cause: EjectionCause, now: Instant) -> bool {
        if self.ejected_usable(now).count() >= self.max_ejected() {
            return false;
        }
        let Some(target) = self.targets.get_mut(i) else { return false };
        target.health.eject(cause, now);
        tracing::info!(target = %target.record.id, ?cause, "target ejected");
        self.ejected.push(i);
        self.update_next_probe();
        true
    }

    /// Pauses a target for a short time, provided that half of all targets stay
    /// in use.
    fn pause(&mut self, i: TargetIndex, now: Instant) {
        let out = self.ejected_usable(now).count() + self.paused.len();
        if out >= self.targets.usable() as usize / 2 {
            return;
        }
        if let Some(target) = self.targets.get_mut(i) {
            self.paused.push_back((target.health.pause(now), i));
        }
    }

    /// Puts the targets whose pause has ended back into use.
    pub(crate) fn end_pauses(&mut self, now: Instant) {
        // All pauses are of the same length, so they end in order.
        while let Some((_, i)) = self.paused.pop_front_if(|(until, _)| *until <= now) {
            self.refresh(i, now);
        }
    }

    /// Returns how many targets may be ejected at once.
    fn max_ejected(&self) -> usize {
        if self.routing.choice != ChoicePolicy::TwoChoices {
            return 0;
        }
        let percent = usize::from(self.routing.max_ejected_percent.min(100));
        self.targets.usable() as usize * percent / 100
    }

    /// Returns the ejected targets that are neither leaving nor expired.
    fn ejected_usable(&self, now: Instant) -> impl Iterator<Item = TargetIndex> {
        let usable = move |i: &TargetIndex| self.targets.get(*i).is_some_and(|t| t.usable(now));
        self.ejected.iter().copied().filter(usable)
    }

    /// Puts targets back into use while more are ejected than the cap allows, in
    /// the order in which they were ejected.
    pub(crate) fn enforce_ejection_cap(&mut self, now: Instant) {
        let excess = self.ejected_usable(now).count().saturating_sub(self.max_ejected());
        let returning: Vec<_> = self.ejected_usable(now).take(excess).collect();
        for i in returning {
            self.ejected.retain(|e| *e != i);
            if let Some(target) = self.targets.get_mut(i) {
                target.health.restore(now);
                target.slow_start(now);
            }
            self.refresh(i, now);
        }
        self.update_next_probe();
    }
}

/// Returns the median of the mean latencies of the targets in use, in seconds.
pub(crate) fn median_latency(targets: &TargetSet) -> Option<f64> {
    let in_use = targets.iter().filter(|t| !t.health.is_ejected());
    let mut means: Vec<f64> = in_use.filter_map(|t| t.health.mean_latency()).collect();
    if means.is_empty() {
        return None;
    }
    let middle = (means.len() - 1) / 2;
    Some(*means.select_nth_unstable_by(middle, f64::total_cmp).1)
}
