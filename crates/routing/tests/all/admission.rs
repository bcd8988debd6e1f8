//! Admission control: which requests are queued, in which order, and which are
//! refused.

use crate::support::{
    abandoned, cases, healthy, ms, permit, record, refusal, request, router, run_one,
};
use cyclamenloft_routing::{
    Decision, Permit, RequestMeta, RoutingPolicy, ServicePolicy, ServiceRouter, Ticket,
};
use cyclamenloft_types::{ErrorKind, Priority};
use std::time::{Duration, Instant};

/// Returns a router with one target of one slot, and the permit that occupies the
/// slot.
fn busy_router(queue: u32, now: Instant) -> (ServiceRouter, Permit) {
    let service = ServicePolicy { slots: 1, queue, ..ServicePolicy::default() };
    let mut router = router(1, RoutingPolicy::default(), service, now);
    let held = permit(router.admit(request("first", now + ms(60_000)), &[], now));
    (router, held)
}

fn enqueue(router: &mut ServiceRouter, meta: RequestMeta, now: Instant) -> Ticket {
    match router.admit(meta, &[], now) {
        Decision::Wait(ticket) => ticket,
        other => panic!("expected the request to be queued, found {other:?}"),
    }
}

/// Releases the permit, then the permit of the request that this dispatches, and
/// so on, `count` times in all. Returns the tickets in the order of their
/// dispatch.
fn release_repeatedly(
    router: &mut ServiceRouter,
    mut held: Permit,
    count: usize,
    now: Instant,
) -> Vec<Ticket> {
    let mut order = Vec::new();
    for _ in 0..count {
        let mut decided = router.release(held, healthy(ms(1)), now);
        let (ticket, decision) = decided.pop().unwrap();
        assert!(decided.is_empty());
        held = permit(decision);
        order.push(ticket);
    }
    order
}

fn with_priority(priority: Priority, deadline: Instant) -> RequestMeta {
    RequestMeta { priority, ..request("c", deadline) }
}

#[test]
fn the_queue_is_ordered_by_priority_then_deadline() {
    let now = Instant::now();
    let (mut router, held) = busy_router(100, now);
    let batch = enqueue(&mut router, with_priority(Priority::Batch, now + ms(10)), now);
    let late = enqueue(&mut router, with_priority(Priority::Service, now + ms(900)), now);
    let soon = enqueue(&mut router, with_priority(Priority::Service, now + ms(500)), now);
    let urgent = enqueue(&mut router, with_priority(Priority::Urgent, now + ms(2000)), now);
    assert_eq!(release_repeatedly(&mut router, held, 4, now), [urgent, soon, late, batch]);
}

/// A queue that is more than half full serves callers in turn, so that a burst of
/// one caller doesn't delay the others.
#[test]
fn a_congested_queue_alternates_between_callers() {
    let now = Instant::now();
    let (mut router, held) = busy_router(20, now);
    let heavy: Vec<_> =
        (0..12).map(|n| enqueue(&mut router, request("heavy", now + ms(500 + n)), now)).collect();
    let light: Vec<_> =
        (0..3).map(|n| enqueue(&mut router, request("light", now + ms(900 + n)), now)).collect();
    let order = release_repeatedly(&mut router, held, 5, now);
    assert_eq!(order, [heavy[0], light[0], heavy[1], light[1], heavy[2]]);
}

/// A caller that fills the queue must not lock out the others. A caller below its
/// fair share displaces requests of the largest caller, but only up to that share.
#[test]
fn a_full_queue_displaces_the_newest_request_of_the_largest_caller() {
    let now = Instant::now();
    let (mut router, _held) = busy_router(10, now);
    let heavy: Vec<_> =
        (0..10).map(|n| enqueue(&mut router, request("heavy", now + ms(500 + n)), now)).collect();
    enqueue(&mut router, request("light", now + ms(900)), now);
    let decided = router.take_decided();
    assert_eq!(decided.len(), 1);
    assert_eq!(decided[0].0, heavy[9]);
    assert!(matches!(&decided[0].1, Decision::Refuse(r) if r.kind == ErrorKind::Overloaded));
    for _ in 0..4 {
        enqueue(&mut router, request("light", now + ms(900)), now);
    }
    let refused = refusal(router.admit(request("light", now + ms(900)), &[], now));
    assert_eq!(refused.kind, ErrorKind::Overloaded, "a caller at its fair share displaces nobody");
    assert_eq!(router.take_decided().len(), 4);
    assert_eq!(router.snapshot(now).queued, 10);
}

#[test]
fn a_full_queue_displaces_batch_for_service_priority() {
    let now = Instant::now();
    let (mut router, _held) = busy_router(4, now);
    let batch: Vec<_> = (0..4)
        .map(|_| enqueue(&mut router, with_priority(Priority::Batch, now + ms(900)), now))
        .collect();
    enqueue(&mut router, with_priority(Priority::Service, now + ms(900)), now);
    assert_eq!(router.take_decided()[0].0, batch[3]);
    let refused = refusal(router.admit(with_priority(Priority::Batch, now + ms(9)), &[], now));
    assert_eq!(refused.kind, ErrorKind::Overloaded);
}

/// The service has one slot, which is occupied, and its requests take 100 ms.
/// `waiting` requests with a late deadline are queued. A request with the time
/// `remaining` must then be queued if it `fits` and refused otherwise.
fn a_deadline_is_compared_with_the_prediction(waiting: usize, remaining: Duration, fits: bool) {
    let mut now = Instant::now();
    let service = ServicePolicy { slots: 1, ..ServicePolicy::default() };
    let mut router = router(1, RoutingPolicy::default(), service, now);
    for _ in 0..40 {
        run_one(&mut router, &mut now, |_| healthy(ms(100)));
    }
    let _held = permit(router.admit(request("c", now + ms(60_000)), &[], now));
    for _ in 0..waiting {
        enqueue(&mut router, request("c", now + ms(60_000)), now);
    }
    match router.admit(request("c", now + remaining), &[], now) {
        Decision::Wait(_) => assert!(fits),
        Decision::Refuse(r) => {
            assert!(!fits);
            assert_eq!(r.kind, ErrorKind::DeadlineTooShort);
            let drain = ms(100) * (waiting as u32 + 1);
            assert!(r.retry_after >= drain && r.retry_after < drain * 2, "{:?}", r.retry_after);
        }
        Decision::Dispatch(_) => panic!("a request was dispatched without a free slot"),
    }
}

cases! { a_deadline_is_compared_with_the_prediction:
    a_request_with_enough_time_is_queued(0, ms(500), true);
    too_little_time_for_wait_and_service_is_refused(0, ms(150), false);
    an_earlier_deadline_precedes_the_queue(20, ms(500), true);
    too_little_time_even_at_the_front_is_refused(20, ms(205), false);
    slack_of_queued_requests_causes_no_refusal(3, ms(60_000), true);
}

#[test]
fn without_admission_control_a_short_deadline_is_queued() {
    let mut now = Instant::now();
    let routing = RoutingPolicy { admission: false, ..RoutingPolicy::default() };
    let service = ServicePolicy { slots: 1, ..ServicePolicy::default() };
    let mut router = router(1, routing, service, now);
    for _ in 0..40 {
        run_one(&mut router, &mut now, |_| healthy(ms(100)));
    }
    let _held = permit(router.admit(request("c", now + ms(1)), &[], now));
    enqueue(&mut router, request("c", now + ms(1)), now);
}

/// The predicted wait can turn out too short. A queued request whose remaining time
/// falls below the service time is refused instead of wasting a slot.
#[test]
fn a_queued_request_is_refused_once_it_must_miss_its_deadline() {
    let mut now = Instant::now();
    let service = ServicePolicy { slots: 1, ..ServicePolicy::default() };
    let mut router = router(1, RoutingPolicy::default(), service, now);
    for _ in 0..40 {
        run_one(&mut router, &mut now, |_| healthy(ms(100)));
    }
    let _held = permit(router.admit(request("c", now + ms(60_000)), &[], now));
    let ticket = enqueue(&mut router, request("c", now + ms(400)), now);
    assert!(router.tick(now + ms(250)).is_empty());
    let decided = router.tick(now + ms(320));
    assert_eq!(decided[0].0, ticket);
    assert!(matches!(&decided[0].1, Decision::Refuse(r) if r.kind == ErrorKind::DeadlineTooShort));
}

#[test]
fn queued_requests_are_refused_when_the_last_target_leaves() {
    let now = Instant::now();
    let (mut router, _held) = busy_router(10, now);
    let ticket = enqueue(&mut router, request("c", now + ms(2000)), now);
    let mut leaving = record(0, 2, now + ms(3000));
    leaving.leaving = true;
    let decided = router.announce(leaving, now);
    assert_eq!(decided[0].0, ticket);
    assert!(matches!(&decided[0].1, Decision::Refuse(r) if r.kind == ErrorKind::NoTarget));
}

#[test]
fn a_cancelled_request_gets_no_decision() {
    let now = Instant::now();
    let (mut router, held) = busy_router(10, now);
    let ticket = enqueue(&mut router, request("c", now + ms(2000)), now);
    assert!(router.cancel(ticket));
    assert!(!router.cancel(ticket));
    assert!(router.release(held, healthy(ms(1)), now).is_empty());
}

/// A request whose connection was closed may still be running. Its slot is reused
/// only after an announcement that certainly counted the request and no longer
/// does.
#[test]
fn an_abandoned_request_keeps_its_slot_until_the_target_is_done() {
    let now = Instant::now();
    let (mut router, held) = busy_router(10, now);
    let ticket = enqueue(&mut router, request("c", now + ms(60_000)), now);
    assert!(router.release(held, abandoned(ms(2000)), now).is_empty());
    let announce = |router: &mut ServiceRouter, sequence, in_flight, after| {
        let mut record = record(0, sequence, now + ms(10_000_000));
        record.in_flight = in_flight;
        router.announce(record, now + after)
    };
    assert!(announce(&mut router, 2, 0, ms(600)).is_empty(), "the first may predate the request");
    assert!(announce(&mut router, 1, 0, ms(700)).is_empty(), "an older sequence is ignored");
    assert!(announce(&mut router, 3, 1, ms(800)).is_empty(), "the target still works on it");
    let decided = announce(&mut router, 4, 0, ms(900));
    assert_eq!(decided[0].0, ticket);
    assert!(matches!(decided[0].1, Decision::Dispatch(_)));
}

/// An announcement made before the request reached the target may arrive after the
/// request was abandoned. It doesn't count the request and must not free its slot.
#[test]
fn an_announcement_that_may_be_old_frees_no_abandoned_slot() {
    let now = Instant::now();
    let (mut router, held) = busy_router(10, now);
    enqueue(&mut router, request("c", now + ms(60_000)), now);
    assert!(router.release(held, abandoned(ms(2000)), now).is_empty());
    for sequence in 2..10 {
        let later = now + ms(sequence * 40);
        assert!(router.announce(record(0, sequence, now + ms(10_000_000)), later).is_empty());
    }
    assert_eq!(router.snapshot(now).targets[0].abandoned, 1);
}

/// Requests of other hosts can keep the target's total count high. The count of
/// this host's own requests frees the slot regardless.
#[test]
fn a_count_of_own_requests_frees_an_abandoned_slot_despite_other_requests() {
    let now = Instant::now();
    let (mut router, held) = busy_router(10, now);
    assert!(router.release(held, abandoned(ms(2000)), now).is_empty());
    for (sequence, held) in [(2, 1), (3, 0)] {
        let later = now + ms(600 * sequence);
        let mut record = record(0, sequence, now + ms(10_000_000));
        record.in_flight = 5;
        let _ = router.announce(record, later);
        router.observe_own_in_flight("t0", 0, later);
        assert_eq!(router.snapshot(later).targets[0].abandoned, held);
    }
}
