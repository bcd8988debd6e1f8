//! What the leader learns from reports. It is kept in memory only: a new
//! leader starts from the declared sizes and learns again.

pub(crate) mod histogram;
pub mod interference;
pub mod profile;
pub mod usage;

/// Most classes of jobs that are learned; jobs of further classes count as declared.
pub(crate) const MAX_CLASSES: usize = 4096;
