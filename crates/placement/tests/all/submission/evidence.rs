//! Workers, runs and starts that count as ended, gone or crashed on evidence that doesn't prove it.
//! The simulated cluster checks at each tick that no task runs twice.

use super::cluster::{Cluster, Link, step, submission, worker};
use cyclamenloft_placement::submission::{
    Command, EndReason, ListedRun, Observation, Phase, Placement, RunEnd, Step, TaskId, WorkerInfo,
    WorkerReport, fleet::EndSign,
};
use std::time::Duration;

fn lasting(count: u16) -> Step {
    Step { lasting: true, ..step(count) }
}

fn other() -> WorkerInfo {
    WorkerInfo { addr: "10.0.1.1:80".parse().unwrap(), ..worker("wb", 8) }
}

/// Returns a cluster whose worker `wa` has started again while a start is held up on the way to it.
fn start_held_up(delay_ms: u64) -> Cluster {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.run(410);
    w.worker("wa").link = Link::Delayed(delay_ms);
    w.submit(submission(1, vec![lasting(1)]));
    w.run(100);
    w.start_again("wa", 10);
    w.join(other());
    w
}

fn starts_again_twice() {
    let mut w = start_held_up(1_500);
    w.run(200);
    w.start_again("wa", 10);
    w.run(200);
    w.worker("wa").link = Link::Open;
    w.run(8_000);
}

fn leader_changes() {
    let mut w = start_held_up(1_500);
    w.run(200);
    w.elect();
    w.run(1_500);
    w.worker("wa").link = Link::Open;
    w.run(8_000);
}

fn exits_and_starts_again() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.run(410);
    w.worker("wa").link = Link::Delayed(1_500);
    w.submit(submission(1, vec![lasting(1)]));
    w.run(100);
    w.drain("wa");
    w.announce_exit("wa");
    w.start_again("wa", 300);
    // A poll is answered by the next life, whose first report is under way.
    let now = w.instant();
    w.fleet.process_ended(&w.state, 1, EndSign::Replaced, now);
    w.join(other());
    w.run(2_000);
    w.worker("wa").link = Link::Open;
    w.run(8_000);
}

/// The clock of the worker's host is three seconds ahead, and its report takes 2.7 s.
fn clock_is_ahead() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.run(410);
    w.start_again("wa", 4_000);
    let next = WorkerInfo { started_ms: w.instant_ms() + 3_000, ..w.worker("wa").info.clone() };
    w.run(100);
    w.submit(submission(1, vec![lasting(1)]));
    w.run(300);
    assert_eq!(w.starts.len(), 1, "the next life has taken the start");
    w.run(2_300);
    w.worker("wa").info = next.clone();
    let now = w.instant();
    let wall_ms = w.instant_ms();
    assert_eq!(w.fleet.hold_back(&w.state, &next, now, wall_ms), 1, "starts kept back");
}

fn earlier_life_announced_its_exit() {
    let mut w = Cluster::new([worker("wa", 4)]).with_reports(None);
    w.run(410);
    w.start_again("wa", 10);
    w.run(400);
    w.announce_exit("wa");
    w.run(4_000);
    w.submit(submission(1, vec![step(1)]));
    w.run(8_000);
    assert_eq!(w.phase(1), Phase::Complete, "the only worker reports that it is ready");
}

cases! {
    "Guards against a start that the next life of a worker carries out while the task runs elsewhere.";
    a_held_up_start_is_kept_back_over_two_new_lives: starts_again_twice;
    a_held_up_start_is_kept_back_over_a_change_of_the_leader: leader_changes;
    a_held_up_start_is_kept_back_after_an_announced_exit: exits_and_starts_again;
    a_start_is_kept_back_for_a_life_whose_clock_is_ahead: clock_is_ahead;
}

cases! {
    "Guards against a worker that gets no task for the rest of its life because the announcement of an earlier life's exit arrives late.";
    a_worker_is_used_after_a_late_announcement: earlier_life_announced_its_exit;
}

const fn task(index: u16) -> TaskId {
    TaskId { submission: 1, occurrence: 0, step: 0, index }
}

fn listed(index: u16) -> ListedRun {
    ListedRun { task: task(index), attempt: 1, checkpoint: "".into(), percent: 1, metric: 0 }
}

fn done(index: u16) -> RunEnd {
    RunEnd { task: task(index), attempt: 1, reason: EndReason::Done, checkpoint: "".into() }
}

/// Polls a worker with runs of `count` tasks, once with all of them and then with `lists` of the
/// ends. Returns the tasks whose ends were found.
fn poll(count: u16, lists: &[Vec<u16>], running: &[u16]) -> Vec<(u16, EndReason)> {
    let mut w = Cluster::new([worker("wa", 32)]);
    w.submit(submission(1, vec![step(count)]));
    let place = |n| Placement { task: task(n), attempt: 1, incarnation: 1 };
    w.apply(Command::Place((0..count).map(place).collect()));
    let seen = |running: Vec<ListedRun>, ended| Observation {
        is_partial: false,
        started_ms: 1,
        clock_ms: 10,
        running,
        ended,
    };
    let mut now = w.instant() + Duration::from_millis(100);
    w.fleet.observe(&w.state, 1, &seen((0..count).map(listed).collect(), vec![]), now, now);
    let mut found = Vec::new();
    for list in lists {
        now += Duration::from_millis(500);
        let seen = seen(
            running.iter().map(|n| listed(*n)).collect(),
            list.iter().map(|n| done(*n)).collect(),
        );
        let ends = w.fleet.observe(&w.state, 1, &seen, now, now);
        found.extend(ends.iter().map(|e| (e.task.index, e.reason)));
        w.apply(Command::Ended { incarnation: 1, ends });
    }
    found
}

fn ends_come_one_by_one() {
    let lists: Vec<Vec<u16>> = (1..9).map(|n| vec![n]).collect();
    let found = poll(10, &lists, &[9]);
    assert!(found.iter().any(|(n, _)| *n == 0), "run 0 is neither listed nor ended: {found:?}");
}

cases! {
    "Guards against a run that stays in the state although its worker doesn't list it, as long as each list holds one end.";
    a_run_that_is_gone_ends_while_other_ends_come_one_by_one: ends_come_one_by_one;
}

/// Returns a cluster whose worker `wa` has a machine and runs four tasks, and which has room
/// elsewhere.
fn busy() -> Cluster {
    let mut w = Cluster::new([WorkerInfo { machine: Some("ma".into()), ..worker("wa", 4) }]);
    w.run(100);
    w.submit(submission(1, vec![lasting(4)]));
    w.run(200);
    assert_eq!(w.starts.len(), 4, "tasks that have started");
    w.join(other());
    w.run(300);
    w
}

fn names_no_machine() {
    let mut w = busy();
    let known = w.worker("wa").info.clone();
    let worker = WorkerInfo { started_ms: 700, machine: None, ..known };
    w.apply(Command::Report(WorkerReport { worker, sequence: 9 }));
    w.run(8_000);
}

fn named_no_machine_at_first() {
    let mut w = Cluster::new([worker("wa", 4)]);
    let own = WorkerInfo { machine: Some("ma".into()), ..worker("wa", 4) };
    w.apply(Command::Report(WorkerReport { worker: own, sequence: 9 }));
    let known = w.state.newest_incarnation("wa").unwrap().1.worker.machine.clone();
    assert_eq!(known.as_deref(), Some("ma"));
}

cases! {
    "Guards against reports of another writer that lack the machine.";
    a_report_without_the_machine_does_not_end_the_runs_of_a_worker: names_no_machine;
    a_report_without_the_machine_does_not_outdate_the_worker_s_own: named_no_machine_at_first;
}
