//! Tests of the checks that a leader makes before it proposes a command.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod admission;
mod suspension;
