//! Settings of a service.

use crate::section::Section;
use cyclamenloft_routing::ServicePolicy;
use cyclamenloft_types::Priority;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum configurable number of concurrent requests per target.
const MAX_SLOTS: u16 = 1024;
/// Maximum configurable number of connections per target.
const MAX_CONNECTIONS: u16 = 4096;
/// Maximum configurable number of requests of a service that wait at one entry
/// host.
const MAX_QUEUE: u32 = 100_000;
/// Minimum deadline and latency target.
const MIN_TIME: Duration = Duration::from_millis(1);
/// Maximum deadline and latency target.
const MAX_TIME: Duration = Duration::from_secs(3600);
/// Maximum body limit.
const MAX_BODY_BYTES: u32 = 64 * 1024 * 1024;
/// Body limit of services that do not set one.
const DEFAULT_BODY_BYTES: u32 = 1024 * 1024;
/// Target for the 99th percentile latency of services that do not set one, capped at the
/// deadline.
const DEFAULT_LATENCY_P99: Duration = Duration::from_millis(250);

/// Which requests of a service count as idempotent if they don't state whether they are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotentDefault {
    /// Requests with an idempotent HTTP method.
    #[default]
    ByMethod,
    /// All requests.
    Always,
    /// No requests.
    Never,
}

/// Policy for the requests of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPolicy {
    /// Whether idempotent requests may be sent twice to reduce tail latency;
    /// true by default. `routing.hedging = false` disables it for all services.
    pub hedging: bool,
    /// Which requests count as idempotent if they don't state whether they are; by
    /// default those with an idempotent HTTP method.
    pub idempotent: IdempotentDefault,
    /// Priority among services when capacity is short; `service` by default.
    pub priority: Priority,
    /// Target for the 99th percentile latency; 250 ms by default, or the
    /// deadline if that is shorter.
    pub latency_p99: Duration,
    /// Maximum body size of a request or response, in bytes; 1 MiB by default.
    pub body_limit_bytes: u32,
}

impl Default for RequestPolicy {
    fn default() -> Self {
        Self {
            hedging: true,
            idempotent: IdempotentDefault::ByMethod,
            priority: Priority::Service,
            latency_p99: DEFAULT_LATENCY_P99,
            body_limit_bytes: DEFAULT_BODY_BYTES,
        }
    }
}

pub(crate) fn read_service(s: &mut Section<'_>) -> (ServicePolicy, RequestPolicy) {
    let policy = read_policy(s);
    let request = read_request(s, policy.deadline);
    (policy, request)
}

fn read_policy(s: &mut Section<'_>) -> ServicePolicy {
    let mut policy = ServicePolicy::default();
    policy.slots = s.integer("slots", 1..=MAX_SLOTS, policy.slots);
    policy.connections = s.integer("connections", 1..=MAX_CONNECTIONS, policy.connections);
    policy.deadline = s.duration("deadline", MIN_TIME..=MAX_TIME, policy.deadline);
    policy.queue = s.integer("queue", 0..=MAX_QUEUE, policy.queue);
    policy.retry_percent = s.integer("retry_percent", 0..=100, policy.retry_percent);
    // Each concurrent request needs its own connection.
    if policy.connections < policy.slots {
        let expected = format_args!("at least slots ({})", policy.slots);
        s.report_contradiction("connections", "slots", expected);
    }
    policy
}

fn read_request(s: &mut Section<'_>, deadline: Duration) -> RequestPolicy {
    let default = RequestPolicy::default();
    let hedging_given = s.contains_key("hedging");
    let policy = RequestPolicy {
        hedging: s.boolean("hedging", default.hedging),
        idempotent: s.enum_value("idempotent", default.idempotent),
        priority: s.enum_value("priority", default.priority),
        latency_p99: s.duration(
            "latency_p99",
            MIN_TIME..=MAX_TIME,
            default.latency_p99.min(deadline),
        ),
        body_limit_bytes: s.integer(
            "body_limit_bytes",
            1..=MAX_BODY_BYTES,
            default.body_limit_bytes,
        ),
    };
    if policy.latency_p99 > deadline {
        let expected = format_args!("at most deadline ({})", humantime::format_duration(deadline));
        s.report_contradiction("latency_p99", "deadline", expected);
    }
    if hedging_given && policy.hedging && policy.idempotent == IdempotentDefault::Never {
        s.report_contradiction("hedging", "idempotent", "false where idempotent is \"never\"");
    }
    policy
}
