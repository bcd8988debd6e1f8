//! The interface through which the leader calls workers, the advisor and the
//! machine service, independent of the protocol.

use crate::relay::WorkerEndpoint;
use cyclamenloft_placement::submission::{
    Observation,
    fleet::{EndSign, Order, OrderAnswer},
    spec::StepId,
    waves::{MachineId, WaveNumber},
};
use cyclamenloft_types::{ErrorKind, HostId, Result, Term, WorkerId};
use std::time::{Duration, Instant};

/// Returns what the failure of a poll tells of the end of the incarnation's process.
pub(crate) fn end_sign(kind: ErrorKind) -> Option<EndSign> {
    match kind {
        ErrorKind::ConnectionRefused => Some(EndSign::Refused),
        ErrorKind::StaleAttempt => Some(EndSign::Replaced),
        _ => None,
    }
}

/// Returns whether the failure of a poll tells anything of the worker, rather than only that there was
/// no answer in time.
pub(crate) fn tells_of_worker(kind: ErrorKind) -> bool {
    end_sign(kind).is_some() || kind == ErrorKind::ConnectionClosed
}

/// A poll of a worker: it renews the worker's lease, acknowledges ended runs, and
/// waits for the next end of a run.
#[derive(Clone, Copy, Debug)]
pub struct PollCall {
    /// End of the lease on the worker's clock, in milliseconds; `None` if the poll grants none.
    pub lease_end_ms: Option<u64>,
    /// Fencing token.
    pub token: Term,
    /// Number of the last end of a run that the poll acknowledges, because the group has committed
    /// it; 0 if there is nothing new to acknowledge.
    pub acknowledged: u64,
    /// How long the worker may wait for the end of a run before it answers.
    pub wait: Duration,
}

/// An order to a worker, with its parameters.
#[derive(Clone, Debug)]
pub struct OrderCall {
    /// The order.
    pub order: Order,
    /// Fencing token.
    pub token: Term,
    /// Text passed to the task.
    pub payload: Box<str>,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Box<str>,
    /// The advisor's ticket; empty if the queue has no advisor.
    pub ticket: Box<str>,
    /// End of the lease on the worker's clock, in milliseconds. For a start it is the deadline,
    /// which may be earlier than the end of the lease.
    pub lease_end_ms: u64,
}

/// A worker's response to an order.
#[derive(Clone, Debug)]
pub struct OrderResponse {
    /// The worker's answer.
    pub answer: OrderAnswer,
    /// Details for the log.
    pub detail: Box<str>,
}

/// Workers that the advisor approves, with their tickets, and how long the
/// tickets are valid.
pub type Advice = (Vec<(WorkerId, Box<str>)>, Duration);

/// Calls the advisor.
pub trait AdvisorPort: 'static {
    /// Asks which of these workers may run a step.
    ///
    /// # Errors
    ///
    /// No advisor is configured, it is overloaded, or it hasn't answered by
    /// `until`.
    fn advise(
        &self,
        step: StepId,
        workers: &[WorkerId],
        until: Instant,
    ) -> impl Future<Output = Result<Advice>>;
}

/// An order to begin the maintenance of a machine.
#[derive(Clone, Debug)]
pub struct MaintenanceCall {
    /// The wave.
    pub wave: WaveNumber,
    /// The machine.
    pub machine: MachineId,
    /// Host that sends the order.
    pub holder: HostId,
    /// Fencing token.
    pub token: Term,
}

/// The outcome of a maintenance order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceAnswer {
    /// The maintenance has begun, by this order or an earlier one.
    Begun,
    /// The machine isn't up, or is leaving.
    Busy,
    /// An earlier order for the machine had a higher fencing token.
    Fenced,
    /// The wave doesn't contain the machine.
    NotOfWave,
    /// The machine no longer exists.
    NoMachine,
    /// There was no clear answer: the order may be carried out, even later.
    Unanswered,
}

/// The machine service's response to a maintenance order.
#[derive(Clone, Debug)]
pub struct MaintenanceResponse {
    /// The outcome.
    pub answer: MaintenanceAnswer,
    /// Details for the log.
    pub detail: Box<str>,
}

/// A machine as the machine service lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedMachine {
    /// Name of the machine.
    pub machine: MachineId,
    /// Whether it is up, rather than down, moving or under maintenance.
    pub up: bool,
}

/// Calls the machine service.
pub trait MachinePort: 'static {
    /// Orders that a machine's maintenance begin.
    fn begin_maintenance(
        &self,
        call: &MaintenanceCall,
        until: Instant,
    ) -> impl Future<Output = MaintenanceResponse>;

    /// Lists all machines.
    ///
    /// # Errors
    ///
    /// No service is configured, or it hasn't returned the whole list by `until`.
    fn machines(&self, until: Instant) -> impl Future<Output = Result<Vec<ListedMachine>>>;
}

/// All external systems that the leader calls.
pub trait Port: WorkerPort + AdvisorPort + MachinePort {}

impl<T: WorkerPort + AdvisorPort + MachinePort> Port for T {}

/// Calls workers.
pub trait WorkerPort: 'static {
    /// Connections to one incarnation of a worker.
    type Connection: 'static;

    /// Creates the connections to an incarnation, without sending anything.
    fn connection(&self, worker: &WorkerEndpoint) -> Self::Connection;

    /// Polls the worker. Returns the runs that it lists and the number of the
    /// last listed end.
    ///
    /// # Errors
    ///
    /// `ConnectionRefused` if no process listens at the worker's address, `StaleAttempt` if
    /// another incarnation answered, `ConnectionClosed` if the connection was closed; otherwise this incarnation has not given a valid answer
    /// within the requested wait plus a timeout.
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
    ) -> impl Future<Output = OrderResponse>;
}
