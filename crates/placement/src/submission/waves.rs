//! Maintenance waves: the operator names machines, each of which goes down once
//! for maintenance. A wave has a deadline and a cap on the machines that are
//! down at the same time.
//!
//! Each step is committed before it is taken, so that the next leader knows which
//! machines may be down.

use super::state::IncarnationId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of a wave, chosen by the operator.
pub type WaveNumber = u64;
/// Name of a machine, which outlives the workers on it.
pub type MachineId = Box<str>;

/// State of the maintenance of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Maintenance {
    /// The maintenance has not been ordered yet.
    Due,
    /// The maintenance was ordered, and may have begun.
    Ordered {
        /// The incarnation that ran on the machine at that time, if there was
        /// one.
        #[serde(rename = "life")]
        incarnation: Option<IncarnationId>,
    },
    /// The maintenance has begun: the runs on the machine have ended, and the
    /// machine is down.
    Begun,
    /// The machine is up again, or has been removed.
    Done,
}

impl Maintenance {
    /// Returns whether the machine may be down for maintenance.
    #[must_use]
    pub fn is_under_way(self) -> bool {
        matches!(self, Self::Ordered { .. } | Self::Begun)
    }
}

/// A maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Number chosen by the operator.
    pub number: WaveNumber,
    /// The machines and the state of their maintenance.
    pub machines: BTreeMap<MachineId, Maintenance>,
    /// Time by which all maintenance should be done, in milliseconds since the
    /// Unix epoch.
    pub deadline_ms: u64,
    /// Maximum number of machines that may be down at the same time; at least 1.
    pub cap: u16,
}

impl Wave {
    /// Returns whether the maintenance of every machine is done.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.machines.values().all(|maintenance| *maintenance == Maintenance::Done)
    }

    /// Returns the number of machines that may be down for the wave.
    #[must_use]
    pub fn under_way(&self) -> usize {
        self.machines.values().filter(|maintenance| maintenance.is_under_way()).count()
    }

    /// Returns the number of machines whose maintenance has not been ordered
    /// yet.
    #[must_use]
    pub fn due(&self) -> usize {
        self.machines.values().filter(|maintenance| **maintenance == Maintenance::Due).count()
    }

    /// Moves the maintenance of a machine to `next`. Returns its former state,
    /// or `None` if the step isn't allowed.
    pub(super) fn step(&mut self, machine: &str, next: Maintenance) -> Option<Maintenance> {
        let full = self.under_way() >= usize::from(self.cap.max(1));
        let maintenance = self.machines.get_mut(machine)?;
        let allowed = match (*maintenance, next) {
            (Maintenance::Due, Maintenance::Ordered { .. }) => !full,
            (Maintenance::Ordered { .. }, Maintenance::Begun) => true,
            (before, Maintenance::Done) => before != Maintenance::Done,
            _ => false,
        };
        allowed.then(|| std::mem::replace(maintenance, next))
    }
}
