//! A suspended host may hold an expired leader lease. The detector must report
//! the suspension until the group has confirmed the leader.

use cyclamenloft_dispatch::suspension::SuspensionDetector;
use std::time::Duration;

#[test]
fn a_suspension_is_reported_until_the_leader_is_confirmed() {
    let detector = SuspensionDetector::default();
    detector.observe_offset(Duration::from_secs(100));
    detector.observe_offset(Duration::from_millis(100_001));
    assert!(
        !detector.needs_confirmation(),
        "a small difference between the clocks is no suspension"
    );
    detector.observe_offset(Duration::from_millis(100_900));
    assert!(detector.needs_confirmation());
    detector.observe_offset(Duration::from_millis(100_900));
    assert!(detector.needs_confirmation(), "the suspension is not confirmed yet");
    detector.confirm();
    assert!(!detector.needs_confirmation());
    detector.observe_offset(Duration::from_millis(102_000));
    assert!(detector.needs_confirmation(), "the second suspension is not detected");
}

#[test]
fn a_running_host_needs_no_confirmation() {
    let detector = SuspensionDetector::default();
    assert!((0..1_000).all(|_| detector.update_and_check()));
}
