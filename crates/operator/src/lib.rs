//! Configuration by operators: the configuration folder, its validation, and the
//! numbered history that the config group replicates.
//!
//! A configuration starts as a [`ConfigDraft`] (files as read) and becomes a
//! [`CheckedConfig`] (every value typed and in range). The config group accepts
//! it under a number, which [`ConfigState`] records. Every process keeps the
//! configuration with the highest number that it has received as its
//! [`ActiveConfig`], to which it applies [`Update`]s.

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
pub mod warnings;

pub use active::{ActiveConfig, UpdateOutcome};
pub use changes::Update;
pub use deployment::Deployment;
pub use folder::{CheckedConfig, ConfigDraft, ConfigFile};
pub use history::NumberStatus;
pub use origin::{KeyChange, Origin, diff};
pub use report::{ConfigReport, Problem, ProblemKind, Severity};
pub use state::{AcceptedConfig, ConfigCommand, ConfigState};
