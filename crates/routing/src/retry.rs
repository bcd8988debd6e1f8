//! Retries of failed requests, and hedging of slow ones.

use crate::{
    budget::backoff,
    choice::reason,
    decision::{Permit, RequestMeta},
    service::ServiceRouter,
};
use cyclamenloft_types::{Outcome, TargetId};
use rand::Rng;
use std::time::{Duration, Instant};

/// Most targets to which one request is sent in succession.
const MAX_ATTEMPTS: usize = 4;
/// Share of slots in use above which no request is hedged.
const MAX_HEDGED_LOAD: f64 = 0.8;
/// Shortest time without a response before a request is hedged. The second
/// attempt costs a connection and a slot, and cancelling an attempt closes its
/// connection.
pub const MIN_HEDGE_WAIT: Duration = Duration::from_millis(10);

/// The reason not to retry a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRetry {
    /// The request may have run and must not run twice.
    MayHaveRun,
    /// The request has run.
    Ran,
    /// The request has used up its attempts.
    TooManyAttempts,
    /// The request has failed at every usable target.
    NoOtherTarget,
    /// The remaining time is too short for another attempt.
    DeadlineTooShort,
    /// The service's retry budget is exhausted.
    BudgetSpent,
}

impl NoRetry {
    /// Returns the text used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
            Self::TooManyAttempts => "too-many-attempts",
            Self::NoOtherTarget => "no-other-target",
            Self::DeadlineTooShort => "deadline-too-short",
            Self::BudgetSpent => "budget-spent",
        }
    }
}

impl ServiceRouter {
    /// Decides whether a request that failed at the targets `failed` is retried.
    /// `outcome` is the least favorable outcome of its attempts so far: if one of
    /// them may have run, the request may have run. On success, the attempt has
    /// been charged to the retry budget, and the request is to be passed to
    /// [`ServiceRouter::admit`] with `failed` after the returned delay.
    ///
    /// # Errors
    ///
    /// Returns the reason not to retry the request.
    pub fn retry(
        &mut self,
        meta: &RequestMeta,
        failed: &[TargetId],
        outcome: Outcome,
        now: Instant,
    ) -> Result<Duration, NoRetry> {
        self.advance(now);
        match outcome {
            Outcome::Done => return Err(NoRetry::Ran),
            Outcome::Unknown if !meta.idempotent => return Err(NoRetry::MayHaveRun),
            Outcome::Unknown | Outcome::NotRun => {}
        }
        if failed.len() >= MAX_ATTEMPTS {
            return Err(NoRetry::TooManyAttempts);
        }
        if !self.has_target(failed, now) {
            return Err(NoRetry::NoOtherTarget);
        }
        let delay = backoff(failed.len(), self.rng.random());
        let expected = self.hold_time_quantiles.get(now).unwrap_or_default().p50;
        if now + delay + expected >= meta.deadline {
            return Err(NoRetry::DeadlineTooShort);
        }
        self.budget.refill(now);
        if self.budget.spend() { Ok(delay) } else { Err(NoRetry::BudgetSpent) }
    }

    /// Returns the time without a response after which [`ServiceRouter::hedge`]
    /// should be called: the 95th percentile of the service's latency, but at
    /// least [`MIN_HEDGE_WAIT`]. Returns `None` if the request is not idempotent,
    /// the policy or the retry budget forbids a hedge, the latency is unknown, or
    /// the deadline leaves no time for a second attempt.
    #[must_use]
    pub fn hedge_after(&self, meta: &RequestMeta, now: Instant) -> Option<Duration> {
        if !self.routing.hedging || !meta.idempotent || !self.budget.covers_one() {
            return None;
        }
        let latency = self.latency_quantiles.get(now)?;
        let wait = latency.p95.max(MIN_HEDGE_WAIT);
        (now + wait + latency.p50 < meta.deadline).then_some(wait)
    }

    /// Returns a permit to send an idempotent request to a second target while
    /// `first` is still working on it. The attempt that loses must be cancelled
    /// and released as `abandoned` and `healthy`, with its elapsed time as latency.
    pub fn hedge(&mut self, meta: &RequestMeta, first: &TargetId, now: Instant) -> Option<Permit> {
        self.advance(now);
        if !self.routing.hedging || !meta.idempotent || !self.queue.is_empty() {
            return None;
        }
        let load = f64::from(self.targets.in_flight()) / f64::from(self.targets.slots().max(1));
        self.budget.refill(now);
        if load > MAX_HEDGED_LOAD || !self.budget.covers_one() {
            return None;
        }
        let avoid = std::slice::from_ref(first);
        let (i, _) = self.choose(meta, avoid, now)?;
        let permit = self.permit(i, meta, reason::HEDGE, now, now)?;
        self.budget.spend();
        Some(permit)
    }
}
