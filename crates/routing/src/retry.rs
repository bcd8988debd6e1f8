//! Whether a failed request is tried again, and whether one that takes long is
//! sent a second time.

use crate::{
    budget::backoff,
    choice::reason,
    decision::{Permit, RequestFacts},
    service::ServiceRouter,
};
use cyclamenloft_types::{Outcome, TargetId};
use rand::Rng;
use std::time::{Duration, Instant};

/// Most targets that one request is sent to, one after the other.
const MAX_ATTEMPTS: usize = 4;
/// Share of the slots in use above which no request is sent twice.
const MAX_HEDGED_LOAD: f64 = 0.8;
/// Least time without an answer before a second attempt. It costs a connection
/// and a slot, and cancelling it closes the connection.
pub const MIN_HEDGE_WAIT: Duration = Duration::from_millis(10);

/// Why a failed request is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRetry {
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// It has run.
    Ran,
    /// It has been tried often enough.
    TooManyAttempts,
    /// Every usable target has failed it.
    NoOtherTarget,
    /// The remaining time is too short.
    DeadlineTooShort,
    /// The service's budget is spent.
    BudgetSpent,
}

impl NoRetry {
    /// The text used in logs.
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
    /// Whether a request that `failed` targets have failed may be tried again.
    /// `outcome` is the least favourable of its attempts so far: one that may
    /// have run makes the whole request one that may have run. On success the
    /// attempt is paid for, and the request goes to
    /// [`ServiceRouter::admit`] with `failed` after the time returned.
    ///
    /// # Errors
    ///
    /// Why there is no further attempt.
    pub fn retry(
        &mut self,
        facts: &RequestFacts,
        failed: &[TargetId],
        outcome: Outcome,
        now: Instant,
    ) -> Result<Duration, NoRetry> {
        self.advance(now);
        match outcome {
            Outcome::Done => return Err(NoRetry::Ran),
            Outcome::Unknown if !facts.idempotent => return Err(NoRetry::MayHaveRun),
            Outcome::Unknown | Outcome::NotRun => {}
        }
        if failed.len() >= MAX_ATTEMPTS {
            return Err(NoRetry::TooManyAttempts);
        }
        if !self.has_target(failed, now) {
            return Err(NoRetry::NoOtherTarget);
        }
        let delay = backoff(failed.len(), self.rng.random());
        let expected = self.hold_quantiles.get(now).unwrap_or_default().p50;
        if now + delay + expected >= facts.deadline {
            return Err(NoRetry::DeadlineTooShort);
        }
        self.budget.refill(now);
        if self.budget.spend() { Ok(delay) } else { Err(NoRetry::BudgetSpent) }
    }

    /// After what time without an answer [`ServiceRouter::hedge`] is worth
    /// asking: the service's 95th percentile, but not less than
    /// [`MIN_HEDGE_WAIT`], for idempotent requests that have the time.
    #[must_use]
    pub fn hedge_after(&self, facts: &RequestFacts, now: Instant) -> Option<Duration> {
        if !self.routing.hedging || !facts.idempotent || !self.budget.covers_one() {
            return None;
        }
        let latency = self.latency_quantiles.get(now)?;
        let wait = latency.p95.max(MIN_HEDGE_WAIT);
        (now + wait + latency.p50 < facts.deadline).then_some(wait)
    }

    /// The right to send an idempotent request a second time while `first` still
    /// works on it. The loser is to be cancelled and released as `abandoned` and
    /// `healthy`, with the time that it took so far.
    pub fn hedge(
        &mut self,
        facts: &RequestFacts,
        first: &TargetId,
        now: Instant,
    ) -> Option<Permit> {
        self.advance(now);
        if !self.routing.hedging || !facts.idempotent || !self.queue.is_empty() {
            return None;
        }
        let load = f64::from(self.targets.in_flight()) / f64::from(self.targets.slots().max(1));
        self.budget.refill(now);
        if load > MAX_HEDGED_LOAD || !self.budget.covers_one() {
            return None;
        }
        let avoid = std::slice::from_ref(first);
        let (i, _) = self.choose(facts, avoid, now)?;
        let permit = self.permit(i, facts, reason::HEDGE, now, now)?;
        self.budget.spend();
        Some(permit)
    }
}
