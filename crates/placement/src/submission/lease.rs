//! The lease that covers all runs on one incarnation of a worker. It ends at a
//! time on the worker's own clock, which the leader knows only from the worker's
//! answers.

use std::time::{Duration, Instant};

/// Rate of the slowest clock that a worker may have, relative to this host's.
/// The users state a deviation of up to 2%; another 0.5% is margin for this
/// host's clock.
const SLOWEST_CLOCK: f64 = 0.975;
/// Time after the end of a lease until the leader counts it as expired. A worker
/// ends its runs slightly after the lease, because timers fire late.
pub(super) const EXPIRY_MARGIN: Duration = Duration::from_millis(300);

/// A worker's clock and the lease granted to the worker, as known to the
/// leader.
#[derive(Clone, Copy, Debug)]
pub struct WorkerLease {
    /// Longest lease that a worker accepts.
    longest_lease: Duration,
    /// The last reading of the worker's clock, in milliseconds, and when it was
    /// received.
    reading: Option<(u64, Instant)>,
    /// Latest lease end sent in any order, on the worker's clock, in
    /// milliseconds. Orders that got no answer count too.
    granted_ms: u64,
    /// Latest end of the leases that this leader hasn't granted to this incarnation.
    inherited_end: Instant,
}

impl WorkerLease {
    /// Creates the lease of a worker whose clock isn't known yet. No former
    /// leader extends the worker's lease after `since`.
    #[must_use]
    pub fn new(longest_lease: Duration, since: Instant) -> Self {
        let inherited_end = since + on_slowest_clock(longest_lease);
        Self { longest_lease, reading: None, granted_ms: 0, inherited_end }
    }

    /// Records a reading of the worker's clock, received at `received`.
    pub fn record_clock(&mut self, clock_ms: u64, received: Instant) {
        self.reading = Some((clock_ms, received));
    }

    /// Returns what the worker's clock shows at `at`, in milliseconds, or `None` before that clock
    /// is known. The clock may be ahead of this by the time that its last reading was on its way.
    #[must_use]
    pub fn clock_ms_at(&self, at: Instant) -> Option<u64> {
        let (clock_ms, received) = self.reading?;
        Some(clock_ms + millis(at.saturating_duration_since(received)))
    }

    /// Returns the end of the longest lease that may be granted now, or `None`
    /// before the worker's clock is known.
    #[must_use]
    pub fn next_end_ms(&self, now: Instant) -> Option<u64> {
        Some(self.clock_ms(now)? + millis(self.longest_lease))
    }

    /// Returns a time that the worker's clock has surely reached, or `None` before the clock is
    /// known.
    #[must_use]
    pub fn clock_ms(&self, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.reading?;
        let passed = now.saturating_duration_since(at).mul_f64(SLOWEST_CLOCK);
        Some(clock_ms + millis(passed))
    }

    /// Returns the latest lease end granted so far, or `None` before the worker's
    /// clock is known. Sending this end again with another order doesn't delay the
    /// time by which an unreachable worker's runs have ended.
    #[must_use]
    pub fn granted_end_ms(&self) -> Option<u64> {
        self.reading.map(|_| self.granted_ms)
    }

    /// Records that an order with a lease until `end_ms` is about to be sent.
    pub fn record_granted(&mut self, end_ms: u64) {
        self.granted_ms = self.granted_ms.max(end_ms);
    }

    /// Records that calls to a former incarnation of the worker may have reached this one up to
    /// `at`. The end of the lease that they state was meant for another clock, so the worker has
    /// granted itself up to `longest_accepted` from their arrival.
    pub fn record_calls_to_former(&mut self, at: Instant, longest_accepted: Duration) {
        self.inherited_end = self.inherited_end.max(at + on_slowest_clock(longest_accepted));
    }

    /// Returns the time by which all runs on the worker have certainly ended,
    /// if the lease isn't extended.
    #[must_use]
    pub fn latest_end(&self) -> Instant {
        let inherited = self.inherited_end;
        let Some((clock_ms, at)) = self.reading else { return inherited + EXPIRY_MARGIN };
        let left = Duration::from_millis(self.granted_ms.saturating_sub(clock_ms));
        inherited.max(at + on_slowest_clock(left)) + EXPIRY_MARGIN
    }
}

/// Returns how long a worker's clock takes at most to advance by `span`.
pub(super) fn on_slowest_clock(span: Duration) -> Duration {
    span.div_f64(SLOWEST_CLOCK)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
