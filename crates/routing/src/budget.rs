//! The budget shared by all retries and hedged requests of a service.

use std::time::{Duration, Instant};

/// Extra attempts per second that a service may make regardless of its successes.
const MIN_RETRIES_PER_SECOND: f64 = 1.0;
/// Extra attempts allowed before the first success.
const INITIAL_TOKENS: f64 = 3.0;
/// Most extra attempts that can accumulate.
const MAX_TOKENS: f64 = 200.0;

/// Longest backoff before the first retry.
pub const MAX_FIRST_BACKOFF: Duration = Duration::from_millis(5);

/// A token bucket that is refilled by successes and, slowly, by time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
    refilled: Option<Instant>,
}

impl RetryBudget {
    pub(crate) fn new() -> Self {
        Self { tokens: INITIAL_TOKENS, refilled: None }
    }

    /// Records a success, which adds `percent` hundredths of a token.
    pub(crate) fn deposit(&mut self, percent: u8) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(MAX_TOKENS);
    }

    /// Adds the tokens that accrued with time since the last call.
    pub(crate) fn refill(&mut self, now: Instant) {
        let since = self.refilled.replace(now).unwrap_or(now);
        let seconds = now.saturating_duration_since(since).as_secs_f64();
        let cap = INITIAL_TOKENS.max(self.tokens);
        self.tokens = (self.tokens + seconds * MIN_RETRIES_PER_SECOND).min(cap);
    }

    /// Returns the number of tokens, one for each extra attempt.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns whether there is a token for one attempt.
    pub(crate) fn covers_one(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token for one extra attempt. Returns false if there was none.
    pub(crate) fn spend(&mut self) -> bool {
        let enough = self.covers_one();
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// Returns the backoff before attempt `attempts + 1`. It doubles with each
/// attempt up to a maximum, and `jitter` in `0.0..1.0` reduces it by up to half.
pub(crate) fn backoff(attempts: usize, jitter: f64) -> Duration {
    const MAX: Duration = Duration::from_millis(250);
    let doublings = attempts.saturating_sub(1).min(8) as u32;
    let full = MAX_FIRST_BACKOFF.saturating_mul(1 << doublings).min(MAX);
    full.mul_f64(1.0 - jitter / 2.0)
}
