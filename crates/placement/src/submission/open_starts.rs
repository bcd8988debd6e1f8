//! Starts that a worker may still carry out, as the group knows them.
//!
//! A start that got no answer may be carried out later, also by the next life of the worker after
//! the run has been given up. The leader knows which calls are under way, and the next leader knows
//! only that a start was placed and not settled.

use super::{
    command::WorkerInfo,
    spec::{SubmissionId, TaskId},
};
use cyclamenloft_types::{AttemptNumber, WorkerId};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};

/// A run, of any task, that was placed once.
pub type RunId = (TaskId, AttemptNumber);

/// The life of a worker to which a start was to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenStart {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Address of the worker.
    pub addr: SocketAddr,
    /// Start time of the life, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Time by which a run that the start begins has ended, in milliseconds since the Unix epoch; 0
    /// until the worker counts as lost.
    pub over_ms: u64,
}

impl From<&WorkerInfo> for OpenStart {
    fn from(worker: &WorkerInfo) -> Self {
        let WorkerInfo { id, addr, started_ms, .. } = worker;
        Self { worker: id.clone(), addr: *addr, started_ms: *started_ms, over_ms: 0 }
    }
}

/// The starts of open submissions that were placed and not settled.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OpenStarts {
    by_run: BTreeMap<RunId, OpenStart>,
}

impl OpenStarts {
    pub fn is_empty(&self) -> bool {
        self.by_run.is_empty()
    }

    /// Records that a run is placed on a worker.
    pub fn record(&mut self, run: RunId, worker: &WorkerInfo) {
        self.by_run.insert(run, worker.into());
    }

    /// Records the time by which a run that the start begins has ended.
    pub fn record_over(&mut self, run: RunId, over_ms: u64) {
        if let Some(start) = self.by_run.get_mut(&run) {
            start.over_ms = over_ms;
        }
    }

    /// Forgets a start that can't be carried out any more.
    pub fn forget(&mut self, run: RunId) {
        self.by_run.remove(&run);
    }

    /// Forgets the starts of a task that is done.
    pub fn forget_task(&mut self, task: TaskId) {
        self.forget_between(task, task);
    }

    /// Forgets the starts of a submission that has ended.
    pub fn forget_submission(&mut self, submission: SubmissionId) {
        let first = TaskId { submission, occurrence: 0, step: 0, index: 0 };
        let last = TaskId { submission, occurrence: u32::MAX, step: u16::MAX, index: u16::MAX };
        self.forget_between(first, last);
    }

    fn forget_between(&mut self, first: TaskId, last: TaskId) {
        let runs = self.by_run.range((first, 0)..=(last, AttemptNumber::MAX));
        let runs: Vec<RunId> = runs.map(|(run, _)| *run).collect();
        runs.iter().for_each(|run| drop(self.by_run.remove(run)));
    }

    /// Returns the starts of a task.
    pub fn of_task(&self, task: TaskId) -> impl Iterator<Item = (RunId, &OpenStart)> {
        let runs = self.by_run.range((task, 0)..=(task, AttemptNumber::MAX));
        runs.map(|(run, start)| (*run, start))
    }

    pub fn get(&self, run: RunId) -> Option<&OpenStart> {
        self.by_run.get(&run)
    }

    pub fn iter(&self) -> impl Iterator<Item = (RunId, &OpenStart)> {
        self.by_run.iter().map(|(run, start)| (*run, start))
    }
}
