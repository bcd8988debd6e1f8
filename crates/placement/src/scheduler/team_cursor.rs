//! Iteration over the waiting tasks of one team in the order of due times.

use crate::{
    policy::PlacementPolicy,
    state::{DueTask, GroupNumber, PlacementState, TeamQueue, Totals, WaitingGroup},
};
use cyclamenloft_types::{Resources, TaskKey, TeamName};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, btree_set},
    iter::Peekable,
};

/// The next waiting task of a team, with its group.
pub(super) struct NextTask<'a> {
    pub(super) number: GroupNumber,
    pub(super) group: &'a WaitingGroup,
    pub(super) tasks: &'a BTreeSet<DueTask>,
    pub(super) key: &'a TaskKey,
}

/// A cursor over the waiting tasks of one priority and team. A group is opened
/// only when its first task is due next.
pub(super) struct TeamCursor<'a> {
    state: &'a PlacementState,
    /// Groups that are not opened yet, by the due time of their first task.
    heads: Peekable<btree_set::Iter<'a, (u64, GroupNumber)>>,
    /// Opened groups, by the due time of their next task.
    open: BinaryHeap<Reverse<(u64, GroupNumber)>>,
    tasks: BTreeMap<GroupNumber, Peekable<btree_set::Iter<'a, DueTask>>>,
    capacity: Totals,
    used: Totals,
    quota: Option<Totals>,
    weight: u64,
}

impl<'a> TeamCursor<'a> {
    pub(super) fn new(
        state: &'a PlacementState,
        policy: &PlacementPolicy,
        team: &TeamName,
        queue: &'a TeamQueue,
    ) -> Self {
        let team_policy = policy.team(team);
        Self {
            state,
            heads: queue.iter().peekable(),
            open: BinaryHeap::new(),
            tasks: BTreeMap::new(),
            capacity: state.capacity(),
            used: state.team_reserved(team),
            quota: team_policy.and_then(|p| p.quota),
            weight: team_policy.map_or(1, |p| u64::from(p.weight.max(1))),
        }
    }

    /// Returns when the next task is due, in wall-clock milliseconds since the
    /// Unix epoch.
    pub(super) fn next_due_ms(&mut self) -> Option<u64> {
        let head = self.heads.peek().map(|(due, _)| *due);
        let open = self.open.peek().map(|Reverse((due, _))| *due);
        match (head, open) {
            (Some(head), Some(open)) => Some(head.min(open)),
            (head, open) => head.or(open),
        }
    }

    /// Returns the team's dominant share of the capacity divided by its weight.
    pub(super) fn weighted_share(&self) -> u64 {
        self.used.dominant_share(&self.capacity) / self.weight
    }

    /// Returns whether the team's quota allows `need` in addition to what the team
    /// has reserved.
    pub(super) fn within_quota(&self, need: &Resources) -> bool {
        let Some(quota) = self.quota else {
            return true;
        };
        let mut sum = self.used;
        sum.add(need);
        sum.cpu_millis <= quota.cpu_millis
            && sum.memory_mib <= quota.memory_mib
            && sum.accelerators <= quota.accelerators
    }

    pub(super) fn reserve(&mut self, need: &Resources) {
        self.used.add(need);
    }

    /// Returns the next task. The rest of its group is skipped unless
    /// [`Self::put_back`] is called.
    pub(super) fn next(&mut self) -> Option<NextTask<'a>> {
        let open = self.open.peek().map(|Reverse((due, _))| *due);
        let number = match self.heads.peek() {
            Some((due, number)) if open.is_none_or(|o| *due <= o) => {
                let number = *number;
                self.heads.next();
                let (_, tasks) = self.state.group(number)?;
                self.tasks.insert(number, tasks.iter().peekable());
                number
            }
            _ => self.open.pop()?.0.1,
        };
        let (group, tasks) = self.state.group(number)?;
        let (_, key) = self.tasks.get_mut(&number)?.next()?;
        Some(NextTask { number, group, tasks, key })
    }

    /// Undoes the skip by [`Self::next`]: the rest of the task's group is
    /// returned by later calls.
    pub(super) fn put_back(&mut self, next: &NextTask<'a>) {
        if let Some((due, _)) = self.tasks.get_mut(&next.number).and_then(Peekable::peek) {
            self.open.push(Reverse((*due, next.number)));
        }
    }
}
