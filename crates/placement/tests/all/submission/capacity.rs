//! Workers whose capacity shrinks and grows while they run and that start whatever they are told.
//! The simulated cluster checks at each start that it doesn't exceed the capacity.

use super::cluster::{Cluster, Link, step, submission, worker};
use cyclamenloft_placement::submission::{Command, EndReason, Phase, RunEnd, Step, TaskId};
use cyclamenloft_types::Resources;
use proptest::{prelude::*, test_runner::RngSeed};

fn cluster_of(n: usize) -> Cluster {
    let names = ["wa", "wb", "wc"];
    Cluster::new(names[..n].iter().map(|name| worker(name, 8)))
}

fn lasting(count: u16) -> Step {
    Step { lasting: true, ..step(count) }
}

/// Returns the number of runs on a worker that the group knows.
fn runs_on(w: &Cluster, name: &str) -> usize {
    w.state.newest_incarnation(name).unwrap().1.runs.len()
}

/// Returns a cluster in which eight runs are placed on a worker whose link is cut before they can
/// be started, and whose capacity then shrinks to two.
fn shrunk_behind_a_cut() -> Cluster {
    let mut w = cluster_of(2);
    w.run(420);
    w.worker("wa").link = Link::Cut;
    w.submit(submission(1, vec![step(16)]));
    w.run(100);
    assert_eq!(runs_on(&w, "wa"), 8, "runs that are placed");
    w.resize("wa", 2);
    w
}

fn runs_that_are_placed_but_not_started() {
    let mut w = shrunk_behind_a_cut();
    w.run(1_400);
    w.worker("wa").link = Link::Open;
    w.run(6_000);
    assert_eq!(w.phase(1), Phase::Complete);
}

fn orders_that_are_sent_again_by_the_next_leader() {
    let mut w = shrunk_behind_a_cut();
    w.run(900);
    w.restart();
    w.run(100);
    w.worker("wa").link = Link::Open;
    w.run(8_000);
    assert_eq!(w.phase(1), Phase::Complete);
}

/// What runs is not stopped, and the room that grows back is used.
fn a_worker_that_is_over_its_capacity() {
    let mut w = cluster_of(1);
    w.submit(submission(1, vec![lasting(6)]));
    w.run(500);
    w.resize("wa", 4);
    w.run(1_500);
    w.submit(submission(2, vec![step(4)]));
    w.run(1_000);
    assert_eq!(runs_on(&w, "wa"), 6, "runs after the capacity has shrunk");
    assert_eq!(w.phase(2), Phase::Open);
    w.resize("wa", 8);
    w.run(2_500);
    assert_eq!(w.phase(2), Phase::Complete);
    assert_eq!(runs_on(&w, "wa"), 6, "runs after the capacity has grown");
}

fn runs_that_are_being_stopped() {
    let mut w = cluster_of(1);
    w.worker("wa").stop_ms = 700;
    w.submit(submission(1, vec![lasting(8)]));
    w.run(500);
    w.resize("wa", 6);
    w.run(1_500);
    w.apply(Command::Cancel(vec![1]));
    w.submit(submission(2, vec![step(6)]));
    w.run(3_000);
    assert_eq!(w.phase(2), Phase::Complete);
}

/// A worker may run something that the group has given up, until it has been stopped.
fn runs_that_the_group_does_not_know() {
    let mut w = cluster_of(1);
    w.worker("wa").stop_ms = 700;
    w.submit(submission(1, vec![lasting(5)]));
    w.run(500);
    let task = |index| TaskId { submission: 1, occurrence: 0, step: 0, index };
    let never_ran = EndReason::NeverRan;
    let end = |task| RunEnd { task, attempt: 1, reason: never_ran, checkpoint: "".into() };
    let ends = (0..5).map(task).map(end).collect();
    w.apply(Command::Ended { incarnation: 1, ends });
    w.apply(Command::Cancel(vec![1]));
    w.resize("wa", 8);
    // The leader polls the worker.
    w.run(150);
    w.submit(submission(2, vec![step(8)]));
    w.run(4_000);
    assert_eq!(w.phase(2), Phase::Complete);
}

cases! {
    "Guards against starts that exceed the capacity of a worker that doesn't refuse them.";
    placed_runs_do_not_start_once_the_capacity_has_shrunk: runs_that_are_placed_but_not_started;
    the_next_leader_does_not_start_them_either: orders_that_are_sent_again_by_the_next_leader;
    a_shrunk_worker_keeps_its_runs_and_starts_no_others: a_worker_that_is_over_its_capacity;
    runs_that_are_being_stopped_count: runs_that_are_being_stopped;
    runs_that_the_group_does_not_know_count: runs_that_the_group_does_not_know;
    any_mix_of_changes_and_faults_keeps_the_capacity: any_mix;
}

#[derive(Clone, Debug)]
enum Change {
    Resize(usize, u32),
    Cut(usize),
    Reconnect(usize),
    Elect,
    Restart,
    Cancel(u64),
    Submit(u16),
}

fn change() -> impl Strategy<Value = Change> {
    let w = 0..3usize;
    prop_oneof![
        (w.clone(), 0..9u32).prop_map(|(w, cores)| Change::Resize(w, cores)),
        w.clone().prop_map(Change::Cut),
        w.prop_map(Change::Reconnect),
        Just(Change::Elect),
        Just(Change::Restart),
        (1..5u64).prop_map(Change::Cancel),
        (1..9u16).prop_map(Change::Submit),
    ]
}

fn any_mix() {
    let cfg = ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(0x11417),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let series = proptest::collection::vec((change(), 10..700u64), 5..40);
    proptest!(cfg, |(changes in series)| {
        let name = |n: usize| ["wa", "wb", "wc"][n];
        let mut w = cluster_of(3);
        w.submit(submission(1, vec![lasting(6)]));
        let mut id = 1;
        for (change, millis) in changes {
            match change {
                Change::Resize(n, cores) => w.resize(name(n), cores),
                Change::Cut(n) => w.worker(name(n)).link = Link::Cut,
                Change::Reconnect(n) => w.worker(name(n)).link = Link::Open,
                Change::Elect => w.elect(),
                Change::Restart => w.restart(),
                Change::Cancel(id) => drop(w.apply(Command::Cancel(vec![id]))),
                Change::Submit(tasks) => {
                    id += 1;
                    w.submit(submission(id, vec![step(tasks)]));
                }
            }
            w.run(millis);
        }
        for n in 0..3 {
            w.worker(name(n)).link = Link::Open;
            w.resize(name(n), 8);
        }
        w.run(20_000);
        for id in 2..=id {
            prop_assert_ne!(w.phase(id), Phase::Open, "submission {} is stuck", id);
        }
        let capacity = Resources::new(8_000, 64_000, 0);
        prop_assert!(w.state.incarnations().all(|(_, i)| i.worker.capacity == capacity));
    });
}
