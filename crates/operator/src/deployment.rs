//! The typed content of a configuration.

use cyclamenloft_placement::{FitPolicy, PlacementPolicy};
use cyclamenloft_routing::{ChoicePolicy, RoutingPolicy, ServicePolicy};
use cyclamenloft_types::{DomainName, Error, ErrorKind, Resources, Result, ServiceName, TeamName};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Everything that operators decide, typed and in range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Deployment {
    /// The services, by name.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
    /// The teams, by name.
    pub teams: BTreeMap<TeamName, Team>,
    /// The failure domains, by name.
    pub domains: BTreeMap<DomainName, Domain>,
    /// Policy that all services share.
    pub routing: RoutingPolicy,
    /// Policy of the placement groups.
    pub placement: PlacementPolicy,
}

/// A team and its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Weight among the teams when room is short.
    #[serde(default = "one")]
    pub weight: u32,
    /// Most that the team's tasks may reserve at once in the deployment.
    pub quota: Option<Resources>,
}

/// A failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Weight when a job without a home is given one.
    #[serde(default = "one")]
    pub weight: u32,
}

fn one() -> u32 {
    1
}

/// The content as files spell it, before ranges are checked.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawDeployment {
    services: BTreeMap<ServiceName, RawService>,
    teams: BTreeMap<TeamName, Team>,
    domains: BTreeMap<DomainName, Domain>,
    routing: RawRouting,
    placement: RawPlacement,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawService {
    slots: Option<u64>,
    connections: Option<u64>,
    #[serde(with = "humantime_serde::option")]
    deadline: Option<Duration>,
    queue: Option<u64>,
    retry_percent: Option<u64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawRouting {
    choice: Option<ChoicePolicy>,
    admission: Option<bool>,
    hedging: Option<bool>,
    max_ejected_percent: Option<u64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawPlacement {
    fit: Option<FitPolicy>,
    #[serde(with = "humantime_serde::option")]
    lease: Option<Duration>,
    #[serde(with = "humantime_serde::option")]
    report_period: Option<Duration>,
}

fn ranged<T: TryFrom<u64>>(
    key: &str,
    found: Option<u64>,
    expected: std::ops::RangeInclusive<u64>,
    default: T,
) -> Result<T> {
    let Some(found) = found else {
        return Ok(default);
    };
    let typed = T::try_from(found).ok().filter(|_| expected.contains(&found));
    typed.ok_or_else(|| {
        let (least, most) = (expected.start(), expected.end());
        let detail = format!("key {key:?}: expected {least}..={most}, found {found}");
        Error::new(ErrorKind::InvalidConfig, detail)
    })
}

impl TryFrom<RawService> for ServicePolicy {
    type Error = Error;

    fn try_from(raw: RawService) -> Result<Self> {
        let default = Self::default();
        Ok(Self {
            slots: ranged("slots", raw.slots, 1..=1024, default.slots)?,
            connections: ranged("connections", raw.connections, 1..=4096, default.connections)?,
            deadline: raw.deadline.unwrap_or(default.deadline),
            queue: ranged("queue", raw.queue, 0..=100_000, default.queue)?,
            retry_percent: ranged("retry_percent", raw.retry_percent, 0..=100, 10)?,
        })
    }
}

impl TryFrom<RawDeployment> for Deployment {
    type Error = Error;

    fn try_from(raw: RawDeployment) -> Result<Self> {
        let services = raw
            .services
            .into_iter()
            .map(|(name, service)| Ok((name, service.try_into()?)))
            .collect::<Result<_>>()?;
        let routing = RoutingPolicy::default();
        let placement = PlacementPolicy::default();
        Ok(Self {
            services,
            teams: raw.teams,
            domains: raw.domains,
            routing: RoutingPolicy {
                choice: raw.routing.choice.unwrap_or(routing.choice),
                admission: raw.routing.admission.unwrap_or(routing.admission),
                hedging: raw.routing.hedging.unwrap_or(routing.hedging),
                max_ejected_percent: ranged(
                    "max_ejected_percent",
                    raw.routing.max_ejected_percent,
                    0..=100,
                    routing.max_ejected_percent,
                )?,
            },
            placement: PlacementPolicy {
                fit: raw.placement.fit.unwrap_or(placement.fit),
                lease: raw.placement.lease.unwrap_or(placement.lease),
                report_period: raw.placement.report_period.unwrap_or(placement.report_period),
                ..placement
            },
        })
    }
}
