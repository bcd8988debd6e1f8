//! Decisions on requests: which target, whether to wait, to refuse, to retry,
//! to hedge or to use another failure domain. No input or output happens here;
//! each function that decides takes the present time.

pub mod facts;
pub mod policy;
pub mod service;
pub mod slots;

pub use facts::{AttemptResult, Decision, Permit, Refusal, RequestFacts, TargetRecord, Ticket};
pub use policy::{ChoicePolicy, RoutingPolicy, ServicePolicy};
pub use service::ServiceRouter;
