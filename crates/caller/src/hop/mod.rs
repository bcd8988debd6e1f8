//! Hands a request to another entry host, which forwards it to one of its own
//! targets. A request makes at most one such hop.
//!
//! [`client`] sends, [`handler`] receives on the listener for peers, and
//! [`headers`] defines the headers that are added to those of the caller.

pub mod client;
pub mod handler;
pub mod headers;

pub use client::{Hop, HopClient, HopFailure, HopRule};
pub use handler::HopHandler;
pub use headers::HOP_PATH;
