//! The target side of an entry host: announcements of targets and connections to them.
//! Only this crate hands requests to connections.

pub mod announcement;
pub mod connection;
pub mod failure;
pub mod headers;
pub mod pool;
pub mod registry;
pub mod usage;

pub use announcement::{AnnounceResponse, EntryInFlight, TargetAnnouncement, TargetPhase};
pub use connection::{Acquired, TargetBody};
pub use failure::{LostResponse, NoConnection, NoConnectionCause, SendFailure, UnsentRequest};
pub use pool::{Endpoint, Pool, PoolLimits};
pub use registry::{Registry, ServiceTarget};
pub use usage::{ConnectionTotals, HostConnections};
