//! Tests of the caller side over real sockets, with targets that misbehave.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod support;

mod connections;
mod hedging;
mod hops;
mod keys;
mod malformed;
mod outcomes;
mod responses;
mod store;
