//! Submissions whose tasks run on workers that the leader calls.
//!
//! [`SubmissionState`] is the replicated state of a placement group, which may
//! span failure domains. [`Fleet`] is the leader's view of the group's workers,
//! and [`planner`] assigns tasks to workers.
//!
//! A submission consists of steps, and a step of tasks with the same
//! requirements. An incarnation of a worker is one lifetime of its process. A run
//! is one attempt at a task on one incarnation. A run counts as ended once the
//! worker has reported its end or once it can no longer be running. A worker that
//! crashes reports no end; [`crashes`] keeps which tasks may have caused it.

pub mod advice;
pub mod backlog;
pub mod command;
pub mod command_size;
pub mod crashes;
pub mod demand;
pub mod evacuation;
pub mod fleet;
mod former_runs;
pub mod health;
pub mod interference;
pub mod kept;
pub mod lease;
pub mod load_policy;
mod open_starts;
pub mod pacing;
pub mod planner;
mod record;
pub mod routes;
pub mod run_times;
pub mod spec;
pub mod state;
pub mod waves;

pub use command::{
    Command, CommandResult, EndReason, ForeignReport, GivenUp, Placement, RunEnd, Silence,
    SilentRun, WorkerInfo, WorkerReport,
};
pub use demand::{Demand, Forecast};
pub use fleet::{Fleet, ListedRun, Observation, OrderKind, ReportBound, ReportStamp};
pub use load_policy::LoadPolicy;
pub use open_starts::{OpenStart, RunId};
pub use routes::{Queue, QueueKey, RouteTable, Service};
pub use spec::{Step, Submission, SubmissionId, TaskId};
pub use state::{IncarnationId, Phase, SubmissionState};
