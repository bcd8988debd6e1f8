//! Calls to a former life of a worker that reach the next one under the same name. The simulated
//! cluster checks at each tick that no task runs twice.

use super::cluster::{Cluster, Link, step, submission, worker};
use cyclamenloft_placement::submission::{Command, Phase, Step, TaskId, WorkerInfo};
use std::time::Duration;

const TASK: TaskId = TaskId { submission: 1, occurrence: 0, step: 0, index: 0 };
/// Longest lease that workers accept, twice as long as what the leader grants.
const LONGEST_ACCEPTED: Duration = Duration::from_secs(6);

fn lasting() -> Step {
    Step { lasting: true, ..step(1) }
}

fn other() -> WorkerInfo {
    WorkerInfo { addr: "10.0.1.1:80".parse().unwrap(), ..worker("wb", 8) }
}

/// Returns a cluster whose worker `wa` has just started again, and a poll for its former life has
/// reached it before it was called.
fn late_poll() -> Cluster {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.worker("wa").longest_accepted = LONGEST_ACCEPTED;
    w.fleet.set_longest_accepted(LONGEST_ACCEPTED);
    w.run(410);
    w.start_again("wa", 50);
    w.run(30);
    w.late_poll("wa");
    w
}

fn lease_of_the_former_life() {
    let mut w = late_poll();
    w.submit(submission(1, vec![lasting()]));
    w.run(400);
    assert_eq!(w.running(TASK), ["wa".into()]);
    w.join(other());
    w.worker("wa").link = Link::Cut;
    w.run(8_000);
    assert_eq!(w.running(TASK), ["wb".into()]);
}

fn lease_of_the_former_life_under_the_next_leader() {
    let mut w = late_poll();
    w.submit(submission(1, vec![lasting()]));
    w.run(400);
    w.join(other());
    w.elect();
    w.fleet.set_longest_accepted(LONGEST_ACCEPTED);
    w.run(250);
    w.worker("wa").link = Link::Cut;
    w.run(9_000);
    assert_eq!(w.running(TASK), ["wb".into()]);
}

/// The first report of the next life is being committed while a task is placed.
fn placed_on_the_former_life() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.run(410);
    let next = WorkerInfo { started_ms: w.instant_ms(), ..w.worker("wa").info.clone() };
    let (now, now_ms) = (w.instant(), w.instant_ms());
    w.submit(submission(1, vec![lasting()]));
    w.run(10);
    w.fleet.hold_back(&w.state, &next, now, now_ms);
    w.run(60);
    assert!(w.sent.is_empty(), "a start is sent to a life that has ended: {:?}", w.sent);
    w.worker("wa").info = next.clone();
    w.apply(Command::Register(next));
    w.run(300);
    assert_eq!(w.running(TASK), ["wa".into()]);
}

/// The next life reports once, and no call to it is ever answered.
fn silent_next_life() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.run(410);
    w.worker("wa").link = Link::Delayed(2_900);
    w.submit(submission(1, vec![lasting()]));
    w.run(100);
    w.start_again("wa", 10);
    w.join(other());
    w.run(10_000);
    assert_eq!(w.running(TASK), Vec::<Box<str>>::new(), "the run on wa has lapsed");
    w.run(9_000);
    assert_eq!(w.running(TASK), ["wb".into()]);
}

cases! {
    "Guards against a run that goes on after its worker counts as lost, because a call to the former life has extended the lease of the next one.";
    a_lease_that_a_former_life_was_to_get_is_waited_for: lease_of_the_former_life;
    the_next_leader_waits_for_a_lease_of_a_former_life:
        lease_of_the_former_life_under_the_next_leader;
}

/// The next life ends a run `done` that was to be started on the former one. Until it reports, it is
/// polled as the former one, which had ended more runs.
fn end_on_the_next_life() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.submit(submission(2, vec![step(4)]));
    w.run(2_010);
    assert_eq!(w.phase(2), Phase::Complete);
    w.worker("wa").link = Link::Delayed(200);
    w.submit(submission(1, vec![step(1)]));
    w.run(100);
    w.start_again("wa", 1_800);
    w.worker("wa").link = Link::Open;
    w.run(1_000);
    assert!(w.starts.iter().any(|(task, ..)| *task == TASK), "the next life has not begun the run");
    w.run(7_000);
    assert_eq!(w.phase(1), Phase::Complete);
    assert_eq!(w.starts.iter().filter(|(task, ..)| *task == TASK).count(), 1, "{:?}", w.starts);
}

cases! {
    "Guards against a run whose end is forgotten because a poll acknowledges ends of the former life.";
    a_poll_of_a_former_life_takes_no_end_of_the_next: end_on_the_next_life;
}

cases! {
    "Guards against a start that the next life of a worker carries out while the task runs elsewhere.";
    nothing_is_started_on_a_life_whose_successor_has_reported: placed_on_the_former_life;
    a_start_is_kept_back_for_a_life_that_never_answers: silent_next_life;
}
