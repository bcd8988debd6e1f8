//! Integration tests with real processes on loopback addresses.

#![allow(clippy::unwrap_used, reason = "a test that can't go on fails")]

mod harness;

mod bad_input;
mod checker;
mod explain;
mod failures;
mod paths;
mod requests;
mod settings;
