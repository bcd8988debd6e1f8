//! Tests of submissions to workers that are called.

mod advice;
mod fleet;
mod interference;
mod lease;
mod patterns;
mod safety;
mod spec;
mod state;
mod waves;
mod world;
