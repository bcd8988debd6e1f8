//! Which target a request goes to, and which targets are out of use.

use crate::{
    decision::{AttemptResult, Estimates, Permit, RequestFacts},
    ejection::EjectionCause,
    policy::ChoicePolicy,
    service::ServiceRouter,
    targets::{Target, TargetIndex, TargetSet},
};
use cyclamenloft_types::TargetId;
use rand::Rng;
use std::time::{Duration, Instant};

/// Random draws for two candidates before all free targets are looked at.
const MAX_DRAWS: usize = 8;
/// How long a due probe waits for an idempotent request before it takes any.
const PROBE_PATIENCE: Duration = Duration::from_secs(1);

/// Names of the reasons that decisions carry.
pub(crate) mod reason {
    pub(crate) const TWO_CHOICES: &str = "two-choices";
    pub(crate) const ONLY_CANDIDATE: &str = "only-candidate";
    pub(crate) const HEDGE: &str = "hedge";
    pub(crate) const PROBE: &str = "probe";
    pub(crate) const ROUND_ROBIN: &str = "round-robin";
    pub(crate) const LEAST_IN_FLIGHT: &str = "least-in-flight";
}

impl ServiceRouter {
    /// Occupies a slot for the request, if a target can take it. `since` is
    /// when the request came.
    pub(crate) fn pick(
        &mut self,
        facts: &RequestFacts,
        avoid: &[TargetId],
        since: Instant,
        now: Instant,
    ) -> Option<Permit> {
        if let Some(i) = self.due_probe(facts, avoid, now) {
            if let Some(target) = self.targets.get_mut(i) {
                target.probing = true;
            }
            self.note_next_probe();
            return self.permit(i, facts, reason::PROBE, since, now);
        }
        let (i, reason) = self.choose(facts, avoid, now)?;
        self.permit(i, facts, reason, since, now)
    }

    /// Chooses among the targets in use, as the policy says.
    pub(crate) fn choose(
        &mut self,
        facts: &RequestFacts,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<(TargetIndex, &'static str)> {
        match self.routing.choice {
            ChoicePolicy::TwoChoices => self.two_choices(facts, avoid, now),
            ChoicePolicy::RoundRobin => {
                self.in_turn(facts, avoid, now).map(|i| (i, reason::ROUND_ROBIN))
            }
            ChoicePolicy::LeastInFlight => {
                self.least(facts, avoid, now).map(|i| (i, reason::LEAST_IN_FLIGHT))
            }
        }
    }

    /// Occupies a slot of target `i`.
    pub(crate) fn permit(
        &mut self,
        i: TargetIndex,
        facts: &RequestFacts,
        reason: &'static str,
        since: Instant,
        now: Instant,
    ) -> Option<Permit> {
        let seq = self.next_seq();
        let (deadline, long) = (self.attempt_deadline(facts, now), self.is_long(facts, now));
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
            long,
        };
        self.targets.take(i, long, now);
        self.refresh(i, now);
        Some(permit)
    }

    /// Whether target `i` has a slot for the request now.
    fn can_take(
        &self,
        i: TargetIndex,
        facts: &RequestFacts,
        avoid: &[TargetId],
        now: Instant,
    ) -> bool {
        let long = self.is_long(facts, now);
        self.targets
            .get(i)
            .is_some_and(|t| t.usable(now) && t.has_slot(long) && !avoid.contains(&t.record.id))
    }

    fn two_choices(
        &mut self,
        facts: &RequestFacts,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<(TargetIndex, &'static str)> {
        let count = self.targets.free().len();
        let mut first = None;
        for _ in 0..MAX_DRAWS.min(count * 4) {
            let drawn = self.targets.free()[self.rng.random_range(0..count)];
            if first == Some(drawn) || !self.can_take(drawn, facts, avoid, now) {
                continue;
            }
            match first {
                None => first = Some(drawn),
                Some(other) => return Some((self.cheaper(other, drawn, now), reason::TWO_CHOICES)),
            }
        }
        let fallback = || {
            let free = self.targets.free().iter().copied();
            free.into_iter().find(|i| self.can_take(*i, facts, avoid, now))
        };
        Some((first.or_else(fallback)?, reason::ONLY_CANDIDATE))
    }

    fn cheaper(&self, a: TargetIndex, b: TargetIndex, now: Instant) -> TargetIndex {
        let service_latency = self.median.unwrap_or_default();
        let cost = |i| self.targets.get(i).map_or(f64::INFINITY, |t| t.cost(service_latency, now));
        if cost(b) < cost(a) { b } else { a }
    }

    fn in_turn(
        &mut self,
        facts: &RequestFacts,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<TargetIndex> {
        let order = self.targets.order();
        let from = (0, self.turn);
        let mut candidates = order.range(from..).chain(order.range(..from)).map(|(_, i)| *i);
        let i = candidates.find(|i| self.can_take(*i, facts, avoid, now))?;
        self.turn = i + 1;
        Some(i)
    }

    fn least(&self, facts: &RequestFacts, avoid: &[TargetId], now: Instant) -> Option<TargetIndex> {
        let mut candidates = self.targets.order().iter().map(|(_, i)| *i);
        candidates.find(|i| self.can_take(*i, facts, avoid, now))
    }

    /// An ejected target whose probe is due and may be this request.
    fn due_probe(
        &self,
        facts: &RequestFacts,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<TargetIndex> {
        if self.next_probe.is_none_or(|t| t > now) {
            return None;
        }
        let patience = if facts.idempotent { Duration::ZERO } else { PROBE_PATIENCE };
        let due = |i: &TargetIndex| self.probe_due_at(*i).is_some_and(|t| t + patience <= now);
        self.ejected.iter().copied().filter(due).find(|i| self.can_take(*i, facts, avoid, now))
    }

    /// Whether an ejected target waits for a probe.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        self.next_probe.is_some_and(|t| t <= now)
            && self.ejected.iter().any(|i| self.probe_due_at(*i).is_some_and(|t| t <= now))
    }

    /// From when a probe may go to ejected target `i`; none while it has
    /// anything in flight.
    fn probe_due_at(&self, i: TargetIndex) -> Option<Instant> {
        let idle = |t: &&Target| !t.probing && t.in_flight == 0;
        self.targets.get(i).filter(idle)?.health.probe_at()
    }

    fn note_next_probe(&mut self) {
        let waiting = self.ejected.iter().filter_map(|i| self.targets.get(*i));
        self.next_probe = waiting.filter(|t| !t.probing).filter_map(|t| t.health.probe_at()).min();
    }

    /// Takes the result of an attempt into the target's health, and ejects the
    /// target or puts it back.
    pub(crate) fn judge(
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
            self.note_next_probe();
            return;
        }
        target.health.observe(result, now);
        if self.routing.choice != ChoicePolicy::TwoChoices || target.health.is_ejected() {
            return;
        }
        let Some(cause) = target.health.fault(median) else { return };
        if !self.eject(i, cause, now) && cause == EjectionCause::ConsecutiveFailures {
            self.pause(i, now);
        }
    }

    /// Puts a target out of use, unless that exceeds the cap.
    fn eject(&mut self, i: TargetIndex, cause: EjectionCause, now: Instant) -> bool {
        if self.ejected_usable(now).count() >= self.max_ejected() {
            return false;
        }
        let Some(target) = self.targets.get_mut(i) else { return false };
        target.health.eject(cause, now);
        tracing::info!(target = %target.record.id, ?cause, "target ejected");
        self.ejected.push(i);
        self.note_next_probe();
        true
    }

    /// Keeps requests away from a target for a moment, as long as half of all
    /// targets stay in use.
    fn pause(&mut self, i: TargetIndex, now: Instant) {
        let out = self.ejected_usable(now).count() + self.paused.len();
        if out >= self.targets.usable() as usize / 2 {
            return;
        }
        if let Some(target) = self.targets.get_mut(i) {
            self.paused.push_back((target.health.pause(now), i));
        }
    }

    /// Lets requests go to the targets whose pause has ended.
    pub(crate) fn end_pauses(&mut self, now: Instant) {
        // All pauses are of the same length, so they end in order.
        while let Some((_, i)) = self.paused.pop_front_if(|(until, _)| *until <= now) {
            self.refresh(i, now);
        }
    }

    /// Most targets that may be out of use at once.
    fn max_ejected(&self) -> usize {
        if self.routing.choice != ChoicePolicy::TwoChoices {
            return 0;
        }
        let percent = usize::from(self.routing.max_ejected_percent.min(100));
        self.targets.usable() as usize * percent / 100
    }

    /// Ejected targets that would be usable otherwise.
    fn ejected_usable(&self, now: Instant) -> impl Iterator<Item = TargetIndex> {
        let usable = move |i: &TargetIndex| self.targets.get(*i).is_some_and(|t| t.usable(now));
        self.ejected.iter().copied().filter(usable)
    }

    /// Puts targets back into use while more are out than the cap allows, those
    /// ejected first before the others.
    pub(crate) fn enforce_ejection_cap(&mut self, now: Instant) {
        let over = self.ejected_usable(now).count().saturating_sub(self.max_ejected());
        let returning: Vec<_> = self.ejected_usable(now).take(over).collect();
        for i in returning {
            self.ejected.retain(|e| *e != i);
            if let Some(target) = self.targets.get_mut(i) {
                target.health.restore(now);
                target.slow_start(now);
            }
            self.refresh(i, now);
        }
        self.note_next_probe();
    }
}

/// Median of the mean latencies of the targets in use, in seconds.
pub(crate) fn median_latency(targets: &TargetSet) -> Option<f64> {
    let in_use = targets.iter().filter(|t| !t.health.is_ejected());
    let mut means: Vec<f64> = in_use.filter_map(|t| t.health.mean_latency()).collect();
    if means.is_empty() {
        return None;
    }
    let middle = (means.len() - 1) / 2;
    Some(*means.select_nth_unstable_by(middle, f64::total_cmp).1)
}
