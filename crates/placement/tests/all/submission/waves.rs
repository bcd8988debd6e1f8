//! Maintenance waves.

use super::cluster::{Cluster, Machines, step, submission, worker};
use cyclamenloft_placement::submission::{
    Command, Phase, Step, TaskId, WorkerInfo,
    waves::{Maintenance, Wave},
};
use cyclamenloft_types::Resources;
use std::collections::BTreeMap;

const NAMES: [&str; 6] = ["wa", "wb", "wc", "wd", "we", "wf"];

fn on_machine(name: &str) -> WorkerInfo {
    WorkerInfo { machine: Some(format!("m-{name}").into()), ..worker(name, 4) }
}

fn wave(names: &[&str], deadline_ms: u64, cap: u16) -> Wave {
    let machines: BTreeMap<Box<str>, Maintenance> =
        names.iter().map(|n| (format!("m-{n}").into(), Maintenance::Due)).collect();
    Wave { number: 1, machines, deadline_ms, cap }
}

fn cluster() -> Cluster {
    let mut w = Cluster::new(NAMES.map(on_machine));
    w.machines = Some(Machines::default());
    w
}

fn long_step(count: u16, most: u16) -> Step {
    Step {
        lasting: true,
        demand: Resources::new(1000, 1000, 0),
        max_interrupted: Some(most),
        ..step(count)
    }
}

#[test]
fn every_machine_goes_down_once_and_within_the_cap() {
    let mut w = cluster();
    for id in 1..8 {
        w.submit(submission(id, vec![step(6)]));
    }
    w.apply(Command::Wave(wave(&NAMES, 20_000, 2)));
    w.run(20_000);
    let machines = w.machines.as_ref().unwrap();
    assert!(w.state.wave(1).unwrap().is_complete());
    assert_eq!(machines.begun.len(), NAMES.len(), "{:?}", machines.begun);
    assert!(machines.most_down <= 2);
    assert!((1..8).all(|id| w.phase(id) == Phase::Complete));
}

/// Guards against short tasks that are stopped, and so start twice, although the
/// deadline leaves time for them to end.
#[test]
fn short_tasks_end_before_their_machine_goes_down() {
    let mut w = cluster();
    w.submit(submission(1, vec![step(20)]));
    w.run(100);
    w.apply(Command::Wave(wave(&NAMES, 40_000, 1)));
    w.run(40_000);
    assert!(w.state.wave(1).unwrap().is_complete());
    assert_eq!(w.starts.len(), 20, "{:?}", w.starts);
}

/// Guards against a wave that is never carried out because its deadline has
/// passed.
#[test]
fn a_wave_past_its_deadline_is_carried_out() {
    let mut w = cluster();
    w.apply(Command::Wave(wave(&NAMES, 1, 3)));
    w.run(6_000);
    assert!(w.state.wave(1).unwrap().is_complete());
}

/// Guards against a wave that interrupts more tasks of a step at the same time
/// than its `max_interrupted` allows.
#[test]
fn long_tasks_move_within_their_interruption_limit() {
    let mut w = cluster();
    w.submit(submission(1, vec![long_step(8, 1)]));
    w.run(1_500);
    w.apply(Command::Wave(wave(&NAMES, 30_000, 2)));
    let running = |w: &Cluster| {
        let task = |index| TaskId { submission: 1, occurrence: 0, step: 0, index };
        (0..8).filter(|index| !w.running(task(*index)).is_empty()).count()
    };
    assert_eq!(running(&w), 8);
    for _ in 0..6_000 {
        w.run(5);
        assert!(running(&w) >= 7, "{} of 8 running", running(&w));
    }
    assert!(w.state.wave(1).unwrap().is_complete());
}

/// Guards against a new leader that orders the maintenance of a machine again
/// or never orders it: no machine may go down twice, and the wave must
/// complete.
#[test]
fn a_new_leader_continues_the_wave() {
    let mut w = cluster();
    w.apply(Command::Wave(wave(&NAMES, 20_000, 1)));
    for _ in 0..10 {
        w.run(1_700);
        w.elect();
    }
    w.run(10_000);
    assert!(w.state.wave(1).unwrap().is_complete());
    assert_eq!(w.machines.as_ref().unwrap().begun.len(), NAMES.len());
}

/// Guards against a second maintenance of a machine when the operator sends the
/// same wave again.
#[test]
fn a_repeated_wave_is_ignored() {
    let mut w = cluster();
    w.apply(Command::Wave(wave(&["wa"], 20_000, 1)));
    w.run(8_000);
    w.apply(Command::Wave(wave(&["wa"], 40_000, 1)));
    w.run(8_000);
    assert_eq!(w.machines.as_ref().unwrap().begun.len(), 1);
}

/// Guards against a leader that orders maintenance of more machines than the
/// cap allows: the replicated state rejects the step.
#[test]
fn the_replicated_state_enforces_the_cap() {
    let mut w = Cluster::new(NAMES.map(on_machine));
    w.apply(Command::Wave(wave(&["wa", "wb"], 20_000, 1)));
    let order = |machine: &str| {
        let step = Maintenance::Ordered { incarnation: None };
        Command::Maintenance { wave: 1, machine: machine.into(), step }
    };
    w.apply(order("m-wa"));
    w.apply(order("m-wb"));
    assert_eq!(w.state.wave(1).unwrap().under_way(), 1);
}
