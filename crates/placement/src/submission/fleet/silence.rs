//! What ran on a worker when it became unreachable.
//!
//! A worker that crashed gives no account of it. How long each of its runs had gone on tells
//! which of them may have brought it down. A worker that is only cut off looks the same at first:
//! its silence counts as a crash only if its address refuses connections or another incarnation
//! takes its place before its lease is over.

use super::{
    super::{
        command::{Silence, SilentRun, WorkerInfo},
        crashes::{SUSPECT_AGE, SUSPECT_MARGIN},
        spec::TaskId,
        state::{IncarnationId, SubmissionState},
    },
    Fleet, known_run,
    run::RunView,
};
use std::time::{Duration, Instant};

/// How long the leader waits before it takes stock of an unreachable worker's runs. The answers
/// to orders that were under way arrive later than the failure of a poll.
const SETTLE_TIME: Duration = Duration::from_millis(50);

impl Fleet {
    /// Returns what is known of the incarnations that have become unreachable since the last call.
    /// Those that are reachable again, and those whose lease is over without a sign that their
    /// process has ended, have no runs in it.
    pub fn take_silent(
        &mut self,
        state: &SubmissionState,
        now: Instant,
        wall_ms: u64,
    ) -> Vec<Silence> {
        let is_due = |since: Instant| now >= since + SETTLE_TIME;
        let due = self.views.iter().filter(|(_, v)| v.silent_since.is_some_and(is_due));
        let due: Vec<IncarnationId> = due.map(|(id, _)| *id).collect();
        let mut silences: Vec<Silence> =
            due.into_iter().filter_map(|id| self.take_crash(state, id, now, wall_ms)).collect();
        let has_not_crashed = |id: &IncarnationId| {
            self.views.get(id).is_some_and(|v| {
                let is_over = now >= v.lease.latest_end() && !v.is_reachable(now);
                (v.observed && v.silent_since.is_none()) || (is_over && !v.process_ended)
            })
        };
        let unproven = state.crashes().silent().filter(has_not_crashed);
        silences.extend(unproven.map(|incarnation| Silence {
            incarnation,
            at_ms: wall_ms,
            runs: Vec::new(),
            checkpoints: Vec::new(),
        }));
        silences
    }

    /// Returns what is known of an incarnation that has ended because `successor` runs in its place,
    /// unless it was taken before and the runs ended then.
    pub fn take_replaced(
        &mut self,
        state: &SubmissionState,
        incarnation: IncarnationId,
        successor: &WorkerInfo,
        now: Instant,
        wall_ms: u64,
    ) -> Option<Silence> {
        let view = self.view_mut(incarnation, now);
        if view.process_ended || view.closed {
            return self.take_crash(state, incarnation, now, wall_ms);
        }
        // The worker fell silent before its process ended, at the latest when the successor began.
        let silent_since = view.silent_since;
        view.silence_taken &= silent_since.is_none();
        let mut silence = self.take_crash(state, incarnation, now, wall_ms)?;
        if silent_since.is_some() {
            let unseen = successor.started_ms.saturating_sub(silence.at_ms);
            let unseen = u32::try_from(unseen).unwrap_or(u32::MAX);
            for run in silence.runs.iter_mut().filter(|run| run.age_ms > 0) {
                run.age_ms = run.age_ms.saturating_add(unseen);
            }
        }
        Some(silence)
    }

    /// Returns what is known of an incarnation that is unreachable or has crashed, unless it was
    /// taken before.
    pub fn take_crash(
        &mut self,
        state: &SubmissionState,
        incarnation: IncarnationId,
        now: Instant,
        wall_ms: u64,
    ) -> Option<Silence> {
        let tasks = &state.incarnation(incarnation)?.runs;
        let known = tasks.iter().filter_map(|t| known_run(state, incarnation, *t));
        let view = self.view_mut(incarnation, now);
        if std::mem::replace(&mut view.silence_taken, true) {
            return None;
        }
        let since = view.silent_since.unwrap_or(now);
        let silent_ms = now.saturating_duration_since(since).as_millis();
        let at_ms = wall_ms.saturating_sub(u64::try_from(silent_ms).unwrap_or(u64::MAX));
        if !view.observed {
            // A former leader knew more.
            let is_new = state.crashes().silent().all(|id| id != incarnation);
            let runs =
                known.map(|(task, ..)| SilentRun { task, age_ms: 0, exact: false }).collect();
            return is_new.then_some(Silence { incarnation, at_ms, runs, checkpoints: Vec::new() });
        }
        let runs = known.filter_map(|(task, _, run)| {
            let run_view = view.runs.get(&task).filter(|r| r.attempt == run.attempt)?;
            let age_ms = run_view.age_ms(since)?;
            Some(SilentRun { task, age_ms, exact: !run_view.inherited })
        });
        Some(Silence { incarnation, at_ms, runs: runs.collect(), checkpoints: view.checkpoints() })
    }

    /// Returns whether a run has gone on for long enough that a crash of its worker would no longer
    /// be put down to it.
    pub(in crate::submission) fn has_proven_harmless(
        &self,
        incarnation: IncarnationId,
        task: TaskId,
        now: Instant,
    ) -> bool {
        let run = self.views.get(&incarnation).and_then(|v| v.runs.get(&task));
        run.filter(|r| r.listed).and_then(|r| r.started).is_some_and(|at| now > at + SUSPECT_AGE)
    }

    /// Returns whether all runs on an incarnation have begun so long ago that one that is started
    /// now would be the only suspect of a crash.
    pub(in crate::submission) fn is_settled(
        &self,
        state: &SubmissionState,
        id: IncarnationId,
        now: Instant,
    ) -> bool {
        let (Some(incarnation), Some(view)) = (state.incarnation(id), self.views.get(&id)) else {
            return false;
        };
        incarnation.runs.iter().all(|task| {
            let started = view.runs.get(task).and_then(|run| run.started);
            started.is_some_and(|at| now > at + SUSPECT_MARGIN)
        })
    }
}

impl RunView {
    /// Returns how long the run had gone on at `at`, in milliseconds, as far as this leader knows;
    /// 0 if it may not have begun, and `None` if it has certainly not.
    fn age_ms(&self, at: Instant) -> Option<u32> {
        let Some(started) = self.started else { return self.may_have_begun().then_some(0) };
        let age = at.saturating_duration_since(started).as_millis();
        Some(u32::try_from(age).unwrap_or(u32::MAX).max(1))
    }
}
