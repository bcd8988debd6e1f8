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

macro_rules! overload {
    ($($name:ident: $lags_ms:expr => $overloaded:literal;)*) => {$(
        #[test]
        fn $name() {
            let load = Load::default();
            for lag_ms in $lags_ms {
                load.record_lag(Duration::from_millis(lag_ms));
                load.take();
            }
            assert_eq!(load.is_overloaded(), $overloaded);
        }
    )*};
}

overload! {
    a_leader_that_is_late_for_seconds_is_overloaded: [60, 50, 80] => true;
    a_pause_of_the_process_is_no_overload: [1, 900, 1, 2] => false;
    an_overload_that_has_ended_is_none: [60, 50, 80, 2] => false;
}
