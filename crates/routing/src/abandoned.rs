//! Requests that were abandoned while their target may still be working on them.

use std::time::{Duration, Instant};

/// Maximum time from when a target counts its requests until this host has
/// processed the announcement with that count.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(500);

/// Slots held by abandoned requests until the target has certainly finished them.
///
/// An announcement counts every request in flight at the target, so it is an
/// upper bound of the abandoned ones. Since finished requests don't come back,
/// the number of held slots may be lowered to the smallest count announced since
/// a request was abandoned. An announcement made before the request reached the
/// target doesn't include it. An announcement therefore counts for an abandoned
/// request only if it is processed at least [`ANNOUNCEMENT_DELAY`] after the
/// request was abandoned, and is not the first one since then.
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

    /// Lowers the number of held slots to the announced count of this host's own
    /// requests.
    pub(crate) fn bound(&mut self, announced: u16) {
        self.counted = self.counted.min(announced);
    }
}
