//! Routing decisions for requests: which target a request goes to, and whether
//! it is queued, refused, retried, hedged or sent to another failure domain.
//! This crate does no I/O, and each function that decides takes the current
//! time as an argument.
//!
//! The task that owns a [`ServiceRouter`] does the following:
//!
//! - It passes announcements of targets to [`ServiceRouter::announce`] and
//!   calls [`ServiceRouter::tick`] every few milliseconds.
//! - It calls [`ServiceRouter::admit`] for each request. If the request is
//!   queued, the task then handles the decisions that
//!   [`ServiceRouter::take_decided`] returns. If the request is queued or
//!   refused, the task may call [`ServiceRouter::consider_spill`].
//! - It sends the request to the target of its [`Permit`], moving it through the
//!   states of [`lifecycle`], and returns the permit with
//!   [`ServiceRouter::release`]. Every list of decisions that a call returns
//!   concerns queued requests.
//! - It calls [`ServiceRouter::retry`] after a failed attempt, and
//!   [`ServiceRouter::hedge`] once [`ServiceRouter::hedge_after`] has elapsed.
//! - After [`ServiceRouter::enable_leases`], it sends the messages that
//!   [`ServiceRouter::slot_messages`] returns every few milliseconds, and passes
//!   received messages to [`ServiceRouter::handle_slot_message`].

mod abandoned;
pub mod admission;
mod budget;
pub mod choice;
pub mod decision;
pub mod ejection;
pub mod estimate;
pub mod leases;
pub mod lifecycle;
pub mod policy;
mod queue;
pub mod retry;
pub mod service;
pub mod slots;
pub mod snapshot;
pub mod spill;
mod targets;

pub use budget::MAX_FIRST_BACKOFF;
pub use decision::{
    AttemptResult, Decision, Estimates, Permit, Refusal, RequestMeta, TargetRecord, Ticket,
};
pub use ejection::{EjectionCause, EjectionState};
pub use estimate::QuantileEstimates;
pub use leases::SlotReply;
pub use policy::{ChoicePolicy, RoutingPolicy, ServicePolicy};
pub use retry::NoRetry;
pub use service::ServiceRouter;
pub use slots::{Allowance, LeaseConfig, SlotMessage, SlotTable};
pub use snapshot::{ServiceSnapshot, TargetSnapshot};
pub use spill::{SpillChoice, WaitReport};
