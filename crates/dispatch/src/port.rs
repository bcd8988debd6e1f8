//! The port to workers that are called: what the leader asks of them, apart
//! from how it is said.

use cyclamenloft_placement::submission::{
    Observation, WorkerLife,
    fleet::{Order, OrderAnswer},
};
use cyclamenloft_types::{Result, Term};
use std::time::Duration;

/// A look at a worker: renews its lease, acknowledges ends, and waits for one.
#[derive(Clone, Copy, Debug)]
pub struct Look {
    /// End of the lease on the worker's clock, in milliseconds; none before
    /// that clock is known.
    pub lease_end_ms: Option<u64>,
    /// Fencing token.
    pub token: Term,
    /// Number of the last end that is durable in the group.
    pub acknowledged: u64,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}

/// An order with all that goes with it.
#[derive(Clone, Debug)]
pub struct OrderCall {
    /// What is asked.
    pub order: Order,
    /// Fencing token.
    pub token: Term,
    /// Text handed to the task.
    pub payload: Box<str>,
    /// Checkpoint to resume from; empty where there is none.
    pub checkpoint: Box<str>,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_end_ms: u64,
}

/// What came of an order.
#[derive(Clone, Debug)]
pub struct OrderReply {
    /// The worker's answer.
    pub answer: OrderAnswer,
    /// What there is to say about it.
    pub detail: Box<str>,
}

/// Calls workers.
pub trait WorkerPort: 'static {
    /// Connections to one life of a worker.
    type Line: 'static;

    /// Prepares calls to a life; nothing is sent yet.
    fn line(&self, worker: &WorkerLife) -> Self::Line;

    /// Looks at the worker; gives what it lists and the number of the last end
    /// listed.
    ///
    /// # Errors
    ///
    /// No readable answer of this life within the wait and a second.
    fn look(
        &self,
        line: &Self::Line,
        look: Look,
    ) -> impl Future<Output = Result<(Observation, u64)>>;

    /// Sends an order.
    fn order(&self, line: &Self::Line, call: &OrderCall) -> impl Future<Output = OrderReply>;
}
