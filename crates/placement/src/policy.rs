//! Placement policy, as set by the operators' configuration.

use crate::state::Totals;
use cyclamenloft_types::{JobClass, TeamName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How a worker is chosen for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FitPolicy {
    /// The worker with the best score for fit, interference, spread and the
    /// expected load peak.
    #[default]
    Scored,
    /// The first worker with enough free capacity, as a baseline.
    FirstFit,
    /// The worker with the least capacity left over, as a baseline without the
    /// interference model.
    BestFit,
}

/// How interference is mitigated when a service's tail latency exceeds its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MitigationPolicy {
    /// Throttle the most likely aggressor first, then evict the cheapest one
    /// within an hourly budget.
    #[default]
    Ladder,
    /// Evict the largest batch task of the worker at once, as a baseline.
    EvictOnly,
    /// Do nothing, as a baseline.
    Off,
}

/// Share and quota of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamPolicy {
    /// The team.
    pub team: TeamName,
    /// Share of contended capacity, relative to the weights of other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limit on the sum of the reservations of the team's tasks; `None` means
    /// no limit.
    #[serde(default)]
    pub quota: Option<Totals>,
}

fn default_weight() -> u32 {
    1
}

/// Tail latency target of a class of services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyTarget {
    /// Class of the services.
    pub class: JobClass,
    /// Target for the 99th percentile, in microseconds.
    pub p99_us: u64,
}

/// Policy of a placement group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementPolicy {
    /// How a worker is chosen for a task.
    pub fit: FitPolicy,
    /// How interference is mitigated when a service misses its target.
    pub mitigation: MitigationPolicy,
    /// Time for which a worker may run its tasks after the report that last
    /// renewed its lease.
    pub lease: Duration,
    /// Interval between reports of a worker.
    pub report_period: Duration,
    /// Allowance for clock drift, added to a lease before the leader treats it
    /// as expired.
    pub drift_margin: Duration,
    /// Number of failed attempts after which a task is given up.
    pub max_failures: u32,
    /// Number of ended jobs that are kept, so that a repeated submission is
    /// recognized.
    pub retained_jobs: usize,
    /// Weights and quotas; a team that is not listed has weight 1 and no quota.
    pub teams: Vec<TeamPolicy>,
    /// Latency targets of the services; a class that is not listed has none.
    pub latency_targets: Vec<LatencyTarget>,
    /// Limit on evictions per hour that mitigate interference with services.
    pub evictions_per_hour: u32,
    /// Limit on evictions per hour that make room for urgent tasks and service
    /// replicas.
    pub preemptions_per_hour: u32,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            fit: FitPolicy::Scored,
            mitigation: MitigationPolicy::Ladder,
            lease: Duration::from_secs(10),
            report_period: Duration::from_secs(2),
            drift_margin: Duration::from_millis(500),
            max_failures: 5,
            retained_jobs: 16_384,
            teams: Vec::new(),
            latency_targets: Vec::new(),
            evictions_per_hour: 30,
            preemptions_per_hour: 600,
        }
    }
}

impl PlacementPolicy {
    /// Returns the policy of a team, if it is listed.
    #[must_use]
    pub fn team(&self, team: &str) -> Option<&TeamPolicy> {
        self.teams.iter().find(|t| *t.team == *team)
    }

    /// Returns the latency target of a class of services in microseconds, if it
    /// is listed.
    #[must_use]
    pub fn latency_target(&self, class: &str) -> Option<u64> {
        self.latency_targets.iter().find(|t| *t.class == *class).map(|t| t.p99_us.max(1))
    }
}
