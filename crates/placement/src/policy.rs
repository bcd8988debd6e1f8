//! What the operators' configuration says of placement.

use crate::state::Totals;
use cyclamenloft_types::{JobClass, TeamName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How a worker is chosen for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FitPolicy {
    /// Scores fit, interference, spread and the coming peak.
    #[default]
    Scored,
    /// The first worker with room: a baseline.
    FirstFit,
    /// The worker with the least room left over: a baseline without the
    /// interference model.
    BestFit,
}

/// What is done when a service's tail latency exceeds its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReliefPolicy {
    /// Throttle the likeliest aggressor, then evict the cheapest, in a budget.
    #[default]
    Ladder,
    /// Evict the largest batch task of the worker at once: a baseline.
    EvictOnly,
    /// Nothing: a baseline.
    Off,
}

/// What a team may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamPolicy {
    /// The team.
    pub team: TeamName,
    /// The team's part of what is contended for, relative to other teams.
    #[serde(default = "one")]
    pub weight: u32,
    /// Most that the team's tasks may have reserved at once.
    #[serde(default)]
    pub quota: Option<Totals>,
}

fn one() -> u32 {
    1
}

/// The tail latency that a class of services must keep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyTarget {
    /// Class of the service's job.
    pub class: JobClass,
    /// Bound of the 99th percentile in microseconds.
    pub p99_us: u64,
}

/// Policy of a placement group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementPolicy {
    /// How a worker is chosen.
    pub fit: FitPolicy,
    /// How a service that suffers is relieved.
    pub relief: ReliefPolicy,
    /// How long a worker may run its tasks after its last renewed report.
    pub lease: Duration,
    /// Time between reports of a worker.
    pub report_period: Duration,
    /// Added to a lease before the control side counts it as expired.
    pub drift_margin: Duration,
    /// Failed attempts after which a task is given up.
    pub max_failures: u32,
    /// Jobs that are over and still recognised when they are submitted again.
    pub remembered_jobs: usize,
    /// Weights and quotas; a team that isn't listed has weight 1 and no quota.
    pub teams: Vec<TeamPolicy>,
    /// Targets of the services; a class that isn't listed has none.
    pub latency_targets: Vec<LatencyTarget>,
    /// Most evictions an hour for the relief of services.
    pub evictions_per_hour: u32,
    /// Most evictions an hour for urgent tasks and replicas without room.
    pub preemptions_per_hour: u32,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            fit: FitPolicy::Scored,
            relief: ReliefPolicy::Ladder,
            lease: Duration::from_secs(10),
            report_period: Duration::from_secs(2),
            drift_margin: Duration::from_millis(500),
            max_failures: 5,
            remembered_jobs: 16_384,
            teams: Vec::new(),
            latency_targets: Vec::new(),
            evictions_per_hour: 30,
            preemptions_per_hour: 600,
        }
    }
}

impl PlacementPolicy {
    /// The policy of a team, where it is listed.
    #[must_use]
    pub fn team(&self, team: &str) -> Option<&TeamPolicy> {
        self.teams.iter().find(|t| *t.team == *team)
    }

    /// The target of a class of services in microseconds, where it is listed.
    #[must_use]
    pub fn latency_target(&self, class: &str) -> Option<u64> {
        self.latency_targets.iter().find(|t| *t.class == *class).map(|t| t.p99_us.max(1))
    }
}
