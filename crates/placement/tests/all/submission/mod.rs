//! Tests of submissions to workers that are called.

mod fleet;
mod interference;
mod lease;
mod patterns;
mod safety;
mod spec;
mod state;
mod world;
