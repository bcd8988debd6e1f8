//! Who waits, in what order, and who is refused at once.

use crate::{
    decision::{Decision, Estimates, Permit, Refusal, RequestFacts, Ticket},
    queue::Waiting,
    service::ServiceRouter,
};
use cyclamenloft_types::{ErrorKind, TargetId};
use std::time::{Duration, Instant};

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// When to ask again where there is no target: targets announce themselves about
/// this often.
const TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);
/// What a predicted wait is multiplied with before it is held against a deadline.
const WAIT_SAFETY: f64 = 1.1;
/// Waiting requests passed over because every free target had failed them.
const MAX_PASSED_OVER: usize = 8;

impl ServiceRouter {
    /// How long a request that has `ahead` others before it waits for a slot.
    pub(crate) fn wait_behind(&self, ahead: usize) -> Duration {
        let slots = f64::from(self.targets.slots().max(1));
        Duration::try_from_secs_f64(ahead as f64 * self.hold.seconds() / slots)
            .unwrap_or(MAX_RETRY_AFTER)
    }

    /// How long a new request of the given facts would wait for a slot.
    pub(crate) fn predicted_wait(&self, facts: &RequestFacts, now: Instant) -> Duration {
        if self.queue.is_empty() && !self.targets.free().is_empty() {
            return Duration::ZERO;
        }
        self.wait_behind(self.queue.ahead_of(facts, now) + 1)
    }

    /// The refusal that follows from the request alone, before any choice.
    pub(crate) fn refuse_at_once(
        &self,
        facts: &RequestFacts,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<Refusal> {
        if facts.deadline <= now {
            return Some(self.refusal(ErrorKind::DeadlinePassed, "the deadline has passed"));
        }
        if !self.has_target(avoid, now) {
            let detail = if avoid.is_empty() || self.targets.usable() == 0 {
                "no target has announced itself"
            } else {
                "every target has failed this request"
            };
            return Some(self.refusal(ErrorKind::NoTarget, detail));
        }
        let expected = self.hold_quantiles.get(now).unwrap_or_default().p50;
        if self.routing.admission && now + expected > facts.deadline {
            let detail = "the remaining time is shorter than the service takes";
            return Some(self.refusal(ErrorKind::DeadlineTooShort, detail));
        }
        None
    }

    /// Whether a target outside `avoid` is usable, with or without a free slot.
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

    /// A slot for a new request, unless requests that go first are waiting.
    pub(crate) fn pick_for_new(
        &mut self,
        facts: &RequestFacts,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<Permit> {
        if !self.queue.is_empty() && self.queue.ahead_of(facts, now) > 0 {
            return None;
        }
        self.pick(facts, avoid, now, now)
    }

    /// Puts a request into the queue, or refuses it or another in its favour.
    pub(crate) fn enqueue(
        &mut self,
        facts: RequestFacts,
        avoid: &[TargetId],
        now: Instant,
    ) -> Decision {
        if let Some(refusal) = self.refuse_hopeless(&facts, now) {
            self.queue.note_refusal(now);
            return Decision::Refuse(refusal);
        }
        if self.queue.is_full() {
            let displaced =
                if self.routing.admission { self.queue.displace_for(&facts) } else { None };
            let Some(displaced) = displaced else {
                return Decision::Refuse(self.refusal(ErrorKind::Overloaded, "the queue is full"));
            };
            let detail = "the place in the full queue went to another caller";
            let refusal = self.refusal(ErrorKind::Overloaded, detail);
            self.decided.push((displaced.ticket, Decision::Refuse(refusal)));
        }
        let ticket = Ticket(self.next_seq());
        self.queue.push(Waiting { ticket, facts, avoid: avoid.into(), since: now });
        Decision::Wait(ticket)
    }

    fn refuse_hopeless(&self, facts: &RequestFacts, now: Instant) -> Option<Refusal> {
        if !self.routing.admission {
            return None;
        }
        let wait = self.predicted_wait(facts, now);
        let service = self.hold_quantiles.get(now).unwrap_or_default().p99;
        if now + wait.mul_f64(WAIT_SAFETY) + service <= facts.deadline {
            return None;
        }
        let detail = format!(
            "the remaining {} ms don't cover the predicted wait of {} ms and {} ms of service",
            facts.deadline.saturating_duration_since(now).as_millis(),
            wait.as_millis(),
            service.as_millis()
        );
        let mut refusal = self.refusal(ErrorKind::DeadlineTooShort, &detail);
        refusal.estimates.wait = wait;
        Some(refusal)
    }

    /// Decides on the waiting requests that can go or have to be given up, and
    /// hands out the decisions that were made in between.
    pub(crate) fn drain(&mut self, now: Instant) -> Vec<(Ticket, Decision)> {
        let mut decided = self.take_decided();
        self.give_up(now, &mut decided);
        let mut passed_over = Vec::new();
        while passed_over.len() < MAX_PASSED_OVER && self.may_have_room(now) {
            let Some(waiting) = self.queue.pop(now) else { break };
            match self.pick(&waiting.facts, &waiting.avoid, waiting.since, now) {
                Some(permit) => decided.push((waiting.ticket, Decision::Dispatch(permit))),
                None => passed_over.push(waiting),
            }
        }
        for waiting in passed_over {
            self.queue.push(waiting);
        }
        decided
    }

    fn may_have_room(&self, now: Instant) -> bool {
        !self.targets.free().is_empty() || self.is_probe_due(now)
    }

    /// Refuses the waiting requests that can't be answered in time any more.
    fn give_up(&mut self, now: Instant, decided: &mut Vec<(Ticket, Decision)>) {
        if self.queue.is_empty() {
            return;
        }
        let expected = if self.routing.admission {
            self.hold_quantiles.get(now).unwrap_or_default().p99
        } else {
            Duration::ZERO
        };
        let no_target = self.targets.usable() == 0;
        let limit = now + expected;
        loop {
            let due = if no_target { self.queue.pop(now) } else { self.queue.pop_due_by(limit) };
            let Some(waiting) = due else { return };
            let (kind, detail) = if waiting.facts.deadline <= now {
                (ErrorKind::DeadlinePassed, "the deadline passed in the queue")
            } else if no_target {
                (ErrorKind::NoTarget, "the last target has gone")
            } else {
                (
                    ErrorKind::DeadlineTooShort,
                    "the remaining time is shorter than the service takes",
                )
            };
            let mut refusal = self.refusal(kind, detail);
            refusal.estimates.wait = now.saturating_duration_since(waiting.since);
            decided.push((waiting.ticket, Decision::Refuse(refusal)));
        }
    }

    /// A refusal with the figures of the moment.
    pub(crate) fn refusal(&self, kind: ErrorKind, detail: &str) -> Refusal {
        let drained = match kind {
            ErrorKind::NoTarget => TARGET_RETRY_AFTER,
            _ => self.wait_behind(self.queue.len() + 1),
        };
        Refusal {
            kind,
            detail: detail.into(),
            retry_after: drained.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            reason: kind.answer().code,
            estimates: Estimates {
                wait: drained,
                in_flight: self.targets.in_flight(),
                share: self.targets.slots(),
                ewma: Duration::from_secs_f64(self.hold.seconds()),
            },
        }
    }
}
