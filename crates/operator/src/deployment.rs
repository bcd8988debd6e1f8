//! The typed content of a configuration.
//!
//! Settings of routing and placement use the policy types of those crates; the
//! other settings use types of this crate.

use crate::{
    placement::{ClassPolicy, EvictionPolicy, read_placement},
    section::Section,
    service::{RequestPolicy, read_service},
};
use cyclamenloft_placement::PlacementPolicy;
use cyclamenloft_routing::{RoutingPolicy, ServicePolicy};
use cyclamenloft_types::{DomainName, JobClass, Resources, ServiceName, TeamName};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Maximum weight of a team or a failure domain.
const MAX_WEIGHT: u32 = 10_000;
/// Weight of a team or a failure domain that does not set one.
const DEFAULT_WEIGHT: u32 = 1;
/// Maximum value of [`SpillPolicy::margin`].
const MAX_SPILL_MARGIN: Duration = Duration::from_secs(10);

/// All settings of operators, typed and in range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Deployment {
    /// The services, by name; none by default.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
    /// Policy for the requests of each service; has the same keys as `services`.
    pub requests: BTreeMap<ServiceName, RequestPolicy>,
    /// The teams, by name; none by default.
    pub teams: BTreeMap<TeamName, Team>,
    /// The failure domains, by name; none by default.
    pub domains: BTreeMap<DomainName, Domain>,
    /// The job classes that operators have configured; none by default.
    pub classes: BTreeMap<JobClass, ClassPolicy>,
    /// Routing policy of all services.
    pub routing: RoutingPolicy,
    /// Policy for sending requests to another failure domain.
    pub spill: SpillPolicy,
    /// Policy of the placement groups.
    pub placement: PlacementPolicy,
    /// Limits on evictions.
    pub eviction: EvictionPolicy,
}

/// Weight and quota of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Weight among the teams when capacity is short; 1 by default.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum resources that the team's tasks may reserve at once in the
    /// deployment; unlimited by default.
    pub quota: Option<Resources>,
}

/// A failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// The domain's share of each team's quota, relative to the other domains;
    /// 1 by default. A domain with weight 0 has no share.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// Policy for sending requests to another failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpillPolicy {
    /// Whether requests may be sent to another domain; true by default.
    pub enabled: bool,
    /// The time by which the local wait must exceed the sum of link delay and
    /// remote wait; 5 ms by default.
    pub margin: Duration,
}

impl Default for SpillPolicy {
    fn default() -> Self {
        Self { enabled: true, margin: Duration::from_millis(5) }
    }
}

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

impl Deployment {
    pub(crate) fn read(s: &mut Section<'_>) -> Self {
        let services = s.named_tables("services", "service", read_service);
        let (mut policies, mut requests) = (BTreeMap::new(), BTreeMap::new());
        for (name, (policy, request)) in services {
            policies.insert(name.clone(), policy);
            requests.insert(name, request);
        }
        let teams = s.named_tables("teams", "team", read_team);
        let domains = s.named_tables("domains", "domain", read_domain);
        let classes = s.named_tables("classes", "class", ClassPolicy::read);
        let (routing, spill) = s.section("routing", read_routing);
        let (placement, eviction) = s.section("placement", read_placement);
        Self {
            services: policies,
            requests,
            teams,
            domains,
            classes,
            routing,
            spill,
            placement,
            eviction,
        }
    }
}

fn read_team(s: &mut Section<'_>) -> Team {
    Team {
        weight: s.integer("weight", 1..=MAX_WEIGHT, DEFAULT_WEIGHT),
        quota: s.optional_section("quota", read_quota),
    }
}

fn read_quota(s: &mut Section<'_>) -> Resources {
    Resources {
        cpu_millis: s.required_integer("cpu_millis", 0..=u32::MAX),
        memory_mib: s.required_integer("memory_mib", 0..=u32::MAX),
        accelerators: s.integer("accelerators", 0..=u16::MAX, 0),
    }
}

fn read_domain(s: &mut Section<'_>) -> Domain {
    Domain { weight: s.integer("weight", 0..=MAX_WEIGHT, DEFAULT_WEIGHT) }
}

fn read_routing(s: &mut Section<'_>) -> (RoutingPolicy, SpillPolicy) {
    let mut routing = RoutingPolicy::default();
    routing.choice = s.enum_value("choice", routing.choice);
    routing.admission = s.boolean("admission", routing.admission);
    routing.hedging = s.boolean("hedging", routing.hedging);
    routing.max_ejected_percent =
        s.integer("max_ejected_percent", 0..=100, routing.max_ejected_percent);
    let spill = s.section("spill", |s| {
        let default = SpillPolicy::default();
        SpillPolicy {
            enabled: s.boolean("enabled", default.enabled),
            margin: s.duration("margin", Duration::ZERO..=MAX_SPILL_MARGIN, default.margin),
        }
    });
    (routing, spill)
}
