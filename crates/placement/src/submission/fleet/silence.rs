//! What ran on a worker when it became unreachable.
//!
//! A worker that crashed gives no account of it. How long each of its runs had gone on tells
//! which of them may have brought it down.

use super::{
    super::{
        spec::TaskId,
        state::{IncarnationId, SubmissionState},
    },
    Fleet, known_run,
    run::RunView,
};
use std::time::{Duration, Instant};

/// How long the leader waits before it takes stock of an unreachable worker's runs. The answers
/// to orders that were under way arrive later than the failure of a poll.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// A run on an unreachable worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilentRun {
    /// The task.
    pub task: TaskId,
    /// How long the run had gone on, or `None` if this leader can't tell. It is zero for a start
    /// that got no answer.
    pub age: Option<Duration>,
}

impl Fleet {
    /// Returns the incarnations that have become unreachable since the last call, each with its
    /// runs. Runs that the worker was certainly not ordered to start are left out.
    pub fn take_silent(
        &mut self,
        state: &SubmissionState,
        now: Instant,
    ) -> Vec<(IncarnationId, Vec<SilentRun>)> {
        let is_due = |since: Instant| now >= since + SETTLE_TIME;
        let due: Vec<IncarnationId> = self
            .views
            .iter_mut()
            .filter(|(_, v)| !v.silence_taken && v.silent_since.is_some_and(is_due))
            .map(|(id, v)| {
                v.silence_taken = true;
                *id
            })
            .collect();
        due.into_iter().map(|id| (id, self.silent_runs(state, id))).collect()
    }

    /// Returns the runs that an unreachable incarnation may have.
    #[must_use]
    pub fn silent_runs(&self, state: &SubmissionState, id: IncarnationId) -> Vec<SilentRun> {
        let Some(incarnation) = state.incarnation(id) else { return Vec::new() };
        let known = incarnation.runs.iter().filter_map(|t| known_run(state, id, *t));
        let view = self.views.get(&id);
        let since = view.and_then(|v| v.silent_since);
        let Some((view, since)) = view.filter(|v| v.observed).zip(since) else {
            return known.map(|(task, ..)| SilentRun { task, age: None }).collect();
        };
        known
            .filter_map(|(task, _, run)| {
                let run_view = view.runs.get(&task).filter(|r| r.attempt == run.attempt)?;
                Some(SilentRun { task, age: run_view.age(since)? })
            })
            .collect()
    }
}

impl RunView {
    /// Returns how long the run had gone on at `at`: `None` if it has certainly not begun, and
    /// `Some(None)` if that isn't known.
    #[allow(clippy::option_option)]
    fn age(&self, at: Instant) -> Option<Option<Duration>> {
        let since = self.started.or(self.unconfirmed_since)?;
        Some((!self.inherited).then(|| at.saturating_duration_since(since)))
    }
}
