//! Random series of cuts, exits, new lives under an old name and changes of the leader. Workers
//! report periodically, so one that counts as lost is registered again in the same life, and the
//! clocks of two of them are slow. The simulated cluster checks its invariants at each tick.

use super::cluster::{Cluster, Link, NextLife, step, submission, worker};
use cyclamenloft_placement::submission::{Phase, Step, TaskId, WorkerInfo};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use std::time::Duration;

const NAMES: [&str; 4] = ["wa", "wb", "wc", "wd"];
/// Rate of the slowest clock that a worker may have, in percent.
const SLOWEST_CLOCK: u64 = 98;
/// Longest lease that workers accept in the series of calls that outlive them, twice as long as what
/// the leader grants.
const LONGEST_ACCEPTED: Duration = Duration::from_secs(6);

/// Longest time between two lives of a worker.
const LONGEST_DOWN_MS: u64 = 9_000;
/// Time within which all tasks end once the links are healed: that of the last call, of a lease and of
/// the tasks.
const SETTLED_MS: u64 = 30_000;

/// A fault, or the repair of one.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Cut(usize),
    Delayed(usize, u64),
    Reconnect(usize),
    Elect,
    HoldPolls(u64),
    Fail(usize, bool),
    SlowStop(usize, u64),
    Cancel(u64),
    Leave(usize, u64),
    LateExit(usize),
    StartAgain(usize, u64),
    LateCalls(usize, u32, u64),
    CrashFor(usize, NextLife),
    Restart,
}

fn link_fault() -> BoxedStrategy<Fault> {
    let w = 0..NAMES.len();
    prop_oneof![
        2 => w.clone().prop_map(Fault::Cut),
        2 => (w.clone(), 100..5_000u64).prop_map(|(w, ms)| Fault::Delayed(w, ms)),
        4 => w.clone().prop_map(Fault::Reconnect),
        2 => Just(Fault::Elect),
        1 => (100..1_500u64).prop_map(Fault::HoldPolls),
        1 => (w.clone(), any::<bool>()).prop_map(|(w, on)| Fault::Fail(w, on)),
        1 => (w, 0..900u64).prop_map(|(w, ms)| Fault::SlowStop(w, ms)),
        1 => (1..5u64).prop_map(Fault::Cancel),
    ]
    .boxed()
}

fn leaving() -> BoxedStrategy<Fault> {
    let w = 0..NAMES.len();
    prop_oneof![
        3 => link_fault(),
        1 => (w.clone(), 50..4_000u64).prop_map(|(w, ms)| Fault::Leave(w, ms)),
        1 => w.prop_map(Fault::LateExit),
    ]
    .boxed()
}

fn starting_again() -> BoxedStrategy<Fault> {
    let again = (0..NAMES.len(), 5..600u64).prop_map(|(w, ms)| Fault::StartAgain(w, ms));
    prop_oneof![3 => link_fault(), 1 => again].boxed()
}

fn outliving_calls() -> BoxedStrategy<Fault> {
    let w = 0..NAMES.len();
    let delay = || 100..12_000u64;
    let link = prop_oneof![
        3 => Just(Link::Open),
        3 => Just(Link::Cut),
        1 => Just(Link::Refused),
        2 => delay().prop_map(Link::Delayed),
    ];
    let next = (0..LONGEST_DOWN_MS, 5..4_000u64, link);
    let next = next.prop_map(|(down_ms, report_ms, link)| NextLife { down_ms, report_ms, link });
    prop_oneof![
        6 => link_fault(),
        2 => (w.clone(), delay()).prop_map(|(w, ms)| Fault::Delayed(w, ms)),
        3 => (w.clone(), 1..12u32, delay()).prop_map(|(w, n, ms)| Fault::LateCalls(w, n, ms)),
        4 => (w, next).prop_map(|(w, next)| Fault::CrashFor(w, next)),
        1 => Just(Fault::Restart),
    ]
    .boxed()
}

fn inject(w: &mut Cluster, fault: Fault) {
    let name = |n: usize| NAMES[n];
    match fault {
        Fault::Cut(n) => w.worker(name(n)).link = Link::Cut,
        Fault::Delayed(n, ms) => w.worker(name(n)).link = Link::Delayed(ms),
        Fault::Reconnect(n) => w.worker(name(n)).link = Link::Open,
        Fault::Elect => w.elect(),
        Fault::HoldPolls(ms) => w.hold_polls(ms),
        Fault::Fail(n, on) => w.worker(name(n)).fails = on,
        Fault::SlowStop(n, ms) => w.worker(name(n)).stop_ms = ms,
        Fault::Cancel(id) => w.cancel(id),
        Fault::Leave(n, ms) => w.leave(name(n), ms),
        Fault::LateExit(n) => w.announce_exit(name(n)),
        Fault::StartAgain(n, ms) => w.start_again(name(n), ms),
        Fault::LateCalls(n, count, ms) => w.worker(name(n)).late_calls = (count, ms),
        Fault::CrashFor(n, next) => w.crash_for(name(n), next),
        Fault::Restart => w.restart(),
    }
}

/// Plays a series, restarts all workers at its end, and returns the submissions that are stuck.
fn play(faults: &[(Fault, u64)]) -> Vec<u64> {
    let mut w = Cluster::new(NAMES.map(|name| worker(name, 4))).with_reports(None);
    w.polls_time_out = true;
    w.unnoted_ends_are_void = true;
    for name in &NAMES[..2] {
        w.worker(name).clock_rate = SLOWEST_CLOCK;
    }
    w.run(50);
    for id in 1..4 {
        let (first, second) = (step(5), Step { depends_on: vec![0], ..step(3) });
        w.submit(submission(id, vec![first, second]));
    }
    w.submit(submission(4, vec![Step { lasting: true, ..step(3) }]));
    for (fault, millis) in faults {
        inject(&mut w, *fault);
        w.run(*millis);
    }
    w.run(12_000);
    for name in NAMES {
        w.join(WorkerInfo { started_ms: 1_000_000, ..worker(name, 4) });
    }
    w.run(20_000);
    (1..4).filter(|id| w.phase(*id) == Phase::Open).collect()
}

/// Plays a series in which calls are carried out by other lives than they are meant for, heals all
/// links at its end, and returns the submissions that are stuck.
fn play_calls(faults: &[(Fault, u64)]) -> Vec<u64> {
    let mut w = Cluster::new(NAMES.map(|name| worker(name, 4))).with_reports(None);
    w.polls_time_out = true;
    w.unnoted_ends_are_void = true;
    w.calls_cross_lives = true;
    w.longest_accepted = LONGEST_ACCEPTED;
    w.fleet.set_longest_accepted(LONGEST_ACCEPTED);
    for name in NAMES {
        w.worker(name).longest_accepted = LONGEST_ACCEPTED;
    }
    for name in &NAMES[..2] {
        w.worker(name).clock_rate = SLOWEST_CLOCK;
    }
    w.run(50);
    for id in 1..4 {
        let (first, second) = (step(5), Step { depends_on: vec![0], ..step(3) });
        w.submit(submission(id, vec![first, second]));
    }
    w.submit(submission(4, vec![Step { lasting: true, ..step(3) }]));
    for (fault, millis) in faults {
        inject(&mut w, *fault);
        w.run(*millis);
    }
    w.run(LONGEST_DOWN_MS);
    for name in NAMES {
        let worker = w.worker(name);
        (worker.link, worker.late_calls, worker.fails) = (Link::Open, (0, 0), false);
    }
    w.run(SETTLED_MS);
    let runs = |index| {
        let task = TaskId { submission: 4, occurrence: 0, step: 0, index };
        w.running(task).len() == 1
    };
    let is_stuck = |id: &u64| w.phase(*id) == Phase::Open && (*id < 4 || !(0..3).all(runs));
    (1..5).filter(is_stuck).collect()
}

fn series(fault: BoxedStrategy<Fault>) {
    run_series(fault, 1_500, 0x11fe, play);
}

fn run_series(
    fault: BoxedStrategy<Fault>,
    longest_ms: u64,
    seed: u64,
    play: fn(&[(Fault, u64)]) -> Vec<u64>,
) {
    let config = Config {
        cases: 100,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let faults = proptest::collection::vec((fault, 10..longest_ms), 1..25);
    let outcome = TestRunner::new(config).run(&faults, |faults| {
        prop_assert_eq!(play(&faults), Vec::<u64>::new(), "stuck submissions");
        Ok(())
    });
    outcome.unwrap();
}

fn links() {
    series(link_fault());
}

fn exits() {
    series(leaving());
}

fn next_lives() {
    series(starting_again());
}

fn calls() {
    run_series(outliving_calls(), 3_000, 0xca11, play_calls);
}

cases! {
    "Guards against mixes of faults in which a task runs twice or a submission is stuck.";
    any_mix_of_cuts_and_leaders_is_safe: links;
    any_mix_of_cuts_and_exits_is_safe: exits;
    any_mix_of_cuts_and_new_lives_is_safe: next_lives;
    any_mix_of_cuts_and_calls_that_outlive_workers_is_safe: calls;
}

fn exit_behind_a_slow_link() {
    use Fault::{Cut, Delayed, Leave};
    let faults =
        [(Delayed(3, 931), 10), (Delayed(0, 100), 11), (Leave(3, 1_271), 10), (Cut(0), 10)];
    assert!(play(&faults).is_empty());
}

fn new_life_behind_a_slow_link() {
    use Fault::{Delayed, StartAgain};
    assert!(play(&[(Delayed(1, 1_186), 10), (StartAgain(1, 16), 10)]).is_empty());
}

fn late_report_of_a_former_life() {
    use Fault::{Cut, Delayed, HoldPolls, Reconnect, StartAgain};
    let faults = [
        (StartAgain(2, 16), 10),
        (Reconnect(0), 10),
        (Delayed(2, 100), 10),
        (Cut(1), 661),
        (HoldPolls(100), 341),
        (StartAgain(1, 21), 10),
        (Delayed(3, 1_896), 10),
        (HoldPolls(100), 391),
        (StartAgain(3, 5), 10),
    ];
    assert!(play(&faults).is_empty());
}

cases! {
    "Guards against the mixes of faults in which a task ran twice in the random series.";
    an_exit_behind_a_slow_link_is_safe: exit_behind_a_slow_link;
    a_new_life_behind_a_slow_link_is_safe: new_life_behind_a_slow_link;
    a_late_report_of_a_former_life_is_safe: late_report_of_a_former_life;
}
