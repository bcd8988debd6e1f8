//! What the leader knows of one worker from its reports and polls.

use super::{
    learning::Presence,
    mitigation::{Relief, Throttle, Watch},
};
use crate::messages::{NumberedOrder, Order, RunningTask};
use cyclamenloft_types::{AttemptNumber, BootId, TaskKey};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// What kind of order was last given for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderKind {
    Start,
    Evict,
    Stop,
}

/// The last order of a task on its worker, and since when the reports differ
/// from what the order asks for.
#[derive(Debug)]
pub(super) struct Sent {
    pub(super) attempt: AttemptNumber,
    pub(super) number: u64,
    pub(super) kind: OrderKind,
    pub(super) times: u32,
    pub(super) differs_since: Option<Instant>,
}

/// A running task as last reported.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) last: RunningTask,
    /// When a report first listed it.
    pub(super) since: Instant,
}

/// The leader's view of a worker.
#[derive(Debug)]
pub(super) struct WorkerView {
    pub(super) boot: BootId,
    pub(super) lease_expires: Instant,
    /// When it was last heard of.
    pub(super) heard: Instant,
    /// When the loss was proposed; from then on nothing renews the lease.
    pub(super) losing: Option<Instant>,
    /// Sequence of the newest report.
    pub(super) sequence: Option<u64>,
    pub(super) running: BTreeMap<TaskKey, Running>,
    pub(super) sent: BTreeMap<TaskKey, Sent>,
    /// Tasks that ran lately, as neighbours of others.
    pub(super) presence: BTreeMap<TaskKey, Presence>,
    pub(super) watches: BTreeMap<TaskKey, Watch>,
    pub(super) throttles: BTreeMap<TaskKey, Throttle>,
    pub(super) relief: Relief,
    /// By how much the measurements of the newest report lag.
    pub(super) lag: Duration,
    /// Number of the last order, or at first the last one to any worker.
    last_order: u64,
    handled: u64,
    orders: Vec<NumberedOrder>,
}

impl WorkerView {
    pub(super) fn new(
        boot: BootId,
        heard: Instant,
        lease_expires: Instant,
        last_order: u64,
    ) -> Self {
        Self {
            boot,
            heard,
            lease_expires,
            losing: None,
            sequence: None,
            running: BTreeMap::new(),
            sent: BTreeMap::new(),
            presence: BTreeMap::new(),
            watches: BTreeMap::new(),
            throttles: BTreeMap::new(),
            relief: Relief::default(),
            lag: Duration::ZERO,
            last_order,
            handled: 0,
            orders: Vec::new(),
        }
    }

    /// Queues an order under a number above all that went before.
    pub(super) fn push(&mut self, number: u64, order: Order) {
        self.last_order = number;
        let sent = match &order {
            Order::Start { task, attempt, .. } => Some((task, *attempt, OrderKind::Start)),
            Order::Evict { task, attempt } => Some((task, *attempt, OrderKind::Evict)),
            Order::Stop { task, attempt } => Some((task, *attempt, OrderKind::Stop)),
            Order::Throttle { .. } => None,
        };
        if let Some((task, attempt, kind)) = sent {
            let before = self.sent.get(task).filter(|s| s.attempt == attempt && s.kind == kind);
            let times = before.map_or(1, |s| s.times + 1);
            let sent = Sent { attempt, number, kind, times, differs_since: None };
            self.sent.insert(task.clone(), sent);
        }
        self.orders.push(NumberedOrder { number, order });
    }

    /// Highest number of an order that the worker has handled.
    pub(super) fn handled(&self) -> u64 {
        self.handled
    }

    /// The orders above `handled`; those up to it are dropped.
    pub(super) fn unhandled(&mut self, handled: u64) -> Vec<NumberedOrder> {
        // A number that was never given out in this view confirms nothing.
        self.handled = self.handled.max(handled.min(self.last_order));
        let handled = self.handled;
        self.orders.retain(|o| o.number > handled);
        self.orders.clone()
    }

    /// Numbers the orders anew from above `last`, and returns the last number.
    pub(super) fn renumber(&mut self, last: u64) -> u64 {
        self.handled = last;
        self.last_order = last;
        for order in &mut self.orders {
            self.last_order += 1;
            let before = std::mem::replace(&mut order.number, self.last_order);
            if let Some(sent) = self.sent.values_mut().find(|s| s.number == before) {
                sent.number = self.last_order;
            }
        }
        self.last_order
    }
}
