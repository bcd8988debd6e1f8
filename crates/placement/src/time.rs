//! The current time, as passed to scheduling decisions.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time on both clocks. Leases and timeouts use the monotonic clock
/// only; the wall clock is for job deadlines and daily load profiles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// The monotonic clock.
    pub instant: Instant,
    /// The wall clock, as time since the Unix epoch.
    pub unix: Duration,
}

impl Timestamp {
    /// Reads both clocks. Only code that does I/O calls this; everything else is
    /// given the time.
    #[must_use]
    pub fn now() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { instant: Instant::now(), unix }
    }

    /// Returns the wall clock in whole milliseconds since the Unix epoch.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        u64::try_from(self.unix.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the point `duration` after this one, on both clocks.
    #[must_use]
    pub fn after(&self, duration: Duration) -> Self {
        Self { instant: self.instant + duration, unix: self.unix + duration }
    }
}
