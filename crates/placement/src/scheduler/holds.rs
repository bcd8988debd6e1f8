//! Groups of waiting tasks that are held back, so that each refusal is logged
//! once and status can tell why a job waits.

use super::round::{Hold, Round};
use crate::state::{GroupNumber, PlacementState};
use std::collections::BTreeMap;

/// The groups that the last round held back.
#[derive(Debug, Default)]
pub(super) struct Holds(BTreeMap<GroupNumber, Hold>);

impl Holds {
    /// Takes in what a round held back.
    pub(super) fn take(&mut self, round: &Round, state: &PlacementState) {
        for (number, hold) in &round.held {
            if self.0.get(number) == Some(hold) {
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
        self.0.clone_from(&round.held);
    }

    pub(super) fn get(&self, number: GroupNumber) -> Option<Hold> {
        self.0.get(&number).copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (GroupNumber, Hold)> {
        self.0.iter().map(|(number, hold)| (*number, *hold))
    }
}
