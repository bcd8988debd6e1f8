//! What follows from a worker's answers.

use super::cluster::{Cluster, step, submission, worker};
use cyclamenloft_placement::submission::{
    Change, EndReason, Fleet, Observation, OrderKind, Placed, TaskId, WorkerInfo,
    fleet::OrderAnswer,
};
use std::time::{Duration, Instant};

const TASK: TaskId = TaskId { submission: 1, occurrence: 0, step: 0, index: 0 };

/// A placed task on one worker that has answered a first look.
fn placed() -> (Cluster, Fleet, Instant) {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.submit(submission(1, vec![step(1)]));
    w.apply(Change::Place(vec![Placed { task: TASK, attempt: 1, incarnation: 1 }]));
    let now = Instant::now();
    let mut fleet = Fleet::new(Duration::from_secs(3), now);
    fleet.observe(&w.state, 1, &nothing(), now, now);
    (w, fleet, now)
}

fn nothing() -> Observation {
    Observation { started_ms: 1, clock_ms: 0, running: vec![], ended: vec![] }
}

/// What follows from an answer to the first start.
fn after(answer: OrderAnswer) -> (Option<EndReason>, Option<OrderKind>) {
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
            let (end, next) = after(OrderAnswer::$answer);
            assert_eq!((end, next), ($end, $next));
        }
    )*};
}

answers! {
    a_start_that_was_taken_is_not_repeated: Taken => (None, None);
    a_start_without_an_answer_is_repeated: Unanswered => (None, Some(OrderKind::Start));
    a_start_that_was_not_sent_is_repeated: NotSent => (None, Some(OrderKind::Start));
    a_start_that_came_late_is_repeated: Late => (None, Some(OrderKind::Start));
    want_of_room_ends_the_run: NoRoom => (Some(EndReason::NeverRan), Some(OrderKind::Stop));
    an_unhealthy_worker_ends_the_run: Unhealthy => (Some(EndReason::NeverRan), Some(OrderKind::Stop));
}

#[test]
fn want_of_room_after_a_start_without_an_answer_stops_the_run_first() {
    let (w, mut fleet, now) = placed();
    let order = fleet.next_order(&w.state, 1, now).unwrap();
    fleet.answered(1, order, OrderAnswer::Unanswered, now);
    assert_eq!(fleet.answered(1, order, OrderAnswer::NoRoom, now), None);
    let later = now + Duration::from_millis(450);
    let stop = fleet.next_order(&w.state, 1, later).unwrap();
    assert_eq!(stop.kind, OrderKind::Stop);
    fleet.answered(1, stop, OrderAnswer::Taken, later);
    let sent = later + Duration::from_millis(1);
    let ends = fleet.observe(&w.state, 1, &nothing(), sent, sent);
    assert_eq!(ends.iter().map(|e| e.reason).collect::<Vec<_>>(), [EndReason::NeverRan]);
}

#[test]
fn a_look_that_was_sent_before_the_start_says_nothing_of_it() {
    let (w, mut fleet, now) = placed();
    let order = fleet.next_order(&w.state, 1, now).unwrap();
    let answered = now + Duration::from_millis(10);
    fleet.answered(1, order, OrderAnswer::Taken, answered);
    assert!(fleet.observe(&w.state, 1, &nothing(), now, answered).is_empty());
    let sent = answered + Duration::from_millis(1);
    let ends = fleet.observe(&w.state, 1, &nothing(), sent, sent);
    assert_eq!(ends.iter().map(|e| e.reason).collect::<Vec<_>>(), [EndReason::Lapsed]);
}

#[test]
fn a_condemned_life_gets_no_order_even_if_it_answers() {
    let (w, mut fleet, now) = placed();
    fleet.unreachable(1, now);
    let later = now + Duration::from_secs(9);
    assert_eq!(fleet.declare_lost(&w.state, later).len(), 1);
    fleet.observe(&w.state, 1, &nothing(), later, later);
    assert_eq!(fleet.next_order(&w.state, 1, later), None);
}

#[test]
fn a_worker_that_has_said_farewell_is_not_waited_for() {
    let (mut w, mut fleet, now) = placed();
    w.apply(Change::Register(WorkerInfo { draining: true, leaving: true, ..worker("wa", 4) }));
    fleet.unreachable(1, now);
    assert!(fleet.declare_lost(&w.state, now).is_empty());
    assert_eq!(fleet.declare_lost(&w.state, now + Duration::from_millis(500)).len(), 1);
}

#[test]
fn a_worker_that_leaves_is_not_told_to_begin_what_was_placed_before() {
    let (mut w, mut fleet, now) = placed();
    let order = fleet.next_order(&w.state, 1, now).unwrap();
    fleet.answered(1, order, OrderAnswer::Unanswered, now);
    w.apply(Change::Register(WorkerInfo { draining: true, ..worker("wa", 4) }));
    let later = now + Duration::from_millis(450);
    let next = fleet.next_order(&w.state, 1, later).unwrap();
    assert_eq!((next.task, next.kind), (TASK, OrderKind::Stop));
}

#[test]
fn a_run_that_the_group_does_not_know_is_stopped() {
    let (w, mut fleet, now) = placed();
    let stray = TaskId { submission: 9, ..TASK };
    let listed = cyclamenloft_placement::submission::ListedRun {
        task: stray,
        attempt: 3,
        checkpoint: "".into(),
        percent: 5,
        metric: 0,
    };
    fleet.observe(&w.state, 1, &Observation { running: vec![listed], ..nothing() }, now, now);
    let order = fleet.next_order(&w.state, 1, now).unwrap();
    assert_eq!((order.task, order.attempt, order.kind), (stray, 3, OrderKind::Stop));
}
