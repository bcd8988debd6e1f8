//! Processors, memory and accelerators: what a worker holds and a task needs.

use serde::{Deserialize, Serialize};
use std::fmt;

/// An amount of each kind of resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_millis: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u16,
}

impl Resources {
    /// Nothing of any kind.
    pub const ZERO: Self = Self { cpu_millis: 0, memory_mib: 0, accelerators: 0 };

    /// Creates an amount from its three parts.
    #[must_use]
    pub const fn new(cpu_millis: u32, memory_mib: u32, accelerators: u16) -> Self {
        Self { cpu_millis, memory_mib, accelerators }
    }

    /// Whether this amount fits into `free` in every kind.
    #[must_use]
    pub const fn fits_in(&self, free: &Self) -> bool {
        self.cpu_millis <= free.cpu_millis
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
    }

    /// The sum, or `None` where a kind overflows.
    #[must_use]
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_add(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// The difference, or `None` where `other` is the larger in any kind.
    #[must_use]
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_sub(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// The larger of both amounts, kind by kind.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The smaller of both amounts, kind by kind.
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
