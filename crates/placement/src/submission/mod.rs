//! Submissions to workers that are called: what a placement group that spans
//! failure domains agrees on ([`SubmissionState`]), what its leader knows of
//! the workers ([`Fleet`]), and which task goes where ([`planner`]).
//!
//! A submission has steps, a step has tasks of one shape. A run is one start of
//! a task on one life of a worker; it is over only once the worker says so, or
//! once it surely can't run any more.

pub mod advice;
pub mod command;
pub mod fleet;
pub mod health;
pub mod interference;
pub mod lease;
pub mod pacing;
pub mod planner;
mod record;
pub mod routes;
pub mod spec;
pub mod state;
pub mod waves;

pub use command::{Change, EndHow, Outcome, Placed, RunEnd, WorkerLife};
pub use fleet::{Fleet, Listed, Observation, OrderKind};
pub use routes::{Queue, QueueKey, RouteTable, Service};
pub use spec::{Step, Submission, SubmissionId, TaskId};
pub use state::{LifeId, Phase, SubmissionState};
