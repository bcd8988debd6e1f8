//! Admission control: which requests are queued, in which order, and which are
//! refused at once.

use crate::{
    decision::{Decision, Estimates, Permit, Refusal, RequestMeta, Ticket},
    queue::Waiting,
    service::ServiceRouter,
};
use cyclamenloft_types::{ErrorKind, TargetId};
use std::time::{Duration, Instant};

/// Shortest `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest `retry_after` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// The `retry_after` of a refusal for lack of a target. Targets announce
/// themselves about this often.
const TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Factor by which a predicted wait is multiplied before it is compared with a
/// deadline.
const WAIT_SAFETY_FACTOR: f64 = 1.1;
/// Maximum number of queued requests that are skipped in one pass because no
/// free target can take them.
const MAX_SKIPPED: usize = 8;

impl ServiceRouter {
    /// Returns the expected wait for a slot behind `ahead` other requests.
    pub(crate) fn wait_behind(&self, ahead: usize) -> Duration {
        let slots = f64::from(self.targets.slots().max(1));
        Duration::try_from_secs_f64(ahead as f64 * self.hold_time.seconds() / slots)
            .unwrap_or(MAX_RETRY_AFTER)
    }

    /// Returns how long a new request is expected to wait for a slot.
    pub(crate) fn predicted_wait(&self, meta: &RequestMeta, now: Instant) -> Duration {
        if self.queue.is_empty() && !self.targets.free().is_empty() {
            return Duration::ZERO;
        }
        self.wait_behind(self.queue.ahead_of(meta, now) + 1)
    }

    /// Returns a refusal if the request can't be served regardless of the load:
    /// its deadline is too early, or it has no target left.
    pub(crate) fn refuse_early(
        &self,
        meta: &RequestMeta,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<Refusal> {
        if meta.deadline <= now {
            return Some(self.refusal(ErrorKind::DeadlinePassed, "the deadline has passed"));
        }
        if !self.has_target(avoid, now) {
            let detail = if avoid.is_empty() || self.targets.usable() == 0 {
                "the service has no announced target"
            } else {
                "the request has failed at every target"
            };
            return Some(self.refusal(ErrorKind::NoTarget, detail));
        }
        let expected = self.hold_time_quantiles.get(now).unwrap_or_default().p50;
        if self.routing.admission && now + expected > meta.deadline {
            let detail = "the remaining time is shorter than the expected service time";
            return Some(self.refusal(ErrorKind::DeadlineTooShort, detail));
        }
        None
    }

    /// Returns whether a target outside `avoid` is usable, with or without a free
    /// slot.
    pub(crate) fn has_target(&self, avoid: &[TargetId], now: Instant) -> bool {
        let usable = |id: &&TargetId| {
            let target = self.targets.find(id).and_then(|i| self.targets.get(i));
            target.is_some_and(|t| t.usable(now))
        };
        let mut distinct: Vec<&TargetId> = avoid.iter().collect();
        distinct.sort_unstable();
        distinct.dedup();
        distinct.into_iter().filter(usable).count() < self.targets.usable() as usize
    }

    /// Occupies a slot for a new request, unless queued requests precede it.
    pub(crate) fn pick_for_new(
        &mut self,
        meta: &RequestMeta,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<Permit> {
        if !self.queue.is_empty() && self.queue.ahead_of(meta, now) > 0 {
            return None;
        }
        self.pick(meta, avoid, now, now)
    }

    /// Queues a request. If the queue is full, either this request or one that it
    /// displaces is refused.
    pub(crate) fn enqueue(
        &mut self,
        meta: RequestMeta,
        avoid: &[TargetId],
        now: Instant,
    ) -> Decision {
        if let Some(refusal) = self.refuse_unmeetable(&meta, now) {
            self.queue.record_refusal(now);
            return Decision::Refuse(refusal);
        }
        if self.queue.is_full() {
            let displaced =
                if self.routing.admission { self.queue.displace_for(&meta) } else { None };
            let Some(displaced) = displaced else {
                return Decision::Refuse(self.refusal(ErrorKind::Overloaded, "the queue is full"));
            };
            let detail = "displaced from the full queue by another request";
            let refusal = self.refusal(ErrorKind::Overloaded, detail);
            self.decided.push((displaced.ticket, Decision::Refuse(refusal)));
        }
        let ticket = Ticket(self.next_seq());
        self.queue.push(Waiting { ticket, meta, avoid: avoid.into(), since: now });
        Decision::Wait(ticket)
    }

    /// Returns a refusal if the request is predicted to miss its deadline in the
    /// queue.
    fn refuse_unmeetable(&self, meta: &RequestMeta, now: Instant) -> Option<Refusal> {
        if !self.routing.admission {
            return None;
        }
        let wait = self.predicted_wait(meta, now);
        let service_time = self.hold_time_quantiles.get(now).unwrap_or_default().p99;
        if now + wait.mul_f64(WAIT_SAFETY_FACTOR) + service_time <= meta.deadline {
            return None;
        }
        let detail = format!(
            "the remaining {} ms are less than {} ms of predicted wait plus {} ms of service time",
            meta.deadline.saturating_duration_since(now).as_millis(),
            wait.as_millis(),
            service_time.as_millis()
        );
        let mut refusal = self.refusal(ErrorKind::DeadlineTooShort, &detail);
        refusal.estimates.wait = wait;
        Some(refusal)
    }

    /// Dispatches the queued requests for which there is a slot and refuses those
    /// that can't meet their deadline. Returns these decisions, after those that
    /// [`ServiceRouter::take_decided`] would return.
    pub(crate) fn drain(&mut self, now: Instant) -> Vec<(Ticket, Decision)> {
        let mut decided = self.take_decided();
        self.refuse_overdue(now, &mut decided);
        let mut skipped = Vec::new();
        while skipped.len() < MAX_SKIPPED && self.may_have_room(now) {
            let Some(waiting) = self.queue.pop(now) else { break };
            match self.pick(&waiting.meta, &waiting.avoid, waiting.since, now) {
                Some(permit) => decided.push((waiting.ticket, Decision::Dispatch(permit))),
                None => skipped.push(waiting),
            }
        }
        for waiting in skipped {
            self.queue.push(waiting);
        }
        decided
    }

    /// Returns whether a target may have a slot for a queued request.
    fn may_have_room(&self, now: Instant) -> bool {
        !self.targets.free().is_empty() || self.is_probe_due(now)
    }

    /// Refuses the queued requests that can no longer be answered in time, or all
    /// of them if no target is left.
    fn refuse_overdue(&mut self, now: Instant, decided: &mut Vec<(Ticket, Decision)>) {
        if self.queue.is_empty() {
            return;
        }
        let expected = if self.routing.admission {
            self.hold_time_quantiles.get(now).unwrap_or_default().p99
        } else {
            Duration::ZERO
        };
        let no_target = self.targets.usable() == 0;
        let limit = now + expected;
        loop {
            let due = if no_target { self.queue.pop(now) } else { self.queue.pop_due_by(limit) };
            let Some(waiting) = due else { return };
            let (kind, detail) = if waiting.meta.deadline <= now {
                (ErrorKind::DeadlinePassed, "the deadline passed in the queue")
            } else if no_target {
                (ErrorKind::NoTarget, "the service's last target left or expired")
            } else {
                (
                    ErrorKind::DeadlineTooShort,
                    "the remaining time is shorter than the expected service time",
                )
            };
            let mut refusal = self.refusal(kind, detail);
            refusal.estimates.wait = now.saturating_duration_since(waiting.since);
            decided.push((waiting.ticket, Decision::Refuse(refusal)));
        }
    }

    /// Creates a refusal with the current estimates.
    pub(crate) fn refusal(&self, kind: ErrorKind, detail: &str) -> Refusal {
        let drain_time = match kind {
            ErrorKind::NoTarget => TARGET_RETRY_AFTER,
            _ => self.wait_behind(self.queue.len() + 1),
        };
        Refusal {
            kind,
            detail: detail.into(),
            retry_after: drain_time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            reason: kind.info().code,
            estimates: Estimates {
                wait: drain_time,
                in_flight: self.targets.in_flight(),
                share: self.targets.slots(),
                ewma: Duration::from_secs_f64(self.hold_time.seconds()),
            },
        }
    }
}
