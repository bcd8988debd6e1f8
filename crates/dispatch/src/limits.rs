//! How a process shares out its memory among its listeners.

use cyclamenloft_http::Limits;
use std::time::Duration;

/// Largest body of a client's request, in bytes, as limited by the operator.
pub const MAX_CLIENT_BODY_BYTES: usize = 256 << 10;
/// Largest body of a call of a worker or the operator, in bytes: ten times a configuration with a
/// few hundred routes.
pub const MAX_CONTROL_BODY_BYTES: usize = 4 << 20;
/// The part of a budget that large claims may use is three quarters, which must suffice for one
/// body of the largest size, and for a list that it is decoded to.
const LARGEST_BODIES: usize = 2;

/// Shares of a process's memory, in percent. The rest is for the process itself, for what the
/// kernel holds, and for what the allocator can't use.
mod memory_percent {
    /// Of an entry host: bodies of clients and their decoded forms.
    pub const CLIENT_BODIES: usize = 25;
    /// Of a replica: bodies of workers and the operator, and those of other processes, each.
    pub const CONTROL_BODIES: usize = 12;
}

/// The limits of a process, which the platform enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in bytes. A process that uses more is killed.
    pub memory_bytes: usize,
    /// Number of file descriptors.
    pub descriptors: usize,
}

impl ProcessLimits {
    /// Returns the limits of an entry host's listener for clients.
    #[must_use]
    pub fn clients(&self, drain: Duration) -> Limits {
        Limits {
            budget_bytes: self.budget(memory_percent::CLIENT_BODIES, MAX_CLIENT_BODY_BYTES),
            drain,
            ..Limits::default()
        }
    }

    /// Returns the limits of a replica's listener for workers and the operator.
    #[must_use]
    pub fn control(&self, drain: Duration) -> Limits {
        self.of_replica(MAX_CONTROL_BODY_BYTES, drain)
    }

    /// Returns the limits of a replica's listener for other processes, with messages of at most
    /// `message_bytes`.
    #[must_use]
    pub fn peers(&self, message_bytes: usize, drain: Duration) -> Limits {
        self.of_replica(message_bytes, drain)
    }

    /// Returns the limits of a listener for probes or metrics, whose requests have no body.
    #[must_use]
    pub fn probes(&self, drain: Duration) -> Limits {
        Limits { budget_bytes: 0, drain, ..Limits::default() }
    }

    fn of_replica(&self, largest: usize, drain: Duration) -> Limits {
        Limits {
            budget_bytes: self.budget(memory_percent::CONTROL_BODIES, largest),
            drain,
            ..Limits::default()
        }
    }

    fn budget(&self, percent: usize, largest: usize) -> usize {
        (self.memory_bytes / 100 * percent).max(LARGEST_BODIES * largest)
    }
}
