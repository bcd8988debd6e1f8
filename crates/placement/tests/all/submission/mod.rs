//! Tests of submissions to workers that are called.

mod advice;
mod cluster;
mod fleet;
mod interference;
mod lease;
mod planning;
mod safety;
mod spec;
mod state;
mod waves;
