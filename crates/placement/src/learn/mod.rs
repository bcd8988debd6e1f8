//! Models that the leader learns from reports. They are kept in memory only: a
//! new leader starts from the declared sizes and learns anew.

pub(crate) mod histogram;
pub mod interference;
pub mod profile;
pub mod usage;

/// Limit on the job classes that are learned; jobs of further classes are treated
/// as they are declared.
pub(crate) const MAX_CLASSES: usize = 4096;
