//! The queue of waiting tasks, grouped so that a decision on one task applies
//! to all tasks with the same attributes and no scan of the queue is needed.

use cyclamenloft_types::{JobClass, JobSpec, Priority, Resources, TaskKey, TeamName};
use std::collections::{BTreeMap, BTreeSet};

/// The deadline assumed for a batch task without one, counted from its submission.
const DEFAULT_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;

/// Identifies a group within the queue of this process.
pub(crate) type GroupNumber = u32;

/// The attributes shared by the waiting tasks of a group. If one of the tasks
/// fits nowhere, none of them does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingGroup {
    /// Priority of the tasks.
    pub priority: Priority,
    /// Team of the tasks.
    pub team: TeamName,
    /// Class of the tasks.
    pub class: JobClass,
    /// Resources that each task declares.
    pub resources: Resources,
}

/// The time by which a task should start, in wall-clock milliseconds since the
/// Unix epoch, and the task.
pub(crate) type DueTask = (u64, TaskKey);

#[derive(Clone, Debug)]
struct Group {
    attributes: WaitingGroup,
    tasks: BTreeSet<DueTask>,
}

type GroupKey = (Priority, TeamName, JobClass, (u32, u32, u16));

/// The groups of one priority and team, ordered by the due time of their first task.
pub(crate) type TeamQueue = BTreeSet<(u64, GroupNumber)>;

/// The waiting tasks of a placement group.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    numbers: BTreeMap<GroupKey, GroupNumber>,
    groups: BTreeMap<GroupNumber, Group>,
    team_queues: BTreeMap<Priority, BTreeMap<TeamName, TeamQueue>>,
    last_number: GroupNumber,
    depth: [usize; 3],
}

impl WaitingQueue {
    pub(crate) fn insert(&mut self, spec: &JobSpec, at_unix_ms: u64, key: TaskKey) {
        let group_key = group_key(spec);
        let number = *self.numbers.entry(group_key).or_insert_with(|| {
            self.last_number = self.last_number.wrapping_add(1);
            self.last_number
        });
        let group = self.groups.entry(number).or_insert_with(|| Group {
            attributes: WaitingGroup {
                priority: spec.priority,
                team: spec.team.clone(),
                class: spec.class.clone(),
                resources: spec.resources,
            },
            tasks: BTreeSet::new(),
        });
        let before = group.tasks.first().map(|t| t.0);
        if !group.tasks.insert((due_ms(spec, at_unix_ms), key)) {
            return;
        }
        let after = group.tasks.first().map(|t| t.0);
        self.depth[spec.priority as usize] += 1;
        self.update_team_queue(spec, number, before, after);
    }

    pub(crate) fn remove(&mut self, spec: &JobSpec, at_unix_ms: u64, key: &TaskKey) {
        let group_key = group_key(spec);
        let Some(&number) = self.numbers.get(&group_key) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&number) else {
            return;
        };
        let before = group.tasks.first().map(|t| t.0);
        if !group.tasks.remove(&(due_ms(spec, at_unix_ms), key.clone())) {
            return;
        }
        let after = group.tasks.first().map(|t| t.0);
        if after.is_none() {
            self.groups.remove(&number);
            self.numbers.remove(&group_key);
        }
        self.depth[spec.priority as usize] -= 1;
        self.update_team_queue(spec, number, before, after);
    }

    fn update_team_queue(
        &mut self,
        spec: &JobSpec,
        number: GroupNumber,
        before: Option<u64>,
        after: Option<u64>,
    ) {
        if before == after {
            return;
        }
        let teams = self.team_queues.entry(spec.priority).or_default();
        if !teams.contains_key(&spec.team) {
            teams.insert(spec.team.clone(), TeamQueue::new());
        }
        let Some(team_queue) = teams.get_mut(&spec.team) else {
            return;
        };
        if let Some(due) = before {
            team_queue.remove(&(due, number));
        }
        if let Some(due) = after {
            team_queue.insert((due, number));
        }
        if team_queue.is_empty() {
            teams.remove(&spec.team);
        }
    }

    /// Returns the teams with waiting tasks of `priority`, and their groups.
    pub(crate) fn team_queues(
        &self,
        priority: Priority,
    ) -> impl Iterator<Item = (&TeamName, &TeamQueue)> {
        self.team_queues.get(&priority).into_iter().flatten()
    }

    /// Returns the group of the waiting tasks of a job.
    pub(crate) fn number(&self, spec: &JobSpec) -> Option<GroupNumber> {
        self.numbers.get(&group_key(spec)).copied()
    }

    /// Returns a group and its tasks, ordered by due time.
    pub(crate) fn group(&self, number: GroupNumber) -> Option<(&WaitingGroup, &BTreeSet<DueTask>)> {
        self.groups.get(&number).map(|g| (&g.attributes, &g.tasks))
    }

    /// Returns all groups and their tasks.
    pub(crate) fn groups(&self) -> impl Iterator<Item = (&WaitingGroup, &BTreeSet<DueTask>)> {
        self.groups.values().map(|g| (&g.attributes, &g.tasks))
    }

    /// Returns whether groups, team queues and counts are consistent.
    pub(crate) fn is_consistent(&self) -> bool {
        let counted: usize = self.groups.values().map(|g| g.tasks.len()).sum();
        let is_in_team_queue = |number: &GroupNumber, group: &Group| {
            let due = group.tasks.first().map(|t| t.0);
            let team_queue = self
                .team_queues
                .get(&group.attributes.priority)
                .and_then(|t| t.get(&group.attributes.team));
            due.is_some_and(|due| team_queue.is_some_and(|q| q.contains(&(due, *number))))
        };
        let in_team_queues: usize =
            self.team_queues.values().flat_map(|t| t.values()).map(TeamQueue::len).sum();
        counted == self.depth.iter().sum::<usize>()
            && in_team_queues == self.groups.len()
            && self.numbers.len() == self.groups.len()
            && self.groups.iter().all(|(number, group)| is_in_team_queue(number, group))
    }

    /// Returns the number of waiting tasks of `priority`.
    pub(crate) fn depth(&self, priority: Priority) -> usize {
        self.depth[priority as usize]
    }
}

fn group_key(spec: &JobSpec) -> GroupKey {
    let r = spec.resources;
    let shape = (r.cpu_millis, r.memory_mib, r.accelerators);
    (spec.priority, spec.team.clone(), spec.class.clone(), shape)
}

/// Returns the time by which a task of the job should start, in milliseconds of
/// the wall clock. For a batch task this is the latest start that meets its
/// deadline, for any other task the time of submission.
pub(crate) fn due_ms(spec: &JobSpec, at_unix_ms: u64) -> u64 {
    match spec.priority {
        Priority::Batch => at_unix_ms
            .saturating_add(spec.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS))
            .saturating_sub(spec.run_time_ms),
        Priority::Service | Priority::Urgent => at_unix_ms,
    }
}
