//! Types that all cyclamenloft crates share: ids, resources, jobs and error
//! kinds. This crate performs no I/O.

pub mod bounded;
pub mod error;
pub mod ids;
pub mod job;
pub mod resources;

pub use bounded::bounded_list;
pub use error::{Error, ErrorInfo, ErrorKind, Outcome, Result, RetryAdvice};
pub use ids::*;
pub use job::{JobSpec, JobState, Priority, TaskKey, TaskState};
pub use resources::Resources;
