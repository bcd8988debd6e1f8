//! Who waits, in what order, and who is refused.

use crate::support::{
    abandoned, cases, healthy, ms, permit, record, refusal, request, router, run_one,
};
use cyclamenloft_routing::{
    Decision, Permit, RequestMeta, RoutingPolicy, ServicePolicy, ServiceRouter, Ticket,
};
use cyclamenloft_types::{ErrorKind, Priority};
use std::time::{Duration, Instant};

/// A router with one target of one slot, that slot's permit, and a queue.
fn busy(queue: u32, now: Instant) -> (ServiceRouter, Permit) {
    let service = ServicePolicy { slots: 1, queue, ..ServicePolicy::default() };
    let mut router = router(1, RoutingPolicy::default(), service, now);
    let held = permit(router.admit(request("first", now + ms(60_000)), &[], now));
    (router, held)
}

fn wait(router: &mut ServiceRouter, meta: RequestMeta, now: Instant) -> Ticket {
    match router.admit(meta, &[], now) {
        Decision::Wait(ticket) => ticket,
        other => panic!("expected to wait, found {other:?}"),
    }
}

/// Releases the held permit over and over; returns the order of the tickets.
fn serve_all(
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
fn the_queue_goes_by_priority_then_deadline() {
    let now = Instant::now();
    let (mut router, held) = busy(100, now);
    let batch = wait(&mut router, with_priority(Priority::Batch, now + ms(10)), now);
    let late = wait(&mut router, with_priority(Priority::Service, now + ms(900)), now);
    let soon = wait(&mut router, with_priority(Priority::Service, now + ms(500)), now);
    let urgent = wait(&mut router, with_priority(Priority::Urgent, now + ms(2000)), now);
    assert_eq!(serve_all(&mut router, held, 4, now), [urgent, soon, late, batch]);
}

#[test]
fn a_crowded_queue_goes_in_turn_between_callers() {
    let now = Instant::now();
    let (mut router, held) = busy(20, now);
    let wave: Vec<_> =
        (0..12).map(|n| wait(&mut router, request("wave", now + ms(500 + n)), now)).collect();
    let calm: Vec<_> =
        (0..3).map(|n| wait(&mut router, request("calm", now + ms(900 + n)), now)).collect();
    let order = serve_all(&mut router, held, 5, now);
    assert_eq!(order, [wave[0], calm[0], wave[1], calm[1], wave[2]]);
}

#[test]
fn a_full_queue_takes_from_the_largest_caller() {
    let now = Instant::now();
    let (mut router, _held) = busy(10, now);
    let wave: Vec<_> =
        (0..10).map(|n| wait(&mut router, request("wave", now + ms(500 + n)), now)).collect();
    wait(&mut router, request("calm", now + ms(900)), now);
    let decided = router.take_decided();
    assert_eq!(decided.len(), 1);
    assert_eq!(decided[0].0, wave[9]);
    assert!(matches!(&decided[0].1, Decision::Refuse(r) if r.kind == ErrorKind::Overloaded));
    for _ in 0..4 {
        wait(&mut router, request("calm", now + ms(900)), now);
    }
    let refused = refusal(router.admit(request("calm", now + ms(900)), &[], now));
    assert_eq!(refused.kind, ErrorKind::Overloaded, "a caller at its fair share displaces nobody");
    assert_eq!(router.take_decided().len(), 4);
    assert_eq!(router.snapshot(now).queued, 10);
}

#[test]
fn a_full_queue_of_batch_makes_room_for_a_service() {
    let now = Instant::now();
    let (mut router, _held) = busy(4, now);
    let batch: Vec<_> = (0..4)
        .map(|_| wait(&mut router, with_priority(Priority::Batch, now + ms(900)), now))
        .collect();
    wait(&mut router, with_priority(Priority::Service, now + ms(900)), now);
    assert_eq!(router.take_decided()[0].0, batch[3]);
    let refused = refusal(router.admit(with_priority(Priority::Batch, now + ms(9)), &[], now));
    assert_eq!(refused.kind, ErrorKind::Overloaded);
}

/// A service of one slot that takes 100 ms, with `waiting` requests before one
/// that has `remaining` time.
fn a_deadline_is_held_against_the_prediction(waiting: usize, remaining: Duration, fits: bool) {
    let mut now = Instant::now();
    let service = ServicePolicy { slots: 1, ..ServicePolicy::default() };
    let mut router = router(1, RoutingPolicy::default(), service, now);
    for _ in 0..40 {
        run_one(&mut router, &mut now, |_| healthy(ms(100)));
    }
    let _held = permit(router.admit(request("c", now + ms(60_000)), &[], now));
    for _ in 0..waiting {
        wait(&mut router, request("c", now + ms(60_000)), now);
    }
    match router.admit(request("c", now + remaining), &[], now) {
        Decision::Wait(_) => assert!(fits),
        Decision::Refuse(r) => {
            assert!(!fits);
            assert_eq!(r.kind, ErrorKind::DeadlineTooShort);
            let drain = ms(100) * (waiting as u32 + 1);
            assert!(r.retry_after >= drain && r.retry_after < drain * 2, "{:?}", r.retry_after);
        }
        Decision::Dispatch(_) => panic!("there is no free slot"),
    }
}

cases! { a_deadline_is_held_against_the_prediction:
    enough_time_waits(0, ms(500), true);
    too_little_for_the_service_is_refused(0, ms(150), false);
    an_earlier_deadline_goes_first_and_waits(20, ms(500), true);
    too_little_even_at_the_front_is_refused(20, ms(205), false);
    the_slack_of_the_others_is_no_reason_to_refuse(3, ms(60_000), true);
}

#[test]
fn without_admission_nothing_is_refused_for_its_deadline() {
    let mut now = Instant::now();
    let routing = RoutingPolicy { admission: false, ..RoutingPolicy::default() };
    let service = ServicePolicy { slots: 1, ..ServicePolicy::default() };
    let mut router = router(1, routing, service, now);
    for _ in 0..40 {
        run_one(&mut router, &mut now, |_| healthy(ms(100)));
    }
    let _held = permit(router.admit(request("c", now + ms(1)), &[], now));
    wait(&mut router, request("c", now + ms(1)), now);
}

#[test]
fn a_request_past_hope_is_refused_at_once() {
    let mut now = Instant::now();
    let service = ServicePolicy { slots: 1, ..ServicePolicy::default() };
    let mut router = router(1, RoutingPolicy::default(), service, now);
    for _ in 0..40 {
        run_one(&mut router, &mut now, |_| healthy(ms(100)));
    }
    let _held = permit(router.admit(request("c", now + ms(60_000)), &[], now));
    let ticket = wait(&mut router, request("c", now + ms(400)), now);
    assert!(router.tick(now + ms(250)).is_empty());
    let decided = router.tick(now + ms(320));
    assert_eq!(decided[0].0, ticket);
    assert!(matches!(&decided[0].1, Decision::Refuse(r) if r.kind == ErrorKind::DeadlineTooShort));
}

#[test]
fn waiting_requests_are_refused_when_the_last_target_goes() {
    let now = Instant::now();
    let (mut router, _held) = busy(10, now);
    let ticket = wait(&mut router, request("c", now + ms(2000)), now);
    let mut leaving = record(0, 2, now + ms(3000));
    leaving.leaving = true;
    let decided = router.announce(leaving, now);
    assert_eq!(decided[0].0, ticket);
    assert!(matches!(&decided[0].1, Decision::Refuse(r) if r.kind == ErrorKind::NoTarget));
}

#[test]
fn a_cancelled_request_is_decided_no_more() {
    let now = Instant::now();
    let (mut router, held) = busy(10, now);
    let ticket = wait(&mut router, request("c", now + ms(2000)), now);
    assert!(router.cancel(ticket));
    assert!(!router.cancel(ticket));
    assert!(router.release(held, healthy(ms(1)), now).is_empty());
}

#[test]
fn an_abandoned_request_keeps_its_slot_until_the_target_is_done() {
    let now = Instant::now();
    let (mut router, held) = busy(10, now);
    let ticket = wait(&mut router, request("c", now + ms(60_000)), now);
    assert!(router.release(held, abandoned(ms(2000)), now).is_empty());
    let announce = |router: &mut ServiceRouter, sequence, in_flight, after| {
        let mut record = record(0, sequence, now + ms(10_000_000));
        record.in_flight = in_flight;
        router.announce(record, now + after)
    };
    assert!(announce(&mut router, 2, 0, ms(600)).is_empty(), "the first since may be old");
    assert!(announce(&mut router, 1, 0, ms(700)).is_empty(), "older than the one before");
    assert!(announce(&mut router, 3, 1, ms(800)).is_empty(), "the target still works on it");
    let decided = announce(&mut router, 4, 0, ms(900));
    assert_eq!(decided[0].0, ticket);
    assert!(matches!(decided[0].1, Decision::Dispatch(_)));
}

#[test]
fn an_announcement_that_may_be_old_frees_no_abandoned_slot() {
    let now = Instant::now();
    let (mut router, held) = busy(10, now);
    wait(&mut router, request("c", now + ms(60_000)), now);
    assert!(router.release(held, abandoned(ms(2000)), now).is_empty());
    for sequence in 2..10 {
        let later = now + ms(sequence * 40);
        assert!(router.announce(record(0, sequence, now + ms(10_000_000)), later).is_empty());
    }
    assert_eq!(router.snapshot(now).targets[0].abandoned, 1);
}

#[test]
fn a_count_of_own_requests_frees_an_abandoned_slot_while_others_are_busy() {
    let now = Instant::now();
    let (mut router, held) = busy(10, now);
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
