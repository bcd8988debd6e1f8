//! Runs on former lives of workers, whose starts the next life of the worker may carry out.
//!
//! A leader keeps such tasks back until the next life has answered it. A leader that is elected before
//! that knows of them only from the replicated state.

use super::spec::{SubmissionId, TaskId};
use cyclamenloft_types::{AttemptNumber, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The tasks whose last run ended because another life of its worker took the place of the one on
/// which it ran, until they are placed again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct FormerRuns {
    by_task: BTreeMap<TaskId, (WorkerId, AttemptNumber)>,
}

impl FormerRuns {
    pub fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// Records that a run has ended because another life of `worker` has begun.
    pub fn record(&mut self, task: TaskId, attempt: AttemptNumber, worker: &WorkerId) {
        self.by_task.insert(task, (worker.clone(), attempt));
    }

    /// Forgets the run of a task that is placed again.
    pub fn forget(&mut self, task: TaskId) {
        self.by_task.remove(&task);
    }

    /// Forgets the runs of a submission that has ended.
    pub fn forget_submission(&mut self, id: SubmissionId) {
        self.by_task.retain(|task, _| task.submission != id);
    }

    /// Returns the runs by worker.
    pub fn by_worker(&self) -> BTreeMap<&WorkerId, Vec<(TaskId, AttemptNumber)>> {
        let mut by_worker: BTreeMap<&WorkerId, Vec<_>> = BTreeMap::new();
        for (task, (worker, attempt)) in &self.by_task {
            by_worker.entry(worker).or_default().push((*task, *attempt));
        }
        by_worker
    }
}
