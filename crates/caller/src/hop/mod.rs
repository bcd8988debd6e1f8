//! Handing a request to another entry host, which forwards it to one of its
//! own targets. A request takes at most one such hop.
//!
//! [`client`] sends, [`handler`] receives on the peers' listener, and [`headers`]
//! is what goes with the request besides what the caller sent.

pub mod client;
pub mod handler;
pub mod headers;

pub use client::{Hop, HopClient, HopFailure, HopRule};
pub use handler::HopHandler;
pub use headers::HOP_PATH;
