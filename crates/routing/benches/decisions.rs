//! Time per decision, by the number of targets and of queued requests.
//!
//! Each time is the median of five rounds of [`OPERATIONS_PER_ROUND`]
//! operations.
#![allow(clippy::unwrap_used)]

use cyclamenloft_routing::{
    AttemptResult, ChoicePolicy, Decision, LeaseConfig, Permit, RequestMeta, RoutingPolicy,
    ServicePolicy, ServiceRouter, TargetRecord,
};
use cyclamenloft_types::{Outcome, Priority};
use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

const OPERATIONS_PER_ROUND: u32 = 20_000;
const ROUNDS: usize = 5;
const CALLERS: usize = 50;
const FAR_FUTURE: Duration = Duration::from_secs(3600);
/// Virtual time between two operations.
const OPERATION_INTERVAL: Duration = Duration::from_micros(20);

fn record(n: usize, now: Instant) -> TargetRecord {
    TargetRecord {
        id: format!("target-{n}").into(),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 80)),
        domain: "north".into(),
        sequence: 1,
        leaving: false,
        in_flight: 0,
        expires: now + FAR_FUTURE,
    }
}

fn meta(n: usize, now: Instant) -> RequestMeta {
    RequestMeta {
        id: "request".into(),
        caller: format!("caller-{}", n % CALLERS).into(),
        idempotent: true,
        priority: Priority::Service,
        deadline: now + Duration::from_secs(600) + Duration::from_millis(n as u64 % 1000),
        hopped: false,
    }
}

fn healthy() -> AttemptResult {
    let latency = Duration::from_millis(10);
    AttemptResult { outcome: Outcome::Done, healthy: true, latency, abandoned: false }
}

struct Bench {
    router: ServiceRouter,
    now: Instant,
    permits: Vec<Permit>,
    next: usize,
}

impl Bench {
    /// Creates a router with the fraction `share` of its slots in use.
    fn new(targets: usize, choice: ChoicePolicy, leases: bool, share: f64) -> Self {
        let now = Instant::now();
        let routing = RoutingPolicy { choice, ..RoutingPolicy::default() };
        let service = ServicePolicy { queue: 20_000, ..ServicePolicy::default() };
        let roster = if leases { vec!["a".into(), "b".into()] } else { vec!["a".into()] };
        let mut router = ServiceRouter::new("a".into(), roster, routing, service);
        if leases {
            let longest_request = FAR_FUTURE;
            let config =
                LeaseConfig { longest_request, max_deadline: FAR_FUTURE, ..LeaseConfig::default() };
            router.enable_leases(1, None, config, now);
        }
        for n in 0..targets {
            let _ = router.announce(record(n, now), now);
        }
        let mut bench = Self { router, now, permits: Vec::new(), next: 0 };
        let slots: u32 =
            bench.router.snapshot(now).targets.iter().map(|t| u32::from(t.share)).sum();
        for _ in 0..(f64::from(slots) * share) as u32 {
            let Decision::Dispatch(permit) = bench.admit() else { panic!("no free slot") };
            bench.permits.push(permit);
        }
        bench
    }

    fn admit(&mut self) -> Decision {
        self.next += 1;
        self.now += OPERATION_INTERVAL;
        self.router.admit(meta(self.next, self.now), &[], self.now)
    }

    fn fill_queue(&mut self, count: usize) {
        for _ in 0..count {
            assert!(matches!(self.admit(), Decision::Wait(_)));
        }
    }

    fn take_permit(&mut self) -> Permit {
        let i = self.next.wrapping_mul(7919) % self.permits.len();
        self.permits.swap_remove(i)
    }

    /// Admits a request to a free slot and ends another one.
    fn dispatch_and_release(&mut self) {
        let Decision::Dispatch(permit) = self.admit() else { panic!("no free slot") };
        self.permits.push(permit);
        let permit = self.take_permit();
        black_box(self.router.release(permit, healthy(), self.now));
    }

    /// Queues a request and ends another one, so that a queued one is dispatched.
    fn wait_and_release(&mut self) {
        assert!(matches!(self.admit(), Decision::Wait(_)));
        let permit = self.take_permit();
        for (_, decision) in self.router.release(permit, healthy(), self.now) {
            let Decision::Dispatch(permit) = decision else { panic!("no permit") };
            self.permits.push(permit);
        }
    }

    /// Admits a request to a full queue, where it displaces a request of the caller
    /// with the most. Then cancels the new request and queues another one of that
    /// caller, so that the queue is as before.
    fn displace(&mut self) {
        let Decision::Wait(ticket) = self.admit() else { panic!("not queued") };
        assert_eq!(self.router.take_decided().len(), 1);
        assert!(self.router.cancel(ticket));
        let meta = RequestMeta { caller: "heavy".into(), ..meta(self.next, self.now) };
        assert!(matches!(self.router.admit(meta, &[], self.now), Decision::Wait(_)));
    }

    fn measure(&mut self, mut step: impl FnMut(&mut Self)) -> u128 {
        let mut rounds: Vec<u128> = (0..ROUNDS)
            .map(|_| {
                let start = Instant::now();
                (0..OPERATIONS_PER_ROUND).for_each(|_| step(self));
                start.elapsed().as_nanos() / u128::from(OPERATIONS_PER_ROUND)
            })
            .collect();
        rounds.sort_unstable();
        rounds[ROUNDS / 2]
    }
}

fn main() {
    println!("nanoseconds per request (its admission and its release)");
    for (name, choice, leases) in [
        ("two-choices", ChoicePolicy::TwoChoices, false),
        ("two-choices, leases", ChoicePolicy::TwoChoices, true),
        ("round-robin", ChoicePolicy::RoundRobin, false),
        ("least-in-flight", ChoicePolicy::LeastInFlight, false),
    ] {
        for targets in [50, 500, 2400] {
            let mut bench = Bench::new(targets, choice, leases, 0.7);
            let free = bench.measure(Bench::dispatch_and_release);
            let mut line = format!("{name:20} {targets:5} targets: free slot {free:5}");
            for waiting in [10, 500, 5000] {
                let mut bench = Bench::new(targets, choice, leases, 1.0);
                bench.fill_queue(waiting);
                let ns = bench.measure(Bench::wait_and_release);
                line.push_str(&format!(", {waiting:4} waiting {ns:5}"));
            }
            println!("{line}");
        }
    }
    for waiting in [10, 500, 5000] {
        let mut bench = Bench::new(50, ChoicePolicy::TwoChoices, false, 1.0);
        let queue = waiting as u32;
        let service = ServicePolicy { queue, ..ServicePolicy::default() };
        bench.router.set_policy(RoutingPolicy::default(), service);
        for n in 0..waiting {
            let meta = RequestMeta { caller: "heavy".into(), ..meta(n, bench.now) };
            assert!(matches!(bench.router.admit(meta, &[], bench.now), Decision::Wait(_)));
        }
        let ns = bench.measure(Bench::displace);
        println!("displacement in a full queue of {waiting:4}, and its reversal: {ns:5}");
    }
}
