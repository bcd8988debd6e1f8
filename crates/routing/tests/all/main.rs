//! Tests of the routing decisions.
#![allow(clippy::unwrap_used)]

mod admission;
mod arrivals;
mod choice;
mod faults;
mod invariants;
#[path = "../../../../tests/all/harness/known_red.rs"]
mod known_red;
mod lifecycle;
mod overload;
mod retry;
mod shared_targets;
mod slot_sim;
mod slots;
mod spill;
mod support;
