//! Which tasks a new leader has to bring back.

use super::{
    super::{
        spec::TaskId,
        state::{Phase, SubmissionState},
    },
    Fleet,
};
use std::collections::BTreeSet;

/// Returns the long-running tasks that have been placed before and are to run.
#[must_use]
pub fn begun_long_tasks(state: &SubmissionState) -> BTreeSet<TaskId> {
    let mut begun = BTreeSet::new();
    for record in state.open() {
        for (occurrence, steps) in (0..).zip(&record.tasks) {
            for (step, tasks) in (0..).zip(steps) {
                if !record.spec.steps[usize::from(step)].lasting {
                    continue;
                }
                let submission = record.spec.id;
                let id = |index| TaskId { submission, occurrence, step, index };
                let placed = (0..).zip(tasks).filter(|(_, t)| t.attempt > 0 && !t.done);
                begun.extend(placed.map(|(index, _)| id(index)));
            }
        }
    }
    begun
}

impl Fleet {
    /// Returns whether a worker has confirmed that it runs the task, or the task's submission is
    /// over.
    #[must_use]
    pub fn is_back(&self, state: &SubmissionState, task: TaskId) -> bool {
        let Some(record) = state.record(task.submission) else { return true };
        let Some(known) = record.task(task) else { return true };
        let runs = known.runs.iter().any(|run| {
            let view = self.views.get(&run.incarnation).and_then(|v| v.runs.get(&task));
            view.is_some_and(|v| {
                v.attempt == run.attempt && v.started.is_some() && v.stopped.is_none()
            })
        });
        runs || known.done || record.phase != Phase::Open
    }
}
