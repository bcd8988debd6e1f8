//! Leases on shares, takeover and loans.

use crate::{
    slot_sim::{Network, STEP, World},
    support::{cases, ms},
};
use cyclamenloft_routing::{
    LeaseConfig, SlotMessage,
    slots::{LentSlots, Loan},
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::time::Duration;

const TARGETS: usize = 12;
const SLOTS: u16 = 8;
/// Time from start until all shares are in use: a voter's silence and an announcement.
const SETTLING: Duration = ms(4400);

fn settled(hosts: usize, witness: bool) -> World {
    let mut world = World::new(&vec![1.0; hosts], witness, TARGETS, SLOTS, 1);
    world.pass(SETTLING);
    world
}

fn all_slots() -> usize {
    TARGETS * usize::from(SLOTS)
}

fn all_slots_are_in_use(roster: usize, witness: bool) {
    let world = settled(roster + usize::from(witness), witness);
    let total: usize = (0..world.hosts.len()).map(|h| world.total(h)).sum();
    assert_eq!(total, all_slots());
}

cases! { all_slots_are_in_use:
    one_host_has_all_slots(1, false);
    two_hosts_have_all_slots(2, false);
    two_hosts_and_a_witness_have_all_slots(2, true);
    three_hosts_have_all_slots(3, false);
    four_hosts_and_a_witness_have_all_slots(4, true);
    nine_hosts_have_all_slots(9, false);
}

#[test]
fn a_host_that_just_started_has_its_floor() {
    let mut world = World::new(&[1.0; 3], false, TARGETS, SLOTS, 1);
    world.pass(ms(520));
    for host in 0..3 {
        assert_eq!(world.total(host), TARGETS);
    }
}

fn a_dead_hosts_share_is_taken_over(roster: usize, witness: bool) {
    let mut world = settled(roster + usize::from(witness), witness);
    (0..roster).for_each(|h| world.hosts[h].demand = 0.5);
    world.pass(ms(2000));
    world.kill(0);
    let died = world.time;
    let living = |world: &World| (1..roster).map(|h| world.total(h)).sum::<usize>();
    let goal = all_slots() - TARGETS;
    while living(&world) < goal {
        world.pass(ms(20));
        assert!(world.time - died < ms(5000), "only {} of {goal} slots", living(&world));
    }
    println!("roster of {roster}: the share is back in use after {:?}", world.time - died);
    assert!(world.time - died > world.config.longest_request, "requests may still be running");
}

cases! { a_dead_hosts_share_is_taken_over:
    the_share_of_one_of_three_is_taken_over(3, false);
    the_share_of_one_of_five_is_taken_over(5, false);
    the_share_of_one_of_two_is_taken_over_by_help_of_a_witness(2, true);
}

#[test]
fn a_host_without_a_majority_keeps_its_floor_only() {
    let mut world = settled(3, false);
    world.kill(1);
    world.kill(2);
    world.pass(ms(2000));
    assert_eq!(world.total(0), TARGETS);
    world.pass(ms(20_000));
    assert_eq!(world.total(0), TARGETS);
}

#[test]
fn a_host_that_is_cut_off_falls_to_its_floor_before_others_take_over() {
    let mut world = settled(3, false);
    let others = world.total(1) + world.total(2);
    world.hosts[0].cut_off = true;
    while world.total(0) > TARGETS {
        world.pass(ms(20));
        assert_eq!(world.total(1) + world.total(2), others);
    }
    world.pass(ms(5000));
    assert_eq!(world.total(0) + world.total(1) + world.total(2), all_slots());
}

/// The holder's clock is slow and those of the voters are fast. Each phase is
/// long enough for their rounds of renewal to shift against each other.
#[test]
fn a_takeover_waits_for_the_slowest_clock() {
    for phase in 0..10 {
        let mut world = World::new(&[0.985, 1.015, 1.015], false, TARGETS, SLOTS, 1);
        world.announce_period = STEP;
        world.pass(SETTLING + ms(700) * phase);
        let others = world.total(1) + world.total(2);
        world.hosts[0].cut_off = true;
        while world.total(0) > TARGETS {
            world.pass(STEP);
        }
        // The lease may have ended anywhere in the last step.
        let last_request = world.time - STEP + world.config.longest_request.div_f64(0.985);
        while world.time < last_request {
            assert_eq!(world.total(1) + world.total(2), others);
            world.pass(STEP);
        }
        world.pass(ms(1000));
        assert_eq!(world.total(1) + world.total(2), all_slots() - TARGETS);
    }
}

#[test]
fn voters_that_restart_keep_the_promises_that_they_forgot() {
    let mut world = settled(3, false);
    let shares: Vec<_> = (0..TARGETS).map(|t| world.allowance(0, t)).collect();
    world.hosts[0].cut_off = true;
    let cut = world.time;
    world.start(1);
    world.start(2);
    while world.time < cut + world.config.lease + world.config.longest_request {
        world.pass(STEP);
        for (target, share) in shares.iter().enumerate() {
            assert!(share + world.allowance(1, target) + world.allowance(2, target) <= SLOTS);
        }
    }
    world.pass(ms(3000));
    assert_eq!(world.total(1) + world.total(2), all_slots() - TARGETS);
}

#[test]
fn a_host_that_comes_back_gets_its_share_back() {
    let mut world = settled(3, false);
    let share = world.total(0);
    world.kill(0);
    world.pass(ms(6000));
    assert!(world.total(1) + world.total(2) == all_slots() - TARGETS);
    world.start(0);
    world.pass(ms(10_000));
    assert_eq!(world.total(0), share);
    assert_eq!(world.total(0) + world.total(1) + world.total(2), all_slots());
}

#[test]
fn a_planned_stop_hands_the_share_back_at_once() {
    let mut world = settled(3, false);
    let now = world.now(0);
    let messages = world.hosts[0].table.as_mut().unwrap().stop(now);
    assert_eq!(messages.len(), 2);
    world.post(0, messages);
    world.pass(ms(2000));
    assert_eq!(world.total(1) + world.total(2), all_slots() - TARGETS);
}

#[test]
fn idle_slots_are_lent_and_come_back() {
    let mut world = settled(3, false);
    let before: Vec<_> = (0..3).map(|h| world.total(h)).collect();
    world.hosts[0].demand = 1.0;
    world.pass(ms(1000));
    assert!(world.total(0) > before[0] * 3 / 2, "{} of {}", world.total(0), before[0]);
    assert!(world.total(1) >= TARGETS && world.total(2) >= TARGETS, "floors are never lent");
    world.hosts[0].demand = 0.0;
    world.pass(ms(6000));
    let after: Vec<_> = (0..3).map(|h| world.total(h)).collect();
    assert_eq!(after, before);
}

#[test]
fn a_busy_host_lends_nothing() {
    let mut world = settled(3, false);
    (0..3).for_each(|h| world.hosts[h].demand = 1.0);
    let before: Vec<_> = (0..3).map(|h| world.total(h)).collect();
    for _ in 0..50 {
        world.pass(ms(20));
        assert_eq!((0..3).map(|h| world.total(h)).collect::<Vec<_>>(), before);
    }
}

#[test]
fn a_loan_out_of_all_bounds_does_no_harm() {
    let mut world = settled(3, false);
    let now = world.now(0);
    let table = world.hosts[0].table.as_mut().unwrap();
    let asked = table.poll(5, &(), now);
    let request = asked.iter().find_map(|e| match &e.message {
        SlotMessage::LoanRequest(r) => Some((e.to.clone(), r.clone())),
        _ => None,
    });
    let (lender, request) = request.unwrap();
    let slots = vec![LentSlots { target: "t0".into(), slots: u16::MAX }; 2];
    let loan = SlotMessage::Loan(Loan {
        lender,
        incarnation: 1,
        borrower: request.borrower,
        borrower_incarnation: request.incarnation,
        request: request.number,
        number: 1,
        length_ms: u64::MAX,
        slots,
    });
    assert!(table.handle(loan, &(), now).is_empty());
    assert_eq!(table.allowance("t0", now).total, SLOTS);
    assert!(table.allowance("t0", now + LeaseConfig::default().lease).total < SLOTS);
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    CutOff(usize),
    Join(usize),
    Demand(usize, u8),
}

fn fault(hosts: usize) -> impl Strategy<Value = Fault> {
    prop_oneof![
        1 => (0..hosts).prop_map(Fault::Kill),
        2 => (0..hosts).prop_map(Fault::Start),
        1 => (0..hosts).prop_map(Fault::CutOff),
        2 => (0..hosts).prop_map(Fault::Join),
        3 => (0..hosts, 0..=10u8).prop_map(|(h, d)| Fault::Demand(h, d)),
    ]
}

/// Runs faults, each after some milliseconds. `World::fill` holds the requests
/// at each target against its slots.
fn run(world: &mut World, faults: Vec<(u64, Fault)>) {
    let hosts = world.hosts.len();
    (0..hosts).for_each(|h| world.hosts[h].demand = 0.5);
    world.pass(ms(4500));
    for (after, fault) in faults {
        match fault {
            Fault::Kill(h) if h < hosts => world.kill(h),
            // Without counts nothing tells a host of its former life's requests.
            Fault::Start(h) if h < hosts && (world.counts || !world.has_running(h)) => {
                world.start(h);
            }
            Fault::CutOff(h) if h < hosts => world.hosts[h].cut_off = true,
            Fault::Join(h) if h < hosts => world.hosts[h].cut_off = false,
            Fault::Demand(h, d) if h < hosts => world.hosts[h].demand = f64::from(d) / 10.0,
            _ => {}
        }
        world.pass(ms(after));
    }
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((prop_oneof![3 => 0..800u64, 1 => 2500..4500u64], fault(5)), 1..25)
}

/// Speeds of the clocks, often at both ends of what the margin allows.
fn rates() -> impl Strategy<Value = Vec<f64>> {
    prop::collection::vec(prop_oneof![Just(0.985), Just(1.015), 0.985..1.015f64], 5)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        max_shrink_iters: 50,
        rng_seed: RngSeed::Fixed(0x51_07),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_target_gets_more_requests_than_slots(
        (roster, witness) in (1..=4usize, any::<bool>()),
        rates in rates(),
        slots in 2..=8u16,
        long in any::<bool>(),
        network in (0.3..=1.0f64, 0.0..0.3f64, 0.0..0.2f64),
        faults in faults(),
        seed in any::<u64>(),
    ) {
        let hosts = roster + usize::from(witness);
        let mut world = World::new(&rates[..hosts], witness, 3, slots, seed);
        if long {
            world.config = LeaseConfig { max_deadline: ms(6000), ..LeaseConfig::default() };
            (0..hosts).for_each(|h| world.start(h));
        }
        let (deliver, lose, repeat) = network;
        world.network = Network { deliver, lose, repeat };
        run(&mut world, faults);
    }

    /// Leases and loans hold without the help of announced counts.
    #[test]
    fn no_target_gets_more_requests_than_slots_without_counts(
        (roster, witness) in (2..=4usize, any::<bool>()),
        rates in rates(),
        repeat in prop_oneof![Just(0.0), 0.0..0.5f64],
        faults in faults(),
        seed in any::<u64>(),
    ) {
        let hosts = roster + usize::from(witness);
        let mut world = World::new(&rates[..hosts], witness, 3, 8, seed);
        world.counts = false;
        world.network = Network { deliver: 0.9, lose: 0.0, repeat };
        run(&mut world, faults);
    }
}
