//! The leader's view of one incarnation of a worker.

use super::{
    super::{
        backlog::is_short,
        command::{Checkpoints, EndReason, RunEnd},
        health::Health,
        lease::WorkerLease,
        run_times::RunTime,
        spec::{Step, TaskId},
        state::Record,
    },
    KnownRuns,
    messages::{ListedRun, OrderKind},
    orders::OrderQueue,
    run::RunView,
};
use cyclamenloft_types::{AttemptNumber, Resources};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// The leader's view of one incarnation of a worker.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// The lease that covers all runs on the incarnation.
    pub lease: WorkerLease,
    /// Whether the worker has answered a poll with this leader's token.
    pub synced: bool,
    /// Whether an order was due after the last observation.
    pub(super) order_due: bool,
    /// Time at which the worker counts as unreachable unless it answers.
    pub(super) reachable_until: Instant,
    /// Whether the worker has ever answered this leader's polls.
    pub(super) observed: bool,
    /// Whether the last poll was answered by this life.
    pub(super) answers_polls: bool,
    /// Number of the last end in the last answer, once the group has committed it and until a poll
    /// acknowledges it; 0 if there is none.
    pub(super) listed_end: u64,
    /// Time of the last call that named the end of a lease.
    pub granted_at: Option<Instant>,
    /// Time of the first poll without an answer since the last one with an answer.
    pub(super) silent_since: Option<Instant>,
    /// Whether stock has been taken of what ran when the worker became unreachable.
    pub(super) silence_taken: bool,
    /// Whether its process has ended, as far as its address tells.
    pub(super) process_ended: bool,
    /// Whether it fell silent by closing its connection, so that the moment is known.
    pub(super) closed: bool,
    /// Whether another incarnation has answered at its address after it had announced its exit.
    pub(super) exited: bool,
    /// The worker's failures and the pauses that follow from them.
    pub health: Health,
    /// Whether the incarnation is being declared lost. It then gets no more
    /// orders, because a run could begin on it while the run's task is placed
    /// elsewhere.
    pub(super) declared_lost: bool,
    /// Whether the next life of the worker has reported. It would carry out the orders to this one.
    pub(super) superseded: bool,
    pub(super) runs: BTreeMap<TaskId, RunView>,
    /// Runs that the worker lists but the group doesn't know, and that are to be stopped.
    pub(super) strays: BTreeSet<(TaskId, AttemptNumber)>,
    /// All such runs that the worker listed last.
    pub(super) listed_strays: BTreeSet<(TaskId, AttemptNumber)>,
    /// Resources of the runs that the worker listed last and the group doesn't know.
    pub(super) stray_reserved: Resources,
    pub(super) orders: OrderQueue,
}

impl WorkerView {
    /// Returns whether the worker may get work now.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        self.may_get_orders(now) && self.health.may_start(now)
    }

    /// Returns whether orders may be sent to the worker now.
    pub(super) fn may_get_orders(&self, now: Instant) -> bool {
        self.synced && !self.declared_lost && !self.superseded && self.is_reachable(now)
    }

    /// Returns whether this life of the worker has answered the last poll, so that the next one may
    /// grant a lease.
    #[must_use]
    pub fn answers_polls(&self) -> bool {
        self.answers_polls
    }

    /// Returns whether the worker has answered recently.
    #[must_use]
    pub fn is_reachable(&self, now: Instant) -> bool {
        now < self.reachable_until
    }

    /// Returns the end of the lease to send with the next call, and records it
    /// as granted. An unreachable worker is granted none, so that its runs end
    /// in time and can be placed elsewhere.
    pub fn grant(&mut self, now: Instant) -> Option<u64> {
        self.grant_until(now, u64::MAX)
    }

    /// Like [`Self::grant`], for a start that the worker must not carry out after `deadline_ms`
    /// on its own clock. A deadline doesn't shorten what the worker has been granted before.
    pub fn grant_until(&mut self, now: Instant, deadline_ms: u64) -> Option<u64> {
        if !self.is_reachable(now) {
            return None;
        }
        let end_ms = self.lease.next_end_ms(now)?.min(deadline_ms);
        self.lease.record_granted(end_ms);
        self.granted_at = Some(now);
        Some(end_ms)
    }
}

impl WorkerView {
    pub(super) fn run_view(
        &mut self,
        task: TaskId,
        attempt: AttemptNumber,
        step: &Step,
        now: Instant,
    ) -> &mut RunView {
        let run = self.runs.entry(task).or_insert_with(|| RunView::new(attempt, step, now));
        if run.attempt != attempt {
            *run = RunView::new(attempt, step, now);
        }
        run
    }

    pub(super) fn observe_run(&mut self, known: &KnownRuns<'_>, seen: &ListedRun, now: Instant) {
        let at = known.binary_search_by_key(&seen.task, |(task, ..)| *task).ok();
        let found = at.map(|at| &known[at]).filter(|(_, _, run)| run.attempt == seen.attempt);
        let Some((_, record, _)) = found else {
            self.strays.insert((seen.task, seen.attempt));
            return;
        };
        let step = &record.spec.steps[usize::from(seen.task.step)];
        let runs_indefinitely = step.lasting;
        let run = self.run_view(seen.task, seen.attempt, step, now);
        run.record_listed(now);
        let progressed = seen.percent != run.percent || seen.checkpoint != run.checkpoint;
        let became_ready = runs_indefinitely && seen.percent == 100 && run.percent < 100;
        if progressed || (runs_indefinitely && seen.percent == 100) {
            run.progress_at = now;
            run.percent = seen.percent;
        }
        run.checkpoint = seen.checkpoint.clone();
        run.metric = seen.metric;
        if became_ready {
            self.health.record_success(now);
        }
    }

    /// Returns whether the worker has any run except long-running tasks that
    /// are ready. On a worker on probation, such a run is the probe.
    pub(in super::super) fn is_probed(&self) -> bool {
        self.runs.values().any(|run| !(run.step.lasting && run.percent == 100))
    }

    /// Returns how long a finished run took, if that tells how long such tasks take: it is a
    /// short task that this leader started and no other run had begun, on a worker that isn't
    /// suspect.
    pub(super) fn run_time<'r>(
        &self,
        record: &'r Record,
        end: &RunEnd,
        now: Instant,
    ) -> Option<RunTime<'r>> {
        let run = self.runs.get(&end.task).filter(|r| r.attempt == end.attempt)?;
        let step = record.spec.steps.get(usize::from(end.task.step))?;
        let whole = end.reason == EndReason::Done
            && !run.inherited
            && !run.withdrawn
            && run.unconfirmed_since.is_none()
            && record.task(end.task).is_some_and(|t| t.checkpoint.is_empty());
        let sound = self.health.may_start(now) && !self.health.on_probation();
        let took = now.saturating_duration_since(run.started?);
        (whole && sound && is_short(step)).then(|| RunTime::of(&record.spec.queue, step, took))
    }

    pub(super) fn record_end(&mut self, end: &RunEnd, now: Instant) {
        match end.reason {
            EndReason::Done => self.health.record_success(now),
            EndReason::Failed => self.health.record_failure(end.task.submission, now),
            _ => {}
        }
    }

    /// Returns the end of a run that the worker no longer lists, if the poll was
    /// sent after the run was started or stopped.
    pub(super) fn vanished_end(
        &mut self,
        attempt: AttemptNumber,
        task: TaskId,
        sent: Instant,
    ) -> Option<RunEnd> {
        let run = self.runs.get(&task).filter(|r| r.attempt == attempt && !r.listed)?;
        let before = |at: Option<Instant>| at.is_some_and(|at| at < sent);
        let reason = if before(run.stopped) {
            if run.started.is_some() { EndReason::Stopped } else { EndReason::NeverRan }
        } else if before(run.started) {
            EndReason::Lapsed
        } else {
            return None;
        };
        Some(RunEnd { task, attempt, reason, checkpoint: run.checkpoint.clone() })
    }

    /// Returns the best-effort tasks whose runs on this worker have had a low
    /// pace for long.
    pub(in super::super) fn slowed_runs(&self, now: Instant) -> impl Iterator<Item = TaskId> {
        let slow = move |(_, run): &(&TaskId, &RunView)| {
            run.listed && !run.withdrawn && run.wanted_pace.is_slow_for_long(now)
        };
        self.runs.iter().filter(slow).map(|(task, _)| *task)
    }

    /// Returns whether the tail latencies on this worker must be polled often:
    /// one is over its target, or best-effort tasks are throttled or run next
    /// to latency-critical ones.
    #[must_use]
    pub fn needs_close_watch(&self) -> bool {
        let slowed = |r: &RunView| r.pace < 100 || r.wanted_pace.percent() < 100;
        let serves = self.runs.values().any(|r| r.base_ln.is_some());
        let best_effort = || self.runs.values().any(|r| r.step.fills);
        self.runs.values().any(|r| r.over_since.is_some() || slowed(r)) || (serves && best_effort())
    }

    /// Determines whether an order is due to any of the runs.
    pub(super) fn find_order(
        &mut self,
        known: &KnownRuns<'_>,
        draining: bool,
        may_start: bool,
        now: Instant,
    ) {
        self.order_due = known.iter().any(|(task, record, run)| {
            let step = &record.spec.steps[usize::from(task.step)];
            let run_view = self.run_view(*task, run.attempt, step, now);
            let kind = run_view.wanted_order(record, *task, draining, now);
            kind.is_some_and(|kind| may_start || kind != OrderKind::Start)
        });
    }

    pub(super) fn checkpoints(&self) -> Checkpoints {
        let saved = self.runs.iter().filter(|(_, run)| !run.checkpoint.is_empty());
        saved.map(|(task, run)| (*task, run.checkpoint.clone())).collect()
    }
}
