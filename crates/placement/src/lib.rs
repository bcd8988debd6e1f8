//! Decisions on tasks: which worker runs what, and when a task is throttled,
//! evicted or resumed. [`PlacementState`] is what a failure domain's placement
//! group agrees on; [`Scheduler`] is what its leader knows besides. No input or
//! output happens here; each function that decides takes the present time.

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
pub use policy::{FitPolicy, LatencyTarget, PlacementPolicy, ReliefPolicy, TeamPolicy};
pub use scheduler::{Hold, Scheduler, status::Status};
pub use state::PlacementState;
pub use time::Timestamp;
