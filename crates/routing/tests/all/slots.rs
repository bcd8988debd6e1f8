//! Leases on shares, takeover of shares, and loans.

use crate::{
    slot_sim::{Network, STEP, Simulation},
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
/// Time from the start until all shares are in use: the time for which a started
/// voter grants nothing, plus the time until the next announcement.
const SETTLING_TIME: Duration = ms(4400);

fn settled_simulation(hosts: usize, witness: bool) -> Simulation {
    let mut sim = Simulation::new(&vec![1.0; hosts], witness, TARGETS, SLOTS, 1);
    sim.advance(SETTLING_TIME);
    sim
}

fn all_slots() -> usize {
    TARGETS * usize::from(SLOTS)
}

fn all_slots_are_in_use(roster: usize, witness: bool) {
    let sim = settled_simulation(roster + usize::from(witness), witness);
    let total: usize = (0..sim.hosts.len()).map(|h| sim.total(h)).sum();
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

/// Voters that have just started grant nothing until promises of earlier
/// incarnations have expired, so no host has a lease yet.
#[test]
fn a_host_that_just_started_has_only_its_floor() {
    let mut sim = Simulation::new(&[1.0; 3], false, TARGETS, SLOTS, 1);
    sim.advance(ms(520));
    for host in 0..3 {
        assert_eq!(sim.total(host), TARGETS);
    }
}

/// The share of a failed host must not stay unused, and must not be used before
/// that host's last request has ended.
fn a_failed_hosts_share_is_taken_over(roster: usize, witness: bool) {
    let mut sim = settled_simulation(roster + usize::from(witness), witness);
    (0..roster).for_each(|h| sim.hosts[h].demand = 0.5);
    sim.advance(ms(2000));
    sim.kill(0);
    let died = sim.time;
    let living = |sim: &Simulation| (1..roster).map(|h| sim.total(h)).sum::<usize>();
    let goal = all_slots() - TARGETS;
    while living(&sim) < goal {
        sim.advance(ms(20));
        assert!(sim.time - died < ms(5000), "only {} of {goal} slots", living(&sim));
    }
    println!("roster of {roster}: the share is back in use after {:?}", sim.time - died);
    assert!(sim.time - died > sim.config.longest_request, "requests may still be running");
}

cases! { a_failed_hosts_share_is_taken_over:
    the_share_of_one_of_three_is_taken_over(3, false);
    the_share_of_one_of_five_is_taken_over(5, false);
    the_share_of_one_of_two_is_taken_over_with_a_witness(2, true);
}

/// A host that reaches no majority of the voters loses its leases and takes over
/// no shares.
#[test]
fn a_host_without_a_majority_keeps_its_floor_only() {
    let mut sim = settled_simulation(3, false);
    sim.kill(1);
    sim.kill(2);
    sim.advance(ms(2000));
    assert_eq!(sim.total(0), TARGETS);
    sim.advance(ms(20_000));
    assert_eq!(sim.total(0), TARGETS);
}

/// A partitioned host doesn't learn of a takeover, so its leases must expire before
/// others use its slots.
#[test]
fn a_partitioned_host_falls_to_its_floor_before_others_take_over() {
    let mut sim = settled_simulation(3, false);
    let others = sim.total(1) + sim.total(2);
    sim.hosts[0].is_partitioned = true;
    while sim.total(0) > TARGETS {
        sim.advance(ms(20));
        assert_eq!(sim.total(1) + sim.total(2), others);
    }
    sim.advance(ms(5000));
    assert_eq!(sim.total(0) + sim.total(1) + sim.total(2), all_slots());
}

/// The holder's clock is slow and the voters' clocks are fast. The partition
/// begins at ten different times, far enough apart for the hosts' rounds of
/// renewal to shift relative to each other.
#[test]
fn a_takeover_waits_for_the_slowest_clock() {
    for phase in 0..10 {
        let mut sim = Simulation::new(&[0.985, 1.015, 1.015], false, TARGETS, SLOTS, 1);
        sim.announce_period = STEP;
        sim.advance(SETTLING_TIME + ms(700) * phase);
        let others = sim.total(1) + sim.total(2);
        sim.hosts[0].is_partitioned = true;
        while sim.total(0) > TARGETS {
            sim.advance(STEP);
        }
        // The lease may have ended at any time in the last step.
        let last_request = sim.time - STEP + sim.config.longest_request.div_f64(0.985);
        while sim.time < last_request {
            assert_eq!(sim.total(1) + sim.total(2), others);
            sim.advance(STEP);
        }
        sim.advance(ms(1000));
        assert_eq!(sim.total(1) + sim.total(2), all_slots() - TARGETS);
    }
}

/// A voter loses its promises when it restarts. If it voted at once, slots of a
/// holder that is still running could be granted to another host.
#[test]
fn restarted_voters_honor_the_promises_that_they_lost() {
    let mut sim = settled_simulation(3, false);
    let shares: Vec<_> = (0..TARGETS).map(|t| sim.allowance(0, t)).collect();
    sim.hosts[0].is_partitioned = true;
    let partitioned_at = sim.time;
    sim.start(1);
    sim.start(2);
    while sim.time < partitioned_at + sim.config.lease + sim.config.longest_request {
        sim.advance(STEP);
        for (target, share) in shares.iter().enumerate() {
            assert!(share + sim.allowance(1, target) + sim.allowance(2, target) <= SLOTS);
        }
    }
    sim.advance(ms(3000));
    assert_eq!(sim.total(1) + sim.total(2), all_slots() - TARGETS);
}

#[test]
fn a_restarted_host_regains_its_share() {
    let mut sim = settled_simulation(3, false);
    let share = sim.total(0);
    sim.kill(0);
    sim.advance(ms(6000));
    assert!(sim.total(1) + sim.total(2) == all_slots() - TARGETS);
    sim.start(0);
    sim.advance(ms(10_000));
    assert_eq!(sim.total(0), share);
    assert_eq!(sim.total(0) + sim.total(1) + sim.total(2), all_slots());
}

/// A host that stops with no requests in flight releases its share, so that the
/// others needn't wait until the promises expire.
#[test]
fn a_planned_stop_releases_the_share_at_once() {
    let mut sim = settled_simulation(3, false);
    let now = sim.now(0);
    let messages = sim.hosts[0].table.as_mut().unwrap().stop(now);
    assert_eq!(messages.len(), 2);
    sim.send(0, messages);
    sim.advance(ms(2000));
    assert_eq!(sim.total(1) + sim.total(2), all_slots() - TARGETS);
}

#[test]
fn idle_slots_are_lent_and_returned() {
    let mut sim = settled_simulation(3, false);
    let before: Vec<_> = (0..3).map(|h| sim.total(h)).collect();
    sim.hosts[0].demand = 1.0;
    sim.advance(ms(1000));
    assert!(sim.total(0) > before[0] * 3 / 2, "{} of {}", sim.total(0), before[0]);
    assert!(sim.total(1) >= TARGETS && sim.total(2) >= TARGETS, "floors are never lent");
    sim.hosts[0].demand = 0.0;
    sim.advance(ms(6000));
    let after: Vec<_> = (0..3).map(|h| sim.total(h)).collect();
    assert_eq!(after, before);
}

#[test]
fn a_busy_host_lends_nothing() {
    let mut sim = settled_simulation(3, false);
    (0..3).for_each(|h| sim.hosts[h].demand = 1.0);
    let before: Vec<_> = (0..3).map(|h| sim.total(h)).collect();
    for _ in 0..50 {
        sim.advance(ms(20));
        assert_eq!((0..3).map(|h| sim.total(h)).collect::<Vec<_>>(), before);
    }
}

/// A faulty lender may send a loan of any size and length. The borrower uses at
/// most the target's slots, and for at most one lease.
#[test]
fn an_oversized_loan_is_limited() {
    let mut sim = settled_simulation(3, false);
    let now = sim.now(0);
    let table = sim.hosts[0].table.as_mut().unwrap();
    let messages = table.poll(5, &(), now);
    let request = messages.iter().find_map(|e| match &e.message {
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
    Partition(usize),
    Heal(usize),
    Demand(usize, u8),
}

fn fault(hosts: usize) -> impl Strategy<Value = Fault> {
    prop_oneof![
        1 => (0..hosts).prop_map(Fault::Kill),
        2 => (0..hosts).prop_map(Fault::Start),
        1 => (0..hosts).prop_map(Fault::Partition),
        2 => (0..hosts).prop_map(Fault::Heal),
        3 => (0..hosts, 0..=10u8).prop_map(|(h, d)| Fault::Demand(h, d)),
    ]
}

/// Injects each fault and then advances the simulation by the given number of
/// milliseconds. `Simulation::fill` checks that no target has more requests than
/// slots.
fn run(sim: &mut Simulation, faults: Vec<(u64, Fault)>) {
    let hosts = sim.hosts.len();
    (0..hosts).for_each(|h| sim.hosts[h].demand = 0.5);
    sim.advance(ms(4500));
    for (after, fault) in faults {
        match fault {
            Fault::Kill(h) if h < hosts => sim.kill(h),
            // Without announced counts, a host doesn't know of requests of its
            // previous incarnation.
            Fault::Start(h) if h < hosts && (sim.counts || !sim.has_running(h)) => {
                sim.start(h);
            }
            Fault::Partition(h) if h < hosts => sim.hosts[h].is_partitioned = true,
            Fault::Heal(h) if h < hosts => sim.hosts[h].is_partitioned = false,
            Fault::Demand(h, d) if h < hosts => sim.hosts[h].demand = f64::from(d) / 10.0,
            _ => {}
        }
        sim.advance(ms(after));
    }
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((prop_oneof![3 => 0..800u64, 1 => 2500..4500u64], fault(5)), 1..25)
}

/// Clock rates, often at the two ends of the range that the drift margin allows.
fn clock_rates() -> impl Strategy<Value = Vec<f64>> {
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
        clock_rates in clock_rates(),
        slots in 2..=8u16,
        long in any::<bool>(),
        network in (0.3..=1.0f64, 0.0..0.3f64, 0.0..0.2f64),
        faults in faults(),
        seed in any::<u64>(),
    ) {
        let hosts = roster + usize::from(witness);
        let mut sim = Simulation::new(&clock_rates[..hosts], witness, 3, slots, seed);
        if long {
            sim.config = LeaseConfig { max_deadline: ms(6000), ..LeaseConfig::default() };
            (0..hosts).for_each(|h| sim.start(h));
        }
        let (deliver, lose, repeat) = network;
        sim.network = Network { deliver, lose, repeat };
        run(&mut sim, faults);
    }

    /// Leases and loans must keep targets within their slots even without announced
    /// counts.
    #[test]
    fn no_target_gets_more_requests_than_slots_without_counts(
        (roster, witness) in (2..=4usize, any::<bool>()),
        clock_rates in clock_rates(),
        repeat in prop_oneof![Just(0.0), 0.0..0.5f64],
        faults in faults(),
        seed in any::<u64>(),
    ) {
        let hosts = roster + usize::from(witness);
        let mut sim = Simulation::new(&clock_rates[..hosts], witness, 3, 8, seed);
        sim.counts = false;
        sim.network = Network { deliver: 0.9, lose: 0.0, repeat };
        run(&mut sim, faults);
    }
}
