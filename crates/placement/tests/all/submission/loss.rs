//! What the log tells about workers that count as lost, and of what ends submissions.

use super::cluster::{Cluster, step, submission, worker};
use cyclamenloft_placement::submission::{
    Command, EndReason, Placement, RunEnd, TaskId, WorkerInfo,
    fleet::{EndSign, LossReason},
};
use std::time::Duration;

const TASK: TaskId = TaskId { submission: 1, occurrence: 0, step: 0, index: 0 };

/// Guards against a log that doesn't tell whether a worker's lease was over when its runs were
/// given up.
#[test]
fn the_reason_for_a_loss_and_the_rest_of_the_lease_are_known() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.run(400);
    let now = w.instant();
    assert_eq!(w.fleet.loss(&w.state, 2, now), None);
    w.fleet.unreachable(1, now);
    let soon = now + Duration::from_millis(600);
    let loss = w.fleet.loss(&w.state, 1, soon).unwrap();
    assert_eq!((loss.reason, loss.observed), (LossReason::Unknown, true));
    assert_eq!(loss.silent_for, Some(Duration::from_millis(600)));
    assert!(loss.lease_left > Duration::from_secs(2), "{loss:?}");
    w.apply(Command::Register(WorkerInfo { draining: true, leaving: true, ..worker("wa", 4) }));
    assert_eq!(w.fleet.loss(&w.state, 1, soon).unwrap().reason, LossReason::Unknown);
    w.fleet.process_ended(&w.state, 1, EndSign::Refused, soon);
    assert_eq!(w.fleet.loss(&w.state, 1, soon).unwrap().reason, LossReason::Unknown);
    w.fleet.process_ended(&w.state, 1, EndSign::Replaced, soon);
    assert_eq!(w.fleet.loss(&w.state, 1, soon).unwrap().reason, LossReason::Exited);
    let late = now + Duration::from_secs(9);
    let loss = w.fleet.loss(&w.state, 1, late).unwrap();
    assert_eq!((loss.reason, loss.lease_left), (LossReason::LeaseOver, Duration::ZERO));
}

/// Guards against a log in which a worker that was only cut off can't be told from one that
/// crashed.
#[test]
fn an_incarnation_that_returns_is_told_from_a_later_one() {
    let mut w = Cluster::new([worker("wa", 4)]);
    assert!(!w.state.is_return("wa", 1));
    w.apply(Command::Lost { incarnation: 1, checkpoints: vec![] });
    assert!(w.state.is_return("wa", 1));
    assert!(!w.state.is_return("wa", 2));
    assert!(!w.state.is_return("wb", 1));
    let later = WorkerInfo { started_ms: 2, ..worker("wa", 4) };
    for (other, shared) in [
        (WorkerInfo { started_ms: 2, ..worker("wa", 4) }, Some("id")),
        (WorkerInfo { addr: later.addr, ..worker("wb", 4) }, Some("address")),
        (WorkerInfo { machine: Some("m".into()), ..worker("wb", 4) }, None),
    ] {
        assert_eq!(other.shared_with(&later), shared);
    }
    let on_machine = |name| WorkerInfo { machine: Some("m".into()), ..worker(name, 4) };
    assert_eq!(on_machine("wb").shared_with(&on_machine("wc")), Some("machine"));
}

/// Guards against a log that doesn't name the task for which a submission failed.
#[test]
fn the_failures_of_each_task_can_be_listed() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.submit(submission(1, vec![step(2), step(1)]));
    w.apply(Command::Place(vec![Placement { task: TASK, attempt: 1, incarnation: 1 }]));
    let end = RunEnd { task: TASK, attempt: 1, reason: EndReason::Failed, checkpoint: "".into() };
    w.apply(Command::Ended { incarnation: 1, ends: vec![end] });
    let record = w.state.record(1).unwrap();
    let failures: Vec<_> = record.tasks().map(|(id, t)| (id.step, id.index, t.failures)).collect();
    assert_eq!(failures, [(0, 0, 1), (0, 1, 0), (1, 0, 0)]);
}
