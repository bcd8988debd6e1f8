//! Derives the placement policy from the active configuration.

use cyclamenloft_operator::Deployment;
use cyclamenloft_placement::{
    PlacementPolicy,
    policy::{LatencyTarget, TeamPolicy},
    state::Totals,
};
use cyclamenloft_types::Resources;

/// Returns the policy of the placement group of `domain`.
pub(super) fn placement_policy(deployment: &Deployment, domain: &str) -> PlacementPolicy {
    let share = Share::of(deployment, domain);
    let teams = deployment.teams.iter().map(|(name, team)| TeamPolicy {
        team: name.clone(),
        weight: team.weight,
        quota: team.quota.map(|quota| share.part(&quota)),
    });
    let targets = deployment.classes.iter().filter_map(|(name, class)| {
        let p99_us = u64::try_from(class.latency_p99?.as_micros()).unwrap_or(u64::MAX);
        Some(LatencyTarget { class: name.clone(), p99_us })
    });
    PlacementPolicy {
        teams: teams.collect(),
        latency_targets: targets.collect(),
        evictions_per_hour: deployment.eviction.per_hour,
        ..deployment.placement.clone()
    }
}

/// A domain's share of the quotas, which are divided among the domains by weight.
#[derive(Clone, Copy)]
struct Share {
    weight: u64,
    total: u64,
}

impl Share {
    /// Returns the share of `domain`. A domain that isn't in the configuration gets the
    /// whole quota, as does every domain in a deployment that lists none.
    fn of(deployment: &Deployment, domain: &str) -> Self {
        let total: u64 = deployment.domains.values().map(|d| u64::from(d.weight)).sum();
        match deployment.domains.get(domain) {
            Some(own) if total > 0 => Self { weight: u64::from(own.weight), total },
            _ => Self { weight: 1, total: 1 },
        }
    }

    /// Returns this share of `whole`, rounded down so that the shares never add up to
    /// more than `whole`.
    fn part(self, whole: &Resources) -> Totals {
        let part = |amount: u64| amount * self.weight / self.total;
        Totals {
            cpu_millis: part(u64::from(whole.cpu_millis)),
            memory_mib: part(u64::from(whole.memory_mib)),
            accelerators: part(u64::from(whole.accelerators)),
        }
    }
}
