//! Submissions end to end: entry hosts hand them to the leader of one group
//! that spans failure domains; the leader agrees on each step with the group
//! and then calls the workers.
//!
//! [`entry`] is the side of an entry host, [`Node`] the side of a replica. How
//! workers are called is behind the [`Port`] trait.

pub mod admission;
pub mod entry;
pub mod metrics;
pub mod node;
pub mod notify;
pub mod port;
pub mod protocol;
pub mod suspension;
pub mod telemetry;

mod advise;
mod answer;
mod leader;
mod members;
mod transport;
mod upkeep;
mod worker;

pub use node::{Node, NodeSettings};
pub use port::{
    Advice, AdvisorPort, ListedMachine, MachinePort, OrderCall, OrderReply, PollCall, Port,
    UpkeepAnswer, UpkeepCall, UpkeepReply, WorkerPort,
};
pub use protocol::{Draft, PeerRequest, Reply};
