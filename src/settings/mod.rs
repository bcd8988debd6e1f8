//! Settings from flags and environment variables, validated into typed values.

pub mod control;
pub mod entry;
pub mod raw;

pub use control::ControlSettings;
pub use entry::EntrySettings;
