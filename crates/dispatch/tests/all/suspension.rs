//! A suspension is noticed, and doubted until the group confirms the leader.

use cyclamenloft_dispatch::suspension::Awake;
use std::time::Duration;

#[test]
fn a_suspension_is_doubted_until_it_is_confirmed() {
    let awake = Awake::default();
    awake.note(Duration::from_secs(100));
    awake.note(Duration::from_millis(100_001));
    assert!(!awake.in_doubt(), "clocks differ by a little");
    awake.note(Duration::from_millis(100_900));
    assert!(awake.in_doubt());
    awake.note(Duration::from_millis(100_900));
    assert!(awake.in_doubt(), "it stays until it is confirmed");
    awake.confirm();
    assert!(!awake.in_doubt());
    awake.note(Duration::from_millis(102_000));
    assert!(awake.in_doubt(), "another one");
}

#[test]
fn a_host_that_runs_is_not_in_doubt() {
    let awake = Awake::default();
    assert!((0..1_000).all(|_| awake.check()));
}
