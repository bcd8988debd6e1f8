//! The project's own replicated log: one implementation that carries the
//! placement group of each failure domain and the config group.
//!
//! A [`StateMachine`] says what is agreed on, a [`Transport`] carries messages
//! to the other replicas, and a [`Replica`] ties both to a log on disk.
//!
//! All of a replica runs on one thread. Its state stands in one place
//! (`core`), and a few tasks work on it: the driver seeks election when the
//! leader falls silent (`election`), one task for each peer sends it the log
//! (`peer`), and the writer makes writes durable in groups (`writer`).
//! Requests of other replicas are answered in `follower`.

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
mod hand_over;
mod install;
mod leader;
mod log;
mod membership;
mod membership_change;
mod message;
mod peer;
mod shared;
mod signal;
mod storage;
mod writer;

pub use config::{Config, Member, MemberKind};
pub use entry::Incarnation;
pub use replica::{MemberStatus, Replica, Role, Status};
pub use state_machine::StateMachine;
pub use transport::Transport;
