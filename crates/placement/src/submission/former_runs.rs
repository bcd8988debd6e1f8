//! Runs on former lives of workers, whose starts the next life of the worker may carry out.
//!
//! A leader keeps such tasks back until the next life has answered it. A leader that is elected before
//! that knows of them only from the replicated state.

use super::spec::{SubmissionId, TaskId};
use cyclamenloft_types::{AttemptNumber, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The runs on the former lives of one worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OfWorker {
    /// Start time of the newest life, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The last attempt of each task.
    pub runs: BTreeMap<TaskId, AttemptNumber>,
}

/// Runs on former lives, by worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct FormerRuns {
    by_worker: BTreeMap<WorkerId, OfWorker>,
}

impl FormerRuns {
    pub fn is_empty(&self) -> bool {
        self.by_worker.is_empty()
    }

    /// Records that a life that began at `started_ms` has taken the place of one with these runs. Of
    /// the runs on lives before, only those that `is_current` are kept.
    pub fn record(
        &mut self,
        worker: &WorkerId,
        started_ms: u64,
        runs: impl IntoIterator<Item = (TaskId, AttemptNumber)>,
        is_current: impl Fn(TaskId, AttemptNumber) -> bool,
    ) {
        let mut known = self.by_worker.remove(worker).unwrap_or_default();
        known.runs.retain(|task, attempt| is_current(*task, *attempt));
        known.runs.extend(runs);
        known.started_ms = started_ms;
        if !known.runs.is_empty() {
            self.by_worker.insert(worker.clone(), known);
        }
    }

    /// Forgets the runs of a submission.
    pub fn forget(&mut self, id: SubmissionId) {
        for of_worker in self.by_worker.values_mut() {
            of_worker.runs.retain(|task, _| task.submission != id);
        }
        self.by_worker.retain(|_, of_worker| !of_worker.runs.is_empty());
    }

    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &OfWorker)> {
        self.by_worker.iter()
    }
}
