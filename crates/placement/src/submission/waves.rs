//! Waves of upkeep: the operator names machines that each go down once for
//! their upkeep, before a deadline and with at most so many down at once.
//!
//! The group agrees on each step before it is taken, so that the next leader
//! knows which machines may be down.

use super::state::LifeId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number that the operator gave a wave.
pub type WaveNumber = u64;
/// Name of a machine, which outlives the workers on it.
pub type MachineId = Box<str>;

/// How far the upkeep of one machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Upkeep {
    /// It was not ordered yet.
    Due,
    /// It was ordered, and may have begun.
    Ordered {
        /// The life that ran there, if one did.
        life: Option<LifeId>,
    },
    /// It has begun: what ran there is over, and the machine is down.
    Begun,
    /// The machine is back, or gone for good.
    Done,
}

impl Upkeep {
    /// Whether the machine may be down for it.
    #[must_use]
    pub fn is_under_way(self) -> bool {
        matches!(self, Self::Ordered { .. } | Self::Begun)
    }
}

/// One wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Number that the operator gave it.
    pub number: WaveNumber,
    /// The machines.
    pub machines: BTreeMap<MachineId, Upkeep>,
    /// When all should have had their upkeep, in milliseconds since 1970.
    pub deadline_ms: u64,
    /// Most machines that may be down at once; at least 1.
    pub cap: u16,
}

impl Wave {
    /// Whether every machine had its upkeep or is gone.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.machines.values().all(|upkeep| *upkeep == Upkeep::Done)
    }

    /// Machines that may be down for the wave.
    #[must_use]
    pub fn under_way(&self) -> usize {
        self.machines.values().filter(|upkeep| upkeep.is_under_way()).count()
    }

    /// Machines whose upkeep was not ordered yet.
    #[must_use]
    pub fn due(&self) -> usize {
        self.machines.values().filter(|upkeep| **upkeep == Upkeep::Due).count()
    }

    /// Takes a step for a machine; gives the upkeep that it had, where the step
    /// may be taken.
    pub(super) fn step(&mut self, machine: &str, next: Upkeep) -> Option<Upkeep> {
        let full = self.under_way() >= usize::from(self.cap.max(1));
        let upkeep = self.machines.get_mut(machine)?;
        let allowed = match (*upkeep, next) {
            (Upkeep::Due, Upkeep::Ordered { .. }) => !full,
            (Upkeep::Ordered { .. }, Upkeep::Begun) => true,
            (before, Upkeep::Done) => before != Upkeep::Done,
            _ => false,
        };
        allowed.then(|| std::mem::replace(upkeep, next))
    }
}
