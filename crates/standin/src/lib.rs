//! Simulated peers of cyclamenloft for tests, the demo and benchmarks: a target, a
//! worker and a load generator. They are not part of the product.

pub mod journal;
pub mod load;
pub mod target;
pub mod worker;

pub use journal::Journal;
pub use load::{LoadReport, LoadSettings};
pub use target::{TargetSettings, TargetStandin};
pub use worker::{WorkerSettings, WorkerStandin};
