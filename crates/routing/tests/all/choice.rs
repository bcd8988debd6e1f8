//! Choice and ejection of targets.

use crate::support::{
    abandoned, cases, failed, healthy, ms, permit, record, refusal, request, router, run_many,
    run_one, target, with_choice,
};
use cyclamenloft_routing::{
    AttemptResult, ChoicePolicy, EjectionState, RoutingPolicy, ServicePolicy, ServiceRouter,
};
use cyclamenloft_types::ErrorKind;
use std::time::Instant;

fn ejected(router: &ServiceRouter, now: Instant) -> Vec<usize> {
    let snapshot = router.snapshot(now);
    let out =
        snapshot.targets.iter().filter(|t| !t.leaving && t.ejection_state != EjectionState::InUse);
    out.map(|t| t.id[1..].parse().unwrap()).collect()
}

/// Ten targets have three quarters of their slots in use. Attempts at `t3` end with
/// `result`, those at the others succeed in 10 ms.
fn a_bad_target_is_ejected(result: AttemptResult) {
    let mut now = Instant::now();
    let mut router = router(10, RoutingPolicy::default(), ServicePolicy::default(), now);
    let answer = |t: &str| if t == "t3" { result } else { healthy(ms(10)) };
    run_many(&mut router, &mut now, 60, 30_000, "t3", answer);
    assert_eq!(ejected(&router, now), [3]);
    let sent = run_many(&mut router, &mut now, 60, 1000, "t3", answer);
    assert!(sent <= 1, "{sent} of 1000 requests went to the bad target");
}

cases! { a_bad_target_is_ejected:
    a_target_that_fails_everything_is_ejected(failed(ms(1)));
    a_slow_target_is_ejected(healthy(ms(100)));
    a_target_that_never_answers_is_ejected(abandoned(ms(2000)));
}

#[test]
fn a_target_that_recovers_returns_to_use() {
    let mut now = Instant::now();
    let mut router = router(10, RoutingPolicy::default(), ServicePolicy::default(), now);
    for _ in 0..1000 {
        run_one(&mut router, &mut now, |t| if t == "t3" { failed(ms(1)) } else { healthy(ms(10)) });
    }
    assert_eq!(ejected(&router, now), [3]);
    for _ in 0..4000 {
        run_one(&mut router, &mut now, |_| healthy(ms(10)));
    }
    assert_eq!(ejected(&router, now), [0; 0]);
    let sent = (0..1000).filter(|_| &*run_one(&mut router, &mut now, |_| healthy(ms(10))) == "t3");
    assert!(sent.count() > 50);
}

#[test]
fn a_failing_target_is_ejected_for_longer_each_time() {
    let mut now = Instant::now();
    let mut router = router(10, RoutingPolicy::default(), ServicePolicy::default(), now);
    let mut backoffs = Vec::new();
    let mut last_ejection = None;
    for _ in 0..20_000 {
        run_one(&mut router, &mut now, |t| if t == "t3" { failed(ms(1)) } else { healthy(ms(10)) });
        let ejection_state = router.snapshot(now).targets[3].ejection_state;
        if let EjectionState::Ejected { since, until, .. } = ejection_state
            && last_ejection != Some(since)
        {
            last_ejection = Some(since);
            backoffs.push(until - since);
        }
    }
    assert!(backoffs.len() >= 4, "{backoffs:?}");
    assert!(backoffs.windows(2).all(|w| w[1] >= w[0]), "{backoffs:?}");
    assert!(backoffs[3] >= 8 * backoffs[0], "{backoffs:?}");
}

#[test]
fn only_one_probe_is_in_flight() {
    let mut now = Instant::now();
    let mut router = router(10, RoutingPolicy::default(), ServicePolicy::default(), now);
    for _ in 0..1000 {
        run_one(&mut router, &mut now, |t| if t == "t3" { failed(ms(1)) } else { healthy(ms(10)) });
    }
    now += ms(40_000);
    let mut permits: Vec<_> =
        (0..40).map(|_| permit(router.admit(request("c", now + ms(2000)), &[], now))).collect();
    let probes = permits.iter().filter(|p| &*p.target == "t3").count();
    assert_eq!(probes, 1);
    assert_eq!(permits.iter().filter(|p| p.reason == "probe").count(), 1);
    for permit in permits.drain(..) {
        let result = if &*permit.target == "t3" { failed(ms(1)) } else { healthy(ms(10)) };
        let _ = router.release(permit, result, now + ms(10));
    }
    assert_eq!(ejected(&router, now), [3]);
}

fn ejection_respects_its_cap(percent: u8, cap: usize) {
    let mut now = Instant::now();
    let routing = RoutingPolicy { max_ejected_percent: percent, ..RoutingPolicy::default() };
    let mut router = router(10, routing, ServicePolicy::default(), now);
    let mut most = 0;
    for _ in 0..3000 {
        run_one(&mut router, &mut now, |_| failed(ms(1)));
        most = most.max(ejected(&router, now).len());
    }
    assert_eq!(most, cap);
}

cases! { ejection_respects_its_cap:
    thirty_percent_of_ten_are_three(30, 3);
    nine_percent_of_ten_are_none(9, 0);
    sixty_percent_of_ten_are_six(60, 6);
}

/// The cap is a share of the usable targets, so it shrinks when targets leave.
/// Ejected targets beyond the cap return to use.
#[test]
fn ejected_targets_return_when_the_cap_shrinks() {
    let mut now = Instant::now();
    let mut router = router(10, RoutingPolicy::default(), ServicePolicy::default(), now);
    for _ in 0..500 {
        run_one(&mut router, &mut now, |_| failed(ms(1)));
    }
    assert_eq!(ejected(&router, now).len(), 3);
    for n in 0..7 {
        let leaving =
            cyclamenloft_routing::TargetRecord { leaving: true, ..record(n, 2, now + ms(60_000)) };
        let _ = router.announce(leaving, now);
    }
    now += ms(200);
    let _ = router.tick(now);
    assert!(ejected(&router, now).is_empty());
}

fn a_baseline_never_ejects(choice: ChoicePolicy) {
    let mut now = Instant::now();
    let mut router = router(10, with_choice(choice), ServicePolicy::default(), now);
    for _ in 0..2000 {
        run_one(&mut router, &mut now, |_| failed(ms(1)));
        assert!(ejected(&router, now).is_empty());
    }
}

cases! { a_baseline_never_ejects:
    round_robin_never_ejects(ChoicePolicy::RoundRobin);
    least_in_flight_never_ejects(ChoicePolicy::LeastInFlight);
}

#[test]
fn round_robin_chooses_each_target_in_turn() {
    let mut now = Instant::now();
    let mut router =
        router(3, with_choice(ChoicePolicy::RoundRobin), ServicePolicy::default(), now);
    let order: Vec<_> =
        (0..6).map(|_| run_one(&mut router, &mut now, |_| healthy(ms(1)))).collect();
    assert_eq!(order, [0, 1, 2, 0, 1, 2].map(target));
}

#[test]
fn least_in_flight_fills_evenly() {
    let now = Instant::now();
    let mut router =
        router(4, with_choice(ChoicePolicy::LeastInFlight), ServicePolicy::default(), now);
    for round in 1..=8 {
        for _ in 0..4 {
            let _ = permit(router.admit(request("c", now + ms(2000)), &[], now));
        }
        let snapshot = router.snapshot(now);
        assert!(snapshot.targets.iter().all(|t| t.in_flight == round));
    }
}

#[test]
fn two_choices_prefer_the_faster_target() {
    let mut now = Instant::now();
    let mut router = router(2, RoutingPolicy::default(), ServicePolicy::default(), now);
    let speed = |t: &str| healthy(if t == "t0" { ms(30) } else { ms(10) });
    for _ in 0..100 {
        run_one(&mut router, &mut now, speed);
    }
    let fast = (0..100).filter(|_| &*run_one(&mut router, &mut now, speed) == "t1").count();
    assert!(fast >= 95, "{fast} of 100 requests went to the faster target");
}

/// A target that stops answering yields no latency samples, and no failures until
/// its requests time out. The time since its last progress must raise its cost
/// earlier.
#[test]
fn a_stalled_target_is_avoided_before_any_request_times_out() {
    let mut now = Instant::now();
    let mut router = router(10, RoutingPolicy::default(), ServicePolicy::default(), now);
    for _ in 0..1000 {
        run_one(&mut router, &mut now, |_| healthy(ms(10)));
    }
    let mut stalled = Vec::new();
    for _ in 0..1000 {
        let permit = permit(router.admit(request("c", now + ms(2000)), &[], now));
        now += ms(2);
        if &*permit.target == "t3" {
            stalled.push(permit);
        } else {
            let _ = router.release(permit, healthy(ms(2)), now);
        }
    }
    assert!(stalled.len() <= 2, "{} requests went to the stalled target", stalled.len());
}

#[test]
fn a_new_target_starts_slowly() {
    let mut now = Instant::now();
    let mut router = router(4, RoutingPolicy::default(), ServicePolicy::default(), now);
    for _ in 0..2000 {
        run_one(&mut router, &mut now, |_| healthy(ms(10)));
    }
    let _ = router.announce(record(9, 1, now + ms(10_000_000)), now);
    let mut count = |router: &mut ServiceRouter| {
        (0..100).filter(|_| &*run_one(router, &mut now, |_| healthy(ms(10))) == "t9").count()
    };
    let early = count(&mut router);
    for _ in 0..20 {
        count(&mut router);
    }
    let late = count(&mut router);
    assert!(early < 10, "{early} of the first 100 requests");
    assert!(late >= 10, "{late} of 100 requests after the slow start");
}

#[test]
fn a_target_at_which_the_request_failed_is_not_chosen_again() {
    let now = Instant::now();
    let mut router = router(2, RoutingPolicy::default(), ServicePolicy::default(), now);
    for _ in 0..8 {
        let permit = permit(router.admit(request("c", now + ms(2000)), &[target(0)], now));
        assert_eq!(permit.target, target(1));
    }
    let all = [target(0), target(1)];
    let refused = refusal(router.admit(request("c", now + ms(2000)), &all, now));
    assert_eq!(refused.kind, ErrorKind::NoTarget);
}

fn an_unavailable_target_gets_no_requests(leaving: bool) {
    let now = Instant::now();
    let mut router = router(1, RoutingPolicy::default(), ServicePolicy::default(), now);
    let mut unavailable = record(0, 2, now + ms(3000));
    unavailable.leaving = leaving;
    let _ = router.announce(unavailable, now);
    let later = if leaving { now } else { now + ms(3000) };
    let refused = refusal(router.admit(request("c", later + ms(2000)), &[], later));
    assert_eq!(refused.kind, ErrorKind::NoTarget);
}

cases! { an_unavailable_target_gets_no_requests:
    a_leaving_target_gets_no_requests(true);
    an_expired_target_gets_no_requests(false);
}

/// Announcements may be reordered or repeated. One with an older or equal sequence
/// must not put a leaving target back into use.
#[test]
fn an_old_announcement_does_not_undo_leaving() {
    let now = Instant::now();
    let mut router = router(1, RoutingPolicy::default(), ServicePolicy::default(), now);
    let mut leaving = record(0, 5, now + ms(3000));
    leaving.leaving = true;
    let _ = router.announce(leaving, now);
    for sequence in [1, 4, 5] {
        let _ = router.announce(record(0, sequence, now + ms(3000)), now);
        let refused = refusal(router.admit(request("c", now + ms(2000)), &[], now));
        assert_eq!(refused.kind, ErrorKind::NoTarget);
    }
}
