//! What a leader reports about its load.

use cyclamenloft_dispatch::load::{Load, LoadReport};
use std::time::Duration;

#[test]
fn a_report_covers_the_time_since_the_last_one() {
    let load = Load::default();
    load.record_round(Duration::from_millis(3), true);
    load.record_round(Duration::from_millis(2), false);
    load.record_lag(Duration::from_millis(40));
    load.record_lag(Duration::from_millis(5));
    let expected = LoadReport {
        rounds: 2,
        full_rounds: 1,
        planning: Duration::from_millis(5),
        max_lag: Duration::from_millis(40),
    };
    assert_eq!(load.take(), expected);
    assert_eq!(load.take(), LoadReport::default());
}
