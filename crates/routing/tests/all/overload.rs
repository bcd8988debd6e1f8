//! Twice the capacity for twenty seconds, in virtual time: arrivals and
//! service times against one router.

use crate::support::{cases, healthy, ms, request, router};
use cyclamenloft_routing::{Decision, Permit, RoutingPolicy, ServicePolicy, Ticket};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

const TARGETS: usize = 10;
const SLOTS: u16 = 4;
const MEAN_SERVICE: Duration = ms(50);
const DEADLINE: Duration = ms(500);
const LENGTH: Duration = ms(20_000);

#[derive(Default, Debug)]
struct Tally {
    in_time: u32,
    late: u32,
    refused: u32,
    in_time_by_caller: HashMap<usize, u32>,
}

struct Run {
    start: Instant,
    rng: SmallRng,
    ends: BinaryHeap<Reverse<(Instant, u64)>>,
    permits: HashMap<u64, (Permit, Instant, usize)>,
    waiting: HashMap<Ticket, (Instant, usize)>,
    tally: Tally,
}

impl Run {
    /// A service time between half and one and a half times the mean, with a
    /// tail of one in fifty that takes three times as long.
    fn service_time(&mut self) -> Duration {
        let scale = self.rng.random_range(0.5..1.5);
        let tail = if self.rng.random_bool(0.02) { 3.0 } else { 1.0 };
        MEAN_SERVICE.mul_f64(scale * tail)
    }

    fn start(&mut self, permit: Permit, deadline: Instant, caller: usize, now: Instant) {
        let id = self.permits.len() as u64 + (self.tally.in_time + self.tally.late) as u64;
        let end = now + self.service_time();
        self.ends.push(Reverse((end, id)));
        self.permits.insert(id, (permit, deadline, caller));
    }

    fn decided(&mut self, decided: Vec<(Ticket, Decision)>, now: Instant) {
        for (ticket, decision) in decided {
            let (deadline, caller) = self.waiting.remove(&ticket).unwrap();
            match decision {
                Decision::Dispatch(permit) => self.start(permit, deadline, caller, now),
                Decision::Refuse(_) => self.tally.refused += 1,
                Decision::Wait(_) => panic!("a decision to wait again"),
            }
        }
    }
}

/// Runs arrivals at `load` times the capacity; caller 0 sends `wave` of them
/// and ten others the rest.
fn run(load: f64, wave: f64, routing: RoutingPolicy) -> Tally {
    let start = Instant::now();
    let service = ServicePolicy { slots: SLOTS, ..ServicePolicy::default() };
    let mut router = router(TARGETS, routing, service, start);
    let rng = SmallRng::seed_from_u64(7);
    let (ends, permits, waiting) = Default::default();
    let mut run = Run { start, rng, ends, permits, waiting, tally: Tally::default() };
    let rate = load * capacity();
    let mut arrival = start;
    let mut tick = start;
    loop {
        let end = run.ends.peek().map(|e| e.0.0);
        let next = [Some(tick), end, (arrival < start + LENGTH).then_some(arrival)];
        let now = next.into_iter().flatten().min().unwrap();
        if end == Some(now) {
            let Reverse((_, id)) = run.ends.pop().unwrap();
            let (permit, deadline, caller) = run.permits.remove(&id).unwrap();
            if now <= deadline {
                run.tally.in_time += 1;
                *run.tally.in_time_by_caller.entry(caller).or_default() += 1;
            } else {
                run.tally.late += 1;
            }
            let result = healthy(now - permit.since);
            let decided = router.release(permit, result, now);
            run.decided(decided, now);
        } else if now == arrival && arrival < start + LENGTH {
            let gap = -run.rng.random_range(1e-9..1.0f64).ln() / rate;
            arrival += Duration::from_secs_f64(gap);
            let caller = if run.rng.random_bool(wave) { 0 } else { run.rng.random_range(1..=10) };
            let facts = request(&format!("c{caller}"), now + DEADLINE);
            match router.admit(facts, &[], now) {
                Decision::Dispatch(permit) => run.start(permit, now + DEADLINE, caller, now),
                Decision::Wait(ticket) => {
                    run.waiting.insert(ticket, (now + DEADLINE, caller));
                }
                Decision::Refuse(_) => run.tally.refused += 1,
            }
            let decided = router.take_decided();
            run.decided(decided, now);
        } else {
            tick += ms(5);
            let decided = router.tick(now);
            run.decided(decided, now);
            if now > run.start + LENGTH && run.permits.is_empty() && run.waiting.is_empty() {
                return run.tally;
            }
        }
    }
}

/// Requests per second that the slots can take; the tail adds 4% to the mean.
fn capacity() -> f64 {
    TARGETS as f64 * f64::from(SLOTS) / (MEAN_SERVICE.as_secs_f64() * 1.04)
}

fn late_share(tally: &Tally) -> f64 {
    f64::from(tally.late) / f64::from(tally.late + tally.in_time)
}

fn possible() -> f64 {
    capacity() * LENGTH.as_secs_f64()
}

/// Caller 0 sends the share `wave` of all requests.
fn overload_keeps_goodput(load: f64, wave: f64) {
    let tally = run(load, wave, RoutingPolicy::default());
    let share = f64::from(tally.in_time) / possible();
    assert!(share >= 0.95, "goodput is {share:.3} of capacity: {tally:?}");
    let late = late_share(&tally);
    println!("load {load}, wave {wave}: goodput {share:.3} of capacity, late {late:.4}");
    assert!(late < 0.01, "{late:.4} of the admitted requests were late: {tally:?}");
}

cases! { overload_keeps_goodput:
    twice_the_capacity_keeps_goodput(2.0, 0.1);
    twice_the_capacity_in_a_wave_of_one_caller_keeps_goodput(2.0, 0.9);
    one_and_a_half_times_the_capacity_keeps_goodput(1.5, 0.1);
    four_times_the_capacity_keeps_goodput(4.0, 0.5);
}

#[test]
fn without_admission_twice_the_capacity_is_late() {
    let routing = RoutingPolicy { admission: false, ..RoutingPolicy::default() };
    let late = late_share(&run(2.0, 0.1, routing));
    println!("load 2, no admission: late {late:.4}");
    assert!(late >= 0.01, "the baseline shows nothing to mend: {late:.4}");
}

#[test]
fn a_wave_of_one_caller_does_not_starve_the_others() {
    let tally = run(2.0, 0.9, RoutingPolicy::default());
    // The ten others send 0.2 of the capacity together.
    let others: u32 = (1..=10).map(|c| tally.in_time_by_caller.get(&c).unwrap_or(&0)).sum();
    let share = f64::from(others) / (0.2 * possible());
    println!("load 2, wave 0.9: the others got {share:.3} of what they asked for");
    assert!(share >= 0.9, "the others got {share:.3} of what they asked for: {tally:?}");
}
