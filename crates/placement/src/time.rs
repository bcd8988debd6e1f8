//! The present time as decisions on tasks take it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A moment on both clocks. Leases and timeouts use the monotonic clock only;
/// the wall clock serves deadlines of jobs and the profile of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// The monotonic clock.
    pub instant: Instant,
    /// The wall clock, as time since the Unix epoch.
    pub unix: Duration,
}

impl Timestamp {
    /// Reads both clocks. Only the edges of the system call this.
    #[must_use]
    pub fn read() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { instant: Instant::now(), unix }
    }

    /// The wall clock in whole milliseconds.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        u64::try_from(self.unix.as_millis()).unwrap_or(u64::MAX)
    }

    /// The moment `later` after this one, on both clocks.
    #[must_use]
    pub fn after(&self, later: Duration) -> Self {
        Self { instant: self.instant + later, unix: self.unix + later }
    }
}
