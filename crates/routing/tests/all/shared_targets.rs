//! Simulation in virtual time of three routers that share the targets of one
//! domain. Targets keep working on abandoned requests. Each start of a request
//! checks that its target has no more requests than slots.

use crate::support::{abandoned, healthy, ms, record, request};
use cyclamenloft_routing::{
    Decision, LeaseConfig, Permit, RoutingPolicy, ServicePolicy, ServiceRouter, Ticket,
    slots::Envelope,
};
use cyclamenloft_types::HostId;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::{Duration, Instant};

const HOSTS: usize = 3;
const TARGETS: usize = 10;
const SLOTS: u16 = 8;
const STEP: Duration = ms(5);
const DEADLINE: Duration = ms(500);
const ANNOUNCE_PERIOD_STEPS: u32 = 100;

struct Running {
    host: usize,
    target: usize,
    ends: Instant,
    /// The request's permit, or `None` once the host has abandoned the request.
    permit: Option<Permit>,
}

struct Domain {
    now: Instant,
    sequence: u64,
    routers: Vec<ServiceRouter>,
    running: Vec<Running>,
    in_transit: Vec<Envelope>,
    rng: SmallRng,
    done: [u32; HOSTS],
    refused: u32,
    /// Share of requests on which the target works long past their deadline.
    stuck: f64,
}

fn host_name(host: usize) -> HostId {
    format!("h{host}").into()
}

impl Domain {
    fn new(leases: bool, stuck: f64, seed: u64) -> Self {
        let now = Instant::now();
        let router = |h| {
            let roster = (0..HOSTS).map(host_name).collect();
            let routing = RoutingPolicy::default();
            let mut router =
                ServiceRouter::new(host_name(h), roster, routing, ServicePolicy::default());
            if leases {
                router.enable_leases(1, None, LeaseConfig::default(), now);
            }
            router
        };
        let routers = (0..HOSTS).map(router).collect();
        let (running, in_transit) = (Vec::new(), Vec::new());
        let rng = SmallRng::seed_from_u64(seed);
        Self {
            now,
            sequence: 0,
            routers,
            running,
            in_transit,
            rng,
            done: [0; HOSTS],
            refused: 0,
            stuck,
        }
    }

    fn count(&self, target: usize) -> usize {
        self.running.iter().filter(|r| r.target == target).count()
    }

    fn start(&mut self, host: usize, permit: Permit) {
        let target = permit.target[1..].parse().unwrap();
        let stuck = self.rng.random_bool(self.stuck);
        let duration = if stuck { ms(3000) } else { ms(self.rng.random_range(10..30)) };
        let running = Running { host, target, ends: self.now + duration, permit: Some(permit) };
        self.running.push(running);
        let count = self.count(target);
        assert!(count <= SLOTS.into(), "target {target} has {count} requests");
    }

    fn apply(&mut self, host: usize, decided: Vec<(Ticket, Decision)>) {
        for (_, decision) in decided {
            match decision {
                Decision::Dispatch(permit) => self.start(host, permit),
                Decision::Refuse(_) => self.refused += 1,
                Decision::Wait(_) => panic!("a decision to wait again"),
            }
        }
    }

    fn end_requests(&mut self) {
        for i in (0..self.running.len()).rev() {
            let running = &mut self.running[i];
            let ended = running.ends <= self.now;
            let host = running.host;
            let since = running.permit.as_ref().map(|p| p.since);
            let late = since.is_some_and(|s| s + DEADLINE <= self.now);
            if (ended || late)
                && let Some(permit) = running.permit.take()
            {
                let took = self.now - permit.since;
                let result = if ended { healthy(took) } else { abandoned(took) };
                self.done[host] += u32::from(ended);
                if ended {
                    self.running.swap_remove(i);
                }
                let decided = self.routers[host].release(permit, result, self.now);
                self.apply(host, decided);
            } else if ended {
                self.running.swap_remove(i);
            }
        }
    }

    fn announce(&mut self) {
        self.sequence += 1;
        for target in 0..TARGETS {
            for host in 0..HOSTS {
                let mut record = record(target, self.sequence, self.now + ms(3000));
                record.in_flight = self.count(target) as u16;
                let decided = self.routers[host].announce(record, self.now);
                self.apply(host, decided);
            }
        }
    }

    fn deliver_messages(&mut self) {
        for envelope in std::mem::take(&mut self.in_transit) {
            let to = (0..HOSTS).find(|h| host_name(*h) == envelope.to).unwrap();
            if !self.rng.random_bool(0.05) {
                let reply = self.routers[to].handle_slot_message(envelope.message, self.now);
                self.in_transit.extend(reply.messages);
                self.apply(to, reply.decided);
            }
        }
    }

    /// Advances the time by `length`, with `arrivals[i]` new requests per step
    /// at host `i`.
    fn advance(&mut self, length: Duration, arrivals: [u32; HOSTS]) {
        for step in 0..length.as_millis() as u32 / STEP.as_millis() as u32 {
            self.now += STEP;
            self.end_requests();
            if step % ANNOUNCE_PERIOD_STEPS == 0 {
                self.announce();
            }
            for (host, arrivals) in arrivals.into_iter().enumerate() {
                for _ in 0..arrivals {
                    let meta = request("c", self.now + DEADLINE);
                    match self.routers[host].admit(meta, &[], self.now) {
                        Decision::Dispatch(permit) => self.start(host, permit),
                        Decision::Refuse(_) => self.refused += 1,
                        Decision::Wait(_) => {}
                    }
                    let decided = self.routers[host].take_decided();
                    self.apply(host, decided);
                }
                let messages = self.routers[host].slot_messages(self.now);
                self.in_transit.extend(messages);
                let decided = self.routers[host].tick(self.now);
                self.apply(host, decided);
            }
            self.deliver_messages();
        }
    }
}

/// Targets work on some requests past their deadline. If their slots were reused,
/// lent or taken over too early, a target would get more requests than it has
/// slots.
#[test]
fn abandoned_requests_keep_their_slots_across_hosts() {
    for seed in 0..5 {
        let mut domain = Domain::new(true, 0.02, seed);
        domain.advance(ms(6000), [2, 2, 2]);
        domain.advance(ms(6000), [12, 1, 1]);
        domain.advance(ms(6000), [1, 6, 6]);
        assert!(domain.done.iter().all(|d| *d > 1000), "{:?}", domain.done);
        // This time covers the longest request and two announcements, so all
        // requests have ended.
        domain.advance(ms(6000), [0; HOSTS]);
        let held =
            |r: &ServiceRouter| r.snapshot(domain.now).targets.iter().any(|t| t.abandoned > 0);
        assert!(!domain.routers.iter().any(held));
    }
}

/// One host gets most of the requests. With fixed shares its queue grows while
/// slots of the other hosts are idle; with loans it uses these.
#[test]
fn loans_serve_more_requests_under_uneven_load() {
    let busiest = |leases| {
        let mut domain = Domain::new(leases, 0.0, 1);
        domain.advance(ms(6000), [2, 2, 2]);
        domain.done = [0; HOSTS];
        domain.advance(ms(6000), [16, 1, 1]);
        domain.done[0]
    };
    let (lent, fixed) = (busiest(true), busiest(false));
    println!("the busiest of three hosts: {lent} requests with loans, {fixed} with fixed shares");
    assert!(f64::from(lent) >= 1.4 * f64::from(fixed), "{lent} against {fixed}");
}

/// A request that outlasts the lease could still be running when another host takes
/// over the slots, so it may use only slots that are never reassigned.
#[test]
fn a_request_that_may_outlast_a_lease_uses_the_floor_only() {
    let mut domain = Domain::new(true, 0.0, 1);
    domain.routers.iter_mut().for_each(|r| {
        let config = LeaseConfig { max_deadline: ms(10_000), ..LeaseConfig::default() };
        r.enable_leases(2, None, config, domain.now);
    });
    domain.advance(ms(6000), [0; HOSTS]);
    let mut admit = |deadline| {
        let meta = request("c", domain.now + deadline);
        domain.routers[0].admit(meta, &[], domain.now)
    };
    let mut long = 0;
    while let Decision::Dispatch(permit) = admit(ms(60_000)) {
        assert_eq!(permit.deadline, domain.now + ms(10_000));
        long += 1;
    }
    assert_eq!(long, TARGETS, "long requests get the floor slot of each target");
    assert!(matches!(admit(ms(1000)), Decision::Dispatch(_)), "short requests get the other slots");
}
