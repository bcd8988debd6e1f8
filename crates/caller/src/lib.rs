//! Towards callers: reading what a request asks for, waiting for a decision,
//! carrying the request to the chosen target and the whole answer back.

pub mod forward;
pub mod gate;
pub mod handler;
pub mod marks;

pub use gate::{Gate, HeldPermit};
pub use handler::{CallerHandler, Gates, Readiness};
pub use marks::Marks;
