//! Placement of waiting tasks: their order, and a worker for each.

use super::{
    Scheduler,
    fit::{Choice, PlacementRequest},
    round::{HoldReason, Round},
    team_cursor::{NextTask, TeamCursor},
};
use crate::{
    command::{Command, Placement},
    state::PlacementState,
    time::Timestamp,
};
use cyclamenloft_types::{Priority, Resources};

/// Limit on the tasks placed by one log entry.
pub(super) const MAX_PLACEMENTS_PER_ENTRY: usize = 256;
/// Limit on the groups of one priority that one round holds back before it
/// stops looking for tasks to place.
const MAX_HELD_GROUPS: usize = 4096;
/// Limit on the groups of one priority that one round holds back because of
/// harm to services; many workers are scored for each of them.
const MAX_HARMFUL_GROUPS: usize = 16;
/// Time before its latest start from which a batch task is placed ahead of the
/// fair order of teams.
const NEAR_DUE_MS: u64 = 10 * 60 * 1000;

impl Scheduler {
    /// Places waiting tasks: urgent ones, then replicas of services, then batch.
    pub(super) fn place_waiting(
        &mut self,
        state: &PlacementState,
        now: Timestamp,
    ) -> Option<Command> {
        self.proposed_placements.expire(now);
        self.retry_at.retain(|_, at| *at > now.instant);
        let mut round = Round::new(now);
        for priority in [Priority::Urgent, Priority::Service, Priority::Batch] {
            self.place_priority(state, priority, &mut round);
        }
        self.record_trials(&round);
        self.holds.update(&round, state);
        self.blocked = round.blocked;
        let placements = round.placements;
        if placements.is_empty() { None } else { Some(Command::Place(placements)) }
    }

    fn place_priority(&mut self, state: &PlacementState, priority: Priority, round: &mut Round) {
        let mut cursors: Vec<TeamCursor<'_>> = state
            .team_queues(priority)
            .map(|(team, queue)| TeamCursor::new(state, &self.policy, team, queue))
            .collect();
        let (mut held, mut harmful) = (0, 0);
        while round.placements.len() < MAX_PLACEMENTS_PER_ENTRY
            && held < MAX_HELD_GROUPS
            && harmful < MAX_HARMFUL_GROUPS
        {
            let Some(cursor) = next_cursor(&mut cursors, priority, round.now) else {
                return;
            };
            let Some(next) = cursor.next() else {
                continue;
            };
            match self.place_next(state, cursor, &next, round) {
                None => cursor.put_back(&next),
                Some(reason) => {
                    // No worker is scored for a group whose hold was kept from
                    // an earlier round.
                    let scored = !self.holds.is_harmful(next.number, round.now);
                    held += 1;
                    harmful += usize::from(reason == HoldReason::Harmful && scored);
                    round.hold(next.number, reason);
                }
            }
        }
    }

    /// Places one task, or returns why its whole group is held back.
    fn place_next(
        &mut self,
        state: &PlacementState,
        cursor: &mut TeamCursor<'_>,
        next: &NextTask<'_>,
        round: &mut Round,
    ) -> Option<HoldReason> {
        let group = next.group;
        if self.proposed_placements.contains(next.key) || self.retry_at.contains_key(next.key) {
            return None;
        }
        if self.holds.is_harmful(next.number, round.now) {
            return Some(HoldReason::Harmful);
        }
        let (job, task) = state.job(&next.key.job).zip(state.task(next.key))?;
        let need = self.reservation(state, group.class.as_ref(), group.resources);
        if !cursor.within_quota(&need) {
            return Some(HoldReason::Quota);
        }
        if round.is_too_large(&need) {
            self.block(next, need, round);
            return Some(HoldReason::NoRoom);
        }
        let req = PlacementRequest { key: next.key, job, need };
        match self.choose(state, &req, round) {
            Choice::Worker(chosen) => {
                let placement = Placement {
                    task: next.key.clone(),
                    attempt: task.attempt + 1,
                    worker: chosen.record.id.clone(),
                    boot: chosen.record.boot,
                    reserved: need,
                };
                cursor.reserve(&need);
                self.claims.remove(next.key);
                self.quarantine.on_placed(&placement.worker, next.key, round.now);
                self.proposed_placements.insert(&placement, round.now);
                round.record_placement(&req, chosen, placement, &self.learned);
                None
            }
            Choice::NoRoom => {
                round.mark_too_large(need);
                self.block(next, need, round);
                Some(HoldReason::NoRoom)
            }
            Choice::Harmful => Some(HoldReason::Harmful),
        }
    }

    /// Records the first tasks of a group without room, which may preempt others.
    /// Batch tasks do not preempt others.
    fn block(&self, next: &NextTask<'_>, need: Resources, round: &mut Round) {
        if next.group.priority == Priority::Batch {
            return;
        }
        let tasks = next.tasks.iter().map(|(_, key)| key);
        let waiting = tasks
            .filter(|k| !self.proposed_placements.contains(k) && !self.retry_at.contains_key(*k));
        round.block(next.group.priority, waiting, need);
    }

    /// Returns what to reserve for a task of the class: the learned size, capped
    /// so that it fits some worker.
    fn reservation(&self, state: &PlacementState, class: &str, declared: Resources) -> Resources {
        if !self.uses_learned_models() {
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

/// Returns the cursor of the team whose task is placed next. Urgent tasks and
/// services go in the order of submission. For batch, tasks near their latest
/// start go first, ordered by due time; then the team with the smallest weighted
/// dominant share.
fn next_cursor<'l, 's>(
    cursors: &'l mut Vec<TeamCursor<'s>>,
    priority: Priority,
    now: Timestamp,
) -> Option<&'l mut TeamCursor<'s>> {
    cursors.retain_mut(|cursor| cursor.next_due_ms().is_some());
    let near_due_until = now.unix_ms() + NEAR_DUE_MS;
    let order = |cursor: &mut TeamCursor<'s>| {
        let due = cursor.next_due_ms().unwrap_or(u64::MAX);
        let by_due = priority != Priority::Batch || due <= near_due_until;
        if by_due { (0, due) } else { (1, cursor.weighted_share()) }
    };
    let mut best: Option<(usize, (u8, u64))> = None;
    for (index, cursor) in cursors.iter_mut().enumerate() {
        let rank = order(cursor);
        if best.is_none_or(|(_, least)| rank < least) {
            best = Some((index, rank));
        }
    }
    best.and_then(|(index, _)| cursors.get_mut(index))
}
