//! The leader's view of one worker, from its reports and polls.

use super::{
    learning::Presence,
    mitigation::{MitigationState, ServiceHealth, Throttle},
};
use crate::messages::{NumberedOrder, Order, RunningTask};
use cyclamenloft_types::{AttemptNumber, BootId, TaskKey};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Kind of the last order for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderKind {
    Start,
    Evict,
    Stop,
}

/// The last order for a task on its worker.
#[derive(Debug)]
pub(super) struct SentOrder {
    pub(super) attempt: AttemptNumber,
    pub(super) number: u64,
    pub(super) kind: OrderKind,
    /// Number of times that the order was sent for this attempt.
    pub(super) send_count: u32,
    /// Time since which the worker's reports contradict the order; `None` if
    /// they match it.
    pub(super) differs_since: Option<Instant>,
}

/// A running task as last reported.
#[derive(Clone, Debug)]
pub(super) struct ReportedTask {
    pub(super) last: RunningTask,
    /// Time of the first report that listed it.
    pub(super) since: Instant,
}

/// The leader's view of a worker.
#[derive(Debug)]
pub(super) struct WorkerView {
    pub(super) boot: BootId,
    pub(super) lease_expires: Instant,
    /// Time of the worker's last announcement or report.
    pub(super) last_heard: Instant,
    /// Time at which the loss of the worker was proposed; from then on no
    /// report renews the lease.
    pub(super) loss_proposed_at: Option<Instant>,
    /// Sequence number of the newest report.
    pub(super) sequence: Option<u64>,
    pub(super) running: BTreeMap<TaskKey, ReportedTask>,
    pub(super) sent_orders: BTreeMap<TaskKey, SentOrder>,
    /// Times in which tasks ran that still run or ended recently, to determine the
    /// neighbors of services.
    pub(super) presence: BTreeMap<TaskKey, Presence>,
    pub(super) service_health: BTreeMap<TaskKey, ServiceHealth>,
    pub(super) throttles: BTreeMap<TaskKey, Throttle>,
    pub(super) mitigation: MitigationState,
    /// Age that the measurements in the newest report had when it was sent.
    pub(super) measurement_lag: Duration,
    /// Number of the last order to this worker; initially that of the last order
    /// to any worker.
    last_order_number: u64,
    /// Highest order number that the worker has handled.
    handled: u64,
    orders: Vec<NumberedOrder>,
}

impl WorkerView {
    pub(super) fn new(
        boot: BootId,
        last_heard: Instant,
        lease_expires: Instant,
        last_order_number: u64,
    ) -> Self {
        Self {
            boot,
            last_heard,
            lease_expires,
            loss_proposed_at: None,
            sequence: None,
            running: BTreeMap::new(),
            sent_orders: BTreeMap::new(),
            presence: BTreeMap::new(),
            service_health: BTreeMap::new(),
            throttles: BTreeMap::new(),
            mitigation: MitigationState::default(),
            measurement_lag: Duration::ZERO,
            last_order_number,
            handled: 0,
            orders: Vec::new(),
        }
    }

    /// Queues an order; `number` must be above those of all earlier orders.
    pub(super) fn push(&mut self, number: u64, order: Order) {
        self.last_order_number = number;
        let sent = match &order {
            Order::Start { task, attempt, .. } => Some((task, *attempt, OrderKind::Start)),
            Order::Evict { task, attempt } => Some((task, *attempt, OrderKind::Evict)),
            Order::Stop { task, attempt } => Some((task, *attempt, OrderKind::Stop)),
            Order::Throttle { .. } => None,
        };
        if let Some((task, attempt, kind)) = sent {
            let before =
                self.sent_orders.get(task).filter(|s| s.attempt == attempt && s.kind == kind);
            let send_count = before.map_or(1, |s| s.send_count + 1);
            let sent = SentOrder { attempt, number, kind, send_count, differs_since: None };
            self.sent_orders.insert(task.clone(), sent);
        }
        self.orders.push(NumberedOrder { number, order });
    }

    /// Returns the highest order number that the worker has handled.
    pub(super) fn handled(&self) -> u64 {
        self.handled
    }

    /// Drops the orders up to number `handled` and returns the rest.
    pub(super) fn unhandled(&mut self, handled: u64) -> Vec<NumberedOrder> {
        // A number above the last order of this view counts as the number of
        // that order.
        self.handled = self.handled.max(handled.min(self.last_order_number));
        let handled = self.handled;
        self.orders.retain(|o| o.number > handled);
        self.orders.clone()
    }

    /// Renumbers the queued orders from `last` + 1 on and returns the last number.
    pub(super) fn renumber(&mut self, last: u64) -> u64 {
        self.handled = last;
        self.last_order_number = last;
        for order in &mut self.orders {
            self.last_order_number += 1;
            let before = std::mem::replace(&mut order.number, self.last_order_number);
            if let Some(sent) = self.sent_orders.values_mut().find(|s| s.number == before) {
                sent.number = self.last_order_number;
            }
        }
        self.last_order_number
    }
}
