//! What the operators' configuration says of routing.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How a target is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoicePolicy {
    /// The better of two random targets by load and latency.
    #[default]
    TwoChoices,
    /// Each target in turn: a baseline.
    RoundRobin,
    /// The target with the fewest requests in flight: a baseline.
    LeastInFlight,
}

/// Policy that all services share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingPolicy {
    /// How a target is chosen.
    pub choice: ChoicePolicy,
    /// Whether requests that can't meet their deadline are refused at once.
    pub admission: bool,
    /// Whether idempotent requests may be sent twice to cut the tail.
    pub hedging: bool,
    /// Most targets of a service that may be ejected at once, in percent.
    pub max_ejected_percent: u8,
}

impl Default for RoutingPolicy {
    fn default() -> Self {
        Self {
            choice: ChoicePolicy::TwoChoices,
            admission: true,
            hedging: true,
            max_ejected_percent: 30,
        }
    }
}

/// Policy of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Requests that one target works on at once.
    pub slots: u16,
    /// Connections that one target takes.
    pub connections: u16,
    /// Deadline of requests that state none.
    pub deadline: Duration,
    /// Most requests that wait at one entry host.
    pub queue: u32,
    /// Retries allowed, in percent of successes.
    pub retry_percent: u8,
}

impl Default for ServicePolicy {
    fn default() -> Self {
        Self {
            slots: 8,
            connections: 64,
            deadline: Duration::from_secs(2),
            queue: 512,
            retry_percent: 10,
        }
    }
}
