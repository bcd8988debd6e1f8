//! When the leader's next round begins.

use std::time::{Duration, Instant};

/// Longest time between two rounds when nothing changes, and thus the longest
/// delay in reacting to a deadline or a stuck task.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum pause after a round, so that changes that arrive together are committed
/// together. A commit takes about twice this time.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(8);
/// Minimum time from the end of planning to the next round, as a multiple of the time that
/// planning took, so that planning takes at most a fifth of the time, whatever the number of
/// workers. The commit of the placements is part of that time.
const PAUSE_FACTOR: u32 = 4;

/// When a round planned and ended.
#[derive(Clone, Copy, Debug)]
pub struct RoundTimes {
    /// When its planning had ended.
    pub planned_at: Instant,
    /// How long the planning took.
    pub planning: Duration,
    /// When its placements were committed.
    pub ended_at: Instant,
    /// Whether it has placed as many runs as a round may.
    pub is_full: bool,
}

impl RoundTimes {
    /// Returns the earliest time of the next round.
    #[must_use]
    pub fn next_at(self) -> Instant {
        let after_planning = self.planned_at + self.planning * PAUSE_FACTOR;
        after_planning.max(self.ended_at + MIN_ROUND_INTERVAL)
    }

    /// Returns the time of the next round if nothing changes until then. A full round has left
    /// tasks that need no change to be placed.
    #[must_use]
    pub fn next_by(self) -> Instant {
        if self.is_full { self.next_at() } else { self.next_at() + MAX_ROUND_INTERVAL }
    }
}
