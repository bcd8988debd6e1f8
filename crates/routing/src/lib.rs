//! Decisions on requests: which target, whether to wait, to refuse, to retry,
//! to hedge or to use another failure domain. No input or output happens here;
//! each function that decides takes the present time.

mod abandoned;
pub mod admission;
mod budget;
pub mod choice;
pub mod ejection;
pub mod estimate;
pub mod facts;
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

pub use ejection::{EjectionCause, Standing};
pub use estimate::QuantileEstimates;
pub use facts::{
    AttemptResult, Decision, Estimates, Permit, Refusal, RequestFacts, TargetRecord, Ticket,
};
pub use leases::SlotReply;
pub use policy::{ChoicePolicy, RoutingPolicy, ServicePolicy};
pub use retry::NoRetry;
pub use service::ServiceRouter;
pub use slots::{Allowance, LeaseConfig, SlotMessage, SlotTable};
pub use snapshot::{ServiceSnapshot, TargetSnapshot};
pub use spill::{SpillChoice, WaitReport};
