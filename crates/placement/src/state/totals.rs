//! Sums of resources over many workers or tasks.

use cyclamenloft_types::Resources;
use serde::{Deserialize, Serialize};

/// A sum of resources over many workers or tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Totals {
    /// CPU in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Totals {
    pub(crate) fn add(&mut self, r: &Resources) {
        self.cpu_millis += u64::from(r.cpu_millis);
        self.memory_mib += u64::from(r.memory_mib);
        self.accelerators += u64::from(r.accelerators);
    }

    pub(crate) fn sub(&mut self, r: &Resources) {
        self.cpu_millis = self.cpu_millis.saturating_sub(r.cpu_millis.into());
        self.memory_mib = self.memory_mib.saturating_sub(r.memory_mib.into());
        self.accelerators = self.accelerators.saturating_sub(r.accelerators.into());
    }

    /// Returns whether the amount of every resource is zero.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the largest share of `whole` over all resources, in millionths.
    #[must_use]
    pub fn dominant_share(&self, whole: &Self) -> u64 {
        let share = |part: u64, whole: u64| part.saturating_mul(1_000_000) / whole.max(1);
        share(self.cpu_millis, whole.cpu_millis)
            .max(share(self.memory_mib, whole.memory_mib))
            .max(share(self.accelerators, whole.accelerators))
    }
}
