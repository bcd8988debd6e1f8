//! Workers that count as gone, or as replaced, while runs on them go on. The simulated cluster
//! checks at each tick that no task runs twice.

use super::cluster::{Cluster, Link, step, submission, worker};
use cyclamenloft_placement::submission::{
    Command, Fleet, Phase, RouteTable, Service, Step, WorkerInfo, WorkerReport,
};
use std::time::Duration;

/// How long a worker goes on after an announcement of its exit that gets no acknowledgment.
const EXIT_MS: u64 = 2_500;

/// Returns a cluster of two workers in which four tasks run on `wa`, and which is configured with
/// one service.
fn busy() -> Cluster {
    let mut w = Cluster::new([WorkerInfo { machine: Some("ma".into()), ..worker("wa", 4) }]);
    w.polls_time_out = true;
    w.apply(Command::Configure(RouteTable {
        number: 1,
        services: vec![Service { name: "pool".into(), admission_control: true }],
        ..RouteTable::default()
    }));
    w.run(100);
    w.submit(submission(1, vec![Step { lasting: true, ..step(4) }]));
    w.run(150);
    assert_eq!(w.starts.len(), 4, "tasks that have started");
    w.join(WorkerInfo { addr: "10.0.1.1:80".parse().unwrap(), ..worker("wb", 4) });
    w.run(300);
    w
}

fn leaves_and_is_cut_off() {
    let mut w = busy();
    w.leave("wa", EXIT_MS);
    w.worker("wa").link = Link::Cut;
    w.run(8_000);
}

fn leaves_and_refuses_connections() {
    let mut w = busy();
    w.leave("wa", EXIT_MS);
    w.worker("wa").link = Link::Refused;
    w.run(8_000);
}

fn leaves_before_a_new_leader_polls() {
    let mut w = busy();
    w.leave("wa", EXIT_MS);
    w.elect();
    w.hold_polls(1_000);
    w.run(8_000);
}

fn is_not_polled_yet() {
    let mut w = busy();
    w.drain("wa");
    w.announce_exit("wa");
    let elected = w.instant();
    let mut fleet = Fleet::new(Duration::from_secs(3), elected);
    fleet.poll_sent(1, Duration::ZERO, elected);
    let later = elected + Duration::from_millis(1_000);
    assert!(fleet.declare_lost(&w.state, later).is_empty(), "a worker that wasn't heard yet");
}

cases! {
    "Guards against runs that count as ended while they go on, because their worker has announced its exit and is silent for a moment.";
    a_worker_that_leaves_and_is_cut_off_keeps_its_runs: leaves_and_is_cut_off;
    a_worker_that_leaves_behind_a_cut_that_refuses_connections_keeps_its_runs: leaves_and_refuses_connections;
    a_worker_that_leaves_before_a_new_leader_polls_it_keeps_its_runs: leaves_before_a_new_leader_polls;
    a_new_leader_does_not_count_a_leaving_worker_as_gone_unheard: is_not_polled_yet;
}

fn earlier_life_announced_its_exit() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.polls_time_out = true;
    w.run(100);
    w.start_again("wa", 10);
    w.run(400);
    w.submit(submission(1, vec![Step { lasting: true, ..step(4) }]));
    w.run(200);
    assert_eq!(w.starts.len(), 4, "tasks that have started");
    w.join(WorkerInfo { addr: "10.0.1.1:80".parse().unwrap(), ..worker("wb", 4) });
    w.run(300);
    w.announce_exit("wa");
    w.worker("wa").link = Link::Cut;
    w.run(1_500);
    w.worker("wa").link = Link::Open;
    w.run(8_000);
}

cases! {
    "Guards against runs that count as ended because the announcement of an earlier life's exit arrives late.";
    an_exit_announced_by_an_earlier_life_does_not_end_the_next: earlier_life_announced_its_exit;
}

/// Lets a report arrive that names a service without a configuration.
fn other_writer_reports(stated: impl FnOnce(&WorkerInfo) -> WorkerInfo) {
    let mut w = busy();
    let known = w.worker("wa").info.clone();
    let worker = WorkerInfo { service: "other".into(), ..stated(&known) };
    w.apply(Command::Report(WorkerReport { worker, sequence: 9 }));
    w.run(8_000);
}

/// Returns what a writer states that has nothing in common with the worker.
fn unrelated() -> WorkerInfo {
    WorkerInfo { started_ms: 5_000, addr: "10.0.9.9:80".parse().unwrap(), ..worker("wa", 4) }
}

fn names_the_address() {
    other_writer_reports(|known| WorkerInfo { id: "wx".into(), addr: known.addr, ..unrelated() });
}

fn names_the_machine() {
    other_writer_reports(|known| WorkerInfo {
        id: "wx".into(),
        machine: known.machine.clone(),
        ..unrelated()
    });
}

fn names_the_worker() {
    other_writer_reports(|_| unrelated());
}

cases! {
    "Guards against runs that count as ended because a report of another writer names their worker.";
    a_report_with_the_address_of_a_worker_does_not_end_its_runs: names_the_address;
    a_report_with_the_machine_of_a_worker_does_not_end_its_runs: names_the_machine;
    a_report_with_the_name_of_a_worker_does_not_end_its_runs: names_the_worker;
}

fn starts_again_before_its_report() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.worker("wa").stop_ms = 500;
    w.run(410);
    w.start_again("wa", 300);
    w.submit(submission(1, vec![step(4)]));
    w.run(150);
    w.join(WorkerInfo { addr: "10.0.1.1:80".parse().unwrap(), ..worker("wb", 4) });
    w.run(8_000);
    assert_eq!(w.phase(1), Phase::Complete);
}

fn start_is_held_up() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.worker("wa").stop_ms = 500;
    w.run(410);
    w.worker("wa").link = Link::Delayed(1_200);
    w.submit(submission(1, vec![Step { lasting: true, ..step(1) }]));
    w.run(100);
    w.worker("wa").link = Link::Open;
    w.start_again("wa", 10);
    w.join(WorkerInfo { addr: "10.0.1.1:80".parse().unwrap(), ..worker("wb", 8) });
    w.run(8_000);
}

cases! {
    "Guards against a task that is placed elsewhere although its start reaches the next life of its worker, which has the same name.";
    a_start_before_the_report_of_the_next_life_does_not_run_a_task_twice: starts_again_before_its_report;
    a_start_held_up_to_the_next_life_does_not_run_a_task_twice: start_is_held_up;
}

fn more_ends_than_a_list_holds() {
    let mut w = Cluster::new([worker("wa", 16)]);
    w.worker("wa").max_listed_ends = 4;
    w.run(100);
    w.submit(submission(1, vec![step(12)]));
    w.run(200);
    w.worker("wa").link = Link::Cut;
    w.run(1_000);
    w.worker("wa").link = Link::Open;
    w.run(3_000);
    assert_eq!(w.phase(1), Phase::Complete);
    assert_eq!(w.starts.len(), 12, "a task was started again");
}

cases! {
    "Guards against ends beyond those of one list that count as lapsed, so that tasks that are done start again.";
    ends_that_a_list_does_not_hold_do_not_count_as_lapsed: more_ends_than_a_list_holds;
}

/// Lets a report arrive that has the name and the start time of a worker, and differs in one field.
fn differs(change: impl FnOnce(&mut WorkerInfo)) {
    let mut w = busy();
    let known = w.worker("wa").info.clone();
    let mut worker = known.clone();
    change(&mut worker);
    assert!(w.state.find_foreign(&worker).is_some());
    assert_eq!(w.state.find_foreign(&known), None);
    w.apply(Command::Report(WorkerReport { worker, sequence: 9 }));
    assert_eq!(w.state.newest_incarnation("wa").unwrap().1.worker, known);
}

fn other_service() {
    differs(|worker| worker.service = "other".into());
}

fn other_address() {
    differs(|worker| worker.addr = "10.0.9.9:80".parse().unwrap());
}

fn other_domain() {
    differs(|worker| worker.domain = "d9".into());
}

fn other_machine() {
    differs(|worker| worker.machine = None);
}

cases! {
    "Guards against reports of another writer that change what is known of a worker.";
    a_report_with_another_service_changes_nothing: other_service;
    a_report_with_another_address_changes_nothing: other_address;
    a_report_from_another_domain_changes_nothing: other_domain;
    a_report_from_another_machine_changes_nothing: other_machine;
}
