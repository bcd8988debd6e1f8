//! Models that the scheduler learns from reports. They are kept in memory only:
//! a new leader starts from the declared sizes and learns again. The
//! interference model of [`crate::submission`] is a different one, which the
//! group stores.

pub(crate) mod histogram;
pub mod interference;
pub mod profile;
pub mod usage;

/// Maximum number of job classes in a model. Jobs of further classes are
/// treated as they are declared.
pub(crate) const MAX_CLASSES: usize = 4096;
