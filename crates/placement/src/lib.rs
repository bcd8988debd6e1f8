//! Scheduling of tasks: which worker runs each task, and when a task is
//! throttled, evicted or resumed. [`PlacementState`] is the replicated state of
//! a failure domain's placement group; [`Scheduler`] holds the volatile state of
//! the group's leader. This crate does no I/O, and each function that takes a
//! decision is given the current time.

mod codec;
pub mod command;
pub mod learn;
pub mod messages;
pub mod policy;
pub mod scheduler;
pub mod state;
pub mod submission;
pub mod time;
pub mod trace;

pub use command::{Command, CommandResult, EndedAttempt, Placement, WorkerRecord};
pub use messages::{
    Announcement, AttemptEnd, Lease, NumberedOrder, Order, OrdersRequest, Report, RunningTask,
};
pub use policy::{FitPolicy, LatencyTarget, MitigationPolicy, PlacementPolicy, TeamPolicy};
pub use scheduler::{HoldReason, Scheduler, status::Status};
pub use state::PlacementState;
pub use time::Timestamp;
