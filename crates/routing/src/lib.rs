//! Decisions on requests: which target, whether to wait, to refuse, to retry,
//! to hedge or to use another failure domain. No input or output happens here;
//! each function that decides takes the present time.
//!
//! A task that owns a [`ServiceRouter`] does this:
//!
//! - It passes on announcements of targets ([`ServiceRouter::announce`]) and
//!   calls [`ServiceRouter::tick`] every few milliseconds.
//! - It asks [`ServiceRouter::admit`] about each request. After an answer to wait
//!   it hands out [`ServiceRouter::take_decided`], and it may ask
//!   [`ServiceRouter::consider_spill`] after an answer to wait or a refusal.
//! - It sends the request by its [`Permit`], moving it through the states of
//!   [`lifecycle`], and gives the permit back with [`ServiceRouter::release`].
//!   Every list of decisions that a call returns is for requests that wait.
//! - It asks [`ServiceRouter::retry`] after a failed attempt, and
//!   [`ServiceRouter::hedge`] once [`ServiceRouter::hedge_after`] has passed.
//! - With [`ServiceRouter::enable_leases`] it sends what
//!   [`ServiceRouter::slot_messages`] returns every few milliseconds, and passes
//!   what comes to [`ServiceRouter::take_slot_message`].

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

pub use decision::{
    AttemptResult, Decision, Estimates, Permit, Refusal, RequestFacts, TargetRecord, Ticket,
};
pub use ejection::{EjectionCause, Standing};
pub use estimate::QuantileEstimates;
pub use leases::SlotReply;
pub use policy::{ChoicePolicy, RoutingPolicy, ServicePolicy};
pub use retry::NoRetry;
pub use service::ServiceRouter;
pub use slots::{Allowance, LeaseConfig, SlotMessage, SlotTable};
pub use snapshot::{ServiceSnapshot, TargetSnapshot};
pub use spill::{SpillChoice, WaitReport};
