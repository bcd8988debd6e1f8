//! Tasks that crash each worker on which they start, and workers that crash by themselves.

use super::cluster::{Cluster, Link, step, submission, worker};
use cyclamenloft_placement::submission::{
    Command, Phase, Placement, Silence, SilentRun, Step, SubmissionId, TaskId, WorkerInfo, planner,
};
use std::{collections::BTreeSet, time::Duration};

/// Starts of a task that the users allow, if it crashes each worker: fewer than three after the
/// third crash.
const MAX_STARTS: usize = 5;
/// Time from the start of a fatal task to the crash of its worker.
const FUSE_MS: u64 = 10;
const NAMES: [&str; 8] = ["wa", "wb", "wc", "wd", "we", "wf", "wg", "wh"];

fn cluster() -> Cluster {
    Cluster::new(NAMES.map(|name| worker(name, 8)))
}

fn task(submission: SubmissionId, index: u16) -> TaskId {
    TaskId { submission, occurrence: 0, step: 0, index }
}

/// A long-running step.
fn lasting(count: u16) -> Step {
    Step { lasting: true, ..step(count) }
}

/// Submits a submission of four tasks each 100 ms, with ids from `first` on.
fn stream(w: &mut Cluster, first: SubmissionId, millis: u64) {
    for n in 0..millis / 100 {
        w.submit(submission(first + n, vec![step(4)]));
        w.run(100);
    }
}

/// Checks that the task has crashed two workers, which is the least that the users ask for before
/// its submission may fail.
fn check_two_crashes(w: &Cluster, task: TaskId) {
    let crashes: Vec<_> = w.crashes.iter().filter(|c| c.0 == task).collect();
    assert_eq!(crashes.len(), 2, "{crashes:?}");
}

/// Checks that each fatal task has been started at most [`MAX_STARTS`] times, that its submission
/// has failed, and that no other submission has.
fn check(w: &Cluster) {
    let fatal: BTreeSet<SubmissionId> = w.fatal.keys().map(|task| task.submission).collect();
    for task in w.fatal.keys() {
        let starts: Vec<_> = w.starts.iter().filter(|(started, ..)| started == task).collect();
        assert!(starts.len() <= MAX_STARTS, "{task}: started {} times: {starts:?}", starts.len());
    }
    for (id, record) in w.state.records() {
        let failed = record.phase == Phase::Failed;
        assert_eq!(failed, fatal.contains(id), "submission {id:x} is {:?}", record.phase);
    }
}

fn one_among_many() {
    let mut w = cluster();
    w.fatal.insert(task(1, 0), FUSE_MS);
    w.submit(submission(1, vec![step(4)]));
    stream(&mut w, 100, 8_000);
    w.run(8_000);
    check(&w);
}

fn two_on_one_worker() {
    let mut w = cluster();
    w.fatal = [(task(1, 0), FUSE_MS), (task(2, 0), FUSE_MS)].into();
    w.submit(submission(1, vec![step(1)]));
    w.submit(submission(2, vec![step(1)]));
    stream(&mut w, 100, 8_000);
    w.run(8_000);
    check(&w);
}

fn one_in_a_gang() {
    let mut w = cluster();
    w.fatal.insert(task(1, 1), FUSE_MS);
    w.submit(submission(1, vec![Step { gang: true, ..step(3) }]));
    stream(&mut w, 100, 12_000);
    w.run(8_000);
    check(&w);
}

fn one_that_lasts() {
    let mut w = cluster();
    w.fatal.insert(task(1, 0), FUSE_MS);
    w.submit(submission(1, vec![lasting(2)]));
    w.submit(submission(2, vec![lasting(8)]));
    stream(&mut w, 100, 8_000);
    w.run(8_000);
    check(&w);
}

fn one_with_copies() {
    let mut w = cluster();
    w.fatal.insert(task(1, 0), FUSE_MS);
    for n in 0..400 {
        if n == 40 {
            w.submit(submission(1, vec![Step { copies: true, ..step(4) }]));
        }
        w.submit(submission(100 + n, vec![step(2)]));
        w.run(25);
    }
    w.run(8_000);
    check(&w);
    check_two_crashes(&w, task(1, 0));
}

fn every_task_of_a_submission() {
    let mut w = cluster();
    w.fatal = (0..6).map(|index| (task(1, index), FUSE_MS)).collect();
    w.submit(submission(1, vec![step(6)]));
    stream(&mut w, 100, 8_000);
    w.run(12_000);
    check(&w);
}

/// The worker runs for seconds before it crashes, so that the start doesn't stand out.
fn one_with_a_long_fuse() {
    let mut w = cluster();
    w.fatal.insert(task(1, 0), 2_500);
    w.submit(submission(1, vec![lasting(2)]));
    stream(&mut w, 100, 30_000);
    w.run(10_000);
    check(&w);
}

fn leaders_change_between_the_crashes() {
    let mut w = cluster();
    w.fatal.insert(task(1, 0), FUSE_MS);
    w.submit(submission(1, vec![step(4)]));
    for n in 0..16 {
        stream(&mut w, 100 + 10 * n, 1_000);
        w.elect();
    }
    w.run(8_000);
    check(&w);
}

fn replicas_restart_between_the_crashes() {
    let mut w = cluster();
    w.fatal.insert(task(1, 0), FUSE_MS);
    w.submit(submission(1, vec![step(4)]));
    for n in 0..6 {
        stream(&mut w, 100 + 30 * n, 3_000);
        w.restart();
    }
    w.run(8_000);
    check(&w);
}

/// Each worker that starts the task is cut off at the same moment, so that the leader doesn't see
/// when its connections close.
fn crashes_behind_a_cut() {
    let mut w = cluster();
    w.fatal.insert(task(1, 0), FUSE_MS);
    w.submit(submission(1, vec![step(1)]));
    let mut seen = 0;
    for n in 0..4_000 {
        if n % 20 == 0 {
            w.submit(submission(100 + n / 20, vec![step(4)]));
        }
        w.run(5);
        let starts: Vec<Box<str>> =
            w.starts.iter().filter(|s| s.0 == task(1, 0)).map(|s| s.1.clone()).collect();
        if starts.len() > seen {
            seen = starts.len();
            w.worker(&starts[seen - 1]).link = Link::Cut;
        }
        for (_, name, at) in w.crashes.clone() {
            if w.instant_ms() == at + 1_500 {
                w.worker(&name).link = Link::Open;
            }
        }
    }
    w.run(8_000);
    check(&w);
}

/// Workers crash one after the other, whatever runs on them.
fn workers_that_crash_by_themselves() {
    let mut w = cluster();
    w.submit(submission(1, vec![lasting(8)]));
    for n in 0..40 {
        stream(&mut w, 100 + 10 * n, 700);
        let name = NAMES[usize::try_from(n * 5 % 8).unwrap()];
        if w.worker(name).up {
            w.crash_worker(name);
        }
    }
    w.run(10_000);
    check(&w);
    assert!(w.state.records().all(|(id, r)| *id == 1 || r.phase == Phase::Complete));
}

/// Half of the workers crash at once, and again as soon as they are back.
fn many_workers_that_crash_at_once() {
    let mut w = cluster();
    w.submit(submission(1, vec![lasting(8)]));
    for n in 0..6 {
        stream(&mut w, 100 + 30 * n, 2_300);
        let half = if n % 2 == 0 { &NAMES[..4] } else { &NAMES[2..6] };
        for name in half {
            if w.worker(name).up {
                w.crash_worker(name);
            }
        }
    }
    w.run(12_000);
    check(&w);
    assert!(w.state.records().all(|(id, r)| *id == 1 || r.phase == Phase::Complete));
}

/// Guards against copies of a task that crash a second worker before the first crash has been put
/// down to any task.
#[test]
fn a_copy_waits_until_the_runs_on_the_silent_worker_are_recorded() {
    let mut w = cluster();
    w.submit(submission(1, vec![Step { copies: true, ..step(1) }]));
    w.run(150);
    let (id, _) = w.state.newest_incarnation(&w.starts[0].1).unwrap();
    let (now, later) = (w.instant(), w.instant() + Duration::from_millis(50));
    w.fleet.unreachable(id, now);
    assert_eq!(planner::plan(&w.state, &mut w.fleet, now, 0), []);
    let silences = w.fleet.take_silent(&w.state, later, 0);
    w.apply(Command::Silent(silences));
    assert_eq!(planner::plan(&w.state, &mut w.fleet, later, 0).len(), 1);
}

/// Guards against runs of a former leader that count as suspects although they had gone on for
/// longer than a later start, so that it stays open which one crashed the worker.
#[test]
fn a_run_of_a_former_leader_is_no_suspect_beside_a_later_start() {
    let mut w = cluster();
    w.submit(submission(1, vec![step(1)]));
    w.submit(submission(2, vec![step(1)]));
    let incarnation = 1;
    let place = |id| Placement { task: task(id, 0), attempt: 1, incarnation };
    w.apply(Command::Place(vec![place(1), place(2)]));
    let runs = vec![
        SilentRun { task: task(1, 0), age_ms: 10, exact: true },
        SilentRun { task: task(2, 0), age_ms: 500, exact: false },
    ];
    let silence = Silence { incarnation, at_ms: 0, runs, checkpoints: vec![] };
    w.apply(Command::Silent(vec![silence]));
    assert_eq!([1, 2].map(|id| w.state.suspicions(task(id, 0))), [1, 0]);
    w.join(WorkerInfo { started_ms: 2, ..worker("wa", 8) });
    assert_eq!([1, 2].map(|id| w.state.suspicions(task(id, 0))), [1, 0]);
}

/// Crashes one worker after the other. Each has a run of submission 1 that has gone on for 1.2 s,
/// and one that began 10 ms ago, of the submission that `younger` names.
fn crash_beside(exact: bool, younger: [SubmissionId; 3]) -> Cluster {
    let mut w = cluster();
    for id in 1..=4 {
        w.submit(submission(id, vec![lasting(1)]));
    }
    for (n, (name, id)) in NAMES.into_iter().zip(younger).enumerate() {
        let (incarnation, _) = w.state.newest_incarnation(name).unwrap();
        let attempt = u32::try_from(n).unwrap() + 1;
        let place = |id| Placement { task: task(id, 0), attempt, incarnation };
        w.apply(Command::Place(vec![place(1), place(id)]));
        let runs = vec![
            SilentRun { task: task(1, 0), age_ms: 1_200, exact },
            SilentRun { task: task(id, 0), age_ms: 10, exact: true },
        ];
        let at_ms = 3_000 * (n as u64 + 1);
        w.apply(Command::Silent(vec![Silence { incarnation, at_ms, runs, checkpoints: vec![] }]));
        w.join(WorkerInfo { started_ms: 2, ..worker(name, 8) });
    }
    w
}

/// Three tasks that crash one worker each.
fn beside_other_suspects() {
    let w = crash_beside(true, [2, 3, 4]);
    assert_eq!([1, 2, 3, 4].map(|id| w.phase(id)), [Phase::Open; 4]);
}

/// The same task crashes all three, and the run beside it is a former leader's.
fn beside_a_fatal_task() {
    let w = crash_beside(false, [2, 2, 2]);
    assert_eq!([1, 2].map(|id| w.phase(id)), [Phase::Open, Phase::Failed]);
}

cases! {
    "Guards against a task that crashes worker after worker, and a submission that fails without.";
    a_task_that_crashes_its_workers_is_given_up: one_among_many;
    two_such_tasks_on_one_worker_are_given_up: two_on_one_worker;
    a_gang_with_a_member_that_crashes_its_worker_is_given_up: one_in_a_gang;
    a_long_task_that_crashes_its_workers_is_given_up: one_that_lasts;
    a_task_with_copies_that_crashes_its_workers_is_given_up: one_with_copies;
    a_submission_all_of_whose_tasks_crash_their_workers_is_given_up: every_task_of_a_submission;
    a_task_that_crashes_its_workers_after_seconds_is_given_up: one_with_a_long_fuse;
    crashes_under_a_task_are_known_to_later_leaders: leaders_change_between_the_crashes;
    crashes_under_a_task_are_known_after_a_restart: replicas_restart_between_the_crashes;
    crashes_behind_a_cut_count: crashes_behind_a_cut;
    a_run_is_not_blamed_while_younger_ones_are_suspects: beside_other_suspects;
    a_run_is_not_blamed_beside_a_fatal_task: beside_a_fatal_task;
    workers_that_crash_by_themselves_fail_no_submission: workers_that_crash_by_themselves;
    workers_that_crash_together_fail_no_submission: many_workers_that_crash_at_once;
}
