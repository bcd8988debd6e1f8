//! The replicated state: which commands it accepts, and their effects.

use super::cluster::{policy, step, submission, worker};
use cyclamenloft_placement::submission::{
    Command, CommandResult, EndReason, Phase, Placement, Queue, RouteTable, RunEnd, Step,
    Submission, SubmissionState, TaskId, WorkerInfo, WorkerReport, kept::kept_bytes,
    routes::QueuePolicy,
};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::ErrorKind;

struct Group {
    state: SubmissionState,
    index: u64,
}

impl Group {
    fn new() -> Self {
        let mut group = Self { state: SubmissionState::default(), index: 0 };
        group.apply(Command::Register(worker("wa", 4)));
        group
    }

    fn apply(&mut self, command: Command) -> CommandResult {
        self.index += 1;
        self.state.apply(self.index, &command)
    }

    fn submit(&mut self, id: u64, steps: Vec<Step>) -> CommandResult {
        let submission = submission(id, steps);
        self.apply(Command::Submit { submission, policy: policy(), at_ms: 0 })
    }

    fn place(&mut self, task: TaskId, attempt: u32) -> bool {
        let placed = Placement { task, attempt, incarnation: 1 };
        self.apply(Command::Place(vec![placed])) == CommandResult::Placed(vec![placed])
    }

    fn end(&mut self, task: TaskId, attempt: u32, reason: EndReason) -> CommandResult {
        let end = RunEnd { task, attempt, reason, checkpoint: "c1".into() };
        self.apply(Command::Ended { incarnation: 1, ends: vec![end] })
    }
}

fn task(step: u16, index: u16) -> TaskId {
    TaskId { submission: 1, occurrence: 0, step, index }
}

fn table(number: u64, service: &str) -> RouteTable {
    let policy = QueuePolicy { service: service.into(), max_attempts: 9, ..policy() };
    let queue = Queue { host: "host".into(), prefix: "/queue/".into(), policy };
    RouteTable { number, queues: vec![queue], services: vec![], text: "{}".into() }
}

#[test]
fn a_repeated_submission_is_accepted_once() {
    let mut g = Group::new();
    assert_eq!(g.submit(1, vec![step(1)]), CommandResult::Done);
    assert_eq!(g.submit(1, vec![step(1)]), CommandResult::Done);
    assert_eq!(g.state.open().count(), 1);
}

#[test]
fn an_id_is_not_reused_for_another_submission() {
    let mut g = Group::new();
    g.submit(1, vec![step(1)]);
    assert_eq!(g.submit(1, vec![step(2)]), CommandResult::IdTaken);
}

#[test]
fn a_cancelled_submission_stays_cancelled_when_it_is_sent_again() {
    let mut g = Group::new();
    g.submit(1, vec![step(1)]);
    g.apply(Command::Cancel(vec![1]));
    g.submit(1, vec![step(1)]);
    assert_eq!(g.state.record(1).unwrap().phase, Phase::Cancelled);
    assert!(!g.place(task(0, 0), 1));
}

#[test]
fn a_task_is_placed_once() {
    let mut g = Group::new();
    g.submit(1, vec![step(1)]);
    assert!(g.place(task(0, 0), 1));
    assert!(!g.place(task(0, 0), 1));
    assert!(!g.place(task(0, 0), 2), "the first run has not ended yet");
}

#[test]
fn an_end_frees_the_reservation_and_keeps_the_checkpoint() {
    let mut g = Group::new();
    g.submit(1, vec![step(4)]);
    for i in 0..4 {
        assert!(g.place(task(0, i), 1));
    }
    g.submit(2, vec![step(1)]);
    let other = TaskId { submission: 2, ..task(0, 0) };
    assert!(!g.place(other, 1), "there is no room");
    g.end(task(0, 0), 1, EndReason::Stopped);
    assert!(g.place(other, 1));
    let record = g.state.record(1).unwrap();
    assert_eq!(&*record.task(task(0, 0)).unwrap().checkpoint, "c1");
}

#[test]
fn an_end_that_is_reported_twice_counts_once() {
    let mut g = Group::new();
    g.submit(1, vec![step(2)]);
    g.place(task(0, 0), 1);
    g.end(task(0, 0), 1, EndReason::Failed);
    g.end(task(0, 0), 1, EndReason::Failed);
    assert_eq!(g.state.record(1).unwrap().task(task(0, 0)).unwrap().failures, 1);
    assert_eq!(g.state.incarnation(1).unwrap().reserved.cpu_millis, 0);
}

#[test]
fn a_refused_start_is_not_a_failure() {
    let mut g = Group::new();
    g.submit(1, vec![step(1)]);
    for attempt in 1..6 {
        assert!(g.place(task(0, 0), attempt));
        g.end(task(0, 0), attempt, EndReason::NeverRan);
    }
    assert_eq!(g.state.record(1).unwrap().phase, Phase::Open);
}

#[test]
fn a_step_is_not_placed_before_those_it_depends_on() {
    let mut g = Group::new();
    g.submit(1, vec![step(1), Step { depends_on: vec![0], ..step(1) }]);
    assert!(!g.place(task(1, 0), 1));
    g.place(task(0, 0), 1);
    assert!(!g.place(task(1, 0), 1));
    g.end(task(0, 0), 1, EndReason::Done);
    assert!(g.place(task(1, 0), 1));
    assert_eq!(g.end(task(1, 0), 1, EndReason::Done), CommandResult::Over(vec![1]));
}

#[test]
fn a_draining_worker_gets_no_runs() {
    let mut g = Group::new();
    g.apply(Command::Register(WorkerInfo { draining: true, ..worker("wa", 4) }));
    // An older report that arrives later doesn't reset `draining`.
    g.apply(Command::Register(worker("wa", 4)));
    g.submit(1, vec![step(1)]);
    assert!(!g.place(task(0, 0), 1));
}

#[test]
fn the_configuration_with_the_highest_number_is_in_force() {
    let mut g = Group::new();
    g.apply(Command::Configure(table(7, "new")));
    g.apply(Command::Configure(table(5, "old")));
    g.apply(Command::Configure(table(7, "other")));
    assert_eq!(g.state.routes().number, 7);
    assert_eq!(&*g.state.routes().queues[0].policy.service, "new");
}

#[test]
fn a_configuration_changes_the_policy_of_open_submissions() {
    let mut g = Group::new();
    g.submit(1, vec![step(1)]);
    g.apply(Command::Configure(table(2, "other")));
    let record = g.state.record(1).unwrap();
    assert_eq!((&*record.policy.service, record.policy.max_attempts), ("other", 9));
}

#[test]
fn a_submission_is_removed_only_once_nothing_of_it_runs() {
    let mut g = Group::new();
    g.submit(1, vec![step(1)]);
    g.place(task(0, 0), 1);
    g.apply(Command::Cancel(vec![1]));
    g.apply(Command::Forget(vec![1]));
    assert!(g.state.record(1).is_some());
    g.end(task(0, 0), 1, EndReason::Stopped);
    g.apply(Command::Forget(vec![1]));
    assert!(g.state.record(1).is_none());
}

#[test]
fn a_snapshot_survives_a_round_trip() {
    let mut g = Group::new();
    g.apply(Command::Configure(table(2, "pool")));
    g.submit(1, vec![step(2)]);
    g.place(task(0, 0), 1);
    assert_eq!(SubmissionState::decode(&g.state.encode()).unwrap(), g.state);
}

#[test]
fn a_damaged_snapshot_is_rejected() {
    assert_eq!(SubmissionState::decode(&[0xff; 9]).unwrap_err().kind, ErrorKind::Corrupt);
}

#[test]
fn the_longest_prefix_selects_the_queue() {
    let mut routes = table(1, "pool");
    let mut longer = routes.queues[0].clone();
    longer.prefix = "/queue/inner/".into();
    routes.queues.push(longer);
    let prefix = |path| routes.route("host", path).map(|q| &*q.prefix);
    assert_eq!(prefix("/queue/1"), Some("/queue/"));
    assert_eq!(prefix("/queue/inner/1"), Some("/queue/inner/"));
    assert_eq!(prefix("/elsewhere/1"), None);
    assert!(routes.route("another", "/queue/1").is_none());
}

/// A leader starts and ends its tasks for workers only when this version changes.
#[test]
fn the_version_of_the_incarnations_changes_with_their_set_alone() {
    let mut g = Group::new();
    let mut versions = vec![g.state.incarnations_version()];
    g.submit(1, vec![step(1)]);
    assert!(g.place(task(0, 0), 1));
    g.end(task(0, 0), 1, EndReason::Done);
    g.apply(Command::Register(worker("wa", 4)));
    assert_eq!(g.state.incarnations_version(), versions[0], "the set of incarnations is the same");
    g.apply(Command::Register(worker("wb", 4)));
    versions.push(g.state.incarnations_version());
    g.apply(Command::Lost { incarnation: 1, checkpoints: vec![] });
    versions.push(g.state.incarnations_version());
    let restarted = WorkerInfo { started_ms: 1_000_000, ..worker("wb", 4) };
    g.apply(Command::Register(restarted));
    versions.push(g.state.incarnations_version());
    for (i, version) in versions.iter().enumerate() {
        assert!(!versions[..i].contains(version), "{versions:?}");
    }
}

/// A worker that was cut off finished a task before its lease expired, and lists the end when
/// it registers again, after it was declared lost. The task must not start again after the end
/// is acknowledged.
#[test]
fn a_task_that_a_lost_worker_had_done_is_done() {
    let mut g = Group::new();
    g.submit(1, vec![step(1)]);
    assert!(g.place(task(0, 0), 1));
    g.apply(Command::Lost { incarnation: 1, checkpoints: vec![] });
    g.apply(Command::Register(worker("wa", 4)));
    let end =
        RunEnd { task: task(0, 0), attempt: 1, reason: EndReason::Done, checkpoint: "".into() };
    let ended = Command::Ended { incarnation: 2, ends: vec![end] };
    assert_eq!(g.apply(ended), CommandResult::Over(vec![1]));
    let restarted = Placement { task: task(0, 0), attempt: 2, incarnation: 2 };
    assert_eq!(g.apply(Command::Place(vec![restarted])), CommandResult::Placed(vec![]));
    assert_eq!(g.state.record(1).unwrap().phase, Phase::Complete);
}

/// The task was placed again before the end was listed: the second run is no longer needed and
/// its own end changes nothing.
#[test]
fn a_late_end_counts_once_beside_a_second_run() {
    let mut g = Group::new();
    g.submit(1, vec![step(2)]);
    assert!(g.place(task(0, 0), 1));
    g.apply(Command::Register(worker("wb", 4)));
    g.apply(Command::Lost { incarnation: 1, checkpoints: vec![] });
    let second = Placement { task: task(0, 0), attempt: 2, incarnation: 2 };
    assert_eq!(g.apply(Command::Place(vec![second])), CommandResult::Placed(vec![second]));
    g.apply(Command::Register(worker("wa", 4)));
    let end = |attempt, reason| RunEnd { task: task(0, 0), attempt, reason, checkpoint: "".into() };
    g.apply(Command::Ended { incarnation: 3, ends: vec![end(1, EndReason::Done)] });
    assert!(g.state.record(1).unwrap().task(task(0, 0)).unwrap().done);
    g.apply(Command::Ended { incarnation: 2, ends: vec![end(2, EndReason::Stopped)] });
    let record = g.state.record(1).unwrap();
    assert_eq!(record.left[0][0], 1, "the other task of the step is still to be done");
    assert_eq!(g.state.incarnation(2).unwrap().reserved.cpu_millis, 0);
    assert_eq!(g.state.incarnation(3).unwrap().reserved.cpu_millis, 0);
}

#[test]
fn a_late_failure_of_a_lost_worker_does_not_count() {
    let mut g = Group::new();
    g.submit(1, vec![step(1)]);
    assert!(g.place(task(0, 0), 1));
    g.apply(Command::Lost { incarnation: 1, checkpoints: vec![] });
    g.apply(Command::Register(worker("wa", 4)));
    for (attempt, reason) in [(1, EndReason::Failed), (1, EndReason::Stopped), (2, EndReason::Done)]
    {
        let end = RunEnd { task: task(0, 0), attempt, reason, checkpoint: "".into() };
        g.apply(Command::Ended { incarnation: 2, ends: vec![end] });
    }
    let record = g.state.record(1).unwrap();
    assert_eq!((record.phase, record.task(task(0, 0)).unwrap().failures), (Phase::Open, 0));
}

/// Guards against a report from before a change of the capacity that arrives after it, and against
/// the loss of the order of reports with a snapshot.
#[test]
fn reports_count_in_the_order_in_which_they_were_made() {
    let mut g = Group::new();
    let capacity = |g: &Group| g.state.incarnation(1).unwrap().worker.capacity.cpu_millis;
    let cases = [(5, 4, 4_000), (7, 2, 2_000), (6, 4, 2_000), (8, 4, 4_000), (7, 2, 4_000)];
    for (sequence, cores, expected) in cases {
        let report = WorkerReport { worker: worker("wa", cores), sequence };
        g.apply(Command::Report(report.clone()));
        assert_eq!(capacity(&g), expected, "after report {sequence}");
        assert!(g.state.reflects(&report), "report {sequence} has nothing new");
        g.state = SubmissionState::decode(&g.state.encode()).unwrap();
    }
    let draining = WorkerInfo { draining: true, ..worker("wa", 2) };
    g.apply(Command::Report(WorkerReport { worker: draining, sequence: 6 }));
    assert!(g.state.incarnation(1).unwrap().worker.draining);
    assert_eq!(capacity(&g), 4_000);
    assert_eq!(g.state.largest_capacity(1).unwrap().cpu_millis, 4_000);
}

/// Guards against a replica that doesn't start with the snapshot of an earlier version, which has
/// neither crashes nor numbers of reports: four empty maps at its end.
#[test]
fn a_snapshot_of_an_earlier_version_is_read() {
    let mut state = SubmissionState::default();
    let submission = submission(1, vec![step(1)]);
    state.apply(1, &Command::Submit { submission, policy: policy(), at_ms: 0 });
    let mut bytes = state.encode();
    assert_eq!(bytes.split_off(bytes.len() - 4), [0; 4]);
    assert_eq!(SubmissionState::decode(&bytes).unwrap(), state);
}

/// Guards against submissions that take up all memory although there are few of them.
#[test]
fn the_memory_of_submissions_is_counted_while_they_are_kept() {
    let mut g = Group::new();
    assert_eq!(g.state.kept_bytes(), 0);
    g.submit(1, vec![step(1)]);
    let small = g.state.kept_bytes();
    g.submit(1, vec![step(1)]);
    assert_eq!(g.state.kept_bytes(), small, "a resend");
    g.submit(2, vec![step(1_000)]);
    let both = g.state.kept_bytes();
    assert!(both - small > 999 * 50, "{} bytes for 1,000 tasks", both - small);
    let restored = SubmissionState::decode(&g.state.encode()).unwrap();
    assert_eq!(restored.kept_bytes(), both);
    g.apply(Command::Cancel(vec![1, 2]));
    assert_eq!(g.state.kept_bytes(), both, "ended submissions are kept for a while");
    g.apply(Command::Forget(vec![2]));
    assert_eq!(g.state.kept_bytes(), small);
    g.apply(Command::Forget(vec![1]));
    assert_eq!(g.state.kept_bytes(), 0);
}

/// Guards against an estimate that leaves out the occurrences.
#[test]
fn each_occurrence_counts() {
    let spec = |occurrences| Submission { occurrences, ..submission(1, vec![step(1)]) };
    let one = kept_bytes(&spec(1));
    assert!(kept_bytes(&spec(8_640)) > 8_640 * 200, "{one} bytes for one occurrence");
}
