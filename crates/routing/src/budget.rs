//! The budget that all retries and hedged requests of a service share.

use std::time::{Duration, Instant};

/// Attempts that a service may always make beyond its share of successes, per second.
const FLOOR_PER_SECOND: f64 = 1.0;
/// Attempts allowed before anything has succeeded.
const INITIAL_TOKENS: f64 = 3.0;
/// Most attempts that can be saved up.
const MAX_TOKENS: f64 = 200.0;

/// A token bucket that is filled by successes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
    refilled: Option<Instant>,
}

impl RetryBudget {
    pub(crate) fn new() -> Self {
        Self { tokens: INITIAL_TOKENS, refilled: None }
    }

    /// Counts a success, which pays for `percent` hundredths of an attempt.
    pub(crate) fn deposit(&mut self, percent: u8) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(MAX_TOKENS);
    }

    /// Adds what has come by time alone.
    pub(crate) fn refill(&mut self, now: Instant) {
        let since = self.refilled.replace(now).unwrap_or(now);
        let seconds = now.saturating_duration_since(since).as_secs_f64();
        let floor = INITIAL_TOKENS.max(self.tokens);
        self.tokens = (self.tokens + seconds * FLOOR_PER_SECOND).min(floor);
    }

    /// Attempts that may be made now.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Whether there is enough for one attempt.
    pub(crate) fn covers_one(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Pays for one attempt, if there is enough.
    pub(crate) fn spend(&mut self) -> bool {
        let enough = self.covers_one();
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// Back-off before attempt `attempts + 1`: it doubles, within bounds, and
/// `jitter` in `0.0..1.0` takes off up to half.
pub(crate) fn backoff(attempts: usize, jitter: f64) -> Duration {
    const BASE: Duration = Duration::from_millis(5);
    const MAX: Duration = Duration::from_millis(250);
    let doublings = attempts.saturating_sub(1).min(8) as u32;
    let full = BASE.saturating_mul(1 << doublings).min(MAX);
    full.mul_f64(1.0 - jitter / 2.0)
}
