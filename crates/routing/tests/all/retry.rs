//! Retries, hedged requests and their shared budget.

use crate::support::{cases, failed, healthy, ms, permit, request, router, run_one, target};
use cyclamenloft_routing::{
    AttemptResult, NoRetry, RequestMeta, RoutingPolicy, ServicePolicy, ServiceRouter,
};
use cyclamenloft_types::Outcome;
use proptest::{prelude::*, test_runner::RngSeed};
use std::time::{Duration, Instant};

/// Tokens of the retry budget before any success, and tokens added per second.
const INITIAL_TOKENS: f64 = 3.0;
const TOKENS_PER_SECOND: f64 = 1.0;

fn warm_router(targets: usize) -> (ServiceRouter, Instant) {
    let mut now = Instant::now();
    let mut router = router(targets, RoutingPolicy::default(), ServicePolicy::default(), now);
    for _ in 0..100 {
        run_one(&mut router, &mut now, |_| healthy(ms(10)));
    }
    (router, now)
}

fn meta(idempotent: bool, deadline: Instant) -> RequestMeta {
    RequestMeta { idempotent, ..request("c", deadline) }
}

fn retry_depends_on_the_outcome(idempotent: bool, outcome: Outcome, refused: Option<NoRetry>) {
    let (mut router, now) = warm_router(3);
    let answer = router.retry(&meta(idempotent, now + ms(2000)), &[target(0)], outcome, now);
    assert_eq!(answer.err(), refused);
}

cases! { retry_depends_on_the_outcome:
    an_idempotent_request_that_may_have_run_is_retried(true, Outcome::Unknown, None);
    a_non_idempotent_request_that_may_have_run_is_not_retried(
        false, Outcome::Unknown, Some(NoRetry::MayHaveRun),
    );
    a_request_that_did_not_run_is_retried(false, Outcome::NotRun, None);
    a_request_that_ran_is_not_retried(true, Outcome::Done, Some(NoRetry::Ran));
}

#[test]
fn a_retry_respects_the_deadline() {
    let (mut router, now) = warm_router(3);
    let mut retry =
        |remaining| router.retry(&meta(true, now + remaining), &[target(0)], Outcome::NotRun, now);
    assert_eq!(retry(ms(9)), Err(NoRetry::DeadlineTooShort));
    let delay = retry(ms(100)).unwrap();
    assert!(delay > Duration::ZERO && delay < ms(90));
}

#[test]
fn a_retry_needs_a_target_at_which_the_request_has_not_failed() {
    let (mut router, now) = warm_router(2);
    let both = [target(0), target(1)];
    let answer = router.retry(&meta(true, now + ms(2000)), &both, Outcome::NotRun, now);
    assert_eq!(answer, Err(NoRetry::NoOtherTarget));
}

#[test]
fn backoff_grows_and_has_jitter() {
    let (mut router, now) = warm_router(9);
    let mut delay = |n: usize| {
        let failed: Vec<_> = (0..n).map(target).collect();
        router.retry(&meta(true, now + ms(2000)), &failed, Outcome::NotRun, now).unwrap()
    };
    let (first, again, second, third) = (delay(1), delay(1), delay(2), delay(3));
    assert_ne!(first, again);
    assert!(first <= ms(5) && second <= ms(10) && third <= ms(20));
    assert!(first >= ms(5) / 2 && second >= ms(5) && third >= ms(10));
}

#[test]
fn the_budget_is_a_share_of_successes() {
    let (mut router, now) = warm_router(3);
    let mut granted = 0;
    while router.retry(&meta(true, now + ms(2000)), &[target(0)], Outcome::NotRun, now).is_ok() {
        granted += 1;
    }
    // The 100 successes add ten tokens, and the budget also gains one token per
    // second.
    assert!((10..=14).contains(&granted), "{granted} retries");
    let answer = router.retry(&meta(true, now + ms(2000)), &[target(0)], Outcome::NotRun, now);
    assert_eq!(answer, Err(NoRetry::BudgetSpent));
    let later = now + ms(1100);
    let answer = router.retry(&meta(true, later + ms(2000)), &[target(0)], Outcome::NotRun, later);
    assert!(answer.is_ok(), "the budget gets one token per second: {answer:?}");
}

#[test]
fn a_hedge_goes_to_another_target_after_the_95th_percentile() {
    let (mut router, now) = warm_router(3);
    let meta = meta(true, now + ms(2000));
    let after = router.hedge_after(&meta, now).unwrap();
    assert!(after >= ms(10) && after < ms(12), "{after:?}");
    let first = permit(router.admit(meta.clone(), &[], now));
    let second = router.hedge(&meta, &first.target, now + after).unwrap();
    assert_ne!(first.target, second.target);
    assert_eq!(second.reason, "hedge");
}

fn no_hedge(idempotent: bool, remaining: Duration, hedging: bool) {
    let (mut router, now) = warm_router(3);
    let routing = RoutingPolicy { hedging, ..RoutingPolicy::default() };
    router.set_policy(routing, ServicePolicy::default());
    assert_eq!(router.hedge_after(&meta(idempotent, now + remaining), now), None);
}

cases! { no_hedge:
    no_hedge_for_a_non_idempotent_request(false, ms(2000), true);
    no_hedge_past_the_deadline(true, ms(15), true);
    no_hedge_if_the_policy_disables_it(true, ms(2000), false);
}

#[test]
fn no_hedge_under_load() {
    let (mut router, now) = warm_router(2);
    let meta = meta(true, now + ms(2000));
    let permits: Vec<_> = (0..14).map(|_| permit(router.admit(meta.clone(), &[], now))).collect();
    assert!(router.hedge(&meta, &permits[0].target, now).is_none());
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Run { ok: bool },
    Retry,
    Hedge,
    Advance(u16),
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(0xb0d6e7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_budget_is_never_exceeded(
        steps in prop::collection::vec(
            prop_oneof![
                4 => any::<bool>().prop_map(|ok| Step::Run { ok }),
                4 => Just(Step::Retry),
                2 => Just(Step::Hedge),
                1 => (0..3000u16).prop_map(Step::Advance),
            ],
            1..300,
        ),
        retry_percent in 0..=100u8,
    ) {
        let start = Instant::now();
        let mut now = start;
        let service = ServicePolicy { retry_percent, ..ServicePolicy::default() };
        let mut router = router(4, RoutingPolicy::default(), service, now);
        let (mut successes, mut spent) = (0u32, 0u32);
        for step in steps {
            let meta = meta(true, now + ms(2000));
            match step {
                Step::Run { ok } => {
                    let result: AttemptResult = if ok { healthy(ms(5)) } else { failed(ms(5)) };
                    let permit = permit(router.admit(meta, &[], now));
                    now += ms(5);
                    let _ = router.release(permit, result, now);
                    successes += u32::from(ok);
                }
                Step::Retry => {
                    let answer = router.retry(&meta, &[target(0)], Outcome::NotRun, now);
                    spent += u32::from(answer.is_ok());
                }
                Step::Hedge => {
                    if let Some(permit) = router.hedge(&meta, &target(0), now) {
                        spent += 1;
                        let _ = router.release(permit, failed(ms(1)), now);
                    }
                }
                Step::Advance(n) => now += Duration::from_millis(n.into()),
            }
            let earned = f64::from(successes) * f64::from(retry_percent) / 100.0;
            let by_time = (now - start).as_secs_f64() * TOKENS_PER_SECOND;
            prop_assert!(f64::from(spent) <= INITIAL_TOKENS + earned + by_time + 1e-6);
        }
    }
}
