//! The routing policy, as set by the operators' configuration.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The algorithm that chooses a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoicePolicy {
    /// Of two random targets, the one with the lower cost by load and latency.
    #[default]
    TwoChoices,
    /// Each target in turn. Serves as a baseline.
    RoundRobin,
    /// The target with the fewest requests in flight. Serves as a baseline.
    LeastInFlight,
}

/// Policy that all services share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingPolicy {
    /// The algorithm that chooses a target.
    pub choice: ChoicePolicy,
    /// Whether requests that are predicted to miss their deadline are refused at
    /// once.
    pub admission: bool,
    /// Whether idempotent requests may be hedged to reduce the tail latency.
    pub hedging: bool,
    /// Largest share of a service's targets that may be ejected at once, in
    /// percent.
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
    /// Most concurrent requests at one target.
    pub slots: u16,
    /// Most connections to one target.
    pub connections: u16,
    /// Deadline of requests that don't set one.
    pub deadline: Duration,
    /// Most requests in the queue of one entry host.
    pub queue: u32,
    /// Budget for retries and hedged requests, in percent of successes.
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
