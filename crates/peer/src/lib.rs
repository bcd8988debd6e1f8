//! Between the system's own processes: JSON-RPC calls over HTTP, and the
//! transport of the replicated logs.
//!
//! Calls are JSON-RPC 2.0 on [`RPC_PATH`], answered through `jsonrpsee-core`.
//! Its transports need another runtime's reactor, so that requests travel over
//! hyper on compio. Log messages are binary and travel as plain POST bodies on
//! [`LOG_PATH`] followed by the group's name, without base64 in JSON.

pub mod calls;
pub mod client;
pub mod log_transport;
pub mod server;

pub use calls::Method;
pub use client::{PeerClient, PeerSet};
pub use log_transport::LogTransport;
pub use server::{Calls, PeerHandler, RpcService, answer};

/// Path of JSON-RPC calls.
pub const RPC_PATH: &str = "/rpc";
/// Path of log messages; the group's name follows.
pub const LOG_PATH: &str = "/log/";
/// Largest JSON-RPC call in bytes.
pub const MAX_RPC_BYTES: usize = 4 * 1024 * 1024;
/// Largest log message in bytes.
pub const MAX_LOG_BYTES: usize = 8 * 1024 * 1024;
