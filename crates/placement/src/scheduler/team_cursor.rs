//! Walking through the waiting tasks of one team in the order of their due times.

use crate::{
    policy::PlacementPolicy,
    state::{DueTask, GroupNumber, Lane, PlacementState, Totals, WaitingGroup},
};
use cyclamenloft_types::{Resources, TaskKey, TeamName};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, btree_set},
    iter::Peekable,
};

/// The next waiting task of a lane.
pub(super) struct Next<'a> {
    pub(super) number: GroupNumber,
    pub(super) group: &'a WaitingGroup,
    pub(super) tasks: &'a BTreeSet<DueTask>,
    pub(super) key: &'a TaskKey,
}

/// A walk through the waiting tasks of one priority and team. Groups are
/// opened only when their first task is due next.
pub(super) struct LaneCursor<'a> {
    state: &'a PlacementState,
    heads: Peekable<btree_set::Iter<'a, (u64, GroupNumber)>>,
    open: BinaryHeap<Reverse<(u64, GroupNumber)>>,
    tasks: BTreeMap<GroupNumber, Peekable<btree_set::Iter<'a, DueTask>>>,
    whole: Totals,
    used: Totals,
    quota: Option<Totals>,
    weight: u64,
}

impl<'a> LaneCursor<'a> {
    pub(super) fn new(
        state: &'a PlacementState,
        policy: &PlacementPolicy,
        team: &TeamName,
        lane: &'a Lane,
    ) -> Self {
        let rules = policy.team(team);
        Self {
            state,
            heads: lane.iter().peekable(),
            open: BinaryHeap::new(),
            tasks: BTreeMap::new(),
            whole: state.capacity(),
            used: state.team_reserved(team),
            quota: rules.and_then(|r| r.quota),
            weight: rules.map_or(1, |r| u64::from(r.weight.max(1))),
        }
    }

    /// When the lane's next task is due, in milliseconds of the wall clock.
    pub(super) fn due(&mut self) -> Option<u64> {
        let head = self.heads.peek().map(|(due, _)| *due);
        let open = self.open.peek().map(|Reverse((due, _))| *due);
        match (head, open) {
            (Some(head), Some(open)) => Some(head.min(open)),
            (head, open) => head.or(open),
        }
    }

    /// The team's dominant share of all capacity by its weight.
    pub(super) fn share(&self) -> u64 {
        self.used.dominant_share(&self.whole) / self.weight
    }

    /// Whether the team may have `need` besides what it has.
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

    /// Takes the next task; the rest of its group waits until [`Self::again`].
    pub(super) fn next(&mut self) -> Option<Next<'a>> {
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
        Some(Next { number, group, tasks, key })
    }

    /// Puts the rest of a task's group back in.
    pub(super) fn again(&mut self, next: &Next<'a>) {
        if let Some((due, _)) = self.tasks.get_mut(&next.number).and_then(Peekable::peek) {
            self.open.push(Reverse((*due, next.number)));
        }
    }
}
