//! What a configuration says of tasks: job classes and placement.

use crate::section::Section;
use cyclamenloft_placement::PlacementPolicy;
use std::time::Duration;

/// Longest run time that a class may be expected to have.
const MAX_RUN_TIME: Duration = Duration::from_secs(30 * 86_400);
/// Shortest latency target and run time.
const MIN_TIME: Duration = Duration::from_millis(1);
/// Longest latency target.
const MAX_LATENCY: Duration = Duration::from_secs(3600);
/// Range of leases.
const MIN_LEASE: Duration = Duration::from_secs(1);
/// Longest lease.
const MAX_LEASE: Duration = Duration::from_secs(600);
/// Shortest period between reports of a worker.
const MIN_REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Longest period between reports of a worker.
const MAX_REPORT_PERIOD: Duration = Duration::from_secs(60);
/// Longest margin added to a lease.
const MAX_DRIFT_MARGIN: Duration = Duration::from_secs(60);
/// Most failed attempts after which a task may be given up.
const MAX_FAILURES: u32 = 100;
/// Most evictions an hour that operators may allow.
const MAX_EVICTIONS_PER_HOUR: u32 = 100_000;
/// Longest pause between two evictions of one task.
const MAX_COOLDOWN: Duration = Duration::from_secs(86_400);
/// Reports that may be lost before a lease runs out, plus the one that renews it.
const MIN_REPORTS_PER_LEASE: u32 = 3;

/// What operators state about a job class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassPolicy {
    /// Latency that 99% of the requests to the class's tasks should stay
    /// under, for classes that serve; none by default.
    pub latency_p99: Option<Duration>,
    /// Longest run time that is expected of a task; none by default.
    pub run_time_cap: Option<Duration>,
    /// Whether tasks can be checkpointed, and so evicted without loss; false
    /// by default.
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

/// How much work may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictionPolicy {
    /// Most evictions of one placement group in an hour; 60 by default.
    pub per_hour: u32,
    /// Least time between two evictions of one task; 5 minutes by default.
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
    let least = policy.report_period * MIN_REPORTS_PER_LEASE;
    if policy.lease < least {
        let least = humantime::format_duration(least);
        let expected = format!("at least {MIN_REPORTS_PER_LEASE} report periods ({least})");
        s.report_contradiction("lease", "report_period", expected);
    }
    if policy.drift_margin >= policy.lease {
        let lease = humantime::format_duration(policy.lease);
        s.report_contradiction("drift_margin", "lease", format!("less than lease ({lease})"));
    }
}
