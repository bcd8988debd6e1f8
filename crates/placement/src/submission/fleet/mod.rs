//! The leader's view of the workers, in addition to the replicated state.
//!
//! It is built from the runs that workers list when they are polled and from
//! their answers to orders. The leader derives the next orders and the ends of
//! runs from it.

mod assess;
mod capacity;
mod carried;
mod loss;
mod maintenance;
mod messages;
mod orders;
mod polls;
mod recovery;
mod reports;
mod run;
mod silence;
mod start_calls;
mod start_deadline;
mod start_rate;
mod tails;
mod urgent_room;
mod worker;

pub use loss::{EndSign, Loss, LossReason};
pub use maintenance::MaintenanceOrder;
pub use messages::{ListedRun, Observation, Order, OrderAnswer, OrderKind};
pub use polls::PollTerms;
pub use recovery::begun_long_tasks;
pub use reports::{ReportBound, ReportStamp, StaleChange};
pub use start_deadline::{evacuation_start_bound, latest_start_ms};
pub use start_rate::{StartRates, Tally};
pub use urgent_room::ShortOfRoom;
pub(super) use urgent_room::{ServiceRoom, UrgentRoom};
pub use worker::WorkerView;

use super::{
    advice::Advice,
    backlog::Backlog,
    command::{Checkpoints, RunEnd},
    demand::Demand,
    health::Health,
    interference::Interference,
    lease::WorkerLease,
    load_policy::LoadPolicy,
    run_times::RunTimes,
    spec::{Step, StepId, SubmissionId, TaskId},
    state::{Incarnation, IncarnationId, Record, Run, SubmissionState},
    waves::MachineId,
};
use cyclamenloft_types::{AttemptNumber, Resources, ServiceName, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Delay before an order that got no answer is sent again: longer than a call
/// between failure domains takes, shorter than clients wait.
const RESEND_DELAY: Duration = Duration::from_millis(400);
/// Delay before an order that the worker did not accept is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time after a poll's expected answer at which a worker counts as unreachable.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// A long-running task that waits for room.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Instant,
    allowance: Duration,
}

/// The leader's view of the workers during one term.
#[derive(Debug)]
pub struct Fleet {
    /// Longest lease that this leader grants.
    longest_lease: Duration,
    /// Longest lease that workers accept.
    longest_accepted: Duration,
    /// Time of the leader's election.
    leader_since: Instant,
    views: BTreeMap<IncarnationId, WorkerView>,
    /// The learned interference between images.
    pub interference: Interference,
    /// The advisor's answers.
    pub advice: Advice,
    /// Start rates of best-effort tasks.
    pub start_rates: StartRates,
    /// Long-running tasks that wait for room.
    waiting: BTreeMap<TaskId, Waiting>,
    /// Starts that were sent to earlier lives of workers.
    carried: carried::CarriedStarts,
    /// Calls to start runs that may still be carried out.
    start_calls: start_calls::StartCalls,
    /// The start time of lives that calls to an earlier life may still reach.
    recent_lives: BTreeMap<WorkerId, u64>,
    /// Machines that are being drained for maintenance, with the time at which
    /// draining began.
    draining: BTreeMap<MachineId, Instant>,
    /// The newest reports of the workers.
    reports: reports::Reports,
    /// Arrivals and cancellations by queue.
    pub demand: Demand,
    /// Which parts of the handling of overload are switched on.
    pub load_policy: LoadPolicy,
    /// The rates at which waiting short tasks start, and the submissions refused because of them.
    pub backlog: Backlog,
    /// Actual run times by the clients' estimates.
    pub run_times: RunTimes,
    /// What the planner remembers about room that is kept for urgent short tasks.
    pub(super) urgent_room: UrgentRoom,
}

impl Fleet {
    /// Creates the view of a leader that was elected at `since` and knows nothing
    /// of the workers yet.
    #[must_use]
    pub fn new(longest_lease: Duration, since: Instant) -> Self {
        Self {
            longest_lease,
            longest_accepted: longest_lease,
            leader_since: since,
            views: BTreeMap::new(),
            interference: Interference::default(),
            advice: Advice::default(),
            start_rates: StartRates::default(),
            waiting: BTreeMap::new(),
            carried: carried::CarriedStarts::default(),
            start_calls: start_calls::StartCalls::default(),
            recent_lives: BTreeMap::new(),
            draining: BTreeMap::new(),
            reports: reports::Reports::default(),
            demand: Demand::new(since),
            load_policy: LoadPolicy::default(),
            backlog: Backlog::default(),
            run_times: RunTimes::default(),
            urgent_room: UrgentRoom::default(),
        }
    }

    /// Returns the view of an incarnation, creating it if there is none.
    pub fn view_mut(&mut self, incarnation: IncarnationId, now: Instant) -> &mut WorkerView {
        let (longest, since) = (self.longest_lease, self.leader_since);
        self.views.entry(incarnation).or_insert_with(|| WorkerView {
            lease: WorkerLease::new(longest, since),
            synced: false,
            order_due: false,
            // The worker hasn't been polled yet, so its silence doesn't mean anything.
            reachable_until: now + ANSWER_GRACE,
            observed: false,
            answers_polls: false,
            listed_end: 0,
            granted_at: None,
            silent_since: None,
            silence_taken: false,
            process_ended: false,
            closed: false,
            exited: false,
            health: Health::default(),
            declared_lost: false,
            superseded: false,
            runs: BTreeMap::new(),
            strays: BTreeSet::new(),
            listed_strays: BTreeSet::new(),
            stray_reserved: Resources::ZERO,
            orders: orders::OrderQueue::default(),
        })
    }

    /// Returns the view of an incarnation, if there is one.
    #[must_use]
    pub fn view(&self, incarnation: IncarnationId) -> Option<&WorkerView> {
        self.views.get(&incarnation)
    }

    /// Returns whether the newest incarnation of a worker has answered this leader.
    #[must_use]
    pub fn has_answered(&self, state: &SubmissionState, worker: &str) -> bool {
        let newest = state.newest_incarnation(worker);
        newest.and_then(|(id, _)| self.view(id)).is_some_and(|v| v.observed)
    }

    /// Returns the number of incarnations that have a view.
    #[must_use]
    pub fn known_count(&self) -> usize {
        self.views.len()
    }

    /// Removes data about incarnations and submissions that have ended.
    pub fn retain(&mut self, state: &SubmissionState) {
        self.retain_starts(state);
        self.views.retain(|id, _| state.incarnation(*id).is_some());
        self.advice.retain(state);
        self.reports.retain(state);
        self.carried.retain(state);
        self.recent_lives.retain(|id, started_ms| !state.is_outdated(id, *started_ms));
    }

    /// Records the long-running tasks without room in a round, each with the
    /// time that it may wait before it counts as starving. Those that wait already and weren't
    /// considered, since the round had its full number of placements, are kept if `cut_short`.
    pub(super) fn record_waiting(
        &mut self,
        tasks: &[(TaskId, Duration)],
        cut_short: bool,
        now: Instant,
    ) {
        let mut known = std::mem::take(&mut self.waiting);
        let since = |task: &TaskId| known.get(task).map_or(now, |w| w.since);
        let waiting = |(task, allowance): &(TaskId, Duration)| {
            (*task, Waiting { since: since(task), allowance: *allowance })
        };
        let found: BTreeMap<TaskId, Waiting> = tasks.iter().map(waiting).collect();
        if cut_short {
            known.extend(found);
            self.waiting = known;
        } else {
            self.waiting = found;
        }
    }

    /// Returns the services that were short of room for urgent short tasks in the last round, and
    /// the number of steps of long-running tasks from which room for two tasks is withheld.
    #[must_use]
    pub fn short_of_room(&self) -> (&[ShortOfRoom], usize) {
        (&self.urgent_room.short, self.urgent_room.withheld_count())
    }

    /// Returns the longest time for which a long-running task of a service has waited for its
    /// first start.
    pub(super) fn longest_first_start_wait(
        &self,
        state: &SubmissionState,
        service: &ServiceName,
        now: Instant,
    ) -> Duration {
        let is_of_service = |step: &StepId| {
            state.open_record(step.submission).is_some_and(|r| r.policy.service == *service)
        };
        let first = self.urgent_room.first_starts().filter(|(step, _)| is_of_service(step));
        first
            .map(|(_, since)| *since)
            .min()
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns the time for which a long-running task has waited for room.
    pub(super) fn waited(&self, task: TaskId, now: Instant) -> Duration {
        let waiting = self.waiting.get(&task);
        waiting.map_or(Duration::ZERO, |w| now.saturating_duration_since(w.since))
    }

    /// Returns the submissions with a long-running task that has waited for room
    /// longer than its allowance by at least `least`.
    pub(super) fn starving(&self, least: Duration, now: Instant) -> BTreeSet<SubmissionId> {
        let long = |w: &Waiting| now.saturating_duration_since(w.since) >= w.allowance + least;
        self.waiting.iter().filter(|(_, w)| long(w)).map(|(task, _)| task.submission).collect()
    }

    /// Returns whether a run needs a speculative copy. It does if its worker is
    /// unreachable: without a copy the task would have to wait for the end of the
    /// lease. What ran on the worker is recorded first, because the task may have
    /// crashed it.
    pub(super) fn wants_copy(
        &self,
        incarnation: IncarnationId,
        task: TaskId,
        now: Instant,
    ) -> bool {
        let Some(view) = self.views.get(&incarnation) else { return false };
        let withdrawn = view.runs.get(&task).is_some_and(|run| run.withdrawn);
        !withdrawn && !view.is_reachable(now) && view.silence_taken
    }

    /// Records that a poll was sent, which the worker should answer within
    /// `wait`.
    pub fn poll_sent(&mut self, incarnation: IncarnationId, wait: Duration, now: Instant) {
        let view = self.view_mut(incarnation, now);
        if now < view.reachable_until {
            view.reachable_until = now + wait + ANSWER_GRACE;
        }
    }

    /// Records that the worker did not answer a poll.
    pub fn unreachable(&mut self, incarnation: IncarnationId, now: Instant) {
        let view = self.view_mut(incarnation, now);
        view.reachable_until = now;
        view.silent_since.get_or_insert(now);
    }

    /// Records that the worker closed the connection on which it was polled. If it has crashed, it
    /// did so at that moment.
    pub fn connection_closed(&mut self, incarnation: IncarnationId, now: Instant) {
        let view = self.view_mut(incarnation, now);
        view.closed |= view.silent_since.is_none();
        self.unreachable(incarnation, now);
    }

    /// Records that the process of a worker has ended, as far as its address tells. A partition may
    /// refuse connections too, so only another incarnation that answers there proves that the runs
    /// have ended with the process, if it had announced its exit. Otherwise the lease counts.
    pub fn process_ended(
        &mut self,
        state: &SubmissionState,
        incarnation: IncarnationId,
        sign: EndSign,
        now: Instant,
    ) {
        self.unreachable(incarnation, now);
        let leaving = state.incarnation(incarnation).is_some_and(|i| i.worker.leaving);
        let view = self.view_mut(incarnation, now);
        view.process_ended = true;
        view.exited |= leaving && sign == EndSign::Replaced;
    }

    /// Processes a worker's answer to a poll that was sent at `sent`. Returns the
    /// ends of runs to propose to the group.
    pub fn observe(
        &mut self,
        state: &SubmissionState,
        id: IncarnationId,
        seen: &Observation,
        sent: Instant,
        now: Instant,
    ) -> Vec<RunEnd> {
        let Some(incarnation) = state.incarnation(id) else { return Vec::new() };
        let is_recent =
            self.recent_lives.get(&incarnation.worker.id) == Some(&incarnation.worker.started_ms);
        let longest_accepted = self.longest_accepted;
        let view = self.view_mut(id, now);
        if is_recent && !view.observed {
            // The worker rejects calls to its earlier lives from now on.
            view.lease.record_calls_to_former(now, longest_accepted);
        }
        view.lease.record_clock(seen.clock_ms, now);
        view.synced = true;
        view.observed = true;
        view.answers_polls = true;
        view.listed_end = 0;
        view.silent_since = None;
        view.silence_taken = false;
        view.process_ended = false;
        view.closed = false;
        view.exited = false;
        view.reachable_until = now + ANSWER_GRACE;
        view.strays.clear();
        view.runs.retain(|task, _| incarnation.runs.contains(task));
        view.runs.values_mut().for_each(|run| run.listed = false);
        let known: KnownRuns<'_> =
            incarnation.runs.iter().filter_map(|t| known_run(state, id, *t)).collect();
        // A stop of a run that was never placed would make the worker refuse all lower attempts.
        for listed in seen.running.iter().filter(|run| !run.is_never_placed(state)) {
            view.observe_run(&known, listed, now);
        }
        view.listed_strays.clone_from(&view.strays);
        let stray_reserved = view.strays.iter().filter_map(|(task, _)| step_of(state, *task));
        view.stray_reserved = stray_reserved
            .fold(Resources::ZERO, |sum, step| sum.checked_add(&step.reserved()).unwrap_or(sum));
        let mut ends = Vec::new();
        let mut samples = Vec::new();
        for end in &seen.ended {
            let is_known = run_of(state, id, end.task).is_some_and(|r| r.attempt == end.attempt);
            let record = state.record(end.task.submission);
            if is_known || record.is_some_and(|r| r.accepts_late_end(end)) {
                if let Some(sample) = record.and_then(|r| view.run_time(r, end, now)) {
                    samples.push(sample);
                }
                view.record_end(end, now);
                ends.push(end.clone());
            }
        }
        for (task, _, run) in known.iter().filter(|_| !seen.is_partial) {
            if !ends.iter().any(|e| e.task == *task) {
                ends.extend(view.vanished_end(run.attempt, *task, sent));
            }
        }
        self.carried.observe(state, id, seen, sent);
        let running = seen.running.iter().map(|l| (l.task, l.attempt));
        let listed = running.chain(seen.ended.iter().map(|e| (e.task, e.attempt)));
        listed.for_each(|run| self.start_calls.record_listed(run));
        let is_fresh = self.capacity_is_fresh(state, id, now);
        samples.iter().for_each(|sample| self.run_times.record(sample, now));
        if let Some(view) = self.views.get_mut(&id) {
            view.observe_tails(incarnation, &mut self.interference, now);
            let may_start = is_fresh && view.fits_capacity(incarnation);
            view.find_order(&known, state.rejects_starts(incarnation), may_start, now);
        }
        ends
    }

    /// Returns whether an order was due after the last observation of the worker.
    #[must_use]
    pub fn had_order(&self, id: IncarnationId) -> bool {
        let is_due = |v: &WorkerView| v.order_due || !v.strays.is_empty();
        self.views.get(&id).is_some_and(is_due) || self.carried.has_stop_of(id)
    }

    /// Returns whether an order is due.
    pub fn has_order(&mut self, state: &SubmissionState, id: IncarnationId, now: Instant) -> bool {
        let strays = self.views.get(&id).is_some_and(|v| !v.strays.is_empty());
        strays || self.carried.has_stop(state, id) || self.next_order(state, id, now).is_some()
    }

    /// Processes the result of an order. Returns the end of the run to propose to
    /// the group, if it has ended.
    pub fn answered(
        &mut self,
        id: IncarnationId,
        order: Order,
        answer: OrderAnswer,
        now: Instant,
    ) -> Option<RunEnd> {
        self.carried.record_answer(id, order, answer, now);
        self.start_calls.record_answer(order, answer);
        let view = self.views.get_mut(&id)?;
        view.orders.record_answer(order, answer);
        let run = view.runs.get_mut(&order.task).filter(|r| r.attempt == order.attempt)?;
        run.in_flight = None;
        match (order.kind, answer) {
            (OrderKind::Start, OrderAnswer::Taken | OrderAnswer::Outdated) => {
                run.started = Some(now);
                run.inherited = false;
                run.progress_at = now;
                self.backlog.record_start(order.task.submission, now);
            }
            (OrderKind::Stop, OrderAnswer::Taken | OrderAnswer::Outdated) => {
                run.stopped = Some(now)
            }
            (OrderKind::Pace(percent), OrderAnswer::Taken) => run.pace = percent,
            // The run has ended; the worker will list its end.
            (OrderKind::Pace(percent), OrderAnswer::Outdated) => run.pace = percent,
            (OrderKind::Start, OrderAnswer::NoRoom | OrderAnswer::Unhealthy) => {
                let start_unconfirmed = run.unconfirmed_since.is_some();
                // An earlier copy of the start order may still be carried out. Only
                // a stop rules that out.
                run.withdrawn = true;
                if answer == OrderAnswer::NoRoom {
                    view.health.record_refused(now);
                } else {
                    view.health.record_stuck(now);
                }
                if !start_unconfirmed {
                    return Some(run.never_ran(order, now));
                }
            }
            (OrderKind::Start, OrderAnswer::NoTicket) => {
                run.withdrawn = true;
                let start_unconfirmed = run.unconfirmed_since.is_some();
                self.advice.drop_ticket(order.task.step_id(), id, now);
                if !start_unconfirmed {
                    return Some(run.never_ran(order, now));
                }
            }
            (OrderKind::Start, OrderAnswer::Refused) if run.unconfirmed_since.is_none() => {
                view.health.record_stuck(now);
                return Some(run.never_ran(order, now));
            }
            (kind, OrderAnswer::Unanswered) => {
                if kind == OrderKind::Start {
                    run.unconfirmed_since.get_or_insert(now);
                }
                run.not_before = now + RESEND_DELAY;
            }
            (_, OrderAnswer::NotSent) => run.not_before = now + RESEND_DELAY,
            _ => run.not_before = now + RETRY_DELAY,
        }
        if run.not_before > now {
            view.orders.retry_from(run.not_before);
        }
        None
    }

    /// Withdraws a run: it is stopped, and its task is placed again.
    pub fn withdraw(&mut self, incarnation: IncarnationId, task: TaskId, now: Instant) {
        if let Some(run) = self.view_mut(incarnation, now).runs.get_mut(&task) {
            run.withdrawn = true;
        }
    }

    /// Withdraws runs that make no progress on a reachable worker, and returns
    /// them.
    pub fn withdraw_stuck(&mut self, now: Instant) -> Vec<(IncarnationId, TaskId)> {
        let mut stuck = Vec::new();
        for (id, view) in &mut self.views {
            if !view.synced || !view.is_reachable(now) {
                continue;
            }
            let mut found = false;
            for (task, run) in &mut view.runs {
                if run.is_stuck(now) {
                    run.withdrawn = true;
                    found = true;
                    stuck.push((*id, *task));
                }
            }
            if found {
                view.health.record_stuck(now);
            }
        }
        stuck
    }

    /// Withdraws long-running tasks from draining workers, so that they are ready
    /// elsewhere before the worker exits. Returns the withdrawn runs.
    pub fn drain_workers(&mut self, state: &SubmissionState) -> Vec<(IncarnationId, TaskId)> {
        let mut moved = Vec::new();
        for (id, incarnation) in
            state.incarnations().filter(|(_, incarnation)| incarnation.worker.draining)
        {
            let Some(view) = self.views.get_mut(&id) else { continue };
            for (task, run) in &mut view.runs {
                if run.step.lasting && !run.withdrawn && incarnation.runs.contains(task) {
                    run.withdrawn = true;
                    moved.push((id, *task));
                }
            }
        }
        moved
    }

    /// Returns why an incarnation is declared lost, for the log, or `None` if it has no view.
    #[must_use]
    pub fn loss(&self, state: &SubmissionState, id: IncarnationId, now: Instant) -> Option<Loss> {
        state.incarnation(id)?;
        let view = self.views.get(&id)?;
        let lease_left = view.lease.latest_end().saturating_duration_since(now);
        let reason = match (lease_left.is_zero(), view.exited) {
            (true, _) => LossReason::LeaseOver,
            (false, true) => LossReason::Exited,
            (false, false) => LossReason::Unknown,
        };
        let silent_for = view.silent_since.map(|at| now.saturating_duration_since(at));
        Some(Loss { reason, silent_for, lease_left, observed: view.observed })
    }

    /// Returns the runs that the worker listed last and the group doesn't know.
    pub fn unknown_runs(&self, id: IncarnationId) -> impl Iterator<Item = (TaskId, AttemptNumber)> {
        self.views.get(&id).into_iter().flat_map(|view| view.strays.iter().copied())
    }

    /// Returns the incarnations whose runs have certainly ended, with the known
    /// checkpoints of these runs. These incarnations get no more orders.
    pub fn declare_lost(
        &mut self,
        state: &SubmissionState,
        now: Instant,
    ) -> Vec<(IncarnationId, Checkpoints)> {
        let mut over = Vec::new();
        for (id, view) in &mut self.views {
            let silent = !view.is_reachable(now);
            if !silent && !view.declared_lost {
                continue;
            }
            let Some(incarnation) = state.incarnation(*id) else { continue };
            let lapsed = now >= view.lease.latest_end();
            // The next life of the worker may carry out a start that this one hasn't listed.
            let is_settled = |task: &TaskId| {
                let run = view.runs.get(task);
                run.is_some_and(|r| r.was_listed && r.unconfirmed_since.is_none())
            };
            let exited = view.exited && incarnation.runs.iter().all(is_settled);
            if view.declared_lost || (silent && (exited || lapsed)) {
                view.declared_lost = true;
                over.push((*id, view.checkpoints()));
            }
        }
        over
    }
}

fn step_of(state: &SubmissionState, task: TaskId) -> Option<&Step> {
    state.record(task.submission)?.spec.steps.get(usize::from(task.step))
}

fn run_of(state: &SubmissionState, incarnation: IncarnationId, task: TaskId) -> Option<Run> {
    record_run(state, incarnation, task).map(|(_, run)| run)
}

/// The group's records of the runs on one incarnation, in ascending order of the tasks.
type KnownRuns<'s> = Vec<(TaskId, &'s Record, Run)>;

fn known_run(
    state: &SubmissionState,
    incarnation: IncarnationId,
    task: TaskId,
) -> Option<(TaskId, &Record, Run)> {
    record_run(state, incarnation, task).map(|(record, run)| (task, record, run))
}

fn record_run(
    state: &SubmissionState,
    incarnation: IncarnationId,
    task: TaskId,
) -> Option<(&Record, Run)> {
    let record = state.record(task.submission)?;
    let run = record.task(task)?.runs.iter().find(|r| r.incarnation == incarnation)?;
    Some((record, *run))
}

/// Returns the tasks with a run on an incarnation, and their steps.
pub(super) fn runs_on<'a>(
    state: &'a SubmissionState,
    incarnation: &'a Incarnation,
) -> impl Iterator<Item = (TaskId, &'a Step)> {
    incarnation.runs.iter().filter_map(|task| step_of(state, *task).map(|step| (*task, step)))
}
