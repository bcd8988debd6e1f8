//! More than the capacity, for twenty seconds.

use crate::{
    arrivals::{Conduct, Scenario, run},
    support::{cases, ms},
};
use cyclamenloft_routing::RoutingPolicy;

fn overload(load: f64, wave: f64, admission: bool) -> Scenario {
    Scenario {
        targets: 10,
        slots: 4,
        mean_service: ms(50),
        tail: 0.02,
        deadline: ms(500),
        load,
        wave,
        routing: RoutingPolicy { admission, ..RoutingPolicy::default() },
        conduct: |_, _| Conduct::Answer(1.0),
    }
}

/// Caller 0 sends the share `wave` of all requests.
fn overload_keeps_goodput(load: f64, wave: f64) {
    let scenario = overload(load, wave, true);
    let tally = run(&scenario);
    let (share, late) = (f64::from(tally.in_time) / scenario.possible(), tally.late_share());
    println!("load {load}, wave {wave}: goodput {share:.3} of capacity, late {late:.4}");
    assert!(share >= 0.95, "goodput is {share:.3} of capacity");
    assert!(late < 0.01, "{late:.4} of the admitted requests were late");
}

cases! { overload_keeps_goodput:
    twice_the_capacity_keeps_goodput(2.0, 0.1);
    twice_the_capacity_in_a_wave_of_one_caller_keeps_goodput(2.0, 0.9);
    one_and_a_half_times_the_capacity_keeps_goodput(1.5, 0.1);
    four_times_the_capacity_keeps_goodput(4.0, 0.5);
}

#[test]
fn without_admission_twice_the_capacity_is_late() {
    let late = run(&overload(2.0, 0.1, false)).late_share();
    println!("load 2, no admission: late {late:.4}");
    assert!(late >= 0.01, "the baseline shows nothing to mend: {late:.4}");
}

#[test]
fn a_wave_of_one_caller_does_not_starve_the_others() {
    let scenario = overload(2.0, 0.9, true);
    let tally = run(&scenario);
    // The ten others send 0.2 of the capacity together.
    let others: u32 = (1..=10).map(|c| tally.in_time_by_caller.get(&c).unwrap_or(&0)).sum();
    let share = f64::from(others) / (0.2 * scenario.possible());
    println!("load 2, wave 0.9: the others got {share:.3} of what they asked for");
    assert!(share >= 0.9, "the others got {share:.3} of what they asked for");
}
