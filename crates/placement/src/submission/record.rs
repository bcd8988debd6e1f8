//! The group's state of one submission and of one incarnation of a worker.

use super::{
    command::{EndReason, RunEnd, WorkerInfo},
    routes::QueuePolicy,
    spec::{Submission, TaskId},
};
use cyclamenloft_types::{AttemptNumber, LogIndex, Resources};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Number of an incarnation of a worker in the group's state.
pub type IncarnationId = u32;

/// Phase of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The submission is accepted. This phase ends when all its tasks are done,
    /// when one fails too often, or when it is cancelled.
    Open,
    /// All tasks are done.
    Complete,
    /// A task failed too often.
    Failed,
    /// The client cancelled the submission.
    Cancelled,
}

/// One run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Incarnation of the worker on which the run takes place.
    #[serde(rename = "life")]
    pub incarnation: IncarnationId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
}

/// State of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Number of the last attempt; 0 before the first.
    pub attempt: AttemptNumber,
    /// Number of attempts that failed. That of a gang is the largest of its members' numbers, see
    /// [`Record::failures`].
    pub failures: u16,
    /// Whether the task's work is done.
    pub done: bool,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
    /// Runs that may not have ended yet.
    pub runs: Vec<Run>,
    /// Incarnation on which the last failed run was. The next run goes elsewhere
    /// if possible, which shows whether the fault is the task's own.
    pub failed_on: Option<IncarnationId>,
}

/// State of one submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The submission as accepted.
    pub spec: Submission,
    /// Newest policy of the submission's queue.
    pub policy: QueuePolicy,
    /// Its phase.
    pub phase: Phase,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Log index of the acceptance, which orders submissions.
    pub seq: LogIndex,
    /// Whether a task of the submission has ever been placed.
    pub begun: bool,
    /// Tasks by occurrence, step and index.
    pub tasks: Vec<Vec<Vec<Task>>>,
    /// Number of tasks that are not done, by occurrence and step.
    pub left: Vec<Vec<u16>>,
}

impl Record {
    /// Returns the task with this id, which must belong to this submission.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.tasks
            .get(id.occurrence as usize)?
            .get(usize::from(id.step))?
            .get(usize::from(id.index))
    }

    /// Returns the tasks with their ids.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        let submission = self.spec.id;
        let occurrences = (0u32..).zip(&self.tasks);
        let steps = occurrences.flat_map(|(k, steps)| (0u16..).zip(steps).map(move |s| (k, s)));
        steps.flat_map(move |(occurrence, (step, tasks))| {
            let id = move |index| TaskId { submission, occurrence, step, index };
            (0u16..).zip(tasks).map(move |(index, task)| (id(index), task))
        })
    }

    pub(super) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.tasks
            .get_mut(id.occurrence as usize)?
            .get_mut(usize::from(id.step))?
            .get_mut(usize::from(id.index))
    }

    /// Returns whether the end counts although the group no longer has the run, because its
    /// worker was declared lost. The work of such a run is done nevertheless, and the worker
    /// may forget the end once it is acknowledged.
    #[must_use]
    pub fn accepts_late_end(&self, end: &RunEnd) -> bool {
        let lasting = self.spec.steps.get(usize::from(end.task.step)).is_none_or(|s| s.lasting);
        let is_open = |t: &Task| !t.done && end.attempt <= t.attempt;
        end.reason == EndReason::Done && !lasting && self.task(end.task).is_some_and(is_open)
    }

    /// Returns the number of failed attempts of the task or, if it is in one, of its gang.
    #[must_use]
    pub fn failures(&self, id: TaskId) -> u16 {
        let (k, step) = (id.occurrence as usize, usize::from(id.step));
        let gang = self.spec.steps.get(step).is_some_and(|s| s.gang);
        let members = self.tasks.get(k).and_then(|steps| steps.get(step)).filter(|_| gang);
        let largest = members.and_then(|m| m.iter().map(|t| t.failures).max());
        largest.or_else(|| self.task(id).map(|t| t.failures)).unwrap_or(0)
    }

    /// Counts the failure of a run of the task.
    ///
    /// An attempt of a gang counts once, however many members fail in it: the number of the first one
    /// rises above those of the others, whose own failures in the same attempt only level with it.
    pub(super) fn count_failure(&mut self, id: TaskId) {
        let of_gang = self.failures(id);
        let Some(task) = self.task_mut(id) else { return };
        let is_counted = task.failures < of_gang;
        task.failures = if is_counted { of_gang } else { of_gang.saturating_add(1) };
    }

    /// Prepares the task for the next attempt, whose first failure counts whichever member it is of.
    pub(super) fn level_failures(&mut self, id: TaskId) {
        let of_gang = self.failures(id);
        if let Some(task) = self.task_mut(id) {
            task.failures = of_gang;
        }
    }

    /// Applies the end of one gang member to the others: its success and its
    /// checkpoint count for the whole gang.
    pub(super) fn propagate_end(&mut self, end: &RunEnd, finished: bool) {
        let (k, step) = (end.task.occurrence as usize, usize::from(end.task.step));
        for (i, task) in self.tasks[k][step].iter_mut().enumerate() {
            if i == usize::from(end.task.index) {
                continue;
            }
            if finished && !task.done {
                task.done = true;
                self.left[k][step] -= 1;
            }
            if !end.checkpoint.is_empty() {
                task.checkpoint = end.checkpoint.clone();
            }
        }
    }

    /// Sets the newest checkpoint of a task and, if it is in a gang, of all members.
    pub(super) fn set_checkpoint(&mut self, id: TaskId, checkpoint: &str) {
        let (k, step) = (id.occurrence as usize, usize::from(id.step));
        let gang = self.spec.steps.get(step).is_some_and(|s| s.gang);
        let Some(tasks) = self.tasks.get_mut(k).and_then(|steps| steps.get_mut(step)) else {
            return;
        };
        let is_set = |(i, _): &(usize, &mut Task)| gang || *i == usize::from(id.index);
        for (_, task) in tasks.iter_mut().enumerate().filter(is_set) {
            task.checkpoint = checkpoint.into();
        }
    }

    /// Returns whether a member of the task's gang has no run, in which case the
    /// others can't proceed.
    #[must_use]
    pub fn is_broken(&self, task: TaskId) -> bool {
        let (k, step) = (task.occurrence as usize, usize::from(task.step));
        let gang = self.spec.steps.get(step).is_some_and(|s| s.gang);
        let members = self.tasks.get(k).and_then(|steps| steps.get(step));
        gang && members.is_some_and(|m| m.iter().any(|t| !t.done && t.runs.is_empty()))
    }

    /// Returns whether all steps that `step` depends on are done in this
    /// occurrence.
    #[must_use]
    pub fn is_due(&self, occurrence: usize, step: usize) -> bool {
        let left = &self.left[occurrence];
        self.spec.steps[step].depends_on.iter().all(|d| left[usize::from(*d)] == 0)
    }
}

/// State of one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Data that the worker reports about itself.
    pub worker: WorkerInfo,
    /// Tasks with a run on the incarnation that may not have ended yet.
    pub runs: BTreeSet<TaskId>,
    /// Resources reserved by these runs.
    pub reserved: Resources,
}
