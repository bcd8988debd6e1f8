//! Tests of the decisions on requests.
#![allow(clippy::unwrap_used)]

mod admission;
mod arrivals;
mod choice;
mod faults;
mod invariants;
#[path = "../../../../tests/all/harness/known_red.rs"]
mod known_red;
mod lifecycle;
mod neighbours;
mod overload;
mod retry;
mod slot_world;
mod slots;
mod spill;
mod support;
