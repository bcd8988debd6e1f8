//! The order in which one worker gets its orders, and how many may be in flight.
//!
//! Stops come first, since they free room that starts may need. Starts take turns by submission, so
//! that a submission with many tasks on the worker delays another by one turn rather than by all of
//! its tasks. The members of a gang share a turn, because those that have started wait for the
//! others.

use super::{
    super::{
        spec::{StepId, SubmissionId, TaskId},
        state::{IncarnationId, Record, SubmissionState},
    },
    Fleet,
    messages::{Order, OrderAnswer, OrderKind},
    record_run,
    worker::WorkerView,
};
use cyclamenloft_types::LogIndex;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

/// Most starts in flight to one worker.
const MAX_STARTS: usize = 16;
/// Most orders in flight to one worker. A worker accepts 64 connections, and two replicas may call
/// it at the same time.
const MAX_ORDERS: usize = 24;
/// Number of queued orders for each order in flight beyond the first. Each needs a connection of its
/// own, which costs more than it saves if the queue is short.
const QUEUED_PER_ORDER: usize = 8;
/// Turns by which the starts of a queue are apart, for each step down in priority.
const TURNS_PER_PRIORITY: u64 = 2;
/// Lowest priority that makes a difference.
const LOWEST_PRIORITY: u8 = 4;

/// Position of a start among those of a worker, in virtual time.
type Turn = u64;

/// A run that needs a start. The fields are in the order in which they are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedStart {
    turn: Turn,
    priority: u8,
    accepted: LogIndex,
    task: TaskId,
    is_gang: bool,
}

/// The number of orders that may be in flight, which follows from the worker's answers.
#[derive(Clone, Debug)]
struct Window {
    limit: usize,
    starts: usize,
    changes: usize,
}

impl Default for Window {
    fn default() -> Self {
        Self { limit: 1, starts: 0, changes: 0 }
    }
}

impl Window {
    fn count_mut(&mut self, kind: OrderKind) -> &mut usize {
        match kind {
            OrderKind::Start => &mut self.starts,
            OrderKind::Stop | OrderKind::Pace(_) => &mut self.changes,
        }
    }

    fn wanted(&self, queued: usize) -> usize {
        self.limit.min(1 + queued / QUEUED_PER_ORDER)
    }

    fn admits_start(&self, queued: usize) -> bool {
        self.starts < self.wanted(queued)
    }

    /// Starts in flight leave room for stops.
    fn admits_change(&self, queued: usize) -> bool {
        self.changes < self.wanted(queued) && self.starts + self.changes < MAX_ORDERS
    }

    fn record_answer(&mut self, kind: OrderKind, answer: OrderAnswer) {
        let count = self.count_mut(kind);
        *count = count.saturating_sub(1);
        match answer {
            OrderAnswer::Unanswered | OrderAnswer::NotSent | OrderAnswer::Unhealthy => {
                self.limit = 1;
            }
            _ => self.limit = (self.limit + 1).min(MAX_STARTS),
        }
    }
}

/// The runs on one worker that need orders.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderQueue {
    /// Runs to be stopped, then runs whose pace changes.
    changes: VecDeque<TaskId>,
    starts: VecDeque<QueuedStart>,
    /// Latest turn of the starts that were sent.
    turn: Turn,
    /// Next turn of each submission, if it is later than `turn`.
    turns: BTreeMap<SubmissionId, Turn>,
    /// The gang of which a member was sent last, and its turn.
    gang: Option<(StepId, Turn)>,
    window: Window,
    /// When the first order that is put off may be sent again.
    retry_at: Option<Instant>,
}

impl OrderQueue {
    /// Replaces the queued orders.
    fn fill(&mut self, stops: Vec<TaskId>, paces: Vec<TaskId>, starts: Vec<(TaskId, &Record)>) {
        self.changes = stops.into();
        self.changes.extend(paces);
        let now = self.turn;
        self.turns.retain(|_, turn| *turn > now);
        let mut next = self.turns.clone();
        let mut gang = None;
        let mut queued: Vec<QueuedStart> = Vec::with_capacity(starts.len());
        for (task, record) in starts {
            let (step, priority) = (task.step_id(), record.policy.priority);
            let own = next.entry(task.submission).or_insert(now);
            let turn = match [gang, self.gang].into_iter().flatten().find(|(id, _)| *id == step) {
                Some((_, turn)) => turn,
                None => *own,
            };
            *own += turns_apart(priority);
            let is_gang = record.spec.steps[usize::from(task.step)].gang;
            if is_gang {
                gang = Some((step, turn));
            }
            queued.push(QueuedStart { turn, priority, accepted: record.seq, task, is_gang });
        }
        self.gang = self.gang.filter(|(id, _)| queued.iter().any(|s| s.task.step_id() == *id));
        queued.sort_unstable();
        self.starts = queued.into();
    }

    fn record_sent(&mut self, order: Order) {
        *self.window.count_mut(order.kind) += 1;
        if order.kind == OrderKind::Start
            && let Some(start) = self.starts.pop_front_if(|s| s.task == order.task)
        {
            self.turn = self.turn.max(start.turn);
            let next = self.turns.entry(order.task.submission).or_insert(start.turn);
            *next += turns_apart(start.priority);
            if start.is_gang {
                self.gang = Some((order.task.step_id(), start.turn));
            }
        }
    }

    /// Processes the answer to an order that was sent.
    pub(super) fn record_answer(&mut self, order: Order, answer: OrderAnswer) {
        self.window.record_answer(order.kind, answer);
        // The run may have to be stopped now.
        self.changes.push_back(order.task);
    }

    /// Records that a run may get another order from `at` on.
    pub(super) fn retry_from(&mut self, at: Instant) {
        self.retry_at = Some(self.retry_at.map_or(at, |known| known.min(at)));
    }
}

fn turns_apart(priority: u8) -> Turn {
    1 + TURNS_PER_PRIORITY * u64::from(priority.min(LOWEST_PRIORITY))
}

impl Fleet {
    /// Determines the orders that the runs on a worker need, for [`Self::queued_order`]. It goes
    /// through all runs on the worker, so it is called when something has changed rather than for
    /// each order.
    pub fn queue_orders(&mut self, state: &SubmissionState, id: IncarnationId, now: Instant) {
        let Some(incarnation) = state.incarnation(id) else {
            self.views.remove(&id);
            return;
        };
        let draining = state.rejects_starts(incarnation);
        let evacuated = state.is_evacuated(incarnation);
        let view = self.view_mut(id, now);
        view.orders.retry_at = None;
        // Before its first answer the worker may run what this leader knows no start of.
        if !view.may_get_orders(now) {
            return;
        }
        let (mut stops, mut paces, mut starts) = (Vec::new(), Vec::new(), Vec::new());
        for task in &incarnation.runs {
            let Some((record, run)) = record_run(state, id, *task) else { continue };
            let step = &record.spec.steps[usize::from(task.step)];
            let run_view = view.run_view(*task, run.attempt, step, now);
            // The stop stands, even if the evacuation is withdrawn before the run has ended.
            run_view.withdrawn |=
                evacuated && run_view.started.is_none() && run_view.in_flight.is_none();
            let (wanted, not_before) =
                (run_view.wanted_order(record, *task, draining, now), run_view.not_before);
            if not_before > now {
                view.orders.retry_from(not_before);
            }
            match wanted {
                Some(OrderKind::Stop) => stops.push(*task),
                Some(OrderKind::Pace(_)) => paces.push(*task),
                Some(OrderKind::Start) => starts.push((*task, record)),
                None => {}
            }
        }
        view.orders.fill(stops, paces, starts);
    }

    /// Returns the next queued order for the worker, if one may be sent now.
    pub fn queued_order(
        &mut self,
        state: &SubmissionState,
        id: IncarnationId,
        now: Instant,
    ) -> Option<Order> {
        let incarnation = state.incarnation(id)?;
        let is_fresh = self.capacity_is_fresh(state, id, now);
        let carried = self.carried.next_stop(state, id, now);
        let view = self.view_mut(id, now);
        if !view.may_get_orders(now) {
            return None;
        }
        let draining = state.rejects_starts(incarnation);
        if view.orders.window.admits_change(view.strays.len() + view.orders.changes.len()) {
            let stray = view.strays.first();
            let stop = stray.map(|(task, attempt)| (*task, *attempt));
            if let Some((task, attempt)) = stop {
                return Some(Order { task, attempt, kind: OrderKind::Stop });
            }
            if carried.is_some() {
                return carried;
            }
            while let Some(task) = view.orders.changes.front().copied() {
                match wanted_order(state, id, view, task, draining, now) {
                    Some(order) if order.kind != OrderKind::Start => return Some(order),
                    _ => drop(view.orders.changes.pop_front()),
                }
            }
        }
        let may_start = is_fresh && view.fits_capacity(incarnation);
        while let Some(start) = view.orders.starts.front().copied() {
            match wanted_order(state, id, view, start.task, draining, now) {
                Some(order) if order.kind == OrderKind::Start => {
                    let admits = view.orders.window.admits_start(view.orders.starts.len());
                    return (may_start && admits).then_some(order);
                }
                Some(order) => {
                    view.orders.starts.pop_front();
                    if view.orders.window.admits_change(view.orders.changes.len()) {
                        return Some(order);
                    }
                    view.orders.changes.push_back(start.task);
                }
                None => drop(view.orders.starts.pop_front()),
            }
        }
        None
    }

    /// Returns the next order for the worker, if one is due.
    pub fn next_order(
        &mut self,
        state: &SubmissionState,
        id: IncarnationId,
        now: Instant,
    ) -> Option<Order> {
        self.queue_orders(state, id, now);
        self.queued_order(state, id, now)
    }

    /// Returns the time from which on [`Self::queue_orders`] finds an order that is delayed now.
    #[must_use]
    pub fn retry_at(&self, id: IncarnationId) -> Option<Instant> {
        self.view(id)?.orders.retry_at
    }

    /// Records that an order is being sent. Its run gets no other one before
    /// [`Self::answered`] is called.
    pub fn order_sent(&mut self, id: IncarnationId, order: Order, now: Instant) {
        self.carried.record_sent(id, order, now);
        self.start_calls.record_sent(id, order, now);
        let view = self.view_mut(id, now);
        if order.kind == OrderKind::Stop {
            view.strays.remove(&(order.task, order.attempt));
        }
        if let Some(run) = view.runs.get_mut(&order.task).filter(|r| r.attempt == order.attempt) {
            run.in_flight = Some(order.kind);
        }
        view.orders.record_sent(order);
    }
}

fn wanted_order(
    state: &SubmissionState,
    id: IncarnationId,
    view: &mut WorkerView,
    task: TaskId,
    draining: bool,
    now: Instant,
) -> Option<Order> {
    let (record, run) = record_run(state, id, task)?;
    let step = &record.spec.steps[usize::from(task.step)];
    let kind =
        view.run_view(task, run.attempt, step, now).wanted_order(record, task, draining, now)?;
    Some(Order { task, attempt: run.attempt, kind })
}
