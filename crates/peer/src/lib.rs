//! Communication between cyclamenloft processes: JSON-RPC calls over HTTP, and
//! the transport of the replicated logs.
//!
//! Calls are JSON-RPC 2.0 on [`RPC_PATH`] and are dispatched by
//! `jsonrpsee-core`. The transports of jsonrpsee need the reactor of another
//! runtime, so calls are sent with hyper on compio. Log messages are binary and
//! are sent as plain POST bodies to [`LOG_PATH`] followed by the group's name,
//! which avoids base64 in JSON.

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
/// Path prefix of log messages; the group's name follows.
pub const LOG_PATH: &str = "/log/";
/// Maximum size of a JSON-RPC call, in bytes.
pub const MAX_RPC_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of a log message, in bytes.
pub const MAX_LOG_BYTES: usize = 8 * 1024 * 1024;
