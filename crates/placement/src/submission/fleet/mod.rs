//! What the leader knows of the workers beyond the agreed state: what they
//! list, which orders they have answered, and what follows from that.

mod messages;
mod run;
mod start_rate;
mod tails;
mod upkeep;
mod worker;

pub use messages::{Listed, Observation, Order, OrderAnswer, OrderKind};
pub use start_rate::{Flows, Tally};
pub use upkeep::UpkeepOrder;
pub use worker::WorkerView;

use super::{
    advice::Advice,
    command::{Checkpoints, EndHow, RunEnd},
    health::Health,
    interference::Interference,
    lease::WorkerLease,
    spec::{Step, SubmissionId, TaskId},
    state::{Life, LifeId, Record, Run, SubmissionState},
    waves::MachineId,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Pause before an order that got no answer is sent again: longer than a call
/// between failure domains, shorter than a client's patience.
const RESEND: Duration = Duration::from_millis(400);
/// Pause before an order that the worker could not take is sent again.
const RETRY_SOON: Duration = Duration::from_millis(60);
/// Time for which a worker that has said farewell must be out of reach before
/// its runs count as ended.
const FAREWELL: Duration = Duration::from_millis(400);
/// Time beyond the expected answer after which a worker counts as out of reach.
const HOLD_LATE: Duration = Duration::from_millis(500);

/// A lasting task that waits for room.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Instant,
    patience: Duration,
}

/// The workers as the leader of one term sees them.
#[derive(Debug)]
pub struct Fleet {
    longest_lease: Duration,
    since: Instant,
    views: BTreeMap<LifeId, WorkerView>,
    /// What is known of how images disturb each other.
    pub interference: Interference,
    /// What the advisor has said.
    pub advice: Advice,
    /// How fast tasks that fill get their workers.
    pub flows: Flows,
    /// Lasting tasks that wait for room.
    waiting: BTreeMap<TaskId, Waiting>,
    /// Machines that are emptied for their upkeep, and since when.
    emptying: BTreeMap<MachineId, Instant>,
}

impl Fleet {
    /// A fleet of which nothing is known yet, for a leader that took office at
    /// `since`.
    #[must_use]
    pub fn new(longest_lease: Duration, since: Instant) -> Self {
        Self {
            longest_lease,
            since,
            views: BTreeMap::new(),
            interference: Interference::default(),
            advice: Advice::default(),
            flows: Flows::default(),
            waiting: BTreeMap::new(),
            emptying: BTreeMap::new(),
        }
    }

    /// The view of a life, made where there is none.
    pub fn view_mut(&mut self, life: LifeId, now: Instant) -> &mut WorkerView {
        let (longest, since) = (self.longest_lease, self.since);
        self.views.entry(life).or_insert_with(|| WorkerView {
            lease: WorkerLease::new(longest, since),
            synced: false,
            reachable_until: now,
            health: Health::default(),
            condemned: false,
            runs: BTreeMap::new(),
            strays: BTreeSet::new(),
        })
    }

    /// The view of a life.
    #[must_use]
    pub fn view(&self, life: LifeId) -> Option<&WorkerView> {
        self.views.get(&life)
    }

    /// How many lives are known.
    #[must_use]
    pub fn known(&self) -> usize {
        self.views.len()
    }

    /// Forgets lives that are over.
    pub fn retain(&mut self, state: &SubmissionState) {
        self.views.retain(|id, _| state.life(*id).is_some());
        self.advice.retain(state);
    }

    /// Notes which lasting tasks found no room in a round, and how long each may
    /// wait before it counts as starving.
    pub(super) fn note_waiting(&mut self, tasks: &[(TaskId, Duration)], now: Instant) {
        let known = std::mem::take(&mut self.waiting);
        let since = |task: &TaskId| known.get(task).map_or(now, |w| w.since);
        let waiting = |(task, patience): &(TaskId, Duration)| {
            (*task, Waiting { since: since(task), patience: *patience })
        };
        self.waiting = tasks.iter().map(waiting).collect();
    }

    /// How long a lasting task has waited for room.
    pub(super) fn waited(&self, task: TaskId, now: Instant) -> Duration {
        let waiting = self.waiting.get(&task);
        waiting.map_or(Duration::ZERO, |w| now.saturating_duration_since(w.since))
    }

    /// Submissions with a lasting task that has waited for room this much longer
    /// than it may.
    pub(super) fn starving(&self, least: Duration, now: Instant) -> BTreeSet<SubmissionId> {
        let long = |w: &Waiting| now.saturating_duration_since(w.since) >= w.patience + least;
        self.waiting.iter().filter(|(_, w)| long(w)).map(|(task, _)| task.submission).collect()
    }

    /// Whether a run of a task that may run twice wants a copy: its worker is out
    /// of reach, and nothing else may run the task before the lease is over.
    pub(super) fn wants_copy(&self, life: LifeId, task: TaskId, now: Instant) -> bool {
        let Some(view) = self.views.get(&life) else { return false };
        let withdrawn = view.runs.get(&task).is_some_and(|run| run.withdrawn);
        !withdrawn && !view.is_reachable(now)
    }

    /// Notes that a look was sent which is answered within `wait`.
    pub fn looked(&mut self, life: LifeId, wait: Duration, now: Instant) {
        let view = self.view_mut(life, now);
        if now < view.reachable_until {
            view.reachable_until = now + wait + HOLD_LATE;
        }
    }

    /// Notes that the worker did not answer.
    pub fn unreachable(&mut self, life: LifeId, now: Instant) {
        self.view_mut(life, now).reachable_until = now;
    }

    /// Takes what a worker listed in answer to a look sent at `sent`; gives the
    /// ends to agree on.
    pub fn observe(
        &mut self,
        state: &SubmissionState,
        id: LifeId,
        seen: &Observation,
        sent: Instant,
        now: Instant,
    ) -> Vec<RunEnd> {
        let Some(life) = state.life(id) else { return Vec::new() };
        let view = self.view_mut(id, now);
        view.lease.note_clock(seen.clock_ms, now);
        view.synced = true;
        view.reachable_until = now + HOLD_LATE;
        view.strays.clear();
        view.runs.retain(|task, _| life.runs.contains(task));
        view.runs.values_mut().for_each(|run| run.listed = false);
        for listed in &seen.running {
            view.take_listed(state, id, listed, now);
        }
        let mut ends = Vec::new();
        for end in &seen.ended {
            if run_of(state, id, end.task).is_some_and(|r| r.attempt == end.attempt) {
                view.note_end(end, now);
                ends.push(end.clone());
            }
        }
        for task in &life.runs {
            let known = ends.iter().any(|e| e.task == *task);
            if let Some(end) = (!known).then(|| view.vanished(state, id, *task, sent)).flatten() {
                ends.push(end);
            }
        }
        if let Some(view) = self.views.get_mut(&id) {
            view.note_tails(state, life, &mut self.interference, now);
        }
        ends
    }

    /// The next order that the worker should get, if one is due.
    pub fn next_order(
        &mut self,
        state: &SubmissionState,
        id: LifeId,
        now: Instant,
    ) -> Option<Order> {
        let life = state.life(id)?;
        let view = self.view_mut(id, now);
        if !view.synced || view.condemned || !view.is_reachable(now) {
            return None;
        }
        if let Some((task, attempt)) = view.strays.pop_first() {
            return Some(Order { task, attempt, kind: OrderKind::Stop });
        }
        let draining = life.worker.draining;
        let mut next: Option<Order> = None;
        for task in &life.runs {
            let Some((record, run)) = record_run(state, id, *task) else { continue };
            let run_view = view.run_view(*task, run.attempt, now);
            let Some(kind) = run_view.wanted_order(record, *task, draining, now) else { continue };
            // Stops free room that starts may need.
            if kind == OrderKind::Stop || next.is_none() {
                next = Some(Order { task: *task, attempt: run.attempt, kind });
            }
            if kind == OrderKind::Stop {
                break;
            }
        }
        next
    }

    /// Whether an order is due.
    pub fn has_order(&mut self, state: &SubmissionState, id: LifeId, now: Instant) -> bool {
        let strays = self.views.get(&id).is_some_and(|v| !v.strays.is_empty());
        strays || self.next_order(state, id, now).is_some()
    }

    /// When an order that could not be carried out is due again.
    #[must_use]
    pub fn retry_at(&self, id: LifeId, now: Instant) -> Option<Instant> {
        let view = self.views.get(&id)?;
        view.runs.values().map(|run| run.not_before).filter(|at| *at > now).min()
    }

    /// Takes what came of an order; gives an end to agree on, where one follows.
    pub fn answered(
        &mut self,
        id: LifeId,
        order: Order,
        answer: OrderAnswer,
        now: Instant,
    ) -> Option<RunEnd> {
        let view = self.view_mut(id, now);
        let run = view.runs.get_mut(&order.task).filter(|r| r.attempt == order.attempt)?;
        match (order.kind, answer) {
            (OrderKind::Start, OrderAnswer::Taken | OrderAnswer::Outdated) => {
                run.started = Some(now);
                run.progress_at = now;
            }
            (OrderKind::Stop, OrderAnswer::Taken | OrderAnswer::Outdated) => {
                run.stopped = Some(now)
            }
            (OrderKind::Pace(percent), OrderAnswer::Taken) => run.pace = percent,
            // The end will be listed.
            (OrderKind::Pace(percent), OrderAnswer::Outdated) => run.pace = percent,
            (OrderKind::Start, OrderAnswer::NoRoom | OrderAnswer::Unhealthy) => {
                let unsure = run.unsure;
                // An earlier copy of the start may still be carried out: only a
                // stop makes sure that it is not.
                run.withdrawn = true;
                if answer == OrderAnswer::NoRoom {
                    view.health.note_refused(now);
                } else {
                    view.health.note_stuck(now);
                }
                if !unsure {
                    return Some(never_ran(order));
                }
            }
            (OrderKind::Start, OrderAnswer::NoTicket) => {
                run.withdrawn = true;
                let unsure = run.unsure;
                self.advice.drop_ticket(order.task.step_id(), id, now);
                if !unsure {
                    return Some(never_ran(order));
                }
            }
            (OrderKind::Start, OrderAnswer::Refused) if !run.unsure => {
                view.health.note_stuck(now);
                return Some(never_ran(order));
            }
            (kind, OrderAnswer::Unanswered) => {
                run.unsure |= kind == OrderKind::Start;
                run.not_before = now + RESEND;
            }
            (_, OrderAnswer::NotSent) => run.not_before = now + RESEND,
            _ => run.not_before = now + RETRY_SOON,
        }
        None
    }

    /// Notes that a run is to be given up, as for one of higher priority.
    pub fn withdraw(&mut self, life: LifeId, task: TaskId, now: Instant) {
        if let Some(run) = self.view_mut(life, now).runs.get_mut(&task) {
            run.withdrawn = true;
        }
    }

    /// Gives up runs that stand still on a worker that answers.
    pub fn withdraw_stuck(
        &mut self,
        state: &SubmissionState,
        now: Instant,
    ) -> Vec<(LifeId, TaskId)> {
        let mut stuck = Vec::new();
        for (id, view) in &mut self.views {
            if !view.synced || !view.is_reachable(now) {
                continue;
            }
            let mut found = false;
            for (task, run) in &mut view.runs {
                let Some(step) = step_of(state, *task) else { continue };
                if run.is_stuck(step, now) {
                    run.withdrawn = true;
                    found = true;
                    stuck.push((*id, *task));
                }
            }
            if found {
                view.health.note_stuck(now);
            }
        }
        stuck
    }

    /// Gives up lasting tasks on workers that leave, so that they are at work
    /// elsewhere before the worker has gone.
    pub fn evacuate(&mut self, state: &SubmissionState) -> Vec<(LifeId, TaskId)> {
        let mut moved = Vec::new();
        for (id, life) in state.lives().filter(|(_, life)| life.worker.draining) {
            let Some(view) = self.views.get_mut(&id) else { continue };
            for (task, run) in &mut view.runs {
                let lasts = step_of(state, *task).is_some_and(|s| s.lasting);
                if lasts && !run.withdrawn && life.runs.contains(task) {
                    run.withdrawn = true;
                    moved.push((id, *task));
                }
            }
        }
        moved
    }

    /// Lives whose runs have surely ended, with the checkpoints that were seen.
    /// They get no more orders.
    pub fn condemn(&mut self, state: &SubmissionState, now: Instant) -> Vec<(LifeId, Checkpoints)> {
        let mut over = Vec::new();
        for (id, view) in &mut self.views {
            let Some(life) = state.life(*id) else { continue };
            let silent = !view.is_reachable(now);
            // A worker that has said farewell ends with all that it runs.
            let ended = life.worker.leaving && now >= view.reachable_until + FAREWELL;
            let lapsed = now >= view.lease.surely_over_at();
            if view.condemned || (silent && (ended || lapsed)) {
                view.condemned = true;
                over.push((*id, view.checkpoints()));
            }
        }
        over
    }
}

fn never_ran(order: Order) -> RunEnd {
    let Order { task, attempt, .. } = order;
    RunEnd { task, attempt, how: EndHow::NeverRan, checkpoint: "".into() }
}

fn step_of(state: &SubmissionState, task: TaskId) -> Option<&Step> {
    state.record(task.submission)?.spec.steps.get(usize::from(task.step))
}

fn run_of(state: &SubmissionState, life: LifeId, task: TaskId) -> Option<Run> {
    record_run(state, life, task).map(|(_, run)| run)
}

fn record_run(state: &SubmissionState, life: LifeId, task: TaskId) -> Option<(&Record, Run)> {
    let record = state.record(task.submission)?;
    let run = record.task(task)?.runs.iter().find(|r| r.life == life)?;
    Some((record, *run))
}

/// What runs on a life, for the planner.
pub(super) fn runs_on<'a>(
    state: &'a SubmissionState,
    life: &'a Life,
) -> impl Iterator<Item = (TaskId, &'a Step)> {
    life.runs.iter().filter_map(|task| step_of(state, *task).map(|step| (*task, step)))
}
