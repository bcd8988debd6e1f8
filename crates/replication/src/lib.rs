//! The project's own replicated log: one implementation that carries the
//! placement group of each failure domain and the config group.
//!
//! A [`StateMachine`] says what is agreed on, a [`Transport`] carries messages
//! to the other replicas, and a [`Replica`] ties both to a log on disk.

pub mod config;
pub mod machine;
pub mod replica;
pub mod transport;

pub use config::{Config, Member, MemberKind};
pub use machine::StateMachine;
pub use replica::{Replica, Role, Status};
pub use transport::Transport;
