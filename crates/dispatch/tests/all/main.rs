//! Tests of the decisions that a leader makes beside its plans.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod admission;
mod group_client;
mod holders;
mod leader_loss;
mod limits;
mod load;
mod membership;
mod messages;
mod protocol;
mod recovery;
mod refusals;
mod reports;
mod round;
mod run_log;
mod suspension;
mod telemetry;
