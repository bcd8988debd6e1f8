//! Why a worker counts as lost.

use std::time::Duration;

/// What tells that the process of an incarnation has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSign {
    /// Its address refuses connections.
    Refused,
    /// Another incarnation answers at its address.
    Replaced,
}

/// Why the runs on an incarnation count as ended although the worker hasn't listed their ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The lease is over.
    LeaseOver,
    /// The worker has announced its exit, and another incarnation answers at its address.
    Exited,
    /// The state or the view has changed since the incarnation was declared lost.
    Unknown,
}

impl LossReason {
    /// Returns the text used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LeaseOver => "lease-over",
            Self::Exited => "exited",
            Self::Unknown => "unknown",
        }
    }
}

/// What a leader knows of an incarnation when it declares it lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Why its runs count as ended.
    pub reason: LossReason,
    /// Time since the first poll without an answer; `None` if no poll has failed.
    pub silent_for: Option<Duration>,
    /// Time until the lease is certainly over; zero if it is.
    pub lease_left: Duration,
    /// Whether the worker has ever answered this leader's polls.
    pub observed: bool,
}
