//! Loads that the policy answers, each named after its pattern.

use super::cluster::{Cluster, Link, policy, step, submission, worker};
use cyclamenloft_placement::submission::{
    Change, Outcome, Phase, Step, TaskId, WorkerInfo,
    planner::{self, Timeliness, objective_ms, timeliness},
    routes::QueuePolicy,
};
use cyclamenloft_types::Resources;

fn lasting(count: u16, cores: u32, image: &str) -> Step {
    Step {
        lasting: true,
        demand: Resources::new(cores * 1000, 1000, 0),
        image: Some(image.into()),
        target_ms: Some(18),
        ..step(count)
    }
}

fn of(submission: u64, index: u16) -> TaskId {
    TaskId { submission, occurrence: 0, step: 0, index }
}

/// Workers that fail all that they start get no second submission's attempt.
#[test]
fn worker_that_fails_all() {
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

/// A task that has failed is tried elsewhere, so that a sick worker doesn't use
/// up its attempts.
#[test]
fn a_failed_task_goes_elsewhere() {
    let mut w = Cluster::new([worker("wa", 2), worker("wb", 8)]);
    w.worker("wa").fails = true;
    w.submit(submission(1, vec![step(2)]));
    w.run(5_000);
    let on_a = w.starts.iter().filter(|s| &*s.1 == "wa").count();
    assert!(on_a <= 2, "{:?}", w.starts);
    assert_eq!(w.phase(1), Phase::Complete);
}

/// Tasks on a worker that stands still go on elsewhere, and nothing goes there.
#[test]
fn worker_that_stands_still() {
    let mut w = Cluster::new(["wa", "wb"].map(|n| worker(n, 8)));
    w.worker("wa").stalls = true;
    for id in 1..20 {
        w.submit(submission(id, vec![step(1)]));
        w.run(100);
    }
    w.run(6_000);
    assert!((1..20).all(|id| w.phase(id) == Phase::Complete));
}

/// A task that may run twice doesn't wait for a worker that is cut off.
#[test]
fn copies_of_tasks_on_workers_out_of_reach() {
    let mut w = Cluster::new(["wa", "wb"].map(|n| worker(n, 8)));
    w.run(100);
    w.submit(submission(1, vec![Step { copies: true, ..step(4) }]));
    w.run(100);
    w.worker("wa").link = Link::Cut;
    w.run(1_500);
    assert_eq!(w.phase(1), Phase::Complete, "{:?}", w.starts);
}

/// A fill task that a former leader has slowed works on under the next.
#[test]
fn slowed_tasks_after_an_election() {
    let mut w = Cluster::new([worker("wa", 8)]);
    w.submit(submission(1, vec![Step { fills: true, ..step(1) }]));
    w.run(100);
    w.slow("wa", of(1, 0), 0);
    w.elect();
    w.run(1_500);
    assert_eq!(w.phase(1), Phase::Complete);
    assert_eq!(w.starts.len(), 1, "it did not have to be started again");
}

/// Lasting tasks leave a draining worker at once.
#[test]
fn releases_in_turn() {
    let mut w = Cluster::new(["wa", "wb"].map(|n| worker(n, 8)));
    w.submit(submission(1, vec![lasting(4, 1, "web")]));
    w.run(300);
    w.apply(Change::Register(WorkerInfo { draining: true, ..worker("wa", 8) }));
    w.run(600);
    assert!((0..4).all(|i| w.running(of(1, i)) == ["wb".into()]));
}

/// Lasting tasks of one image share workers, so that other images may fill the
/// rest without harm.
#[test]
fn images_keep_together() {
    let mut w = Cluster::new(["wa", "wb"].map(|n| worker(n, 8)));
    w.submit(submission(1, vec![lasting(2, 1, "web")]));
    w.run(200);
    w.submit(submission(2, vec![lasting(2, 1, "feed")]));
    w.run(200);
    w.submit(submission(3, vec![lasting(2, 1, "web")]));
    w.run(200);
    assert_eq!(w.running(of(1, 0)), w.running(of(3, 0)));
    assert_ne!(w.running(of(1, 0)), w.running(of(2, 0)));
}

/// A stream of short tasks doesn't keep a wide lasting task waiting for ever, and
/// one that has run before not for the users' nine seconds.
#[test]
fn burst_of_short_tasks_beside_a_wide_lasting_one() {
    let mut w = Cluster::new([worker("wa", 4), worker("wb", 4)]);
    for name in ["wa", "wb"] {
        w.worker(name).fails = true;
    }
    w.submit(submission(1, vec![lasting(1, 4, "web")]));
    w.run(300);
    for name in ["wa", "wb"] {
        w.worker(name).fails = false;
    }
    w.submit(submission(2, vec![step(4)]));
    for id in 20..60 {
        w.submit(submission(id, vec![step(1)]));
        w.run(50);
    }
    assert!(w.starts.iter().filter(|s| s.0 == of(1, 0)).count() > 1, "it was not restarted");
}

/// The same for its first start.
#[test]
fn burst_of_short_tasks_beside_a_new_lasting_one() {
    let mut w = Cluster::new([worker("wa", 4), worker("wb", 4)]);
    for id in 10..14 {
        w.submit(submission(id, vec![step(2)]));
    }
    w.run(100);
    w.submit(submission(1, vec![lasting(1, 4, "web")]));
    for id in 20..180 {
        w.submit(submission(id, vec![step(1)]));
        w.run(50);
    }
    assert!(w.starts.iter().any(|s| s.0 == of(1, 0)), "it was never started");
}

/// Of the lasting tasks that wait for room, the oldest gets it.
#[test]
fn lasting_tasks_wait_in_their_order() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.submit(submission(9, vec![lasting(1, 4, "web")]));
    w.run(10_000);
    w.submit(submission(1, vec![lasting(1, 4, "web")]));
    w.run(20_000);
    w.submit(submission(2, vec![lasting(1, 4, "web")]));
    w.run(100);
    w.apply(Change::Cancel(vec![9]));
    w.run(1_000);
    assert_eq!(w.running(of(1, 0)).len(), 1);
}

/// Tasks of one step are kept apart where the client asks for it.
#[test]
fn at_most_so_many_on_one_worker() {
    let mut w = Cluster::new(["wa", "wb", "wc"].map(|n| worker(n, 8)));
    w.submit(submission(1, vec![Step { max_per_worker: 1, ..lasting(4, 1, "web") }]));
    w.run(300);
    let mut on: Vec<_> = w.starts.iter().map(|s| s.1.clone()).collect();
    on.sort();
    on.dedup();
    assert_eq!(on.len(), 3, "one on each worker, and one that waits");
}

/// A step that needs a label goes only where the label is.
#[test]
fn only_where_the_label_is() {
    let labelled = WorkerInfo { labels: vec!["fast".into(), "r1".into()], ..worker("wb", 8) };
    let mut w = Cluster::new([worker("wa", 8), labelled]);
    w.submit(submission(1, vec![Step { label: Some("fast".into()), ..step(4) }]));
    w.run(2_000);
    assert!(w.starts.iter().all(|s| &*s.1 == "wb") && w.starts.len() == 4);
}

/// What is cut off is given nothing more, and nothing of it is doubled.
#[test]
fn workers_cut_off_and_running_on() {
    let mut w = Cluster::new(["wa", "wb", "wc"].map(|n| worker(n, 4)));
    w.submit(submission(1, vec![lasting(6, 1, "web")]));
    w.run(300);
    w.worker("wa").link = Link::Cut;
    w.run(1_000);
    let before = w.starts.len();
    w.submit(submission(2, vec![step(2)]));
    w.run(1_000);
    assert!(w.starts[before..].iter().all(|s| &*s.1 != "wa"));
}

/// What can still meet its objective comes before what can't.
#[test]
fn hopeful_before_hopeless() {
    let mut w = Cluster::new([worker("wa", 1)]);
    w.submit(submission(1, vec![step(1)]));
    let record = w.state.record(1).unwrap();
    // An estimate of 500 ms, twice that and 500 ms more.
    assert_eq!(objective_ms(record), 1_500);
    assert_eq!(timeliness(record, 1_000), Timeliness::OnTime);
    assert_eq!(timeliness(record, 1_400), Timeliness::Late);
}

/// Queues that come first are served first.
#[test]
fn queues_by_priority() {
    let mut w = Cluster::new([worker("wa", 1)]);
    w.run(50);
    for (id, priority) in [(1, 2), (2, 0)] {
        let change = Change::Submit {
            submission: submission(id, vec![step(1)]),
            policy: QueuePolicy { priority, ..policy() },
            at_ms: 0,
        };
        w.apply(change);
    }
    w.run(200);
    assert_eq!(w.starts[0].0, of(2, 0));
}

fn gang(count: u16) -> Step {
    Step { gang: true, ..step(count) }
}

/// A gang starts whole, with one number for all, or waits.
#[test]
fn gang_starts_whole() {
    let mut w = Cluster::new([worker("wa", 4), worker("wb", 4)]);
    w.submit(submission(1, vec![step(6)]));
    w.run(150);
    w.submit(submission(2, vec![gang(6)]));
    w.run(200);
    assert!(w.starts.iter().all(|s| s.0.submission == 1), "there is no room for all");
    w.run(3_000);
    let members: Vec<u64> = w.starts.iter().filter(|s| s.0.submission == 2).map(|s| s.2).collect();
    assert_eq!(members.len(), 6);
    assert!(members[5] - members[0] < 200, "{members:?}");
    assert_eq!(w.phase(2), Phase::Complete);
}

/// Two wide gangs that wait for room don't keep each other from it.
#[test]
fn gangs_that_wait_for_each_other() {
    let mut w = Cluster::new([worker("wa", 4), worker("wb", 4)]);
    w.submit(submission(1, vec![gang(6)]));
    w.submit(submission(2, vec![gang(6)]));
    w.run(5_000);
    assert_eq!((w.phase(1), w.phase(2)), (Phase::Complete, Phase::Complete));
}

/// Where a member is lost, the others are stopped, and all start again.
#[test]
fn gang_that_loses_a_member() {
    let mut w = Cluster::new([worker("wa", 4), worker("wb", 4)]);
    w.submit(submission(1, vec![gang(6)]));
    w.run(200);
    w.worker("wa").crash();
    w.join(WorkerInfo { started_ms: 2, ..worker("wa", 4) });
    w.run(4_000);
    assert_eq!(w.phase(1), Phase::Complete);
}

/// A gang that wants one rack gets one that has room for all of it.
#[test]
fn gang_on_one_rack() {
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

/// What occurs again starts at its times, also while the last time goes on.
#[test]
fn occurrences_start_at_their_times() {
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

/// A wide step with one task that has failed somewhere: what is planned fits,
/// whichever way each task's worker was picked.
#[test]
fn a_failed_task_among_others_of_its_step() {
    let mut w = Cluster::new([worker("wa", 3), worker("wb", 3)]);
    w.worker("wa").fails = true;
    w.submit(submission(1, vec![step(6)]));
    w.run(700);
    w.worker("wa").fails = false;
    let now = w.instant();
    let planned = planner::plan(&w.state, &mut w.fleet, now, 700);
    let asked = planned.len();
    match w.apply(Change::Place(planned)) {
        Outcome::Placed(placed) => assert_eq!(placed.len(), asked),
        other => panic!("{other:?}"),
    }
    w.run(15_000);
    assert_eq!(w.phase(1), Phase::Complete);
}

/// Tasks of a step go to the tightest rooms one by one, as if each had been
/// picked alone.
#[test]
fn a_wide_step_fills_one_room_before_the_next() {
    let mut w = Cluster::new([worker("wa", 5), worker("wbb", 2), worker("wccc", 3)]);
    w.run(300);
    w.submit(submission(1, vec![step(6)]));
    let now = w.instant();
    let planned = planner::plan(&w.state, &mut w.fleet, now, 300);
    let on = |incarnation| planned.iter().filter(|p| p.incarnation == incarnation).count();
    assert_eq!((on(1), on(2), on(3)), (5, 1, 0));
}
