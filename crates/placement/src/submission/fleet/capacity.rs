//! Workers whose capacity has shrunk below what is placed on them.

use super::{
    super::{
        spec::TaskId,
        state::{Incarnation, IncarnationId, SubmissionState},
    },
    Fleet, WorkerView, known_run,
};
use cyclamenloft_types::Resources;
use std::time::Instant;

impl Fleet {
    /// Withdraws runs that have not been started and no longer fit into their worker's capacity.
    /// What runs already goes on. Returns the withdrawn runs.
    pub fn withdraw_oversized(
        &mut self,
        state: &SubmissionState,
        now: Instant,
    ) -> Vec<(IncarnationId, TaskId)> {
        let mut withdrawn = Vec::new();
        for (id, incarnation) in state.incarnations() {
            let Some(view) = self.views.get_mut(&id).filter(|v| v.synced) else { continue };
            if view.fits_capacity(incarnation) {
                continue;
            }
            let runs = incarnation.runs.iter().filter_map(|t| known_run(state, id, *t));
            let mut used = Some(view.stray_reserved);
            let mut unstarted = Vec::new();
            for (task, record, run) in runs {
                let step = &record.spec.steps[usize::from(task.step)];
                let run_view = view.run_view(task, run.attempt, step, now);
                if run_view.started.is_some() {
                    used = used.and_then(|used| used.checked_add(&step.reserved()));
                } else if !run_view.withdrawn {
                    unstarted.push((task, step.reserved()));
                }
            }
            for (task, need) in unstarted {
                let sum = used.and_then(|used| used.checked_add(&need));
                if sum.is_some_and(|sum| sum.fits_in(&incarnation.worker.capacity)) {
                    used = sum;
                } else if let Some(run) = view.runs.get_mut(&task) {
                    run.withdrawn = true;
                    withdrawn.push((id, task));
                }
            }
        }
        withdrawn
    }
}

impl WorkerView {
    /// Returns whether all runs that may be on the worker fit into its capacity, including those
    /// that are being stopped and those that the group doesn't know.
    pub(super) fn fits_capacity(&self, incarnation: &Incarnation) -> bool {
        let used = incarnation.reserved.checked_add(&self.stray_reserved);
        used.is_some_and(|used| used.fits_in(&incarnation.worker.capacity))
    }

    /// Returns the resources of runs that the worker lists but the group doesn't know.
    pub(in crate::submission) fn stray_reserved(&self) -> Resources {
        self.stray_reserved
    }
}
