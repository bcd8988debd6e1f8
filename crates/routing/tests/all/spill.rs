//! Spilling of requests to another failure domain.

use crate::support::{cases, healthy, ms, permit, request, router, run_one};
use cyclamenloft_routing::{
    Decision, Permit, RequestMeta, RoutingPolicy, ServicePolicy, ServiceRouter, WaitReport,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

fn report(wait: Duration, has_targets: bool) -> WaitReport {
    let wait_us = wait.as_micros() as u64;
    WaitReport { host: "far".into(), domain: "south".into(), wait_us, has_targets }
}

/// Returns a router whose only slot is occupied and whose queue holds five
/// requests. Requests of the service take 100 ms.
fn congested_router() -> (ServiceRouter, Instant) {
    let mut now = Instant::now();
    let service = ServicePolicy { slots: 1, ..ServicePolicy::default() };
    let mut router = router(1, RoutingPolicy::default(), service, now);
    for _ in 0..40 {
        run_one(&mut router, &mut now, |_| healthy(ms(100)));
    }
    let _ = permit(router.admit(request("c", now + ms(60_000)), &[], now));
    for _ in 0..5 {
        let waits = router.admit(request("c", now + ms(60_000)), &[], now);
        assert!(matches!(waits, Decision::Wait(_)));
    }
    (router, now)
}

/// Reports that requests wait for `wait` at the other host, for ten seconds.
/// Returns how many of the 100 requests of the last five seconds spill.
fn count_spilled(
    router: &mut ServiceRouter,
    now: &mut Instant,
    wait: Duration,
    link: Duration,
    meta: impl Fn(RequestMeta) -> RequestMeta,
) -> usize {
    let mut count = 0;
    for step in 0..200 {
        *now += ms(50);
        router.observe_remote(report(wait, true), Duration::ZERO, link, *now);
        let meta = meta(request("c", *now + ms(60_000)));
        count += usize::from(router.consider_spill(&meta, *now).is_some() && step >= 100);
    }
    count
}

fn a_request_spills_only_to_a_shorter_wait(wait: Duration, link: Duration, spills: bool) {
    let (mut router, mut now) = congested_router();
    let count = count_spilled(&mut router, &mut now, wait, link, |f| f);
    assert_eq!(count, if spills { 100 } else { 0 });
}

cases! { a_request_spills_only_to_a_shorter_wait:
    a_request_spills_to_a_short_wait_over_a_short_link(ms(100), ms(4), true);
    a_request_does_not_spill_to_an_equal_wait(ms(600), ms(4), false);
    a_request_does_not_spill_over_a_long_link(ms(0), ms(400), false);
    a_request_does_not_spill_to_a_longer_wait(ms(2000), ms(0), false);
}

#[test]
fn a_request_hops_once_only() {
    let (mut router, mut now) = congested_router();
    let hopped = |meta| RequestMeta { hopped: true, ..meta };
    assert_eq!(count_spilled(&mut router, &mut now, ms(0), ms(4), hopped), 0);
}

#[test]
fn a_request_without_time_for_the_hop_does_not_spill() {
    let (mut router, mut now) = congested_router();
    let from = now;
    let late = |meta: RequestMeta| RequestMeta { deadline: from, ..meta };
    assert_eq!(count_spilled(&mut router, &mut now, ms(0), ms(4), late), 0);
}

/// Reports lag behind the load. If all requests spilled as soon as a report shows a
/// shorter wait, the load would swing between the domains.
#[test]
fn the_spill_share_changes_slowly() {
    let (mut router, mut now) = congested_router();
    let mut shares = Vec::new();
    for wait in [100, 100, 5000, 5000] {
        for _ in 0..10 {
            now += ms(50);
            router.observe_remote(report(ms(wait), true), Duration::ZERO, ms(4), now);
            let _ = router.consider_spill(&request("c", now + ms(60_000)), now);
        }
        shares.push(router.spill_share());
    }
    assert!(shares[0] > 0.0 && shares[0] <= 0.2, "{shares:?}");
    assert!(shares[1] > shares[0] && shares[1] <= 0.4, "{shares:?}");
    assert!(shares[2] < shares[1] && shares[3] < shares[2], "{shares:?}");
    now += ms(60_000);
    router.observe_remote(report(ms(100), true), Duration::ZERO, ms(4), now);
    let _ = router.consider_spill(&request("c", now + ms(60_000)), now);
    assert!(
        router.spill_share() <= 0.1,
        "the share starts from zero after a minute without requests"
    );
}

/// Records a report of the given age from a host with or without targets, and
/// checks whether a request spills.
fn a_domain_without_targets_spills(age: Duration, has_targets: bool, spills: bool) {
    let now = Instant::now() + ms(10_000);
    let mut router = router(0, RoutingPolicy::default(), ServicePolicy::default(), now);
    router.observe_remote(report(ms(10), has_targets), age, ms(4), now);
    let choice = router.consider_spill(&request("c", now + ms(2000)), now);
    assert_eq!(choice.is_some(), spills);
    if let Some(choice) = choice {
        assert_eq!((&*choice.host, &*choice.domain), ("far", "south"));
        assert_eq!(choice.reason, "no-local-target");
    }
}

cases! { a_domain_without_targets_spills:
    a_fresh_report_is_used(ms(100), true, true);
    a_stale_report_is_ignored(ms(2100), true, false);
    a_host_without_targets_is_ignored(ms(100), false, false);
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let now = Instant::now() + ms(10_000);
    let mut router = router(0, RoutingPolicy::default(), ServicePolicy::default(), now);
    router.observe_remote(report(ms(10), false), Duration::ZERO, ms(4), now);
    router.observe_remote(report(ms(10), true), ms(500), ms(4), now);
    assert!(router.consider_spill(&request("c", now + ms(2000)), now).is_none());
}

const TARGETS: usize = 5;
const SERVICE_TIME: Duration = ms(50);
const LINK_DELAY: Duration = ms(5);
const DEADLINE: Duration = ms(500);
const REPORT_PERIOD: Duration = ms(200);

/// An event of [`two_domains`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { domain: usize },
    Hop { domain: usize, deadline: Instant },
    End { domain: usize, id: u64 },
    Report,
}

struct Domains {
    routers: Vec<ServiceRouter>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    permits: BTreeMap<u64, (Permit, Instant)>,
    waiting: Vec<BTreeMap<cyclamenloft_routing::Ticket, Instant>>,
    last_id: u64,
    in_time: u32,
    /// Number of requests that hopped in each second.
    hops: Vec<u32>,
}

impl Domains {
    fn push(&mut self, at: Instant, event: Event) {
        self.last_id += 1;
        self.events.push(Reverse((at, self.last_id, event)));
    }

    fn start(&mut self, domain: usize, permit: Permit, deadline: Instant, now: Instant) {
        self.push(now + SERVICE_TIME, Event::End { domain, id: self.last_id + 1 });
        self.permits.insert(self.last_id, (permit, deadline));
    }

    fn apply_due(&mut self, domain: usize, now: Instant) {
        let mut decided = self.routers[domain].take_decided();
        decided.extend(self.routers[domain].tick(now));
        self.apply(domain, decided, now);
    }

    fn apply(
        &mut self,
        domain: usize,
        decided: Vec<(cyclamenloft_routing::Ticket, Decision)>,
        now: Instant,
    ) {
        for (ticket, decision) in decided {
            let deadline = self.waiting[domain].remove(&ticket).unwrap();
            if let Decision::Dispatch(permit) = decision {
                self.start(domain, permit, deadline, now);
            }
        }
    }

    fn admit(
        &mut self,
        domain: usize,
        deadline: Instant,
        hopped: bool,
        second: usize,
        now: Instant,
    ) {
        let meta = RequestMeta { hopped, ..request("c", deadline) };
        let decision = self.routers[domain].admit(meta.clone(), &[], now);
        if let Decision::Dispatch(permit) = decision {
            return self.start(domain, permit, deadline, now);
        }
        if let Decision::Wait(ticket) = decision {
            self.waiting[domain].insert(ticket, deadline);
        }
        if self.routers[domain].consider_spill(&meta, now).is_some() {
            self.hops[second] += 1;
            self.push(now + LINK_DELAY, Event::Hop { domain: 1 - domain, deadline });
            if let Decision::Wait(ticket) = decision {
                assert!(self.routers[domain].cancel(ticket));
                self.waiting[domain].remove(&ticket);
            }
        }
        self.apply_due(domain, now);
    }
}

/// Simulates two domains of equal capacity under the given loads. Returns the
/// goodput as a share of the maximum possible goodput, and the number of hops in
/// each second.
fn two_domains(loads: [f64; 2], seconds: u64) -> (f64, Vec<u32>) {
    let start = Instant::now();
    let service = ServicePolicy::default();
    let capacity = (TARGETS * usize::from(service.slots)) as f64 / SERVICE_TIME.as_secs_f64();
    let end = start + Duration::from_secs(seconds);
    let make = |_| router(TARGETS, RoutingPolicy::default(), service.clone(), start);
    let mut domains = Domains {
        routers: (0..2).map(make).collect(),
        events: BinaryHeap::new(),
        permits: BTreeMap::new(),
        waiting: vec![BTreeMap::new(), BTreeMap::new()],
        last_id: 0,
        in_time: 0,
        hops: vec![0; seconds as usize + 1],
    };
    let mut rng = SmallRng::seed_from_u64(3);
    (0..2).for_each(|domain| domains.push(start, Event::Arrive { domain }));
    domains.push(start, Event::Report);
    while let Some(Reverse((now, id, event))) = domains.events.pop() {
        let second = (now - start).as_secs().min(seconds) as usize;
        match event {
            Event::Arrive { domain } if now < end => {
                let gap = -rng.random_range(1e-9..1.0f64).ln() / (loads[domain] * capacity);
                domains.push(now + Duration::from_secs_f64(gap), Event::Arrive { domain });
                domains.admit(domain, now + DEADLINE, false, second, now);
            }
            Event::Hop { domain, deadline } => {
                domains.admit(domain, deadline, true, second, now);
            }
            Event::End { domain, .. } => {
                let (permit, deadline) = domains.permits.remove(&id).unwrap();
                domains.in_time += u32::from(now <= deadline && now <= end);
                let decided = domains.routers[domain].release(permit, healthy(SERVICE_TIME), now);
                domains.apply(domain, decided, now);
            }
            Event::Report if now < end => {
                for from in 0..2 {
                    let mut report = domains.routers[from].wait_report(&"d".into());
                    report.host = format!("h{from}").into();
                    domains.routers[1 - from].observe_remote(report, LINK_DELAY, LINK_DELAY, now);
                }
                domains.push(now + REPORT_PERIOD, Event::Report);
            }
            Event::Arrive { .. } | Event::Report => {}
        }
    }
    let possible = loads.iter().sum::<f64>().min(2.0) * capacity * seconds as f64;
    (f64::from(domains.in_time) / possible, domains.hops)
}

/// Lagging reports must not make the load oscillate between the domains: after ten
/// seconds the hops per second stay within a factor of 1.5.
#[test]
fn an_overloaded_domain_spills_without_oscillation() {
    let (goodput, hops) = two_domains([1.4, 0.4], 30);
    let late = &hops[10..30];
    let (least, most) = (late.iter().min().unwrap(), late.iter().max().unwrap());
    println!("loads 1.4 and 0.4: goodput {goodput:.3} of the arrivals, {least} to {most} hops/s");
    assert!(goodput >= 0.95, "goodput {goodput:.3}, hops {hops:?}");
    assert!(f64::from(*most) <= 1.5 * f64::from(*least), "hops {hops:?}");
}

/// If both domains are overloaded, a hop costs time and gains nothing.
#[test]
fn two_overloaded_domains_hardly_spill() {
    let (goodput, hops) = two_domains([1.5, 1.5], 20);
    let share = f64::from(hops.iter().sum::<u32>()) / (2.0 * 1.5 * 800.0 * 20.0);
    println!("loads 1.5 and 1.5: goodput {goodput:.3} of capacity, {share:.4} of the requests hop");
    assert!(goodput >= 0.95, "goodput {goodput:.3}");
    assert!(share <= 0.05, "{share:.3} of the requests hop: {hops:?}");
}
