//! The order in which the starts on one worker are sent, and how many are in flight.

use super::cluster::{Cluster, Link, policy, step, submission, worker};
use cyclamenloft_placement::submission::{
    Command, IncarnationId, OrderKind, Phase, Placement, Step, TaskId,
    fleet::{Order, OrderAnswer},
    routes::QueuePolicy,
};
use cyclamenloft_types::Resources;
use std::{collections::BTreeMap, time::Duration};

/// Number of tasks of a wide submission that fit on one worker.
const WIDE: u16 = 3_000;
/// Longest time without a run after which a submission counts as lost, in milliseconds.
const LOST_AFTER_MS: u64 = 3_000;
/// Time within which all members of a gang have to be present, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3_000;

fn tiny(count: u16) -> Step {
    Step { demand: Resources::new(20, 1, 0), ..step(count) }
}

/// Returns a cluster with one idle worker that has answered.
fn idle_cluster() -> Cluster {
    let mut w = Cluster::new([worker("wa", 64)]);
    w.run(300);
    w
}

fn submit(w: &mut Cluster, id: u64, priority: u8, step: Step) {
    let policy = QueuePolicy { priority, ..policy() };
    let at_ms = w.instant_ms();
    w.apply(Command::Submit { submission: submission(id, vec![step]), policy, at_ms });
}

/// Places all tasks of the only step of a submission on the worker.
fn place_all(w: &mut Cluster, id: u64) {
    let (incarnation, _) = w.state.newest_incarnation("wa").unwrap();
    let tasks: Vec<TaskId> = w.state.record(id).unwrap().tasks().map(|(task, _)| task).collect();
    let placed = tasks.iter().map(|task| Placement { task: *task, attempt: 1, incarnation });
    w.apply(Command::Place(placed.collect()));
}

/// Returns the times of the starts of a submission's tasks.
fn starts(w: &Cluster, id: u64) -> Vec<u64> {
    w.starts.iter().filter(|(task, ..)| task.submission == id).map(|(.., at)| *at).collect()
}

/// Runs a wide submission and, a second later, a small one on the same worker. Returns how long
/// after its placement the small one begins.
fn wait_behind_wide(wide: (u64, u8), small: (u64, u8)) -> u64 {
    let mut w = idle_cluster();
    submit(&mut w, wide.0, wide.1, tiny(WIDE));
    place_all(&mut w, wide.0);
    w.run(1_000);
    submit(&mut w, small.0, small.1, tiny(1));
    place_all(&mut w, small.0);
    let placed_at = w.instant_ms();
    w.run(2 * LOST_AFTER_MS);
    starts(&w, small.0).first().map_or(u64::MAX, |at| at - placed_at)
}

macro_rules! small_beside_wide {
    ($($name:ident: $wide:expr, $small:expr;)*) => {$(
        /// Guards against a submission that doesn't begin before the last of thousands of starts
        /// that were placed on its worker earlier has been answered.
        #[test]
        fn $name() {
            let waited_ms = wait_behind_wide($wide, $small);
            assert!(waited_ms < LOST_AFTER_MS, "the small submission begins after {waited_ms} ms");
        }
    )*};
}

small_beside_wide! {
    a_small_submission_with_a_higher_id_begins_beside_a_wide_one: (1, 2), (2, 2);
    a_small_submission_with_a_lower_id_begins_beside_a_wide_one: (2, 2), (1, 2);
    an_urgent_submission_begins_beside_a_wide_one: (1, 2), (2, 0);
    a_submission_begins_beside_a_more_urgent_wide_one: (1, 0), (2, 4);
}

/// Guards against a gang whose first members give up waiting before the start of the last one has
/// been sent, behind other starts or because one start at a time is in flight.
#[test]
fn the_members_of_a_large_gang_start_within_its_timeout() {
    let mut w = idle_cluster();
    submit(&mut w, 1, 2, tiny(1_500));
    place_all(&mut w, 1);
    w.run(500);
    submit(&mut w, 2, 2, Step { gang: true, ..tiny(600) });
    submit(&mut w, 3, 2, Step { gang: true, ..tiny(600) });
    place_all(&mut w, 2);
    place_all(&mut w, 3);
    w.run(10_000);
    for id in [2, 3] {
        let starts = starts(&w, id);
        assert_eq!(starts.len(), 600);
        let span = starts.last().unwrap() - starts.first().unwrap();
        assert!(span < GANG_TIMEOUT_MS, "the members of {id} start within {span} ms");
    }
}

/// Guards against wide submissions of equal priority of which one begins only after another has
/// started all its tasks.
#[test]
fn wide_submissions_take_turns() {
    let mut w = idle_cluster();
    for id in [1, 2] {
        submit(&mut w, id, 2, tiny(1_500));
        place_all(&mut w, id);
    }
    w.run(400);
    let (first, second) = (starts(&w, 1).len(), starts(&w, 2).len());
    assert!(first.abs_diff(second) <= 16, "{first} and {second} starts");
    assert!(first > 0 && second > 0);
}

/// Returns the number of orders of a kind that were sent within any `span_ms`, at most.
fn most_sent(w: &Cluster, kind: OrderKind, since: u64, span_ms: u64) -> usize {
    let sent = w.sent.iter().filter(|(at, order, _)| order.kind == kind && *at >= since);
    let times: Vec<u64> = sent.map(|(at, ..)| *at).collect();
    let within =
        |from: &u64| times.iter().filter(|at| (*from..from + span_ms).contains(at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// Guards against a worker that answers no orders and is sent as many as one that answers each.
#[test]
fn one_start_at_a_time_is_sent_to_a_worker_that_does_not_answer() {
    let mut w = idle_cluster();
    submit(&mut w, 1, 2, tiny(WIDE));
    place_all(&mut w, 1);
    w.run(300);
    assert!(most_sent(&w, OrderKind::Start, 0, 10) > 4, "the window is open");
    w.worker("wa").link = Link::NoOrders;
    w.run(1_000);
    let since = w.instant_ms();
    w.run(4_000);
    assert!(most_sent(&w, OrderKind::Start, since, 700) <= 1);
}

/// Guards against a stop that waits for the answers to all starts that were sent before, or for
/// those that are yet to be sent.
#[test]
fn a_stop_overtakes_starts() {
    let mut w = idle_cluster();
    submit(&mut w, 1, 2, tiny(WIDE));
    submit(&mut w, 2, 2, Step { lasting: true, ..tiny(1) });
    place_all(&mut w, 2);
    w.run(200);
    place_all(&mut w, 1);
    w.run(300);
    let is_stop = |(_, order, _): &(u64, Order, u64)| {
        order.kind == OrderKind::Stop && order.task.submission == 2
    };
    w.worker("wa").link = Link::NoOrders;
    w.run(50);
    w.apply(Command::Cancel(vec![2]));
    let cancelled_at = w.instant_ms();
    w.run(20);
    let stop = w.sent.iter().find(|sent| is_stop(sent));
    assert!(stop.is_some_and(|(at, ..)| *at < cancelled_at + 20), "{stop:?}");
    w.worker("wa").link = Link::Open;
    w.run(LOST_AFTER_MS);
    assert_eq!(w.phase(2), Phase::Cancelled);
    assert!(w.running(TaskId { submission: 2, occurrence: 0, step: 0, index: 0 }).is_empty());
}

/// Guards against a run whose order is sent again while the first one is in flight, so that its
/// answers can't be told apart.
#[test]
fn a_run_has_one_order_in_flight() {
    let mut w = idle_cluster();
    submit(&mut w, 1, 2, tiny(200));
    place_all(&mut w, 1);
    let (id, now): (IncarnationId, _) = (1, w.instant());
    let mut sent: BTreeMap<TaskId, usize> = BTreeMap::new();
    for _ in 0..3 {
        while let Some(order) = w.fleet.next_order(&w.state, id, now) {
            w.fleet.order_sent(id, order, now);
            *sent.entry(order.task).or_default() += 1;
        }
    }
    assert!(!sent.is_empty() && sent.values().all(|count| *count == 1), "{sent:?}");
}

/// Guards against an order that isn't sent again in time, because the time has passed while others
/// were being answered.
#[test]
fn a_delayed_order_stays_due_until_it_is_queued_again() {
    let mut w = idle_cluster();
    submit(&mut w, 1, 2, tiny(2));
    place_all(&mut w, 1);
    let (id, now): (IncarnationId, _) = (1, w.instant());
    let order = w.fleet.next_order(&w.state, id, now).unwrap();
    w.fleet.order_sent(id, order, now);
    w.fleet.answered(id, order, OrderAnswer::Late, now);
    let retry_at = w.fleet.retry_at(id).unwrap();
    let late = retry_at + Duration::from_millis(50);
    let other = w.fleet.queued_order(&w.state, id, late).unwrap();
    assert_ne!(other.task, order.task);
    w.fleet.order_sent(id, other, late);
    w.fleet.answered(id, other, OrderAnswer::Taken, late);
    assert_eq!(w.fleet.retry_at(id), Some(retry_at));
    assert_eq!(w.fleet.next_order(&w.state, id, late), Some(order));
    assert_eq!(w.fleet.retry_at(id), None);
}
