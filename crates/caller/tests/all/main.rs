//! The caller side over real sockets, against targets that misbehave.

#![allow(clippy::unwrap_used, reason = "a test that can't go on fails")]

mod support;

mod connections;
mod hedging;
mod hops;
mod keys;
mod malformed;
mod outcomes;
mod responses;
mod store;
