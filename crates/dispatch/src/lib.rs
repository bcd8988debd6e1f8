//! Processes submissions end to end: entry hosts forward them to the leader of
//! one replicated group that spans failure domains; the leader commits each
//! step in the group and then calls the workers.
//!
//! [`group_client`] is the part that runs on an entry host, [`Node`] the part that
//! runs on a replica. The [`Port`] trait abstracts over how workers are called.

pub mod admission;
pub mod evacuation;
pub mod group_client;
pub mod leader_loss;
pub mod limits;
pub mod load;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod notify;
pub mod port;
pub mod protocol;
pub mod recovery;
pub mod refusals;
pub mod relay;
pub mod reports;
pub mod round;
pub mod run_log;
pub mod suspension;
pub mod telemetry;

mod advise;
mod forward;
mod leader;
mod maintenance;
mod members;
mod requests;
mod slots;
mod transport;
mod worker;

pub use node::{Node, NodeSettings};
pub use port::{
    Advice, AdvisorPort, ListedMachine, MachinePort, MaintenanceAnswer, MaintenanceCall,
    MaintenanceResponse, OrderCall, OrderResponse, PollCall, Port, WorkerPort,
};
pub use protocol::{Draft, PeerRequest, PeerResponse};
