//! Towards operators: the configuration folder, its checks, and the numbered
//! history that the config group agrees on.
//!
//! A configuration lives through [`ConfigDraft`] (files as read) and [`CheckedConfig`]
//! (every value typed and in range) until the config group accepts it under a
//! number, which [`ConfigState`] records. Every process keeps the highest that
//! it has seen as [`ActiveConfig`], fed with [`Update`]s.

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

pub use active::{ActiveConfig, UpdateOutcome};
pub use changes::Update;
pub use deployment::Deployment;
pub use folder::{CheckedConfig, ConfigDraft, ConfigFile};
pub use history::NumberStatus;
pub use origin::{KeyChange, Origin, diff};
pub use report::{ConfigReport, Problem, ProblemKind};
pub use state::{AcceptedConfig, ConfigCommand, ConfigState};
