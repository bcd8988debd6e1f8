//! Helpers shared by the tests.

use cyclamenloft_routing::{
    AttemptResult, ChoicePolicy, Decision, Permit, Refusal, RequestMeta, RoutingPolicy,
    ServicePolicy, ServiceRouter, TargetRecord,
};
use cyclamenloft_types::{Outcome, Priority, TargetId};
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

/// Declares one named test for each set of arguments of a test function.
macro_rules! cases {
    ($f:ident: $($name:ident($($arg:expr),* $(,)?);)+) => {
        $(#[test]
        fn $name() {
            let name = concat!(module_path!(), "::", stringify!($name));
            $crate::known_red::run_named(name, || $f($($arg),*));
        })+
    };
}
pub(crate) use cases;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn target(n: usize) -> TargetId {
    format!("t{n}").into()
}

pub fn record(n: usize, sequence: u64, expires: Instant) -> TargetRecord {
    TargetRecord {
        id: target(n),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1000)),
        domain: "north".into(),
        sequence,
        leaving: false,
        in_flight: 0,
        expires,
    }
}

pub fn request(caller: &str, deadline: Instant) -> RequestMeta {
    RequestMeta {
        id: "r".into(),
        caller: caller.into(),
        idempotent: true,
        priority: Priority::Service,
        deadline,
        hopped: false,
    }
}

pub fn healthy(latency: Duration) -> AttemptResult {
    AttemptResult { outcome: Outcome::Done, healthy: true, latency, abandoned: false }
}

pub fn failed(latency: Duration) -> AttemptResult {
    AttemptResult { outcome: Outcome::Unknown, healthy: false, latency, abandoned: false }
}

pub fn abandoned(latency: Duration) -> AttemptResult {
    AttemptResult { outcome: Outcome::Unknown, healthy: false, latency, abandoned: true }
}

pub fn with_choice(choice: ChoicePolicy) -> RoutingPolicy {
    RoutingPolicy { choice, ..RoutingPolicy::default() }
}

/// Creates a router of the only host on the roster, with targets that don't expire
/// during the test.
pub fn router(
    targets: usize,
    routing: RoutingPolicy,
    service: ServicePolicy,
    now: Instant,
) -> ServiceRouter {
    let mut router = ServiceRouter::new("a".into(), vec!["a".into()], routing, service);
    for n in 0..targets {
        assert!(router.announce(record(n, 1, now + ms(10_000_000)), now).is_empty());
    }
    router
}

pub fn permit(decision: Decision) -> Permit {
    match decision {
        Decision::Dispatch(permit) => permit,
        other => panic!("expected a permit, found {other:?}"),
    }
}

pub fn refusal(decision: Decision) -> Refusal {
    match decision {
        Decision::Refuse(refusal) => refusal,
        other => panic!("expected a refusal, found {other:?}"),
    }
}

/// Sends one request and ends it after the latency of its result. Returns its
/// target.
pub fn run_one(
    router: &mut ServiceRouter,
    now: &mut Instant,
    result: impl Fn(&str) -> AttemptResult,
) -> TargetId {
    let permit = permit(router.admit(request("c", *now + ms(60_000)), &[], *now));
    let target = permit.target.clone();
    let result = result(&target);
    *now += result.latency;
    assert!(router.release(permit, result, *now).is_empty());
    target
}

/// Sends `count` requests, `concurrency` at a time, and ends each after the latency
/// of its result. Returns how many went to target `watched`.
pub fn run_many(
    router: &mut ServiceRouter,
    now: &mut Instant,
    concurrency: usize,
    count: usize,
    watched: &str,
    result: impl Fn(&str) -> AttemptResult,
) -> usize {
    let mut running: Vec<(Instant, Permit)> = Vec::new();
    let mut sent_to_watched = 0;
    for _ in 0..count {
        while running.len() >= concurrency {
            let first = (0..running.len()).min_by_key(|i| running[*i].0).unwrap();
            let (end, permit) = running.swap_remove(first);
            *now = end;
            let result = result(&permit.target);
            assert!(router.release(permit, result, *now).is_empty());
        }
        let permit = permit(router.admit(request("c", *now + ms(60_000)), &[], *now));
        sent_to_watched += usize::from(&*permit.target == watched);
        running.push((*now + result(&permit.target).latency, permit));
    }
    for (end, permit) in running {
        *now = end.max(*now);
        let result = result(&permit.target);
        let _ = router.release(permit, result, *now);
    }
    sent_to_watched
}
