//! The workers' messages survive JSON.

use cyclamenloft_placement::{AttemptEnd, Report, messages::EndedTask};
use cyclamenloft_types::TaskKey;

macro_rules! ends {
    ($($name:ident: $end:expr;)*) => {$(
        #[test]
        fn $name() {
            let task = TaskKey { job: "j".into(), index: 3 };
            let ended = vec![EndedTask { task, attempt: 2, end: $end }];
            let report = Report {
                worker: "w".into(),
                boot: 1,
                sequence: 7,
                running: Vec::new(),
                full: true,
                ended,
                lag_ms: 0,
            };
            let json = serde_json::to_string(&report).unwrap();
            let back: Report = serde_json::from_str(&json).unwrap();
            assert_eq!(back, report);
        }
    )*};
}

ends! {
    a_finished_attempt: AttemptEnd::Finished;
    a_failed_attempt: AttemptEnd::Failed { reason: "exit 1".into() };
    a_refused_attempt: AttemptEnd::Refused { reason: "over capacity".into() };
    an_evicted_attempt: AttemptEnd::Evicted { checkpoint: Some("c1".into()) };
    a_stopped_attempt: AttemptEnd::Stopped;
}
