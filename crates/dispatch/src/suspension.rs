//! Tells whether this host was suspended. The clock that leases go by stands
//! still meanwhile, so after it a leader may believe in a lease that is over.

use rustix::time::{ClockId, clock_gettime};
use std::{cell::Cell, time::Duration};

/// Growth between the clock that counts a suspension and the one that doesn't
/// that means one: far more than reading both takes.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);
/// Longest time that reading both may take for the readings to be comparable.
const MAX_READ_TIME: Duration = Duration::from_millis(5);

/// Whether this host was suspended since the group last confirmed its leader.
#[derive(Default)]
pub struct SuspensionDetector {
    /// How far the clock that counts suspensions is ahead.
    offset: Cell<Option<Duration>>,
    unconfirmed: Cell<bool>,
}

impl SuspensionDetector {
    /// Reads the clocks; true where no suspension is in doubt.
    pub fn check(&self) -> bool {
        let before = read_clock(ClockId::Monotonic);
        let boottime = read_clock(ClockId::Boottime);
        let monotonic = read_clock(ClockId::Monotonic);
        if monotonic.saturating_sub(before) <= MAX_READ_TIME {
            self.observe_offset(boottime.saturating_sub(monotonic));
        }
        !self.unconfirmed.get()
    }

    /// Notes how far the clock that counts suspensions is ahead.
    pub fn observe_offset(&self, offset: Duration) {
        if let Some(known) = self.offset.replace(Some(offset))
            && offset > known + MIN_SUSPENSION
        {
            let suspended_ms = u64::try_from((offset - known).as_millis()).unwrap_or(u64::MAX);
            tracing::info!(event = "suspended", suspended_ms);
            self.unconfirmed.set(true);
        }
    }

    /// Whether a suspension is in doubt.
    #[must_use]
    pub fn needs_confirmation(&self) -> bool {
        self.unconfirmed.get()
    }

    /// The group has confirmed who leads since.
    pub fn confirm(&self) {
        self.unconfirmed.set(false);
    }
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = Duration::from_secs(u64::try_from(time.tv_sec).unwrap_or(0));
    seconds + Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or(0))
}
