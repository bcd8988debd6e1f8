//! Groups of waiting tasks that are held back. They are kept between rounds so
//! that each hold is logged once and the status can tell why a job waits.

use super::round::{HoldReason, Round};
use crate::{
    state::{GroupNumber, PlacementState},
    time::Timestamp,
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after which a group that would harm services on every worker is tried
/// again; each attempt scores many workers.
const HARMFUL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A group that is held back.
#[derive(Clone, Copy, Debug)]
struct HeldGroup {
    reason: HoldReason,
    /// Time at which the hold began, or was last renewed after
    /// [`HARMFUL_RETRY_AFTER`].
    since: Instant,
}

/// The groups that the last round held back.
#[derive(Debug, Default)]
pub(super) struct HeldGroups(BTreeMap<GroupNumber, HeldGroup>);

impl HeldGroups {
    /// Replaces the groups by those that a round held back, and logs new holds.
    pub(super) fn update(&mut self, round: &Round, state: &PlacementState) {
        let now = round.now.instant;
        let mut held = BTreeMap::new();
        for (number, reason) in &round.held {
            let before = self.0.get(number).filter(|h| h.reason == *reason);
            let since = match before {
                Some(h) if now.duration_since(h.since) < HARMFUL_RETRY_AFTER => h.since,
                _ => now,
            };
            held.insert(*number, HeldGroup { reason: *reason, since });
            if before.is_some() {
                continue;
            }
            if let Some((group, tasks)) = state.group(*number) {
                tracing::info!(
                    target: "cyclamenloft::decision",
                    team = %group.team,
                    class = %group.class,
                    priority = ?group.priority,
                    needs = %group.resources,
                    tasks = tasks.len(),
                    reason = reason.as_str(),
                    "hold back"
                );
            }
        }
        self.0 = held;
    }

    /// Returns whether a group was found to harm services so recently that it is
    /// not tried again yet.
    pub(super) fn is_harmful(&self, number: GroupNumber, now: Timestamp) -> bool {
        self.0.get(&number).is_some_and(|h| {
            h.reason == HoldReason::Harmful
                && now.instant.duration_since(h.since) < HARMFUL_RETRY_AFTER
        })
    }

    pub(super) fn get(&self, number: GroupNumber) -> Option<HoldReason> {
        self.0.get(&number).map(|h| h.reason)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (GroupNumber, HoldReason)> {
        self.0.iter().map(|(number, h)| (*number, h.reason))
    }
}
