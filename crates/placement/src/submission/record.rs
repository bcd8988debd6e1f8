//! What the group knows of one submission, and of one life of a worker.

use super::{
    command::{EndHow, RunEnd, WorkerLife},
    routes::QueuePolicy,
    spec::{Submission, TaskId},
};
use cyclamenloft_types::{AttemptNumber, LogIndex, Resources};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Number of a worker's life in the group's state.
pub type LifeId = u32;

/// How far a submission is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Accepted; it ends when its tasks have, or when it is cancelled.
    Open,
    /// All tasks are done.
    Complete,
    /// A task failed too often.
    Failed,
    /// A client cancelled it.
    Cancelled,
}

/// One run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Where it runs.
    pub life: LifeId,
    /// Number of the start.
    pub attempt: AttemptNumber,
}

/// One task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Number of the last start; 0 before the first.
    pub attempt: AttemptNumber,
    /// Runs that ended as failed.
    pub failures: u16,
    /// The task's work is done.
    pub done: bool,
    /// Newest checkpoint; empty where there is none.
    pub checkpoint: Box<str>,
    /// Runs that may be going on.
    pub runs: Vec<Run>,
    /// Where its last run failed. Another worker tells whether the fault is the
    /// task's own.
    pub failed_on: Option<LifeId>,
}

/// A submission as the group knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What was submitted.
    pub spec: Submission,
    /// Policy of its queue, as last configured.
    pub policy: QueuePolicy,
    /// How far it is.
    pub phase: Phase,
    /// When it was accepted, in milliseconds since 1970.
    pub at_ms: u64,
    /// Order of acceptance.
    pub seq: LogIndex,
    /// A task of it has been started.
    pub begun: bool,
    /// Tasks by occurrence, step and index.
    pub tasks: Vec<Vec<Vec<Task>>>,
    /// Tasks of each occurrence and step that are not done.
    pub left: Vec<Vec<u16>>,
}

impl Record {
    /// The task with this id, which must be of this submission.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.tasks
            .get(id.occurrence as usize)?
            .get(usize::from(id.step))?
            .get(usize::from(id.index))
    }

    pub(super) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.tasks
            .get_mut(id.occurrence as usize)?
            .get_mut(usize::from(id.step))?
            .get_mut(usize::from(id.index))
    }

    /// The end of one member is the end of its gang: done, failed, and the newest
    /// checkpoint hold for all.
    pub(super) fn share_end(&mut self, end: &RunEnd, finished: bool) {
        let (k, step) = (end.task.occurrence as usize, usize::from(end.task.step));
        for (i, task) in self.tasks[k][step].iter_mut().enumerate() {
            if i == usize::from(end.task.index) {
                continue;
            }
            if finished && !task.done {
                task.done = true;
                self.left[k][step] -= 1;
            }
            if end.how == EndHow::Failed {
                task.failures = task.failures.saturating_add(1);
            }
            if !end.checkpoint.is_empty() {
                task.checkpoint = end.checkpoint.clone();
            }
        }
    }

    /// Whether a member of the task's gang has no run, so that the others can't
    /// work.
    #[must_use]
    pub fn is_broken(&self, task: TaskId) -> bool {
        let (k, step) = (task.occurrence as usize, usize::from(task.step));
        let gang = self.spec.steps.get(step).is_some_and(|s| s.gang);
        let members = self.tasks.get(k).and_then(|steps| steps.get(step));
        gang && members.is_some_and(|m| m.iter().any(|t| !t.done && t.runs.is_empty()))
    }

    /// Whether all steps that `step` depends on are done in this occurrence.
    #[must_use]
    pub fn is_due(&self, occurrence: usize, step: usize) -> bool {
        let left = &self.left[occurrence];
        self.spec.steps[step].depends_on.iter().all(|d| left[usize::from(*d)] == 0)
    }
}

/// A worker's life as the group knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// What the worker says of itself.
    pub worker: WorkerLife,
    /// Runs that may be going on there.
    pub runs: BTreeSet<TaskId>,
    /// What these runs reserve.
    pub reserved: Resources,
}
