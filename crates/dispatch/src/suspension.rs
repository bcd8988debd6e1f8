//! Detects suspensions of this host. The monotonic clock that measures leases
//! stops during a suspension, so afterwards a leader may take an expired lease
//! for a valid one.

use rustix::time::{ClockId, clock_gettime};
use std::{cell::Cell, time::Duration};

/// Shortest detected suspension: far longer than reading both clocks takes. The boot-time
/// clock advances during a suspension and the monotonic clock doesn't, so the offset
/// between the clocks grows by the length of the suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);
/// Longest time that reading both clocks may take for the readings to be comparable.
const MAX_READ_TIME: Duration = Duration::from_millis(5);

/// Detects whether this host was suspended since the group last confirmed its leader.
#[derive(Default)]
pub struct SuspensionDetector {
    /// How far the boot-time clock was ahead of the monotonic clock when last observed;
    /// `None` before the first observation.
    offset: Cell<Option<Duration>>,
    unconfirmed: Cell<bool>,
}

impl SuspensionDetector {
    /// Reads the clocks. Returns false if the host was suspended and the group has not
    /// confirmed the leader since.
    pub fn update_and_check(&self) -> bool {
        let before = read_clock(ClockId::Monotonic);
        let boottime = read_clock(ClockId::Boottime);
        let monotonic = read_clock(ClockId::Monotonic);
        if monotonic.saturating_sub(before) <= MAX_READ_TIME {
            self.observe_offset(boottime.saturating_sub(monotonic));
        }
        !self.unconfirmed.get()
    }

    /// Records how far the boot-time clock is ahead of the monotonic clock.
    pub fn observe_offset(&self, offset: Duration) {
        if let Some(known) = self.offset.replace(Some(offset))
            && offset > known + MIN_SUSPENSION
        {
            let suspended_ms = u64::try_from((offset - known).as_millis()).unwrap_or(u64::MAX);
            tracing::info!(event = "suspended", suspended_ms);
            self.unconfirmed.set(true);
        }
    }

    /// Returns whether this host was suspended and the group has not confirmed
    /// the leader since.
    #[must_use]
    pub fn needs_confirmation(&self) -> bool {
        self.unconfirmed.get()
    }

    /// Records that the group has confirmed the leader.
    pub fn confirm(&self) {
        self.unconfirmed.set(false);
    }
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = Duration::from_secs(u64::try_from(time.tv_sec).unwrap_or(0));
    seconds + Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or(0))
}
