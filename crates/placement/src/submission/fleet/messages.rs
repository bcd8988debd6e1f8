//! What workers list, what they are ordered, and what they answer.

use super::super::{command::RunEnd, spec::TaskId};
use cyclamenloft_types::AttemptNumber;

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
    /// The worker can't read the order.
    Refused,
    /// The advisor's ticket is missing or not valid there.
    NoTicket,
    /// The order has surely not left this host.
    NotSent,
    /// No answer; it may be carried out, also later.
    Unanswered,
}
