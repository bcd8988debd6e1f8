//! What the planner remembers from round to round about room that is kept for urgent short tasks.

use super::super::{spec::StepId, state::IncarnationId};
use cyclamenloft_types::ServiceName;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Longest time between two rounds that counts as time in which a task saw free room. Rounds are
/// at most 0.1 s apart; a longer gap is a pause of the leader, of which nothing is known.
const MAX_ROUND_GAP: Duration = Duration::from_millis(500);
/// Factor by which the time without free room counts against the time with it. Short tasks that
/// follow one another leave room for moments, which isn't room that lasts.
const ROOM_LAPSE_FACTOR: u32 = 2;

/// Memory about one service.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct ServiceRoom {
    /// Room that first starts of long-running tasks may still take before urgent short tasks,
    /// in thousandths of a core.
    pub(in super::super) credit: u64,
    /// Room of the long-running tasks with a run, after the last round.
    pub(in super::super) lasting_cpu: u64,
    /// The worker that is kept for the first start of a step.
    pub(in super::super) held: Option<(StepId, IncarnationId)>,
}

/// A service that was short of room for urgent short tasks in the last round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShortOfRoom {
    /// The service.
    pub service: ServiceName,
    /// Free room in gaps that hold a short task after the round, in thousandths of a core, as all
    /// others here.
    pub usable: u64,
    /// Room of short tasks that are expected within seconds.
    pub expected: u64,
    /// Room that first starts of long-running tasks may take before short tasks.
    pub share: u64,
    /// The step for whose first start a worker is kept, and the worker's incarnation.
    pub kept: Option<(StepId, IncarnationId)>,
}

/// Memory about all services and waiting steps.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct UrgentRoom {
    pub(in super::super) services: BTreeMap<ServiceName, ServiceRoom>,
    /// Time for which a waiting step has seen free room for two of its tasks that was withheld.
    room_for: BTreeMap<StepId, Duration>,
    /// Time since which a step has had tasks that wait for their first start.
    first_starts_since: BTreeMap<StepId, Instant>,
    /// The services that were short of room in the last round.
    pub(in super::super) short: Vec<ShortOfRoom>,
    last_round: Option<Instant>,
}

impl UrgentRoom {
    /// Returns the number of steps from which free room for two tasks is withheld, or was a moment
    /// ago.
    pub(in super::super) fn withheld_count(&self) -> usize {
        self.room_for.len()
    }

    /// Returns for how long free room for two tasks has been withheld from the step.
    pub(in super::super) fn room_for(&self, step: StepId) -> Duration {
        self.room_for.get(&step).copied().unwrap_or_default()
    }

    /// Returns for how long tasks of the step have waited for their first start.
    pub(in super::super) fn first_start_wait(&self, step: StepId, now: Instant) -> Duration {
        let since = self.first_starts_since.get(&step);
        since.map_or(Duration::ZERO, |at| now.saturating_duration_since(*at))
    }

    /// Returns the steps with tasks that wait for their first start, and since when.
    pub(in super::super) fn first_starts(&self) -> impl Iterator<Item = (&StepId, &Instant)> {
        self.first_starts_since.iter()
    }

    /// Records the steps with tasks that wait for their first start. Those of a round that was
    /// `cut_short` are kept, since it didn't consider all.
    pub(in super::super) fn record_first_starts(
        &mut self,
        waiting: impl Iterator<Item = StepId>,
        cut_short: bool,
        now: Instant,
    ) {
        let known = std::mem::take(&mut self.first_starts_since);
        self.first_starts_since =
            waiting.map(|step| (step, known.get(&step).copied().unwrap_or(now))).collect();
        if cut_short {
            for (step, since) in known {
                self.first_starts_since.entry(step).or_insert(since);
            }
        }
    }

    /// Records from which steps free room for two of their tasks was withheld in a round, and
    /// which steps got room because it had been withheld for long.
    pub(in super::super) fn record_round(
        &mut self,
        withheld: &BTreeSet<StepId>,
        released: &BTreeSet<StepId>,
        now: Instant,
    ) {
        let since = self.last_round.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(since).min(MAX_ROUND_GAP);
        self.room_for.retain(|step, room_for| {
            if withheld.contains(step) {
                *room_for += passed;
                return true;
            }
            *room_for = room_for.saturating_sub(passed * ROOM_LAPSE_FACTOR);
            !released.contains(step) && *room_for > Duration::ZERO
        });
        for step in withheld {
            self.room_for.entry(*step).or_default();
        }
    }
}
