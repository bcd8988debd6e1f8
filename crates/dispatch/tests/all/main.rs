//! Tests of what a leader decides on a submission before the group hears of it.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod admission;
mod suspension;
