//! Tests of the scheduling of tasks.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;
#[path = "../../../../tests/all/harness/known_red.rs"]
mod known_red;
mod learning;
mod placing;
mod scheduler;
mod state;
mod submission;
mod traces;
