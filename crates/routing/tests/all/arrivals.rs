//! Simulation of one router in virtual time, with random arrivals and service
//! times.

use crate::support::{failed, healthy, ms, record, request};
use cyclamenloft_routing::{Decision, Permit, RoutingPolicy, ServicePolicy, ServiceRouter, Ticket};
use cyclamenloft_types::{Outcome, TargetId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

const RUN_DURATION: Duration = ms(20_000);
const TICK: Duration = ms(5);
const ANNOUNCE_PERIOD: Duration = ms(1000);
/// Time in which a target that is gone refuses a connection.
const CONNECTION_REFUSAL_TIME: Duration = ms(1);

/// How a target handles a request.
#[derive(Clone, Copy)]
pub enum TargetBehavior {
    /// The target answers after this multiple of the usual time.
    Answer(f64),
    /// The target refuses connections and no longer announces itself.
    Gone,
}

/// The parameters of a simulation.
pub struct Scenario {
    pub targets: usize,
    pub slots: u16,
    pub mean_service: Duration,
    /// Share of requests that take three times the usual time.
    pub tail: f64,
    pub deadline: Duration,
    /// Arrival rate as a multiple of the capacity.
    pub load: f64,
    /// Share of the arrivals that come from caller 0; ten other callers send the
    /// rest.
    pub caller_0_share: f64,
    pub routing: RoutingPolicy,
    /// Behavior of a target, by its number and the time since the start.
    pub behavior: fn(usize, Duration) -> TargetBehavior,
}

impl Scenario {
    /// Returns the requests per second that the slots can serve.
    pub fn capacity(&self) -> f64 {
        let mean = self.mean_service.as_secs_f64() * (1.0 + 2.0 * self.tail);
        self.targets as f64 * f64::from(self.slots) / mean
    }

    /// Returns the requests that the slots can serve in the whole run.
    pub fn max_requests(&self) -> f64 {
        self.capacity() * RUN_DURATION.as_secs_f64()
    }
}

#[derive(Default, Debug)]
pub struct Stats {
    /// Responses before the deadline and within [`RUN_DURATION`].
    pub in_time: u32,
    /// Responses after the deadline, at any time.
    pub late: u32,
    pub refused: u32,
    pub in_time_by_caller: HashMap<usize, u32>,
    /// Times from arrival to response.
    times: Vec<Duration>,
}

impl Stats {
    pub fn quantile(&self, q: f64) -> Duration {
        let mut times = self.times.clone();
        times.sort_unstable();
        times[((times.len() - 1) as f64 * q) as usize]
    }

    pub fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from(self.late + self.in_time)
    }

    pub fn refused_share(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.refused + self.late + self.in_time)
    }
}

/// A request that has arrived and not yet ended.
#[derive(Clone)]
struct PendingRequest {
    caller: usize,
    arrived: Instant,
    failed: Vec<TargetId>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Announce,
    Arrive,
    End,
    Retry,
    Tick,
}

struct Run<'a> {
    scenario: &'a Scenario,
    router: ServiceRouter,
    start: Instant,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Instant, Event, u64)>>,
    last_id: u64,
    running: HashMap<u64, (Permit, PendingRequest)>,
    backing_off: HashMap<u64, PendingRequest>,
    waiting: HashMap<Ticket, PendingRequest>,
    stats: Stats,
}

impl Run<'_> {
    fn push(&mut self, at: Instant, event: Event) -> u64 {
        self.last_id += 1;
        self.events.push(Reverse((at, event, self.last_id)));
        self.last_id
    }

    fn behavior(&self, target: &TargetId, now: Instant) -> TargetBehavior {
        (self.scenario.behavior)(target[1..].parse().unwrap(), now - self.start)
    }

    /// Draws a service time between 0.5 and 1.5 times the mean, scaled by the
    /// target's behavior and tripled for the tail.
    fn service_time(&mut self, behavior: TargetBehavior) -> Duration {
        let scale = self.rng.random_range(0.5..1.5);
        let tail = if self.rng.random_bool(self.scenario.tail) { 3.0 } else { 1.0 };
        match behavior {
            TargetBehavior::Answer(factor) => {
                self.scenario.mean_service.mul_f64(scale * tail * factor)
            }
            TargetBehavior::Gone => CONNECTION_REFUSAL_TIME,
        }
    }

    fn dispatch(&mut self, permit: Permit, pending: PendingRequest, now: Instant) {
        let behavior = self.behavior(&permit.target, now);
        let service_time = self.service_time(behavior);
        let id = self.push(now + service_time, Event::End);
        self.running.insert(id, (permit, pending));
    }

    fn apply(&mut self, decided: Vec<(Ticket, Decision)>, now: Instant) {
        for (ticket, decision) in decided {
            let pending = self.waiting.remove(&ticket).unwrap();
            match decision {
                Decision::Dispatch(permit) => self.dispatch(permit, pending, now),
                Decision::Refuse(_) => self.stats.refused += 1,
                Decision::Wait(_) => panic!("a decision to wait again"),
            }
        }
    }

    fn admit(&mut self, pending: PendingRequest, now: Instant) {
        let meta =
            request(&format!("c{}", pending.caller), pending.arrived + self.scenario.deadline);
        match self.router.admit(meta, &pending.failed, now) {
            Decision::Dispatch(permit) => self.dispatch(permit, pending, now),
            Decision::Wait(ticket) => {
                self.waiting.insert(ticket, pending);
            }
            Decision::Refuse(_) => self.stats.refused += 1,
        }
        let decided = self.router.take_decided();
        self.apply(decided, now);
    }

    fn arrive(&mut self, now: Instant) {
        let rate = self.scenario.load * self.scenario.capacity();
        let gap = -self.rng.random_range(1e-9..1.0f64).ln() / rate;
        let next = now + Duration::from_secs_f64(gap);
        if next < self.start + RUN_DURATION {
            self.push(next, Event::Arrive);
        }
        let caller = if self.rng.random_bool(self.scenario.caller_0_share) {
            0
        } else {
            self.rng.random_range(1..=10)
        };
        self.admit(PendingRequest { caller, arrived: now, failed: Vec::new() }, now);
    }

    fn end(&mut self, id: u64, now: Instant) {
        let (permit, mut pending) = self.running.remove(&id).unwrap();
        let took = now - permit.since;
        let deadline = pending.arrived + self.scenario.deadline;
        if let TargetBehavior::Gone = self.behavior(&permit.target, permit.since) {
            pending.failed.push(permit.target.clone());
            let decided = self.router.release(permit, failed(took), now);
            self.apply(decided, now);
            let meta = request(&format!("c{}", pending.caller), deadline);
            match self.router.retry(&meta, &pending.failed, Outcome::NotRun, now) {
                Ok(delay) => {
                    let id = self.push(now + delay, Event::Retry);
                    self.backing_off.insert(id, pending);
                }
                Err(_) => self.stats.refused += 1,
            }
            return;
        }
        self.stats.times.push(now - pending.arrived);
        let in_run = now <= self.start + RUN_DURATION;
        if now <= deadline {
            self.stats.in_time += u32::from(in_run);
            *self.stats.in_time_by_caller.entry(pending.caller).or_default() += u32::from(in_run);
        } else {
            self.stats.late += 1;
        }
        let decided = self.router.release(permit, healthy(took), now);
        self.apply(decided, now);
    }

    fn announce(&mut self, now: Instant) {
        for target in 0..self.scenario.targets {
            if let TargetBehavior::Answer(_) = (self.scenario.behavior)(target, now - self.start) {
                let sequence = (now - self.start).as_millis() as u64;
                let record = record(target, sequence, now + ms(3000));
                let decided = self.router.announce(record, now);
                self.apply(decided, now);
            }
        }
        self.push(now + ANNOUNCE_PERIOD, Event::Announce);
    }

    fn is_done(&self, now: Instant) -> bool {
        now > self.start + RUN_DURATION
            && self.running.is_empty()
            && self.waiting.is_empty()
            && self.backing_off.is_empty()
    }
}

/// Runs a scenario for [`RUN_DURATION`] and then until all requests have ended.
pub fn run(scenario: &Scenario) -> Stats {
    let start = Instant::now();
    let service = ServicePolicy { slots: scenario.slots, ..ServicePolicy::default() };
    let routing = scenario.routing.clone();
    let (events, running, backing_off, waiting, stats) = Default::default();
    let mut run = Run {
        scenario,
        router: ServiceRouter::new("a".into(), vec!["a".into()], routing, service),
        start,
        rng: SmallRng::seed_from_u64(7),
        events,
        last_id: 0,
        running,
        backing_off,
        waiting,
        stats,
    };
    for event in [Event::Announce, Event::Arrive, Event::Tick] {
        run.push(start, event);
    }
    while let Some(Reverse((now, event, id))) = run.events.pop() {
        match event {
            Event::Announce => run.announce(now),
            Event::Arrive => run.arrive(now),
            Event::End => run.end(id, now),
            Event::Retry => {
                let pending = run.backing_off.remove(&id).unwrap();
                run.admit(pending, now);
            }
            Event::Tick => {
                let decided = run.router.tick(now);
                run.apply(decided, now);
                if run.is_done(now) {
                    break;
                }
                run.push(now + TICK, Event::Tick);
            }
        }
    }
    run.stats
}
