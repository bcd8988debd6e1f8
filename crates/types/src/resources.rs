//! Amounts of CPU, memory and accelerators: capacities of workers and requests
//! of tasks.

use serde::{Deserialize, Serialize};
use std::fmt;

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u16,
}

impl Resources {
    /// An amount of zero of every resource.
    pub const ZERO: Self = Self { cpu_millis: 0, memory_mib: 0, accelerators: 0 };

    /// Creates an amount from its three components.
    #[must_use]
    pub const fn new(cpu_millis: u32, memory_mib: u32, accelerators: u16) -> Self {
        Self { cpu_millis, memory_mib, accelerators }
    }

    /// Returns whether every resource of this amount is at most that of `free`.
    #[must_use]
    pub const fn fits_in(&self, free: &Self) -> bool {
        self.cpu_millis <= free.cpu_millis
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
    }

    /// Returns the sum, or `None` if a resource overflows.
    #[must_use]
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_add(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Returns the difference, or `None` if `other` has more of any resource.
    #[must_use]
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_sub(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Returns the maximum of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the minimum of each resource.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} mCPU, {} MiB, {} accelerators",
            self.cpu_millis, self.memory_mib, self.accelerators
        )
    }
}
