//! The port to workers that are called: what the leader asks of them, apart
//! from how it is said.

use cyclamenloft_placement::submission::{
    Observation, WorkerInfo,
    fleet::{Order, OrderAnswer},
    spec::StepId,
    waves::{MachineId, WaveNumber},
};
use cyclamenloft_types::{HostId, Result, Term, WorkerId};
use std::time::{Duration, Instant};

/// A look at a worker: renews its lease, acknowledges ends, and waits for one.
#[derive(Clone, Copy, Debug)]
pub struct PollCall {
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
    /// The advisor's ticket; empty where the queue has no advisor.
    pub ticket: Box<str>,
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

/// Workers that an advisor allows, with their tickets, and how long these are
/// valid.
pub type Advice = (Vec<(WorkerId, Box<str>)>, Duration);

/// Asks the advisor.
pub trait AdvisorPort: 'static {
    /// Which of some workers may run a step.
    ///
    /// # Errors
    ///
    /// No advisor is known, it is overrun, or it hasn't answered by `until`.
    fn advise(
        &self,
        step: StepId,
        workers: &[WorkerId],
        until: Instant,
    ) -> impl Future<Output = Result<Advice>>;
}

/// An order of upkeep for a machine.
#[derive(Clone, Debug)]
pub struct UpkeepCall {
    /// The wave.
    pub wave: WaveNumber,
    /// The machine.
    pub machine: MachineId,
    /// Who orders.
    pub holder: HostId,
    /// Fencing token.
    pub token: Term,
}

/// What came of an order of upkeep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpkeepAnswer {
    /// It has begun, now or by an earlier order.
    Begun,
    /// The machine isn't up, or leaves.
    Busy,
    /// A higher token was used for the machine.
    Fenced,
    /// The wave has no such machine.
    NotOfWave,
    /// There is no such machine any more.
    NoMachine,
    /// No clear answer; it may be carried out, also later.
    Unanswered,
}

/// An answer to an order of upkeep.
#[derive(Clone, Debug)]
pub struct UpkeepReply {
    /// What came of it.
    pub answer: UpkeepAnswer,
    /// What there is to say about it.
    pub detail: Box<str>,
}

/// A machine as its service lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedMachine {
    /// Name of the machine.
    pub machine: MachineId,
    /// It is up, rather than down, moving or in its upkeep.
    pub up: bool,
}

/// Calls the service that looks after the machines.
pub trait MachinePort: 'static {
    /// Orders a machine's upkeep.
    fn upkeep(&self, call: &UpkeepCall, until: Instant) -> impl Future<Output = UpkeepReply>;

    /// Lists all machines.
    ///
    /// # Errors
    ///
    /// The service is unknown, or hasn't answered in whole by `until`.
    fn machines(&self, until: Instant) -> impl Future<Output = Result<Vec<ListedMachine>>>;
}

/// All that the leader calls outside the system.
pub trait Port: WorkerPort + AdvisorPort + MachinePort {}

impl<T: WorkerPort + AdvisorPort + MachinePort> Port for T {}

/// Calls workers.
pub trait WorkerPort: 'static {
    /// Connections to one life of a worker.
    type Connection: 'static;

    /// Prepares calls to a life; nothing is sent yet.
    fn connection(&self, worker: &WorkerInfo) -> Self::Connection;

    /// Looks at the worker; gives what it lists and the number of the last end
    /// listed.
    ///
    /// # Errors
    ///
    /// No readable answer of this life within the wait and a second.
    fn poll(
        &self,
        connection: &Self::Connection,
        call: PollCall,
    ) -> impl Future<Output = Result<(Observation, u64)>>;

    /// Sends an order.
    fn order(
        &self,
        connection: &Self::Connection,
        call: &OrderCall,
    ) -> impl Future<Output = OrderReply>;
}
