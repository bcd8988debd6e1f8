//! Tests of the scheduling of tasks.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;
mod learning;
mod placing;
mod scheduler;
mod state;
mod submission;
mod traces;
