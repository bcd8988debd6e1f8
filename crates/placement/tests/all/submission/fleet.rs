//! The leader's view of a worker: the orders and ends that follow from the
//! worker's answers.

use super::cluster::{Cluster, step, submission, worker};
use cyclamenloft_placement::submission::{
    Command, EndReason, Fleet, Observation, OrderKind, Placement, TaskId, WorkerInfo,
    fleet::{EndSign, OrderAnswer},
};
use std::time::{Duration, Instant};

const TASK: TaskId = TaskId { submission: 1, occurrence: 0, step: 0, index: 0 };

/// Returns a cluster in which [`TASK`] is placed on a worker, the leader's view
/// after the worker's first answer to a poll, and the time of that answer.
fn placed() -> (Cluster, Fleet, Instant) {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.submit(submission(1, vec![step(1)]));
    w.apply(Command::Place(vec![Placement { task: TASK, attempt: 1, incarnation: 1 }]));
    let now = Instant::now();
    let mut fleet = Fleet::new(Duration::from_secs(3), now);
    fleet.observe(&w.state, 1, &empty_observation(), now, now);
    (w, fleet, now)
}

fn empty_observation() -> Observation {
    Observation { started_ms: 1, clock_ms: 0, running: vec![], ended: vec![], is_partial: false }
}

/// Returns the end and the next order that follow from an answer to the first
/// start.
fn after_start(answer: OrderAnswer) -> (Option<EndReason>, Option<OrderKind>) {
    let (w, mut fleet, now) = placed();
    let order = fleet.next_order(&w.state, 1, now).unwrap();
    assert_eq!(order.kind, OrderKind::Start);
    let end = fleet.answered(1, order, answer, now);
    let later = now + Duration::from_millis(450);
    (end.map(|e| e.reason), fleet.next_order(&w.state, 1, later).map(|o| o.kind))
}

macro_rules! answers {
    ($($name:ident: $answer:ident => ($end:expr, $next:expr);)*) => {$(
        #[test]
        fn $name() {
            let (end, next) = after_start(OrderAnswer::$answer);
            assert_eq!((end, next), ($end, $next));
        }
    )*};
}

answers! {
    an_accepted_start_is_not_repeated: Taken => (None, None);
    a_start_without_an_answer_is_repeated: Unanswered => (None, Some(OrderKind::Start));
    a_start_that_was_not_sent_is_repeated: NotSent => (None, Some(OrderKind::Start));
    a_start_with_an_expired_lease_is_repeated: Late => (None, Some(OrderKind::Start));
    lack_of_room_ends_the_run: NoRoom => (Some(EndReason::NeverRan), Some(OrderKind::Stop));
    an_unhealthy_worker_ends_the_run: Unhealthy => (Some(EndReason::NeverRan), Some(OrderKind::Stop));
}

/// Guards against a stop of a run whose start was rejected, while its end is being committed.
#[test]
fn a_rejected_run_gets_no_order_while_its_end_is_committed() {
    let (w, mut fleet, now) = placed();
    let order = fleet.next_order(&w.state, 1, now).unwrap();
    fleet.order_sent(1, order, now);
    assert!(fleet.answered(1, order, OrderAnswer::NoRoom, now).is_some());
    assert_eq!(fleet.queued_order(&w.state, 1, now), None);
    let soon = now + Duration::from_millis(100);
    assert_eq!(fleet.next_order(&w.state, 1, soon), None);
}

/// The first start gets no answer and may still be carried out. Guards against a
/// run that is declared ended before a stop rules this out.
#[test]
fn lack_of_room_after_an_unanswered_start_stops_the_run_first() {
    let (w, mut fleet, now) = placed();
    let order = fleet.next_order(&w.state, 1, now).unwrap();
    fleet.answered(1, order, OrderAnswer::Unanswered, now);
    assert_eq!(fleet.answered(1, order, OrderAnswer::NoRoom, now), None);
    let later = now + Duration::from_millis(450);
    let stop = fleet.next_order(&w.state, 1, later).unwrap();
    assert_eq!(stop.kind, OrderKind::Stop);
    fleet.answered(1, stop, OrderAnswer::Taken, later);
    let sent = later + Duration::from_millis(1);
    let ends = fleet.observe(&w.state, 1, &empty_observation(), sent, sent);
    assert_eq!(ends.iter().map(|e| e.reason).collect::<Vec<_>>(), [EndReason::NeverRan]);
}

/// Guards against a run that counts as lapsed because the worker does not list it
/// in answer to a poll that was sent before the start.
#[test]
fn a_poll_sent_before_the_start_does_not_end_the_run() {
    let (w, mut fleet, now) = placed();
    let order = fleet.next_order(&w.state, 1, now).unwrap();
    let answered = now + Duration::from_millis(10);
    fleet.answered(1, order, OrderAnswer::Taken, answered);
    assert!(fleet.observe(&w.state, 1, &empty_observation(), now, answered).is_empty());
    let sent = answered + Duration::from_millis(1);
    let ends = fleet.observe(&w.state, 1, &empty_observation(), sent, sent);
    assert_eq!(ends.iter().map(|e| e.reason).collect::<Vec<_>>(), [EndReason::Lapsed]);
}

#[test]
fn a_lost_incarnation_gets_no_order_even_if_it_answers() {
    let (w, mut fleet, now) = placed();
    fleet.unreachable(1, now);
    let later = now + Duration::from_secs(9);
    assert_eq!(fleet.declare_lost(&w.state, later).len(), 1);
    fleet.observe(&w.state, 1, &empty_observation(), later, later);
    assert_eq!(fleet.next_order(&w.state, 1, later), None);
}

/// Guards against waiting for the lease of a worker that has announced its exit.
#[test]
fn a_worker_that_has_announced_its_exit_is_lost_before_its_lease_ends() {
    let (mut w, mut fleet, now) = placed();
    w.apply(Command::Register(WorkerInfo { draining: true, leaving: true, ..worker("wa", 4) }));
    let soon = now + Duration::from_millis(500);
    fleet.process_ended(&w.state, 1, EndSign::Replaced, now);
    assert!(fleet.declare_lost(&w.state, soon).is_empty(), "the run was never listed");
    let listed = cyclamenloft_placement::submission::ListedRun {
        task: TASK,
        attempt: 1,
        checkpoint: "".into(),
        percent: 1,
        metric: 0,
    };
    let seen = Observation { running: vec![listed], ..empty_observation() };
    fleet.observe(&w.state, 1, &seen, now, now);
    fleet.process_ended(&w.state, 1, EndSign::Refused, now);
    assert!(fleet.declare_lost(&w.state, soon).is_empty(), "a partition may refuse connections");
    fleet.process_ended(&w.state, 1, EndSign::Replaced, now);
    assert_eq!(fleet.declare_lost(&w.state, soon).len(), 1);
}

/// Guards against giving up the runs of a worker that is only silent, or whose address is not
/// available, before its lease ends.
#[test]
fn neither_silence_nor_a_refused_connection_alone_ends_runs() {
    let (mut w, mut fleet, now) = placed();
    let soon = now + Duration::from_millis(1_500);
    for sign in [EndSign::Refused, EndSign::Replaced] {
        fleet.process_ended(&w.state, 1, sign, now);
        assert!(fleet.declare_lost(&w.state, soon).is_empty(), "no exit was announced: {sign:?}");
    }
    w.apply(Command::Register(WorkerInfo { draining: true, leaving: true, ..worker("wa", 4) }));
    assert!(fleet.declare_lost(&w.state, soon).is_empty(), "both signs before the announcement");
    fleet.process_ended(&w.state, 1, EndSign::Refused, soon);
    assert!(fleet.declare_lost(&w.state, soon).is_empty(), "refused after the announcement");
    fleet.observe(&w.state, 1, &empty_observation(), soon, soon);
    fleet.unreachable(1, soon);
    let later = soon + Duration::from_millis(1_500);
    assert!(fleet.declare_lost(&w.state, later).is_empty(), "no sign that the process has ended");
    assert_eq!(fleet.declare_lost(&w.state, later + Duration::from_secs(9)).len(), 1);
}

#[test]
fn a_draining_worker_does_not_start_runs_placed_before() {
    let (mut w, mut fleet, now) = placed();
    let order = fleet.next_order(&w.state, 1, now).unwrap();
    fleet.answered(1, order, OrderAnswer::Unanswered, now);
    w.apply(Command::Register(WorkerInfo { draining: true, ..worker("wa", 4) }));
    let later = now + Duration::from_millis(450);
    let next = fleet.next_order(&w.state, 1, later).unwrap();
    assert_eq!((next.task, next.kind), (TASK, OrderKind::Stop));
}

#[test]
fn a_run_unknown_to_the_group_is_stopped() {
    let (w, mut fleet, now) = placed();
    let stray = TaskId { submission: 9, ..TASK };
    let listed = cyclamenloft_placement::submission::ListedRun {
        task: stray,
        attempt: 3,
        checkpoint: "".into(),
        percent: 5,
        metric: 0,
    };
    fleet.observe(
        &w.state,
        1,
        &Observation { running: vec![listed], ..empty_observation() },
        now,
        now,
    );
    let order = fleet.next_order(&w.state, 1, now).unwrap();
    assert_eq!((order.task, order.attempt, order.kind), (stray, 3, OrderKind::Stop));
}

/// Guards against the stop of an attempt that another program has written into the list: the
/// worker would refuse all lower attempts from then on.
#[test]
fn an_attempt_that_was_never_placed_is_not_stopped() {
    let (w, mut fleet, now) = placed();
    let order = fleet.next_order(&w.state, 1, now).unwrap();
    fleet.answered(1, order, OrderAnswer::Taken, now);
    let listed = |attempt| cyclamenloft_placement::submission::ListedRun {
        task: TASK,
        attempt,
        checkpoint: "".into(),
        percent: 5,
        metric: 0,
    };
    let running = vec![listed(2), listed(1), listed(u32::MAX)];
    let seen = Observation { running, ..empty_observation() };
    let later = now + Duration::from_millis(450);
    assert!(fleet.observe(&w.state, 1, &seen, later, later).is_empty());
    assert_eq!(fleet.next_order(&w.state, 1, later), None);
    assert_eq!(seen.never_placed(&w.state).count(), 2);
}

/// Guards against a worker that is declared lost, and its room with it, each time it registers,
/// because its first answer takes longer than the next round.
#[test]
fn a_worker_that_has_just_registered_is_lost_only_once_it_is_known_to_be_silent() {
    let mut w = Cluster::new([]);
    let elected = Instant::now();
    let mut fleet = Fleet::new(Duration::from_secs(3), elected);
    let now = elected + Duration::from_secs(60);
    w.apply(Command::Register(worker("wa", 4)));
    fleet.view_mut(1, now);
    fleet.poll_sent(1, Duration::ZERO, now);
    let next_rounds = [10, 50, 200, 400].map(|ms| now + Duration::from_millis(ms));
    assert!(next_rounds.iter().all(|at| fleet.declare_lost(&w.state, *at).is_empty()));
    fleet.unreachable(1, next_rounds[3]);
    assert_eq!(fleet.declare_lost(&w.state, next_rounds[3]).len(), 1);
}
