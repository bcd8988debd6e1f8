//! The caller side of an entry host: reads the attributes of a request, waits for
//! a routing decision, forwards the request to the chosen target and streams the
//! response back.

mod exchange;
mod hedge;
mod idle_timeout;
mod keyed;
mod outgoing;
mod peers;
mod response;
mod upload;
mod validate;

pub mod attributes;
pub mod decision_log;
pub mod forwarder;
pub mod gate;
pub mod gates;
pub mod handler;
pub mod hop;
pub mod idempotency;
pub mod limits;
pub mod permit;

pub use attributes::RequestAttributes;
pub use forwarder::Forwarder;
pub use gate::Gate;
pub use gates::{Gates, Readiness};
pub use handler::CallerHandler;
pub use hop::{Hop, HopClient, HopHandler, HopRule};
pub use idempotency::{KeyCalls, Keys, OutcomeStore, OutcomeStoreLimits};
pub use limits::CallerLimits;
pub use permit::{InFlightSlot, ReservedSlot};
