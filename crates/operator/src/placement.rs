//! Settings of job classes and of placement.

use crate::section::Section;
use cyclamenloft_placement::PlacementPolicy;
use std::time::Duration;

/// Maximum run time cap of a class.
const MAX_RUN_TIME: Duration = Duration::from_secs(30 * 86_400);
/// Minimum latency target and run time cap.
const MIN_TIME: Duration = Duration::from_millis(1);
/// Maximum latency target.
const MAX_LATENCY: Duration = Duration::from_secs(3600);
/// Minimum duration of a lease.
const MIN_LEASE: Duration = Duration::from_secs(1);
/// Maximum duration of a lease.
const MAX_LEASE: Duration = Duration::from_secs(600);
/// Minimum period between reports of a worker.
const MIN_REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Maximum period between reports of a worker.
const MAX_REPORT_PERIOD: Duration = Duration::from_secs(60);
/// Maximum clock drift margin that is added to a lease.
const MAX_DRIFT_MARGIN: Duration = Duration::from_secs(60);
/// Maximum configurable number of failed attempts of a task.
const MAX_FAILURES: u32 = 100;
/// Maximum configurable number of evictions per hour.
const MAX_EVICTIONS_PER_HOUR: u32 = 100_000;
/// Maximum configurable time between two evictions of one task.
const MAX_COOLDOWN: Duration = Duration::from_secs(86_400);
/// Minimum number of report periods in a lease: the reports that may be lost
/// before it expires, plus the one that renews it.
const MIN_REPORTS_PER_LEASE: u32 = 3;

/// Settings of a job class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassPolicy {
    /// Target for the 99th percentile latency of requests to the class's tasks,
    /// for classes that serve requests; none by default.
    pub latency_p99: Option<Duration>,
    /// Maximum expected run time of a task; none by default.
    pub run_time_cap: Option<Duration>,
    /// Whether tasks can be checkpointed, so that an eviction loses no work; false by
    /// default.
    pub checkpointable: bool,
}

impl ClassPolicy {
    pub(crate) fn read(s: &mut Section<'_>) -> Self {
        Self {
            latency_p99: s.optional_duration("latency_p99", MIN_TIME..=MAX_LATENCY),
            run_time_cap: s.optional_duration("run_time_cap", MIN_TIME..=MAX_RUN_TIME),
            checkpointable: s.boolean("checkpointable", false),
        }
    }
}

/// Limits on evictions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictionPolicy {
    /// Maximum evictions of one placement group per hour; 60 by default.
    pub per_hour: u32,
    /// Minimum time between two evictions of one task; 5 minutes by default.
    pub cooldown: Duration,
}

impl Default for EvictionPolicy {
    fn default() -> Self {
        Self { per_hour: 60, cooldown: Duration::from_secs(300) }
    }
}

pub(crate) fn read_placement(s: &mut Section<'_>) -> (PlacementPolicy, EvictionPolicy) {
    let mut policy = PlacementPolicy::default();
    policy.fit = s.enum_value("fit", policy.fit);
    policy.lease = s.duration("lease", MIN_LEASE..=MAX_LEASE, policy.lease);
    policy.report_period =
        s.duration("report_period", MIN_REPORT_PERIOD..=MAX_REPORT_PERIOD, policy.report_period);
    policy.drift_margin =
        s.duration("drift_margin", Duration::ZERO..=MAX_DRIFT_MARGIN, policy.drift_margin);
    policy.max_failures = s.integer("max_failures", 1..=MAX_FAILURES, policy.max_failures);
    check_lease(s, &policy);
    let eviction = s.section("eviction", |s| {
        let default = EvictionPolicy::default();
        EvictionPolicy {
            per_hour: s.integer("per_hour", 0..=MAX_EVICTIONS_PER_HOUR, default.per_hour),
            cooldown: s.duration("cooldown", Duration::ZERO..=MAX_COOLDOWN, default.cooldown),
        }
    });
    (policy, eviction)
}

fn check_lease(s: &Section<'_>, policy: &PlacementPolicy) {
    let min_lease = policy.report_period * MIN_REPORTS_PER_LEASE;
    if policy.lease < min_lease {
        let min_lease = humantime::format_duration(min_lease);
        let expected = format!("at least {MIN_REPORTS_PER_LEASE} report periods ({min_lease})");
        s.report_contradiction("lease", "report_period", expected);
    }
    if policy.drift_margin >= policy.lease {
        let lease = humantime::format_duration(policy.lease);
        s.report_contradiction("drift_margin", "lease", format!("less than lease ({lease})"));
    }
}
