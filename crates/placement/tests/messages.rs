//! Round trips of the workers' messages through JSON. They guard against an end of
//! an attempt that is written as JSON and can't be read back, which can happen
//! because its tag and fields are flattened into the ended task.

use cyclamenloft_placement::{AttemptEnd, Report, messages::EndedTask};
use cyclamenloft_types::TaskKey;

macro_rules! round_trips {
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
            let parsed: Report = serde_json::from_str(&json).unwrap();
            assert_eq!(parsed, report);
        }
    )*};
}

round_trips! {
    finished_attempt_round_trips: AttemptEnd::Finished;
    failed_attempt_round_trips: AttemptEnd::Failed { reason: "exit 1".into() };
    refused_attempt_round_trips: AttemptEnd::Refused { reason: "over capacity".into() };
    evicted_attempt_round_trips: AttemptEnd::Evicted { checkpoint: Some("c1".into()) };
    stopped_attempt_round_trips: AttemptEnd::Stopped;
}
