//! Planning: which tasks are placed where, under various loads and failures.

use super::cluster::{Cluster, Link, policy, step, submission, worker};
use cyclamenloft_placement::submission::{
    Command, CommandResult, Phase, Step, TaskId, WorkerInfo,
    planner::{self, Timeliness, objective_ms, timeliness},
    routes::QueuePolicy,
};
use cyclamenloft_types::Resources;

fn long_step(count: u16, cores: u32, image: &str) -> Step {
    Step {
        lasting: true,
        demand: Resources::new(cores * 1000, 1000, 0),
        image: Some(image.into()),
        target_ms: Some(18),
        ..step(count)
    }
}

fn task(submission: u64, index: u16) -> TaskId {
    TaskId { submission, occurrence: 0, step: 0, index }
}

/// Guards against a worker that fails all its tasks and keeps getting more: it
/// always has room, so it would use up the attempts of many submissions.
#[test]
fn a_worker_that_fails_all_tasks_gets_few_starts() {
    let mut w = Cluster::new(["wa", "wb"].map(|n| worker(n, 8)));
    w.worker("wa").fails = true;
    for id in 1..30 {
        w.submit(submission(id, vec![step(1)]));
        w.run(150);
    }
    w.run(6_000);
    let on_a = w.starts.iter().filter(|s| &*s.1 == "wa").count();
    assert!(on_a <= 10, "{on_a} of {} starts went to it", w.starts.len());
    assert!((1..30).all(|id| w.phase(id) == Phase::Complete));
}

/// Guards against a faulty worker that uses up all attempts of a task: the task
/// must be retried on another worker.
#[test]
fn a_failed_task_is_retried_on_another_worker() {
    let mut w = Cluster::new([worker("wa", 2), worker("wb", 8)]);
    w.worker("wa").fails = true;
    w.submit(submission(1, vec![step(2)]));
    w.run(5_000);
    let on_a = w.starts.iter().filter(|s| &*s.1 == "wa").count();
    assert!(on_a <= 2, "{:?}", w.starts);
    assert_eq!(w.phase(1), Phase::Complete);
}

/// Guards against tasks that wait forever on a worker that answers but makes no
/// progress.
#[test]
fn tasks_on_a_stuck_worker_run_elsewhere() {
    let mut w = Cluster::new(["wa", "wb"].map(|n| worker(n, 8)));
    w.worker("wa").stalls = true;
    for id in 1..20 {
        w.submit(submission(id, vec![step(1)]));
        w.run(100);
    }
    w.run(6_000);
    assert!((1..20).all(|id| w.phase(id) == Phase::Complete));
}

/// Guards against tasks that allow copies and still wait for the lease of an
/// unreachable worker.
#[test]
fn tasks_on_an_unreachable_worker_get_copies() {
    let mut w = Cluster::new(["wa", "wb"].map(|n| worker(n, 8)));
    w.run(100);
    w.submit(submission(1, vec![Step { copies: true, ..step(4) }]));
    w.run(100);
    w.worker("wa").link = Link::Cut;
    w.run(1_500);
    assert_eq!(w.phase(1), Phase::Complete, "{:?}", w.starts);
}

/// Guards against a best-effort task that a former leader has paused and that
/// stays so under the next one, which doesn't know its pace.
#[test]
fn a_new_leader_resets_the_pace_of_slowed_tasks() {
    let mut w = Cluster::new([worker("wa", 8)]);
    w.submit(submission(1, vec![Step { fills: true, ..step(1) }]));
    w.run(100);
    w.slow("wa", task(1, 0), 0);
    w.elect();
    w.run(1_500);
    assert_eq!(w.phase(1), Phase::Complete);
    assert_eq!(w.starts.len(), 1, "the task was started again");
}

/// Guards against long-running tasks that stay on a draining worker until it
/// exits.
#[test]
fn long_tasks_leave_a_draining_worker() {
    let mut w = Cluster::new(["wa", "wb"].map(|n| worker(n, 8)));
    w.submit(submission(1, vec![long_step(4, 1, "web")]));
    w.run(300);
    w.apply(Command::Register(WorkerInfo { draining: true, ..worker("wa", 8) }));
    w.run(600);
    assert!((0..4).all(|i| w.running(task(1, i)) == ["wb".into()]));
}

/// Guards against mixing the images of long-running tasks on a worker: the more
/// images, the fewer best-effort tasks can run on the same worker without
/// interference.
#[test]
fn long_tasks_of_one_image_share_workers() {
    let mut w = Cluster::new(["wa", "wb"].map(|n| worker(n, 8)));
    w.submit(submission(1, vec![long_step(2, 1, "web")]));
    w.run(200);
    w.submit(submission(2, vec![long_step(2, 1, "feed")]));
    w.run(200);
    w.submit(submission(3, vec![long_step(2, 1, "web")]));
    w.run(200);
    assert_eq!(w.running(task(1, 0)), w.running(task(3, 0)));
    assert_ne!(w.running(task(1, 0)), w.running(task(2, 0)));
}

/// A stream of short tasks takes the room as it becomes free. Guards against a
/// large long-running task that is never restarted because of it, or only after
/// the users' limit of nine seconds.
#[test]
fn a_long_task_restarts_despite_a_stream_of_short_tasks() {
    let mut w = Cluster::new([worker("wa", 4), worker("wb", 4)]);
    for name in ["wa", "wb"] {
        w.worker(name).fails = true;
    }
    w.submit(submission(1, vec![long_step(1, 4, "web")]));
    w.run(300);
    for name in ["wa", "wb"] {
        w.worker(name).fails = false;
    }
    w.submit(submission(2, vec![step(4)]));
    for id in 20..60 {
        w.submit(submission(id, vec![step(1)]));
        w.run(50);
    }
    assert!(
        w.starts.iter().filter(|s| s.0 == task(1, 0)).count() > 1,
        "the task was not restarted"
    );
}

/// Guards against a long-running task that is never started for the first time
/// because a stream of short tasks takes the room.
#[test]
fn a_new_long_task_starts_despite_a_stream_of_short_tasks() {
    let mut w = Cluster::new([worker("wa", 4), worker("wb", 4)]);
    for id in 10..14 {
        w.submit(submission(id, vec![step(2)]));
    }
    w.run(100);
    w.submit(submission(1, vec![long_step(1, 4, "web")]));
    for id in 20..180 {
        w.submit(submission(id, vec![step(1)]));
        w.run(50);
    }
    assert!(w.starts.iter().any(|s| s.0 == task(1, 0)), "the task was never started");
}

/// Guards against newer long-running tasks that take the room an older one waits
/// for.
#[test]
fn the_oldest_waiting_long_task_starts_first() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.submit(submission(9, vec![long_step(1, 4, "web")]));
    w.run(10_000);
    w.submit(submission(1, vec![long_step(1, 4, "web")]));
    w.run(20_000);
    w.submit(submission(2, vec![long_step(1, 4, "web")]));
    w.run(100);
    w.apply(Command::Cancel(vec![9]));
    w.run(1_000);
    assert_eq!(w.running(task(1, 0)).len(), 1);
}

/// Guards against more tasks of a step on one worker than `max_per_worker` allows.
#[test]
fn max_per_worker_keeps_tasks_apart() {
    let mut w = Cluster::new(["wa", "wb", "wc"].map(|n| worker(n, 8)));
    w.submit(submission(1, vec![Step { max_per_worker: 1, ..long_step(4, 1, "web") }]));
    w.run(300);
    let mut on: Vec<_> = w.starts.iter().map(|s| s.1.clone()).collect();
    on.sort();
    on.dedup();
    assert_eq!(on.len(), 3, "each worker must run one task, and one task must wait");
}

/// Guards against tasks on workers without the label that their step requires.
#[test]
fn tasks_run_only_on_workers_with_their_label() {
    let labeled = WorkerInfo { labels: vec!["fast".into(), "r1".into()], ..worker("wb", 8) };
    let mut w = Cluster::new([worker("wa", 8), labeled]);
    w.submit(submission(1, vec![Step { label: Some("fast".into()), ..step(4) }]));
    w.run(2_000);
    assert!(w.starts.iter().all(|s| &*s.1 == "wb") && w.starts.len() == 4);
}

/// Guards against placing tasks on an unreachable worker, which keeps running,
/// and against running its tasks twice.
#[test]
fn unreachable_workers_get_no_tasks() {
    let mut w = Cluster::new(["wa", "wb", "wc"].map(|n| worker(n, 4)));
    w.submit(submission(1, vec![long_step(6, 1, "web")]));
    w.run(300);
    w.worker("wa").link = Link::Cut;
    w.run(1_000);
    let before = w.starts.len();
    w.submit(submission(2, vec![step(2)]));
    w.run(1_000);
    assert!(w.starts[before..].iter().all(|s| &*s.1 != "wa"));
}

/// Guards against a wrong objective, and against a submission that counts as on
/// time when it can no longer meet it.
#[test]
fn a_submission_is_late_once_it_cannot_meet_its_objective() {
    let mut w = Cluster::new([worker("wa", 1)]);
    w.submit(submission(1, vec![step(1)]));
    let record = w.state.record(1).unwrap();
    // Twice the estimate of 500 ms, and 500 ms more.
    assert_eq!(objective_ms(record), 1_500);
    assert_eq!(timeliness(record, 1_000), Timeliness::OnTime);
    assert_eq!(timeliness(record, 1_400), Timeliness::Late);
}

/// Submissions arrive faster than they are done, and those that come later have an earlier
/// objective. Guards against all being done in part, and late.
#[test]
fn a_submission_that_has_begun_goes_before_new_ones() {
    let mut w = Cluster::new([worker("wa", 2)]);
    let steps = vec![step(2), Step { depends_on: vec![0], ..step(2) }];
    w.submit(submission(1, steps.clone()));
    w.run(200);
    for id in 2..5 {
        let policy = QueuePolicy { target_ms: 0, ..policy() };
        w.apply(Command::Submit { submission: submission(id, steps.clone()), policy, at_ms: 0 });
    }
    w.run(8_000);
    let order: Vec<u64> = w.starts.iter().map(|s| s.0.submission).collect();
    assert_eq!(&order[..4], [1, 1, 1, 1], "{order:?}");
    assert!(order.chunk_by(|a, b| a == b).all(|c| c.len() == 4), "{order:?}");
}

/// Guards against tasks of a queue with low priority that are placed before those
/// of one with high priority.
#[test]
fn the_queue_with_the_highest_priority_is_placed_first() {
    let mut w = Cluster::new([worker("wa", 1)]);
    w.run(50);
    for (id, priority) in [(1, 2), (2, 0)] {
        let command = Command::Submit {
            submission: submission(id, vec![step(1)]),
            policy: QueuePolicy { priority, ..policy() },
            at_ms: 0,
        };
        w.apply(command);
    }
    w.run(200);
    assert_eq!(w.starts[0].0, task(2, 0));
}

fn gang(count: u16) -> Step {
    Step { gang: true, ..step(count) }
}

/// Guards against a gang of which only some members are started: without room for
/// all, it must wait.
#[test]
fn a_gang_starts_as_a_whole() {
    let mut w = Cluster::new([worker("wa", 4), worker("wb", 4)]);
    w.submit(submission(1, vec![step(6)]));
    w.run(150);
    w.submit(submission(2, vec![gang(6)]));
    w.run(200);
    assert!(w.starts.iter().all(|s| s.0.submission == 1), "there is no room for the whole gang");
    w.run(3_000);
    let members: Vec<u64> = w.starts.iter().filter(|s| s.0.submission == 2).map(|s| s.2).collect();
    assert_eq!(members.len(), 6);
    assert!(members[5] - members[0] < 200, "{members:?}");
    assert_eq!(w.phase(2), Phase::Complete);
}

/// Guards against a deadlock of two gangs that each hold the room that the other
/// one needs.
#[test]
fn two_waiting_gangs_do_not_block_each_other() {
    let mut w = Cluster::new([worker("wa", 4), worker("wb", 4)]);
    w.submit(submission(1, vec![gang(6)]));
    w.submit(submission(2, vec![gang(6)]));
    w.run(5_000);
    assert_eq!((w.phase(1), w.phase(2)), (Phase::Complete, Phase::Complete));
}

/// Guards against a gang that hangs after it has lost a member: the others must be
/// stopped and all members started again.
#[test]
fn a_gang_restarts_after_losing_a_member() {
    let mut w = Cluster::new([worker("wa", 4), worker("wb", 4)]);
    w.submit(submission(1, vec![gang(6)]));
    w.run(200);
    w.worker("wa").crash();
    w.join(WorkerInfo { started_ms: 2, ..worker("wa", 4) });
    w.run(4_000);
    assert_eq!(w.phase(1), Phase::Complete);
}

/// Guards against a gang that is spread over racks although one rack has room for
/// all of it.
#[test]
fn a_gang_is_placed_on_one_rack() {
    let on = |name, rack: &str| WorkerInfo {
        rack: rack.into(),
        labels: vec!["a".into(), rack.into()],
        ..worker(name, 4)
    };
    let mut w = Cluster::new([on("wa", "r1"), on("wb", "r2"), on("wc", "r2")]);
    w.submit(submission(1, vec![Step { same_rack: true, ..gang(6) }]));
    w.run(1_500);
    assert!(w.starts.len() == 6 && w.starts.iter().all(|s| &*s.1 != "wa"), "{:?}", w.starts);
}

/// Guards against occurrences that start early, or late because the previous one
/// is still running.
#[test]
fn occurrences_start_at_their_due_times() {
    let mut w = Cluster::new([worker("wa", 8)]);
    let timed = cyclamenloft_placement::submission::Submission {
        first_due_ms: 500,
        interval_ms: 300,
        occurrences: 3,
        ..submission(1, vec![step(1)])
    };
    w.submit(timed);
    w.run(3_000);
    let times: Vec<u64> = w.starts.iter().map(|s| s.2).collect();
    assert_eq!(times.len(), 3);
    for (time, due) in times.iter().zip([500, 800, 1_100]) {
        assert!((due..due + 100).contains(time), "{times:?}");
    }
    assert_eq!(w.phase(1), Phase::Complete);
}

/// Workers for failed tasks are picked in another way than those for the other
/// tasks of a step. Guards against plans in which both ways use the same room.
#[test]
fn a_plan_with_failed_tasks_fits_the_workers() {
    let mut w = Cluster::new([worker("wa", 3), worker("wb", 3)]);
    w.worker("wa").fails = true;
    w.submit(submission(1, vec![step(6)]));
    w.run(700);
    w.worker("wa").fails = false;
    let now = w.instant();
    let planned = planner::plan(&w.state, &mut w.fleet, now, 700);
    let asked = planned.len();
    match w.apply(Command::Place(planned)) {
        CommandResult::Placed(placed) => assert_eq!(placed.len(), asked),
        other => panic!("{other:?}"),
    }
    w.run(15_000);
    assert_eq!(w.phase(1), Phase::Complete);
}

/// Short tasks go to the worker with the least free room. Guards against a picker
/// that spreads the tasks of a step, because it doesn't update the score of the
/// worker that it picked last.
#[test]
fn a_wide_step_fills_one_worker_before_the_next() {
    let mut w = Cluster::new([worker("wa", 5), worker("wbb", 2), worker("wccc", 3)]);
    w.run(300);
    w.submit(submission(1, vec![step(6)]));
    let now = w.instant();
    let planned = planner::plan(&w.state, &mut w.fleet, now, 300);
    let on = |incarnation| planned.iter().filter(|p| p.incarnation == incarnation).count();
    assert_eq!((on(1), on(2), on(3)), (5, 1, 0));
}

/// Submits short tasks for the label `b`, one of each priority each 200 ms, and asserts that each is
/// done.
fn assert_label_is_served(w: &mut Cluster) {
    for n in 0..5 {
        for priority in [0, 2] {
            let id = 100 + 10 * u64::from(priority) + n;
            let submission = submission(id, vec![Step { label: Some("b".into()), ..step(1) }]);
            let policy = QueuePolicy { priority, ..policy() };
            w.apply(Command::Submit { submission, policy, at_ms: w.instant_ms() });
        }
        w.run(200);
    }
    w.run(3_000);
    let ids = (100..105).chain(120..125);
    let left: Vec<u64> = ids.filter(|id| w.phase(*id) != Phase::Complete).collect();
    assert!(left.is_empty(), "left undone: {left:?}");
}

/// Returns a cluster in which the largest worker is the only one with the label `b`.
fn cluster_with_label() -> Cluster {
    let labels = vec!["b".into(), "r1".into()];
    Cluster::new([worker("wa", 64), worker("wc", 64), WorkerInfo { labels, ..worker("wb", 96) }])
}

/// Guards against room that is reserved where the task can't run: a long-running task for a label
/// that no worker has would keep the largest worker idle, on which alone others can run.
#[test]
fn a_long_task_without_a_worker_of_its_label_reserves_none() {
    let mut w = cluster_with_label();
    w.submit(submission(1, vec![Step { label: Some("c".into()), ..long_step(2, 4, "web") }]));
    w.run(8_000);
    assert_label_is_served(&mut w);
}

/// Like the one above, for a gang, which reserves room from the start.
#[test]
fn a_gang_without_a_worker_of_its_label_reserves_none() {
    let mut w = cluster_with_label();
    let gang = Step { gang: true, label: Some("c".into()), ..step(2) };
    w.submit(submission(1, vec![gang]));
    w.run(500);
    assert_label_is_served(&mut w);
}

macro_rules! reserves_none {
    ($($name:ident: $waiting:expr, $steps:expr;)*) => {$(
        /// Guards against a worker that is kept from short tasks for good, for a gang that has no
        /// room on all workers together or for a task that doesn't wait for room.
        #[test]
        fn $name() {
            let mut w = cluster_with_label();
            for (id, step) in (1..).zip($steps) {
                w.submit(submission(id, vec![step]));
            }
            w.run($waiting);
            assert_label_is_served(&mut w);
        }
    )*};
}

reserves_none! {
    a_gang_that_exceeds_all_workers_reserves_none: 500, [Step { gang: true, ..step(300) }];
    a_gang_of_more_members_than_may_run_apart_reserves_none:
        500, [Step { gang: true, max_per_worker: 1, ..step(4) }];
    a_best_effort_task_that_is_kept_off_others_reserves_none:
        8_000, [best_effort(3, 90), best_effort(1, 90)];
}

/// Returns a step of long-running best-effort tasks.
fn best_effort(count: u16, cores: u32) -> Step {
    Step { fills: true, target_ms: None, ..long_step(count, cores, "batch") }
}
