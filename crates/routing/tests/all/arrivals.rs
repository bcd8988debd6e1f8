//! Arrivals and service times against one router, in virtual time.

use crate::support::{failed, healthy, ms, record, request};
use cyclamenloft_routing::{Decision, Permit, RoutingPolicy, ServicePolicy, ServiceRouter, Ticket};
use cyclamenloft_types::{Outcome, TargetId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

const LENGTH: Duration = ms(20_000);
const TICK: Duration = ms(5);
const ANNOUNCE_PERIOD: Duration = ms(1000);
/// How long a target that is gone takes to refuse a connection.
const REFUSAL_TIME: Duration = ms(1);

/// What a target does with a request.
#[derive(Clone, Copy)]
pub enum Conduct {
    /// Answers after this many times the usual time.
    Answer(f64),
    /// Is gone, and announces itself no more.
    Gone,
}

/// What is run.
pub struct Scenario {
    pub targets: usize,
    pub slots: u16,
    pub mean_service: Duration,
    /// Share of requests that take three times as long.
    pub tail: f64,
    pub deadline: Duration,
    /// Arrivals, as a multiple of the capacity.
    pub load: f64,
    /// Share of the arrivals that come from caller 0; ten others send the rest.
    pub wave: f64,
    pub routing: RoutingPolicy,
    /// What a target does, by its number and the time since the start.
    pub conduct: fn(usize, Duration) -> Conduct,
}

impl Scenario {
    /// Requests per second that the slots can take.
    pub fn capacity(&self) -> f64 {
        let mean = self.mean_service.as_secs_f64() * (1.0 + 2.0 * self.tail);
        self.targets as f64 * f64::from(self.slots) / mean
    }

    /// Requests that the slots can take in the whole run.
    pub fn possible(&self) -> f64 {
        self.capacity() * LENGTH.as_secs_f64()
    }
}

#[derive(Default, Debug)]
pub struct Tally {
    /// Answers in time, within the twenty seconds.
    pub in_time: u32,
    /// Answers that were late, whenever they came.
    pub late: u32,
    pub refused: u32,
    pub in_time_by_caller: HashMap<usize, u32>,
    /// Times from arrival to answer.
    times: Vec<Duration>,
}

impl Tally {
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

/// A request on its way.
#[derive(Clone)]
struct Journey {
    caller: usize,
    arrived: Instant,
    failed: Vec<TargetId>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Announce,
    Arrive,
    End,
    Again,
    Tick,
}

struct Run<'a> {
    scenario: &'a Scenario,
    router: ServiceRouter,
    start: Instant,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Instant, Event, u64)>>,
    last: u64,
    running: HashMap<u64, (Permit, Journey)>,
    backing_off: HashMap<u64, Journey>,
    waiting: HashMap<Ticket, Journey>,
    tally: Tally,
}

impl Run<'_> {
    fn push(&mut self, at: Instant, event: Event) -> u64 {
        self.last += 1;
        self.events.push(Reverse((at, event, self.last)));
        self.last
    }

    fn conduct(&self, target: &TargetId, now: Instant) -> Conduct {
        (self.scenario.conduct)(target[1..].parse().unwrap(), now - self.start)
    }

    /// A service time between half and one and a half times the mean, but for the
    /// tail.
    fn service_time(&mut self, conduct: Conduct) -> Duration {
        let scale = self.rng.random_range(0.5..1.5);
        let tail = if self.rng.random_bool(self.scenario.tail) { 3.0 } else { 1.0 };
        match conduct {
            Conduct::Answer(factor) => self.scenario.mean_service.mul_f64(scale * tail * factor),
            Conduct::Gone => REFUSAL_TIME,
        }
    }

    fn dispatched(&mut self, permit: Permit, journey: Journey, now: Instant) {
        let conduct = self.conduct(&permit.target, now);
        let takes = self.service_time(conduct);
        let id = self.push(now + takes, Event::End);
        self.running.insert(id, (permit, journey));
    }

    fn take(&mut self, decided: Vec<(Ticket, Decision)>, now: Instant) {
        for (ticket, decision) in decided {
            let journey = self.waiting.remove(&ticket).unwrap();
            match decision {
                Decision::Dispatch(permit) => self.dispatched(permit, journey, now),
                Decision::Refuse(_) => self.tally.refused += 1,
                Decision::Wait(_) => panic!("a decision to wait again"),
            }
        }
    }

    fn admit(&mut self, journey: Journey, now: Instant) {
        let meta =
            request(&format!("c{}", journey.caller), journey.arrived + self.scenario.deadline);
        match self.router.admit(meta, &journey.failed, now) {
            Decision::Dispatch(permit) => self.dispatched(permit, journey, now),
            Decision::Wait(ticket) => {
                self.waiting.insert(ticket, journey);
            }
            Decision::Refuse(_) => self.tally.refused += 1,
        }
        let decided = self.router.take_decided();
        self.take(decided, now);
    }

    fn arrive(&mut self, now: Instant) {
        let rate = self.scenario.load * self.scenario.capacity();
        let gap = -self.rng.random_range(1e-9..1.0f64).ln() / rate;
        let next = now + Duration::from_secs_f64(gap);
        if next < self.start + LENGTH {
            self.push(next, Event::Arrive);
        }
        let caller = if self.rng.random_bool(self.scenario.wave) {
            0
        } else {
            self.rng.random_range(1..=10)
        };
        self.admit(Journey { caller, arrived: now, failed: Vec::new() }, now);
    }

    fn end(&mut self, id: u64, now: Instant) {
        let (permit, mut journey) = self.running.remove(&id).unwrap();
        let took = now - permit.since;
        let deadline = journey.arrived + self.scenario.deadline;
        if let Conduct::Gone = self.conduct(&permit.target, permit.since) {
            journey.failed.push(permit.target.clone());
            let decided = self.router.release(permit, failed(took), now);
            self.take(decided, now);
            let meta = request(&format!("c{}", journey.caller), deadline);
            match self.router.retry(&meta, &journey.failed, Outcome::NotRun, now) {
                Ok(delay) => {
                    let id = self.push(now + delay, Event::Again);
                    self.backing_off.insert(id, journey);
                }
                Err(_) => self.tally.refused += 1,
            }
            return;
        }
        self.tally.times.push(now - journey.arrived);
        let in_run = now <= self.start + LENGTH;
        if now <= deadline {
            self.tally.in_time += u32::from(in_run);
            *self.tally.in_time_by_caller.entry(journey.caller).or_default() += u32::from(in_run);
        } else {
            self.tally.late += 1;
        }
        let decided = self.router.release(permit, healthy(took), now);
        self.take(decided, now);
    }

    fn announce(&mut self, now: Instant) {
        for target in 0..self.scenario.targets {
            if let Conduct::Answer(_) = (self.scenario.conduct)(target, now - self.start) {
                let sequence = (now - self.start).as_millis() as u64;
                let record = record(target, sequence, now + ms(3000));
                let decided = self.router.announce(record, now);
                self.take(decided, now);
            }
        }
        self.push(now + ANNOUNCE_PERIOD, Event::Announce);
    }

    fn is_over(&self, now: Instant) -> bool {
        now > self.start + LENGTH
            && self.running.is_empty()
            && self.waiting.is_empty()
            && self.backing_off.is_empty()
    }
}

/// Runs a scenario for twenty seconds and until all requests have ended.
pub fn run(scenario: &Scenario) -> Tally {
    let start = Instant::now();
    let service = ServicePolicy { slots: scenario.slots, ..ServicePolicy::default() };
    let routing = scenario.routing.clone();
    let (events, running, backing_off, waiting, tally) = Default::default();
    let mut run = Run {
        scenario,
        router: ServiceRouter::new("a".into(), vec!["a".into()], routing, service),
        start,
        rng: SmallRng::seed_from_u64(7),
        events,
        last: 0,
        running,
        backing_off,
        waiting,
        tally,
    };
    for event in [Event::Announce, Event::Arrive, Event::Tick] {
        run.push(start, event);
    }
    while let Some(Reverse((now, event, id))) = run.events.pop() {
        match event {
            Event::Announce => run.announce(now),
            Event::Arrive => run.arrive(now),
            Event::End => run.end(id, now),
            Event::Again => {
                let journey = run.backing_off.remove(&id).unwrap();
                run.admit(journey, now);
            }
            Event::Tick => {
                let decided = run.router.tick(now);
                run.take(decided, now);
                if run.is_over(now) {
                    break;
                }
                run.push(now + TICK, Event::Tick);
            }
        }
    }
    run.tally
}
