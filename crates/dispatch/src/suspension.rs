//! Tells whether this host was suspended. The clock that leases go by stands
//! still meanwhile, so after it a leader may believe in a lease that is over.

use rustix::time::{ClockId, clock_gettime};
use std::{cell::Cell, time::Duration};

/// Growth between the clock that counts a suspension and the one that doesn't
/// that means one: far more than reading both takes.
const SUSPENDED: Duration = Duration::from_millis(20);
/// Longest time that reading both may take for the readings to be comparable.
const COMPARABLE: Duration = Duration::from_millis(5);

/// Whether this host was suspended since the group last confirmed its leader.
#[derive(Default)]
pub struct Awake {
    /// How far the clock that counts suspensions is ahead.
    ahead: Cell<Option<Duration>>,
    doubt: Cell<bool>,
}

impl Awake {
    /// Reads the clocks; true where no suspension is in doubt.
    pub fn check(&self) -> bool {
        let before = read(ClockId::Monotonic);
        let counting = read(ClockId::Boottime);
        let steady = read(ClockId::Monotonic);
        if steady.saturating_sub(before) <= COMPARABLE {
            self.note(counting.saturating_sub(steady));
        }
        !self.doubt.get()
    }

    /// Notes how far the clock that counts suspensions is ahead.
    pub fn note(&self, ahead: Duration) {
        if let Some(known) = self.ahead.replace(Some(ahead))
            && ahead > known + SUSPENDED
        {
            let suspended_ms = u64::try_from((ahead - known).as_millis()).unwrap_or(u64::MAX);
            tracing::info!(event = "suspended", suspended_ms);
            self.doubt.set(true);
        }
    }

    /// Whether a suspension is in doubt.
    #[must_use]
    pub fn in_doubt(&self) -> bool {
        self.doubt.get()
    }

    /// The group has confirmed who leads since.
    pub fn confirm(&self) {
        self.doubt.set(false);
    }
}

fn read(clock: ClockId) -> Duration {
    let at = clock_gettime(clock);
    let whole = Duration::from_secs(u64::try_from(at.tv_sec).unwrap_or(0));
    whole + Duration::from_nanos(u64::try_from(at.tv_nsec).unwrap_or(0))
}
