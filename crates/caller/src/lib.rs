//! Towards callers: reading what a request asks for, waiting for a decision,
//! carrying the request to the chosen target and the whole answer back.

mod exchange;
mod forward;
mod hedge;
mod keyed;
mod neighbours;
mod outgoing;
mod pause;
mod shape;
mod upload;

pub mod decision_log;
pub mod forwarder;
pub mod gate;
pub mod gates;
pub mod handler;
pub mod hop;
pub mod idempotency;
pub mod limits;
pub mod marks;
pub mod permit;

pub use forwarder::Forwarder;
pub use gate::Gate;
pub use gates::{Gates, Readiness};
pub use handler::CallerHandler;
pub use hop::{Hop, HopClient, HopHandler, HopRule};
pub use idempotency::{KeyCalls, Keys, MemoryLimits, OutcomeMemory};
pub use limits::CallerLimits;
pub use marks::Marks;
pub use permit::{InFlight, Reserved};
