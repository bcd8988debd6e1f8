//! A load above the capacity for twenty seconds.

use crate::{
    arrivals::{Scenario, TargetBehavior, run},
    support::{cases, ms},
};
use cyclamenloft_routing::RoutingPolicy;

fn overload(load: f64, caller_0_share: f64, admission: bool) -> Scenario {
    Scenario {
        targets: 10,
        slots: 4,
        mean_service: ms(50),
        tail: 0.02,
        deadline: ms(500),
        load,
        caller_0_share,
        routing: RoutingPolicy { admission, ..RoutingPolicy::default() },
        behavior: |_, _| TargetBehavior::Answer(1.0),
    }
}

/// Checks that at least 95% of the capacity goes to responses in time. Caller 0
/// sends the share `caller_0_share` of all requests.
fn overload_keeps_goodput(load: f64, caller_0_share: f64) {
    let scenario = overload(load, caller_0_share, true);
    let stats = run(&scenario);
    let (share, late) = (f64::from(stats.in_time) / scenario.max_requests(), stats.late_share());
    println!(
        "load {load}, caller 0 share {caller_0_share}: goodput {share:.3} of capacity, late {late:.4}"
    );
    assert!(share >= 0.95, "goodput is {share:.3} of capacity");
    assert!(late < 0.01, "{late:.4} of the admitted requests were late");
}

cases! { overload_keeps_goodput:
    twice_the_capacity_keeps_goodput(2.0, 0.1);
    twice_the_capacity_mostly_from_one_caller_keeps_goodput(2.0, 0.9);
    one_and_a_half_times_the_capacity_keeps_goodput(1.5, 0.1);
    four_times_the_capacity_keeps_goodput(4.0, 0.5);
}

#[test]
fn twice_the_capacity_without_admission_control_is_late() {
    let late = run(&overload(2.0, 0.1, false)).late_share();
    println!("load 2, no admission: late {late:.4}");
    assert!(late >= 0.01, "only {late:.4} were late although admission control is off");
}

#[test]
fn a_burst_of_one_caller_does_not_starve_the_others() {
    let scenario = overload(2.0, 0.9, true);
    let stats = run(&scenario);
    // The ten other callers together send 0.2 of the capacity.
    let others: u32 = (1..=10).map(|c| stats.in_time_by_caller.get(&c).unwrap_or(&0)).sum();
    let share = f64::from(others) / (0.2 * scenario.max_requests());
    println!("load 2, caller 0 share 0.9: {share:.3} of the others' requests were in time");
    assert!(share >= 0.9, "only {share:.3} of the others' requests were in time");
}
