//! Towards operators: the configuration folder, its checks, and the numbered
//! history that the config group agrees on.
//!
//! A configuration lives through [`Draft`] (files as read) and [`Checked`]
//! (every value typed and in range) until the config group accepts it under a
//! number, which [`ConfigState`] records. Every process keeps the highest that
//! it has seen as [`InForce`], fed with [`Update`]s.

pub mod active;
pub mod changes;
pub mod cli;
mod context;
pub mod deployment;
pub mod folder;
pub mod history;
pub mod keys;
mod merge;
pub mod messages;
pub mod origin;
pub mod placement;
pub mod report;
mod section;
pub mod service;
pub mod state;
mod variants;

pub use active::{InForce, Offered};
pub use changes::Update;
pub use deployment::Deployment;
pub use folder::{Checked, ConfigFile, Draft};
pub use history::Holder;
pub use origin::{KeyChange, Origin, diff};
pub use report::{ConfigReport, Problem, ProblemKind};
pub use state::{Accepted, ConfigCommand, ConfigState};
