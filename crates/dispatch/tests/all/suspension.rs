//! A suspension is noticed, and doubted until the group confirms the leader.

use cyclamenloft_dispatch::suspension::SuspensionDetector;
use std::time::Duration;

#[test]
fn a_suspension_is_doubted_until_it_is_confirmed() {
    let detector = SuspensionDetector::default();
    detector.observe_offset(Duration::from_secs(100));
    detector.observe_offset(Duration::from_millis(100_001));
    assert!(!detector.needs_confirmation(), "clocks differ by a little");
    detector.observe_offset(Duration::from_millis(100_900));
    assert!(detector.needs_confirmation());
    detector.observe_offset(Duration::from_millis(100_900));
    assert!(detector.needs_confirmation(), "it stays until it is confirmed");
    detector.confirm();
    assert!(!detector.needs_confirmation());
    detector.observe_offset(Duration::from_millis(102_000));
    assert!(detector.needs_confirmation(), "another one");
}

#[test]
fn a_host_that_runs_is_not_in_doubt() {
    let detector = SuspensionDetector::default();
    assert!((0..1_000).all(|_| detector.check()));
}
