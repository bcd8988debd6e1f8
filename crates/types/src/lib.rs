//! Types that every cyclamenloft package shares: ids, resources, jobs and the
//! closed list of errors. Nothing here performs input or output.

pub mod error;
pub mod ids;
pub mod job;
pub mod resources;

pub use error::{Error, ErrorInfo, ErrorKind, Outcome, Result, RetryAdvice};
pub use ids::*;
pub use job::{JobSpec, JobState, Priority, TaskKey, TaskState};
pub use resources::Resources;
