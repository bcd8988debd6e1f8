//! Targets that become slow, flap or disappear under a steady load.

use crate::{
    arrivals::{Scenario, Stats, TargetBehavior, run},
    support::{cases, ms},
};
use cyclamenloft_routing::{ChoicePolicy, RoutingPolicy};
use std::time::Duration;

fn steady(
    load: f64,
    tail: f64,
    choice: ChoicePolicy,
    behavior: fn(usize, Duration) -> TargetBehavior,
) -> Stats {
    run(&Scenario {
        targets: 20,
        slots: 8,
        mean_service: ms(20),
        tail,
        deadline: ms(2000),
        load,
        caller_0_share: 0.1,
        routing: RoutingPolicy { choice, ..RoutingPolicy::default() },
        behavior,
    })
}

fn healthy(_: usize, _: Duration) -> TargetBehavior {
    TargetBehavior::Answer(1.0)
}

/// Every two seconds a different tenth of the targets is ten times slower.
fn rolling_slowdown(target: usize, at: Duration) -> TargetBehavior {
    let phase = at.as_secs() / 2;
    let is_slow = target as u64 % 10 == phase % 10;
    TargetBehavior::Answer(if is_slow { 10.0 } else { 1.0 })
}

/// A tenth of the targets alternates every 300 ms between ten times slower and
/// normal.
fn flapping(target: usize, at: Duration) -> TargetBehavior {
    let is_slow = target.is_multiple_of(10) && (at.as_millis() / 300).is_multiple_of(2);
    TargetBehavior::Answer(if is_slow { 10.0 } else { 1.0 })
}

/// From the fifth second on, a third of the targets is gone.
fn a_third_is_lost(target: usize, at: Duration) -> TargetBehavior {
    let is_gone = target.is_multiple_of(3) && at >= Duration::from_secs(5);
    if is_gone { TargetBehavior::Gone } else { TargetBehavior::Answer(1.0) }
}

/// Slow targets must raise the p99 by at most 50%, and the p99 of round robin
/// must be at least `round_robin_ratio` times as high. That ratio is limited
/// because round robin also skips full targets, which bounds the share of
/// requests that slow ones get.
fn slow_targets_barely_raise_p99(
    name: &str,
    tail: f64,
    behavior: fn(usize, Duration) -> TargetBehavior,
    round_robin_ratio: f64,
) {
    let p99 = |choice, behavior| steady(0.7, tail, choice, behavior).quantile(0.99);
    let baseline = p99(ChoicePolicy::TwoChoices, healthy);
    let slow = p99(ChoicePolicy::TwoChoices, behavior);
    let round_robin = p99(ChoicePolicy::RoundRobin, behavior);
    let least_in_flight = p99(ChoicePolicy::LeastInFlight, behavior);
    println!(
        "{name}, tail {tail}: p99 {slow:.1?}, without slow targets {baseline:.1?}, \
         round robin {round_robin:.1?}, least in flight {least_in_flight:.1?}"
    );
    assert!(slow <= baseline.mul_f64(1.5), "{slow:?} against {baseline:?} without slow targets");
    assert!(
        slow.mul_f64(round_robin_ratio) <= round_robin,
        "{slow:?} against {round_robin:?} with round robin"
    );
}

cases! { slow_targets_barely_raise_p99:
    rolling_slowdown_barely_raises_p99("rolling slowdown", 0.0, rolling_slowdown, 3.0);
    rolling_slowdown_barely_raises_p99_with_a_service_tail(
        "rolling slowdown", 0.02, rolling_slowdown, 3.0,
    );
    flapping_targets_barely_raise_p99("flapping", 0.0, flapping, 1.0);
}

#[test]
fn requests_survive_the_loss_of_a_third_of_the_targets() {
    let stats = steady(0.6, 0.02, ChoicePolicy::TwoChoices, a_third_is_lost);
    let (refused, late) = (stats.refused_share(), stats.late_share());
    println!(
        "a third of the targets lost: refused {refused:.5}, late {late:.5}, p99 {:.1?}",
        stats.quantile(0.99)
    );
    assert!(refused <= 0.001, "{refused:.5} of the requests were refused");
    assert!(late <= 0.001, "{late:.5} of the requests were late");
}
