//! Towards targets: their announcements, the connections to them, and the one
//! place where a request is handed to a connection.

pub mod announcement;
pub mod connection;
pub mod headers;
pub mod pool;
pub mod registry;

pub use announcement::{AnnounceAnswer, TargetAnnouncement, TargetPhase};
pub use connection::{SendFailure, TargetBody};
pub use pool::{Pool, PoolLimits};
pub use registry::{Registry, ServiceTarget};
