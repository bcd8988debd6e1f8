//! When the leader's next round begins.

use cyclamenloft_dispatch::round::RoundTimes;
use std::time::{Duration, Instant};

fn round(planning_ms: u64, is_full: bool) -> (RoundTimes, Instant) {
    let planned_at = Instant::now();
    let ended_at = planned_at + Duration::from_millis(2);
    let planning = Duration::from_millis(planning_ms);
    (RoundTimes { planned_at, planning, ended_at, is_full }, ended_at)
}

/// Guards against submissions that wait for many rounds of another one's tasks, each a tenth of a
/// second apart, although nothing has to change for the next one.
#[test]
fn the_round_after_a_full_one_waits_for_no_change() {
    let (full, ended_at) = round(1, true);
    assert_eq!(full.next_by(), full.next_at());
    assert!(full.next_by() <= ended_at + Duration::from_millis(10));
}

#[test]
fn a_round_that_is_not_full_is_repeated_after_a_tenth_of_a_second() {
    let (round, _) = round(1, false);
    assert_eq!(round.next_by(), round.next_at() + Duration::from_millis(100));
}

/// Guards against a leader that does nothing but plan while there is more to place than it can plan.
#[test]
fn planning_takes_a_fifth_of_the_time_at_most() {
    let (full, _) = round(50, true);
    assert_eq!(full.next_by(), full.planned_at + Duration::from_millis(200));
}
