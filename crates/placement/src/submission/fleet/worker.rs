//! One life of a worker as the leader knows it.

use super::{
    super::{
        command::{Checkpoints, EndHow, RunEnd},
        health::Health,
        lease::WorkerLease,
        spec::TaskId,
        state::{LifeId, SubmissionState},
    },
    messages::Listed,
    run::RunView,
    run_of, step_of,
};
use cyclamenloft_types::AttemptNumber;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// What the leader knows of one life of a worker.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// The lease of all that runs there.
    pub lease: WorkerLease,
    /// Whether the worker has answered under this leader's token.
    pub synced: bool,
    /// When the worker counts as out of reach unless it answers.
    pub(super) reachable_until: Instant,
    /// What is held against the worker.
    pub health: Health,
    /// The life is being declared over: no order goes there any more, or a run
    /// could begin there while its successor is placed.
    pub(super) condemned: bool,
    pub(super) runs: BTreeMap<TaskId, RunView>,
    pub(super) strays: BTreeSet<(TaskId, AttemptNumber)>,
}

impl WorkerView {
    /// Whether the worker may get work now.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        self.synced && !self.condemned && self.is_reachable(now) && self.health.may_start(now)
    }

    /// Whether the worker has answered lately.
    #[must_use]
    pub fn is_reachable(&self, now: Instant) -> bool {
        now < self.reachable_until
    }

    /// Notes and returns the end of the lease that goes with the next order. A
    /// worker that is out of reach gets no more time: what runs there has to be
    /// over some day, so that it can run elsewhere.
    pub fn grant(&mut self, now: Instant) -> Option<u64> {
        if !self.is_reachable(now) {
            return self.lease.granted_end_ms();
        }
        let end_ms = self.lease.next_end_ms(now)?;
        self.lease.note_granted(end_ms);
        Some(end_ms)
    }
}

impl WorkerView {
    pub(super) fn run_view(
        &mut self,
        task: TaskId,
        attempt: AttemptNumber,
        now: Instant,
    ) -> &mut RunView {
        let run = self.runs.entry(task).or_insert_with(|| RunView::new(attempt, now));
        if run.attempt != attempt {
            *run = RunView::new(attempt, now);
        }
        run
    }

    pub(super) fn take_listed(
        &mut self,
        state: &SubmissionState,
        id: LifeId,
        seen: &Listed,
        now: Instant,
    ) {
        let known = run_of(state, id, seen.task).filter(|r| r.attempt == seen.attempt);
        if known.is_none() {
            self.strays.insert((seen.task, seen.attempt));
            return;
        }
        let lasting = step_of(state, seen.task).is_some_and(|s| s.lasting);
        let run = self.run_view(seen.task, seen.attempt, now);
        run.note_listed(now);
        let progressed = seen.percent != run.percent || seen.checkpoint != run.checkpoint;
        let at_work = lasting && seen.percent == 100 && run.percent < 100;
        if progressed || (lasting && seen.percent == 100) {
            run.progress_at = now;
            run.percent = seen.percent;
        }
        run.checkpoint = seen.checkpoint.clone();
        run.figure = seen.figure;
        if at_work {
            self.health.note_success(now);
        }
    }

    /// Whether a run here has yet to show that the worker works.
    pub(in super::super) fn is_probed(&self, state: &SubmissionState) -> bool {
        self.runs.iter().any(|(task, run)| {
            let lasting = step_of(state, *task).is_some_and(|s| s.lasting);
            !(lasting && run.percent == 100)
        })
    }

    pub(super) fn note_end(&mut self, end: &RunEnd, now: Instant) {
        match end.how {
            EndHow::Done => self.health.note_success(now),
            EndHow::Failed => self.health.note_failure(end.task.submission, now),
            _ => {}
        }
    }

    /// The end of a run that an answer to a later look doesn't list any more.
    pub(super) fn vanished(
        &mut self,
        state: &SubmissionState,
        id: LifeId,
        task: TaskId,
        sent: Instant,
    ) -> Option<RunEnd> {
        let attempt = run_of(state, id, task)?.attempt;
        let run = self.runs.get(&task).filter(|r| r.attempt == attempt && !r.listed)?;
        let before = |at: Option<Instant>| at.is_some_and(|at| at < sent);
        let how = if before(run.stopped) {
            if run.started.is_some() { EndHow::Stopped } else { EndHow::NeverRan }
        } else if before(run.started) {
            EndHow::Lapsed
        } else {
            return None;
        };
        Some(RunEnd { task, attempt, how, checkpoint: run.checkpoint.clone() })
    }

    /// Runs of tasks that fill which hardly get on here.
    pub(in super::super) fn held_back(&self, now: Instant) -> impl Iterator<Item = TaskId> {
        let slow = move |(_, run): &(&TaskId, &RunView)| {
            run.listed && !run.withdrawn && run.wanted_pace.is_held_back(now)
        };
        self.runs.iter().filter(slow).map(|(task, _)| *task)
    }

    /// Whether tails here have to be watched closely: one is over its target,
    /// or fill tasks are slowed or work beside serving ones.
    #[must_use]
    pub fn is_tense(&self, state: &SubmissionState) -> bool {
        let slowed = |r: &RunView| r.pace < 100 || r.wanted_pace.percent() < 100;
        let serves = self.runs.values().any(|r| r.base_ln.is_some());
        let fills = || self.runs.keys().any(|t| step_of(state, *t).is_some_and(|s| s.fills));
        self.runs.values().any(|r| r.over_since.is_some() || slowed(r)) || (serves && fills())
    }

    pub(super) fn checkpoints(&self) -> Checkpoints {
        let saved = self.runs.iter().filter(|(_, run)| !run.checkpoint.is_empty());
        saved.map(|(task, run)| (*task, run.checkpoint.clone())).collect()
    }
}
