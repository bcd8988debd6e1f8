//! Outcomes with which a request can end.

use crate::support::{ms, permit, request, router, target};
use cyclamenloft_routing::{Permit, RequestMeta, RoutingPolicy, ServicePolicy, lifecycle::Request};
use cyclamenloft_types::{Outcome, TargetId};
use std::time::Instant;

/// A message that can't be cloned.
#[derive(Debug)]
struct Message;

fn meta(idempotent: bool, now: Instant) -> RequestMeta {
    RequestMeta { idempotent, ..request("c", now + ms(1000)) }
}

fn some_permit(now: Instant) -> (Permit, TargetId) {
    let mut router = router(1, RoutingPolicy::default(), ServicePolicy::default(), now);
    (permit(router.admit(meta(true, now), &[], now)), target(0))
}

#[test]
fn a_request_whose_message_is_taken_back_has_not_run() {
    let now = Instant::now();
    let (permit, id) = some_permit(now);
    let (request, message) = Request::new(meta(false, now), Message).dispatch(permit);
    let (request, permit) = request.requeue_unsent(message);
    assert_eq!(permit.target, id);
    assert_eq!(request.failed(), [id]);
    assert_eq!(request.refuse().outcome(), Outcome::NotRun);
}

#[test]
fn a_failed_attempt_may_have_run() {
    let now = Instant::now();
    let (permit, _) = some_permit(now);
    let (request, _sent) = Request::new(meta(false, now), Message).dispatch(permit);
    let (request, attempt) = request.fail(ms(5), true);
    assert_eq!(request.outcome(), Outcome::Unknown);
    assert!(attempt.result.abandoned && !attempt.result.healthy);
}

#[test]
fn a_complete_response_has_outcome_done() {
    let now = Instant::now();
    let (permit, _) = some_permit(now);
    let (request, _sent) = Request::new(meta(false, now), Message).dispatch(permit);
    let (request, attempt) = request.complete(ms(5));
    assert_eq!(request.outcome(), Outcome::Done);
    assert_eq!(attempt.result.outcome, Outcome::Done);
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_not_retried() {
    let now = Instant::now();
    let (permit, _) = some_permit(now);
    let (request, _sent) = Request::new(meta(false, now), Message).dispatch(permit);
    let request = request.try_again(Message, ms(5), false).unwrap_err();
    assert_eq!(request.fail(ms(5), false).0.outcome(), Outcome::Unknown);
}

#[test]
fn a_refusal_after_an_attempt_that_may_have_run_is_unknown() {
    let now = Instant::now();
    let (permit, id) = some_permit(now);
    let (request, _sent) = Request::new(meta(true, now), Message).dispatch(permit);
    let (mut request, _attempt) = request.try_again(Message, ms(5), false).unwrap();
    request.record_unreachable(target(1));
    assert_eq!(request.failed(), [id, target(1)]);
    assert_eq!(request.outcome_so_far(), Outcome::Unknown);
    let (permit, _) = some_permit(now);
    let (request, message) = request.dispatch(permit);
    let (request, _permit) = request.requeue_unsent(message);
    assert_eq!(
        request.refuse().outcome(),
        Outcome::Unknown,
        "taking back the last attempt doesn't undo an earlier one"
    );
}
