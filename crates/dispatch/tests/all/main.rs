//! Tests of the checks that a leader makes before it proposes a change.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod admission;
mod suspension;
