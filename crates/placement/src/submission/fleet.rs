//! What the leader knows of the workers beyond the agreed state: what they
//! list, which orders they have answered, and what follows from that.

use super::{
    command::{Checkpoints, EndHow, RunEnd},
    health::Health,
    interference::{Interference, Use},
    lease::WorkerLease,
    pacing::{self, Pace, Victim},
    spec::{Step, SubmissionId, TaskId},
    state::{Life, LifeId, Phase, Record, Run, SubmissionState},
};
use cyclamenloft_types::AttemptNumber;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Pause before an order that got no answer is sent again: longer than a call
/// between failure domains, shorter than a client's patience.
const RESEND: Duration = Duration::from_millis(400);
/// Pause before an order that the worker could not take is sent again.
const RETRY_SOON: Duration = Duration::from_millis(60);
/// Time for which a stopped run may still be listed before the stop is repeated.
const STOP_AGAIN: Duration = Duration::from_millis(1500);
/// Time without progress after which a task stands still. A task's progress is
/// told in hundredths, and 1.5 s is a hundredth of far more than any task's work.
const STUCK_AFTER: Duration = Duration::from_millis(1500);
/// The same for tasks that fill, which may be starved for a while.
const FILL_STUCK_AFTER: Duration = Duration::from_millis(4000);
/// Part of the target that the tail of a serving task is taken for before it was
/// seen.
const UNKNOWN_BASE: f64 = 0.45;
/// Part of a rise of an undisturbed tail that is believed at once.
const BASE_RISE: f64 = 0.7;
/// Part of a fall of an undisturbed tail that is believed at once.
const BASE_FALL: f64 = 0.4;
/// Time beyond twice the estimate after which a slow run gets a copy: estimates
/// of short tasks are off by as much.
const COPY_AFTER: Duration = Duration::from_millis(600);
/// Time for which a worker that has said farewell must be out of reach before
/// its runs count as ended.
const FAREWELL: Duration = Duration::from_millis(400);
/// Time beyond the expected answer after which a worker counts as out of reach.
const HOLD_LATE: Duration = Duration::from_millis(500);

/// One run as the worker lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: AttemptNumber,
    /// Newest checkpoint; empty where there is none.
    pub checkpoint: Box<str>,
    /// How far it is, in hundredths; of a lasting task, 100 once it is at work.
    pub percent: u8,
    /// Tail latency in milliseconds of a task with a target; of any other, the
    /// processor time that it uses, in thousandths of a core.
    pub figure: u32,
}

/// What a worker answered to a look.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// When the life began that answered.
    pub born_ms: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// All that runs.
    pub running: Vec<Listed>,
    /// Ends that were not acknowledged yet.
    pub ended: Vec<RunEnd>,
}

/// What an order asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Start the run.
    Start,
    /// Stop the run.
    Stop,
    /// Let the run work at this share, in percent.
    Pace(u8),
}

/// An order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: AttemptNumber,
    /// What is asked.
    pub kind: OrderKind,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The worker has taken it.
    Taken,
    /// No room for the start.
    NoRoom,
    /// The run is not newer than one that ended or was stopped there.
    Outdated,
    /// The lease that the order carried has expired already.
    Late,
    /// A newer leader has called the worker.
    Fenced,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// Another life of the worker answered.
    OtherLife,
    /// The worker can't read the order, or its ticket isn't valid.
    Refused,
    /// The order has surely not left this host.
    NotSent,
    /// No answer; it may be carried out, also later.
    Unanswered,
}

/// What the leader knows of one run.
#[derive(Clone, Debug)]
struct RunView {
    attempt: AttemptNumber,
    /// When the worker took the start.
    started: Option<Instant>,
    /// A start got no answer and may still be carried out.
    unsure: bool,
    /// The run is to be stopped though its submission is open.
    withdrawn: bool,
    /// When the worker took the stop.
    stopped: Option<Instant>,
    listed: bool,
    percent: u8,
    progress_at: Instant,
    figure: u32,
    checkpoint: Box<str>,
    /// Share that the worker was told.
    pace: u8,
    /// Share that it should work at.
    wanted_pace: Pace,
    /// Logarithm of the tail without tasks that fill, of a serving task.
    base_ln: Option<f64>,
    /// Since when the tail is over its target.
    over_since: Option<Instant>,
    not_before: Instant,
}

impl RunView {
    fn new(attempt: AttemptNumber, now: Instant) -> Self {
        Self {
            attempt,
            started: None,
            unsure: false,
            withdrawn: false,
            stopped: None,
            listed: false,
            percent: 0,
            progress_at: now,
            figure: 0,
            checkpoint: "".into(),
            pace: 100,
            wanted_pace: Pace::default(),
            base_ln: None,
            over_since: None,
            not_before: now,
        }
    }
}

/// What the leader knows of one life of a worker.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// The lease of all that runs there.
    pub lease: WorkerLease,
    /// Whether the worker has answered under this leader's token.
    pub synced: bool,
    /// When the worker counts as out of reach unless it answers.
    reachable_until: Instant,
    /// What is held against the worker.
    pub health: Health,
    /// The life is being declared over: no order goes there any more, or a run
    /// could begin there while its successor is placed.
    condemned: bool,
    runs: BTreeMap<TaskId, RunView>,
    strays: BTreeSet<(TaskId, AttemptNumber)>,
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

/// The workers as the leader of one term sees them.
#[derive(Debug)]
pub struct Fleet {
    longest_lease: Duration,
    since: Instant,
    views: BTreeMap<LifeId, WorkerView>,
    /// What is known of how images disturb each other.
    pub interference: Interference,
    /// Since when lasting tasks have waited for room.
    waiting: BTreeMap<TaskId, Instant>,
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
            waiting: BTreeMap::new(),
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

    /// Forgets lives that are over.
    pub fn retain(&mut self, state: &SubmissionState) {
        self.views.retain(|id, _| state.life(*id).is_some());
    }

    /// Notes which lasting tasks found no room in a round.
    pub(super) fn note_waiting(&mut self, tasks: &[TaskId], now: Instant) {
        let known = std::mem::take(&mut self.waiting);
        let since = |task: &TaskId| known.get(task).copied().unwrap_or(now);
        self.waiting = tasks.iter().map(|task| (*task, since(task))).collect();
    }

    /// How long a lasting task has waited for room.
    pub(super) fn waited(&self, task: TaskId, now: Instant) -> Duration {
        let since = self.waiting.get(&task);
        since.map_or(Duration::ZERO, |at| now.saturating_duration_since(*at))
    }

    /// Submissions with a lasting task that has waited this long for room.
    pub(super) fn starving(&self, least: Duration, now: Instant) -> BTreeSet<SubmissionId> {
        let long = |at: &Instant| now.saturating_duration_since(*at) >= least;
        self.waiting.iter().filter(|(_, at)| long(at)).map(|(task, _)| task.submission).collect()
    }

    /// Whether a run of a task that may run twice wants a copy: its worker is out
    /// of reach, or it takes far longer than estimated.
    pub(super) fn wants_copy(&self, life: LifeId, task: TaskId, step: &Step, now: Instant) -> bool {
        let Some(view) = self.views.get(&life) else { return false };
        let Some(run) = view.runs.get(&task) else { return !view.is_reachable(now) };
        let patience = Duration::from_millis(u64::from(step.estimate_ms)) * 2 + COPY_AFTER;
        let slow = run.started.is_some_and(|at| now >= at + patience);
        !run.withdrawn && (slow || !view.is_reachable(now))
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
        let mut next: Option<Order> = None;
        for task in &life.runs {
            let Some((record, run)) = record_run(state, id, *task) else { continue };
            let run_view = view.run_view(*task, run.attempt, now);
            let Some(kind) = run_view.wanted_order(record, *task, now) else { continue };
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

    /// Whether a run is being given up.
    #[must_use]
    pub fn is_withdrawn(&self, life: LifeId, task: TaskId) -> bool {
        self.views.get(&life).and_then(|v| v.runs.get(&task)).is_some_and(|r| r.withdrawn)
    }

    /// Runs that stand still on a worker that answers, and those checkpoints.
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

impl WorkerView {
    fn run_view(&mut self, task: TaskId, attempt: AttemptNumber, now: Instant) -> &mut RunView {
        let run = self.runs.entry(task).or_insert_with(|| RunView::new(attempt, now));
        if run.attempt != attempt {
            *run = RunView::new(attempt, now);
        }
        run
    }

    fn take_listed(&mut self, state: &SubmissionState, id: LifeId, seen: &Listed, now: Instant) {
        let known = run_of(state, id, seen.task).filter(|r| r.attempt == seen.attempt);
        if known.is_none() {
            self.strays.insert((seen.task, seen.attempt));
            return;
        }
        let lasting = step_of(state, seen.task).is_some_and(|s| s.lasting);
        let run = self.run_view(seen.task, seen.attempt, now);
        run.started.get_or_insert(now);
        run.listed = true;
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
    pub(super) fn is_probed(&self, state: &SubmissionState) -> bool {
        self.runs.iter().any(|(task, run)| {
            let lasting = step_of(state, *task).is_some_and(|s| s.lasting);
            !(lasting && run.percent == 100)
        })
    }

    fn note_end(&mut self, end: &RunEnd, now: Instant) {
        match end.how {
            EndHow::Done => self.health.note_success(now),
            EndHow::Failed => self.health.note_failure(end.task.submission, now),
            _ => {}
        }
    }

    /// The end of a run that an answer to a later look doesn't list any more.
    fn vanished(
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

    fn note_tails(
        &mut self,
        state: &SubmissionState,
        life: &Life,
        interference: &mut Interference,
        now: Instant,
    ) {
        let capacity = f64::from(life.worker.capacity.cpu_millis.max(1));
        let mut used: BTreeMap<usize, f64> = BTreeMap::new();
        for (task, run) in &self.runs {
            let Some(step) = step_of(state, *task).filter(|s| s.fills && run.listed) else {
                continue;
            };
            let index = interference.index(step.image.as_deref());
            *used.entry(index).or_default() += f64::from(run.figure) / capacity;
        }
        let used = used.into_iter().collect();
        for (task, run) in &mut self.runs {
            let Some(step) = step_of(state, *task) else { continue };
            if let Some(target) = step.target_ms
                && run.is_serving()
            {
                let serving = step.image.as_deref().unwrap_or_default();
                interference.note(serving, &used, f64::from(run.figure), now);
                run.note_tail(serving, target, &used, interference, now);
            }
        }
        self.pace_fill(state, capacity, interference, now);
    }

    /// Decides at which share each task that fills may work.
    fn pace_fill(
        &mut self,
        state: &SubmissionState,
        capacity: f64,
        interference: &Interference,
        now: Instant,
    ) {
        let victims = self.victims(state, now);
        let fill: Vec<(TaskId, Option<usize>, f64)> = self
            .runs
            .keys()
            .filter_map(|task| {
                let step = step_of(state, *task).filter(|s| s.fills)?;
                let part = f64::from(step.demand.cpu_millis) / capacity;
                Some((*task, interference.known(step.image.as_deref()), part))
            })
            .collect();
        let pressure = |image: &str, index, part| interference.weight(image, index) * part;
        let all: Vec<f64> = victims
            .iter()
            .map(|(image, _)| fill.iter().map(|(_, i, c)| pressure(image, *i, *c)).sum())
            .collect();
        for (task, index, part) in &fill {
            let pressures = victims
                .iter()
                .zip(&all)
                .map(|((image, victim), all)| (*victim, pressure(image, *index, *part), *all));
            let share = pacing::share(pressures);
            if let Some(run) = self.runs.get_mut(task) {
                run.wanted_pace.note(share, now);
            }
        }
    }

    /// The serving tasks at work here, with their images.
    pub(super) fn victims<'a>(
        &self,
        state: &'a SubmissionState,
        now: Instant,
    ) -> Vec<(&'a str, Victim)> {
        let victim = |(task, run): (&TaskId, &RunView)| {
            let step = step_of(state, *task)?;
            let target_ln = f64::from(step.target_ms?).ln();
            let over_for =
                run.over_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            let base_ln = run.base_ln.unwrap_or(target_ln + UNKNOWN_BASE.ln());
            Some((
                step.image.as_deref().unwrap_or_default(),
                Victim { base_ln, target_ln, over_for },
            ))
        };
        self.runs.iter().filter_map(victim).collect()
    }

    /// Runs of tasks that fill which hardly get on here.
    pub(super) fn held_back(&self, now: Instant) -> impl Iterator<Item = TaskId> {
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

    fn checkpoints(&self) -> Checkpoints {
        let saved = self.runs.iter().filter(|(_, run)| !run.checkpoint.is_empty());
        saved.map(|(task, run)| (*task, run.checkpoint.clone())).collect()
    }
}

impl RunView {
    fn wanted_order(&mut self, record: &Record, task: TaskId, now: Instant) -> Option<OrderKind> {
        if now < self.not_before {
            return None;
        }
        let done = record.task(task).is_none_or(|t| t.done);
        let wanted =
            record.phase == Phase::Open && !done && !self.withdrawn && !record.is_broken(task);
        if !wanted {
            let again = self.stopped.is_none_or(|at| self.listed && now >= at + STOP_AGAIN);
            return again.then_some(OrderKind::Stop);
        }
        if self.started.is_none() {
            return Some(OrderKind::Start);
        }
        let fills = record.spec.steps[usize::from(task.step)].fills;
        let pace = self.wanted_pace.percent();
        (fills && self.listed && self.pace != pace).then_some(OrderKind::Pace(pace))
    }

    /// Whether the run serves its users, so that its tail means something.
    fn is_serving(&self) -> bool {
        self.listed && self.percent == 100 && self.figure > 0
    }

    fn note_tail(
        &mut self,
        image: &str,
        target_ms: u32,
        used: &Use,
        interference: &Interference,
        now: Instant,
    ) {
        let disturbed: f64 =
            used.iter().map(|(i, part)| interference.weight(image, Some(*i)) * part).sum();
        let base = f64::from(self.figure).ln() - disturbed;
        let known = self.base_ln.unwrap_or(base);
        // A base that rises is believed faster than one that falls.
        let gain = if base > known { BASE_RISE } else { BASE_FALL };
        self.base_ln = Some(known + gain * (base - known));
        if self.figure > target_ms {
            self.over_since.get_or_insert(now);
        } else {
            self.over_since = None;
        }
    }

    fn is_stuck(&self, step: &Step, now: Instant) -> bool {
        let after = if step.fills { FILL_STUCK_AFTER } else { STUCK_AFTER };
        let paced = self.pace < 100 || self.wanted_pace.percent() < 100;
        self.listed && !self.withdrawn && !paced && now >= self.progress_at + after
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
