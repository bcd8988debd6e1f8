//! The lease of everything that runs on one life of a worker. It is a time on
//! the worker's own clock, which the leader knows only from answers.

use std::time::{Duration, Instant};

/// Rate of the slowest clock that a worker may have, relative to this host's:
/// the users state 2%; half a percent more is margin for this host's clock.
const SLOWEST_CLOCK: f64 = 0.975;
/// Added before a lease counts as expired: the worker ends its runs a little
/// after the time, as timers fire late.
const EXPIRY_MARGIN: Duration = Duration::from_millis(300);

/// What the leader knows of a worker's clock and of the lease granted on it.
#[derive(Clone, Copy, Debug)]
pub struct WorkerLease {
    /// Longest lease that a worker keeps.
    longest: Duration,
    /// A reading of the worker's clock in milliseconds, and when it came.
    reading: Option<(u64, Instant)>,
    /// Latest end that was ever granted, on the worker's clock; also where the
    /// order that granted it got no answer.
    granted_ms: u64,
    /// When a former leader may have granted a lease last.
    inherited: Instant,
}

impl WorkerLease {
    /// A lease of which nothing is known but that nobody else grants more from
    /// `since` on.
    #[must_use]
    pub fn new(longest: Duration, since: Instant) -> Self {
        Self { longest, reading: None, granted_ms: 0, inherited: since }
    }

    /// Notes a reading of the worker's clock that came at `received`.
    pub fn note_clock(&mut self, clock_ms: u64, received: Instant) {
        self.reading = Some((clock_ms, received));
    }

    /// The end of the longest lease that may be granted now; none before the
    /// worker's clock is known.
    #[must_use]
    pub fn next_end_ms(&self, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.reading?;
        let passed = now.saturating_duration_since(at).mul_f64(SLOWEST_CLOCK);
        Some(clock_ms + millis(passed) + millis(self.longest))
    }

    /// The end that was granted already, which another order may repeat without
    /// making the wait longer for a worker that is out of reach.
    #[must_use]
    pub fn granted_end_ms(&self) -> Option<u64> {
        self.reading.map(|_| self.granted_ms)
    }

    /// Notes that an order with a lease until `end_ms` is about to be sent.
    pub fn note_granted(&mut self, end_ms: u64) {
        self.granted_ms = self.granted_ms.max(end_ms);
    }

    /// When everything that runs there has surely ended, if nothing more is
    /// granted.
    #[must_use]
    pub fn surely_over_at(&self) -> Instant {
        let inherited = self.inherited + stretched(self.longest);
        let Some((clock_ms, at)) = self.reading else { return inherited + EXPIRY_MARGIN };
        let left = Duration::from_millis(self.granted_ms.saturating_sub(clock_ms));
        inherited.max(at + stretched(left)) + EXPIRY_MARGIN
    }
}

fn stretched(span: Duration) -> Duration {
    span.div_f64(SLOWEST_CLOCK)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
