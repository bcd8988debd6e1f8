//! Invariants of the router, checked after every step of random sequences.

use crate::support::{abandoned, failed, healthy, ms, record, request, target};
use cyclamenloft_routing::{
    ChoicePolicy, Decision, Permit, RoutingPolicy, ServicePolicy, ServiceRouter, Ticket,
};
use cyclamenloft_types::{Priority, TargetId};
use proptest::{prelude::*, test_runner::RngSeed};
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

const TARGETS: usize = 4;
const SLOTS: u16 = 3;
const QUEUE: u32 = 6;

#[derive(Clone, Debug)]
enum Step {
    Announce { target: usize, age: u64, leaving: bool, in_flight: u16 },
    Admit { caller: u8, priority: u8, deadline: u16, idempotent: bool, avoid: Option<usize> },
    Cancel(usize),
    Release { which: usize, end: u8 },
    Tick(u16),
}

fn step() -> impl Strategy<Value = Step> {
    let announce = (0..TARGETS, 0..3u64, prop::bool::weighted(0.1), 0..4u16);
    let admit = (0..4u8, 0..3u8, 0..3000u16, any::<bool>(), prop::option::of(0..TARGETS));
    prop_oneof![
        2 => announce.prop_map(|(target, age, leaving, in_flight)| Step::Announce {
            target, age, leaving, in_flight
        }),
        6 => admit.prop_map(|(caller, priority, deadline, idempotent, avoid)| Step::Admit {
            caller, priority, deadline, idempotent, avoid
        }),
        1 => any::<usize>().prop_map(Step::Cancel),
        5 => (any::<usize>(), 0..5u8).prop_map(|(which, end)| Step::Release { which, end }),
        2 => (0..1500u16).prop_map(Step::Tick),
    ]
}

/// The router, and the state that the test expects of it.
struct Model {
    router: ServiceRouter,
    now: Instant,
    permits: Vec<Permit>,
    /// Queued requests, with the targets at which they have failed.
    waiting: BTreeMap<Ticket, Vec<TargetId>>,
    /// For each target, the latest sequence, whether the target is leaving, and the
    /// time at which the record expires.
    known: HashMap<usize, (u64, bool, Instant)>,
    sequence: u64,
}

impl Model {
    fn new(routing: RoutingPolicy) -> Self {
        let service = ServicePolicy { slots: SLOTS, queue: QUEUE, ..ServicePolicy::default() };
        let router = ServiceRouter::new("a".into(), vec!["a".into()], routing, service);
        let (permits, waiting, known) = Default::default();
        Self { router, now: Instant::now(), permits, waiting, known, sequence: 10 }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Announce { target, age, leaving, in_flight } => {
                self.sequence += 1;
                let mut record = record(target, self.sequence - age, self.now + ms(3000));
                (record.leaving, record.in_flight) = (leaving, in_flight);
                let known = self.known.get(&target);
                let live = known.is_some_and(|k| k.2 > self.now);
                let newest = known.map_or(0, |k| k.0);
                if !live || record.sequence > newest {
                    let state = (record.sequence, leaving, record.expires);
                    self.known.insert(target, state);
                } else if record.sequence == newest {
                    // A repeated announcement has the same content.
                    record.leaving = self.known[&target].1;
                    self.known.insert(target, (newest, record.leaving, record.expires));
                }
                let decided = self.router.announce(record, self.now);
                self.apply(decided);
            }
            Step::Admit { caller, priority, deadline, idempotent, avoid } => {
                let deadline = self.now + Duration::from_millis(deadline.into());
                let mut meta = request(&format!("c{caller}"), deadline);
                meta.idempotent = idempotent;
                meta.priority =
                    [Priority::Batch, Priority::Service, Priority::Urgent][usize::from(priority)];
                let avoid: Vec<_> = avoid.into_iter().map(target).collect();
                match self.router.admit(meta, &avoid, self.now) {
                    Decision::Dispatch(permit) => {
                        self.dispatched(permit, &avoid);
                    }
                    Decision::Wait(ticket) => {
                        assert!(self.waiting.insert(ticket, avoid).is_none());
                    }
                    Decision::Refuse(_) => {}
                }
                let decided = self.router.take_decided();
                self.apply(decided);
            }
            Step::Cancel(n) => {
                if let Some(ticket) = self.waiting.keys().nth(n % (QUEUE as usize)).copied() {
                    assert!(self.router.cancel(ticket));
                    self.waiting.remove(&ticket);
                }
            }
            Step::Release { which, end } => {
                if !self.permits.is_empty() {
                    let permit = self.permits.swap_remove(which % self.permits.len());
                    let result = match end {
                        0 => failed(ms(1)),
                        1 => abandoned(ms(100)),
                        _ => healthy(ms(10)),
                    };
                    let decided = self.router.release(permit, result, self.now);
                    self.apply(decided);
                }
            }
            Step::Tick(n) => {
                self.now += Duration::from_millis(n.into());
                let decided = self.router.tick(self.now);
                self.apply(decided);
            }
        }
    }

    fn apply(&mut self, decided: Vec<(Ticket, Decision)>) {
        for (ticket, decision) in decided {
            let avoid = self.waiting.remove(&ticket).expect("each ticket is decided once");
            match decision {
                Decision::Dispatch(permit) => self.dispatched(permit, &avoid),
                Decision::Refuse(_) => {}
                Decision::Wait(_) => panic!("a decision to wait again"),
            }
        }
    }

    fn dispatched(&mut self, permit: Permit, avoid: &[TargetId]) {
        assert!(
            !avoid.contains(&permit.target),
            "a request went to a target at which it had failed"
        );
        let n: usize = permit.target[1..].parse().unwrap();
        let (_, leaving, expires) = self.known[&n];
        assert!(!leaving, "a request went to a target that is leaving");
        assert!(expires > self.now, "a request went to a target that has expired");
        self.permits.push(permit);
    }

    fn check(&self) {
        let snapshot = self.router.snapshot(self.now);
        for state in &snapshot.targets {
            let permits = self.permits.iter().filter(|p| p.target == state.id).count();
            assert_eq!(usize::from(state.in_flight), permits);
            assert!(state.in_flight <= SLOTS);
        }
        for n in 0..TARGETS {
            let id = target(n);
            assert!(self.permits.iter().filter(|p| p.target == id).count() <= SLOTS.into());
        }
        assert!(snapshot.queued <= QUEUE as usize);
        assert_eq!(snapshot.queued, self.waiting.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(0x10_7e57),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn slot_and_queue_limits_hold_and_each_ticket_is_decided_once(
        steps in prop::collection::vec(step(), 1..250),
        choice in prop_oneof![
            3 => Just(ChoicePolicy::TwoChoices),
            1 => Just(ChoicePolicy::RoundRobin),
            1 => Just(ChoicePolicy::LeastInFlight),
        ],
        admission in any::<bool>(),
        max_ejected_percent in prop_oneof![Just(30), Just(50), Just(100)],
    ) {
        let routing =
            RoutingPolicy { choice, admission, max_ejected_percent, ..RoutingPolicy::default() };
        let mut model = Model::new(routing);
        for step in steps {
            model.run(step);
            model.check();
        }
    }
}
