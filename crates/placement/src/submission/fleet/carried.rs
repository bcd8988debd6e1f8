//! Starts that the next life of a worker may carry out.
//!
//! A call names a worker, but not which of its lives is meant, and a life that has just begun accepts
//! any token and attempt. So a start that was sent to a life that has ended may be carried out by
//! the next one under the same name. The tasks of such starts are not placed elsewhere before the
//! next life has accepted a stop of them, after which it rejects the start, and lists no such run.
//! A further life and the next leader take the list over. A life that never answers keeps it until the
//! latest such call and the lease that it brings are over.

use super::{
    super::{
        command::WorkerInfo,
        lease::on_slowest_clock,
        spec::TaskId,
        state::{IncarnationId, SubmissionState},
    },
    Fleet, known_run,
    messages::{Observation, Order, OrderAnswer, OrderKind},
    start_calls::MAX_CALL_DELAY,
};
use cyclamenloft_types::{AttemptNumber, WorkerId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Largest difference between the clocks of two hosts for which an answer from before the start of
/// a life is told from one of that life.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(1);
/// Time within which a report that has arrived is committed. After it, starts are no longer kept
/// for a life that the group doesn't know.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a stop is sent again.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Age from which on a life no longer gets calls that were meant for an earlier one, as far as the
/// clocks of two hosts tell. They may differ by seconds after a step.
const RECENT_LIFE: Duration = Duration::from_secs(20);

/// The starts that one life of a worker may carry out.
#[derive(Debug)]
struct Carried {
    /// Start time of that life, in milliseconds since the Unix epoch.
    started_ms: u64,
    /// When its first report arrived, or when this leader took the list over.
    since: Instant,
    /// When the runs that it may have begun are over, if it never answers.
    over_at: Instant,
    /// Whether it counts as lost.
    is_lost: bool,
    /// Its incarnation, once the group knows it.
    incarnation: Option<IncarnationId>,
    /// The attempts, each with the times at which a stop was last sent and first accepted.
    runs: BTreeMap<TaskId, Stop>,
}

#[derive(Clone, Copy, Debug)]
struct Stop {
    attempt: AttemptNumber,
    sent: Option<Instant>,
    accepted: Option<Instant>,
}

/// The starts that were sent to earlier lives of workers and that their next lives may carry out.
#[derive(Debug, Default)]
pub(super) struct CarriedStarts {
    by_worker: BTreeMap<WorkerId, Carried>,
}

impl CarriedStarts {
    fn of_mut(&mut self, state: &SubmissionState, id: IncarnationId) -> Option<&mut Carried> {
        let worker = &state.incarnation(id)?.worker;
        let carried = self.by_worker.get_mut(&worker.id);
        let carried = carried.filter(|c| c.started_ms == worker.started_ms)?;
        carried.incarnation = Some(id);
        carried.is_lost = false;
        Some(carried)
    }

    /// Forgets the lives in whose place another one runs. One that counts as lost before it has
    /// answered may still begin runs.
    pub(super) fn retain(&mut self, state: &SubmissionState) {
        self.by_worker.retain(|worker, carried| {
            let newest = state.newest_incarnation(worker);
            match newest.filter(|(_, n)| n.worker.started_ms == carried.started_ms) {
                Some((id, _)) => {
                    carried.incarnation = Some(id);
                    carried.is_lost = false;
                }
                None => carried.is_lost |= carried.incarnation.is_some(),
            }
            !state.is_outdated(worker, carried.started_ms)
        });
    }

    /// Returns a stop that is to be sent to the worker.
    pub(super) fn next_stop(
        &mut self,
        state: &SubmissionState,
        id: IncarnationId,
        now: Instant,
    ) -> Option<Order> {
        let is_due = |stop: &Stop| {
            stop.accepted.is_none() && stop.sent.is_none_or(|at| now >= at + STOP_RETRY_DELAY)
        };
        let (task, stop) = self.of_mut(state, id)?.runs.iter().find(|(_, s)| is_due(s))?;
        Some(Order { task: *task, attempt: stop.attempt, kind: OrderKind::Stop })
    }

    /// Records that a stop is being sent.
    pub(super) fn record_sent(&mut self, id: IncarnationId, order: Order, now: Instant) {
        if let Some(stop) = self.stop_mut(id, order) {
            stop.sent = Some(now);
        }
    }

    fn stop_mut(&mut self, id: IncarnationId, order: Order) -> Option<&mut Stop> {
        let carried = self.by_worker.values_mut().find(|c| c.incarnation == Some(id))?;
        let stop = carried.runs.get_mut(&order.task);
        stop.filter(|s| s.attempt == order.attempt && order.kind == OrderKind::Stop)
    }

    /// Returns whether a stop has to be sent to the worker.
    pub(super) fn has_stop(&self, state: &SubmissionState, id: IncarnationId) -> bool {
        let Some(worker) = state.incarnation(id).map(|i| &i.worker) else { return false };
        let carried = self.by_worker.get(&worker.id);
        carried
            .filter(|c| c.started_ms == worker.started_ms)
            .is_some_and(|c| c.runs.values().any(|stop| stop.accepted.is_none()))
    }

    /// Returns whether a stop has to be sent to an incarnation that has answered a poll.
    pub(super) fn has_stop_of(&self, id: IncarnationId) -> bool {
        let mut carried = self.by_worker.values().filter(|c| c.incarnation == Some(id));
        carried.any(|c| c.runs.values().any(|stop| stop.accepted.is_none()))
    }

    /// Returns whether a poll is to tell whether the worker has such a run.
    pub(super) fn is_awaited(&self, worker: &WorkerInfo) -> bool {
        self.by_worker.get(&worker.id).is_some_and(|c| c.started_ms == worker.started_ms)
    }

    /// Processes the answer to an order.
    pub(super) fn record_answer(
        &mut self,
        id: IncarnationId,
        order: Order,
        answer: OrderAnswer,
        now: Instant,
    ) {
        let accepted = matches!(answer, OrderAnswer::Taken | OrderAnswer::Outdated);
        if let Some(stop) = self.stop_mut(id, order).filter(|_| accepted) {
            stop.accepted.get_or_insert(now);
        }
    }

    /// Processes the answer to a poll that was sent at `sent`.
    pub(super) fn observe(
        &mut self,
        state: &SubmissionState,
        id: IncarnationId,
        seen: &Observation,
        sent: Instant,
    ) {
        let Some(carried) = self.of_mut(state, id) else { return };
        carried.runs.retain(|task, stop| {
            let is_listed =
                seen.running.iter().any(|l| (l.task, l.attempt) == (*task, stop.attempt));
            is_listed || stop.accepted.is_none_or(|at| at >= sent)
        });
        if carried.runs.is_empty()
            && let Some(worker) = state.incarnation(id).map(|i| &i.worker.id)
        {
            self.by_worker.remove(worker);
        }
    }
}

impl Fleet {
    /// Sets the longest lease that workers accept, which may be longer than what this leader grants.
    pub fn set_longest_accepted(&mut self, lease: Duration) {
        self.longest_accepted = lease.max(self.longest_lease);
    }

    /// Takes over from a former leader what its calls to earlier lives may still lead to: the starts
    /// that the next lives may carry out, and the lives that have begun so recently that calls may still
    /// reach them. `wall_ms` is the present time in milliseconds since the Unix epoch.
    pub fn take_over_lives(&mut self, state: &SubmissionState, now: Instant, wall_ms: u64) {
        for (worker, started_ms, runs) in state.former_runs() {
            let stop = |attempt| Stop { attempt, sent: None, accepted: None };
            let carried = Carried {
                started_ms,
                since: now,
                over_at: now + self.longest_carried(),
                is_lost: state.newest_incarnation(worker).is_none(),
                incarnation: state.newest_incarnation(worker).map(|(id, _)| id),
                runs: runs.into_iter().map(|(task, attempt)| (task, stop(attempt))).collect(),
            };
            self.carried.by_worker.insert(worker.clone(), carried);
        }
        self.take_over_starts(state, now, wall_ms);
        let workers = state.incarnations().map(|(_, i)| &i.worker);
        let recent = workers
            .filter(|w| Duration::from_millis(wall_ms.saturating_sub(w.started_ms)) < RECENT_LIFE);
        self.recent_lives.extend(recent.map(|w| (w.id.clone(), w.started_ms)));
    }

    /// Keeps the tasks back whose starts `successor`, the next life of a worker under the same name,
    /// may carry out: those that the life before hasn't listed and that weren't answered before
    /// `successor` began, and those that were sent more than once. It has to be called before the
    /// group knows of `successor`. `wall_ms` is the present time in milliseconds since the Unix
    /// epoch. Returns the number of tasks.
    pub fn hold_back(
        &mut self,
        state: &SubmissionState,
        successor: &WorkerInfo,
        now: Instant,
        wall_ms: u64,
    ) -> usize {
        if state.is_outdated(&successor.id, successor.started_ms) {
            return 0;
        }
        if state.is_successor(&successor.id, successor.started_ms) {
            self.recent_lives.insert(successor.id.clone(), successor.started_ms);
        }
        self.carried.by_worker.retain(|_, c| !c.is_lost || now < c.over_at);
        let newest = state.newest_incarnation(&successor.id);
        if newest.is_some_and(|(_, newest)| newest.worker.started_ms >= successor.started_ms) {
            return 0;
        }
        let mut runs = match newest {
            Some((id, _)) => {
                // A placement that is being committed must not be started there.
                self.view_mut(id, now).superseded = true;
                self.carried_runs(state, id, successor, now, wall_ms)
            }
            None => BTreeMap::new(),
        };
        // What an earlier life may still be sent reaches this one.
        let mut is_lost = false;
        if let Some(earlier) = self.carried.by_worker.remove(&successor.id) {
            // A life that counts as lost may have returned.
            is_lost = earlier.is_lost;
            for (task, Stop { attempt, .. }) in earlier.runs {
                runs.entry(task).or_insert(Stop { attempt, sent: None, accepted: None });
            }
        }
        let count = runs.len();
        if count > 0 {
            let started_ms = successor.started_ms;
            let over_at = now + self.longest_carried();
            let carried =
                Carried { started_ms, since: now, over_at, is_lost, incarnation: None, runs };
            self.carried.by_worker.insert(successor.id.clone(), carried);
        }
        count
    }

    /// Returns the runs on an incarnation whose starts `successor` may carry out.
    fn carried_runs(
        &self,
        state: &SubmissionState,
        id: IncarnationId,
        successor: &WorkerInfo,
        now: Instant,
        wall_ms: u64,
    ) -> BTreeMap<TaskId, Stop> {
        let view = self.views.get(&id);
        let age_ms = wall_ms.saturating_sub(successor.started_ms);
        let began = now.checked_sub(Duration::from_millis(age_ms) + MAX_CLOCK_DIFFERENCE);
        let is_before = |at: Instant| began.is_some_and(|began| at < began);
        let may_be_carried = |task: TaskId, attempt| {
            let run = view.and_then(|v| v.runs.get(&task)).filter(|r| r.attempt == attempt);
            run.is_none_or(|r| {
                let is_former = r.was_listed || r.started.is_some_and(is_before);
                !is_former || r.unconfirmed_since.is_some()
            })
        };
        let tasks = state.incarnation(id).into_iter().flat_map(|i| &i.runs);
        let known = tasks.filter_map(|task| known_run(state, id, *task));
        known
            .filter(|(task, record, run)| {
                let step = &record.spec.steps[usize::from(task.step)];
                !step.copies && may_be_carried(*task, run.attempt)
            })
            .map(|(task, _, run)| (task, Stop { attempt: run.attempt, sent: None, accepted: None }))
            .collect()
    }

    /// Returns how long a run may go on that a call to a former life begins, if the worker is never
    /// called again.
    fn longest_carried(&self) -> Duration {
        MAX_CALL_DELAY + on_slowest_clock(self.longest_accepted)
    }

    /// Returns whether the next life of the task's last worker may still run it.
    pub(super) fn is_carried(&self, task: TaskId, now: Instant) -> bool {
        let counts = |c: &Carried| match (c.incarnation, c.is_lost) {
            (_, true) => now < c.over_at,
            (Some(_), false) => true,
            (None, false) => now < c.since + COMMIT_TIMEOUT,
        };
        self.carried.by_worker.values().any(|c| counts(c) && c.runs.contains_key(&task))
    }

    /// Returns the number of tasks that are held back.
    #[must_use]
    pub fn held_back_count(&self) -> usize {
        self.carried.by_worker.values().map(|c| c.runs.len()).sum()
    }

    /// Returns whether the worker must be polled often, because a poll after a stop shows whether
    /// tasks may be placed elsewhere.
    #[must_use]
    pub fn awaits_stops(&self, state: &SubmissionState, id: IncarnationId) -> bool {
        state.incarnation(id).is_some_and(|i| self.carried.is_awaited(&i.worker))
    }
}
