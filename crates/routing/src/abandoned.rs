//! Requests that were given up while their target may still be working on them.

use std::time::{Duration, Instant};

/// Longest time from when a target counts its requests until the announcement
/// is taken in.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(500);

/// Slots held by abandoned requests, until the target is surely done with them.
///
/// An announcement counts every request that the target works on, so it bounds
/// the abandoned ones among them, and finished requests never come back: the
/// number held may fall to the smallest count announced since. An announcement
/// that was made before the request reached the target says nothing of it. So
/// only one counts that is taken in [`ANNOUNCEMENT_DELAY`] after the request was
/// abandoned, and not the first one since.
#[derive(Debug, Default)]
pub(crate) struct Abandoned {
    recent: Vec<RecentlyAbandoned>,
    counted: u16,
}

#[derive(Debug)]
struct RecentlyAbandoned {
    at: Instant,
    announced_since: bool,
}

impl Abandoned {
    pub(crate) fn held(&self) -> u16 {
        self.counted.saturating_add(self.recent.len() as u16)
    }

    pub(crate) fn add(&mut self, now: Instant) {
        self.recent.push(RecentlyAbandoned { at: now, announced_since: false });
    }

    pub(crate) fn observe(&mut self, announced: u16, now: Instant) {
        let mut counted = self.counted;
        self.recent.retain_mut(|r| {
            let counts = r.announced_since && r.at + ANNOUNCEMENT_DELAY <= now;
            r.announced_since = true;
            counted += u16::from(counts);
            !counts
        });
        self.counted = counted.min(announced);
    }

    /// Bounds what is held by a count of this host's own requests alone.
    pub(crate) fn bound(&mut self, announced: u16) {
        self.counted = self.counted.min(announced);
    }
}
