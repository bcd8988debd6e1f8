//! Groups of waiting tasks that are held back, so that each refusal is logged
//! once and status can tell why a job waits.

use super::round::{Hold, Round};
use crate::{
    state::{GroupNumber, PlacementState},
    time::Timestamp,
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after which a group without a harmless place is looked at again; each
/// look scores many workers.
const LOOK_AGAIN: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Held {
    hold: Hold,
    since: Instant,
}

/// The groups that the last round held back.
#[derive(Debug, Default)]
pub(super) struct Holds(BTreeMap<GroupNumber, Held>);

impl Holds {
    /// Takes in what a round held back.
    pub(super) fn take(&mut self, round: &Round, state: &PlacementState) {
        let now = round.now.instant;
        let mut held = BTreeMap::new();
        for (number, hold) in &round.held {
            let before = self.0.get(number).filter(|h| h.hold == *hold);
            let since = match before {
                Some(h) if now.duration_since(h.since) < LOOK_AGAIN => h.since,
                _ => now,
            };
            held.insert(*number, Held { hold: *hold, since });
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
                    reason = hold.as_str(),
                    "hold back"
                );
            }
        }
        self.0 = held;
    }

    /// Whether no harmless place was found for a group a moment ago.
    pub(super) fn is_harmful(&self, number: GroupNumber, now: Timestamp) -> bool {
        self.0.get(&number).is_some_and(|h| {
            h.hold == Hold::Harmful && now.instant.duration_since(h.since) < LOOK_AGAIN
        })
    }

    pub(super) fn get(&self, number: GroupNumber) -> Option<Hold> {
        self.0.get(&number).map(|h| h.hold)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (GroupNumber, Hold)> {
        self.0.iter().map(|(number, h)| (*number, h.hold))
    }
}
