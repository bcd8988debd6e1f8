//! A replicated log in the style of Raft. The placement group of each failure
//! domain and the config group use the same implementation.
//!
//! A [`StateMachine`] defines the replicated state, a [`Transport`] carries
//! messages to the other replicas, and a [`Replica`] ties both to a log on
//! disk.
//!
//! A replica runs on one thread. Its state is kept in `core`, and a few tasks
//! work on it: the driver starts an election when the leader stops sending
//! heartbeats (`election`), one task for each peer sends it the log (`peer`),
//! and the writer makes queued writes durable in batches (`writer`). `follower`
//! answers the requests of other replicas.

pub mod config;
pub mod replica;
pub mod state_machine;
pub mod transport;

mod apply;
mod core;
mod election;
mod entry;
mod follower;
mod formation;
mod install;
mod leader;
mod leadership_transfer;
mod log;
mod membership;
mod membership_change;
mod message;
mod notify;
mod peer;
mod shared;
mod storage;
mod writer;

pub use config::{Config, Member, MemberKind};
pub use entry::DiskIncarnation;
pub use peer::MAX_COMMAND_BYTES;
pub use replica::{MemberStatus, Replica, Role, Status};
pub use state_machine::StateMachine;
pub use transport::Transport;
