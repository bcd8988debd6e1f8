//! Placements: the waiting tasks in their order, and a worker for each.

use super::{
    Scheduler,
    fit::{Choice, Want},
    round::{Hold, Round},
    team_cursor::{LaneCursor, Next},
};
use crate::{
    command::{Command, Placement},
    state::PlacementState,
    time::Timestamp,
};
use cyclamenloft_types::{Priority, Resources};

/// Most tasks placed by one log entry.
pub(super) const MAX_BATCH: usize = 256;
/// Most groups of one priority that are looked at in one round.
const MAX_GROUPS: usize = 4096;
/// Most groups of one priority that may find room but no harmless place in one
/// round; each costs a look at many workers.
const MAX_HARMFUL: usize = 16;
/// Time before its latest start from which a batch task goes before the fair order.
const PRESSED_MS: u64 = 10 * 60 * 1000;

impl Scheduler {
    /// Places waiting tasks: urgent ones, then replicas of services, then batch.
    pub(super) fn placements(&mut self, state: &PlacementState, now: Timestamp) -> Option<Command> {
        self.planned.expire(now);
        self.retry_at.retain(|_, at| *at > now.instant);
        let mut round = Round::new(now);
        for priority in [Priority::Urgent, Priority::Service, Priority::Batch] {
            self.place_priority(state, priority, &mut round);
        }
        self.note_trials(&round);
        self.holds.take(&round, state);
        self.blocked = round.blocked;
        let placements = round.placements;
        if placements.is_empty() { None } else { Some(Command::Place(placements)) }
    }

    fn place_priority(&mut self, state: &PlacementState, priority: Priority, round: &mut Round) {
        let mut lanes: Vec<LaneCursor<'_>> = state
            .lanes(priority)
            .map(|(team, lane)| LaneCursor::new(state, &self.policy, team, lane))
            .collect();
        let (mut looked_at, mut harmful) = (0, 0);
        while round.placements.len() < MAX_BATCH && looked_at < MAX_GROUPS && harmful < MAX_HARMFUL
        {
            let Some(lane) = next_lane(&mut lanes, priority, round.now) else {
                return;
            };
            let Some(next) = lane.next() else {
                continue;
            };
            match self.place_next(state, lane, &next, round) {
                None => lane.again(&next),
                Some(hold) => {
                    let again = !self.holds.is_harmful(next.number, round.now);
                    looked_at += 1;
                    harmful += usize::from(hold == Hold::Harmful && again);
                    round.hold(next.number, hold);
                }
            }
        }
    }

    /// Places one task, or tells why its whole group is held back.
    fn place_next(
        &mut self,
        state: &PlacementState,
        lane: &mut LaneCursor<'_>,
        next: &Next<'_>,
        round: &mut Round,
    ) -> Option<Hold> {
        let group = next.group;
        if self.planned.contains(next.key) || self.retry_at.contains_key(next.key) {
            return None;
        }
        if self.holds.is_harmful(next.number, round.now) {
            return Some(Hold::Harmful);
        }
        let (job, task) = state.job(&next.key.job).zip(state.task(next.key))?;
        let need = self.need(state, group.class.as_ref(), group.resources);
        if !lane.within_quota(&need) {
            return Some(Hold::Quota);
        }
        if round.is_too_large(&need) {
            self.block(next, need, round);
            return Some(Hold::NoRoom);
        }
        let want = Want { key: next.key, job, need };
        match self.choose(state, &want, round) {
            Choice::Worker(chosen) => {
                let placement = Placement {
                    task: next.key.clone(),
                    attempt: task.attempt + 1,
                    worker: chosen.record.id.clone(),
                    boot: chosen.record.boot,
                    reserved: need,
                };
                lane.reserve(&need);
                self.claims.remove(next.key);
                self.quarantine.placed(&placement.worker, next.key, round.now);
                self.planned.insert(&placement, round.now);
                round.placed(&want, chosen, placement, &self.learned);
                None
            }
            Choice::NoRoom => {
                round.too_large(need);
                self.block(next, need, round);
                Some(Hold::NoRoom)
            }
            Choice::Harmful => Some(Hold::Harmful),
        }
    }

    /// Remembers the first tasks of a group that need others to make room.
    fn block(&self, next: &Next<'_>, need: Resources, round: &mut Round) {
        if next.group.priority == Priority::Batch {
            return;
        }
        let tasks = next.tasks.iter().map(|(_, key)| key);
        let waiting =
            tasks.filter(|k| !self.planned.contains(k) && !self.retry_at.contains_key(*k));
        round.block(next.group.priority, waiting, need);
    }

    /// What a task of the class is given: never more than some worker holds.
    fn need(&self, state: &PlacementState, class: &str, declared: Resources) -> Resources {
        if !self.learns() {
            return declared;
        }
        let learned = self.learned.usage.reservation(class, declared);
        if learned == declared || state.fits_some_worker(&learned) {
            return learned;
        }
        state.largest_worker().map_or(declared, |l| {
            let capped = learned.min(&l).max(&declared);
            if state.fits_some_worker(&capped) { capped } else { declared }
        })
    }
}

/// The team whose task comes next: for batch the pressed one with the earliest
/// due time, else the one with the least dominant share; before batch, in the
/// order of submission.
fn next_lane<'l, 's>(
    lanes: &'l mut Vec<LaneCursor<'s>>,
    priority: Priority,
    now: Timestamp,
) -> Option<&'l mut LaneCursor<'s>> {
    lanes.retain_mut(|lane| lane.due().is_some());
    let pressed_until = now.unix_ms() + PRESSED_MS;
    let order = |lane: &mut LaneCursor<'s>| {
        let due = lane.due().unwrap_or(u64::MAX);
        let by_due = priority != Priority::Batch || due <= pressed_until;
        if by_due { (0, due) } else { (1, lane.share()) }
    };
    let mut best: Option<(usize, (u8, u64))> = None;
    for (index, lane) in lanes.iter_mut().enumerate() {
        let rank = order(lane);
        if best.is_none_or(|(_, least)| rank < least) {
            best = Some((index, rank));
        }
    }
    best.and_then(|(index, _)| lanes.get_mut(index))
}
