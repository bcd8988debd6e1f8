//! How log lines name runs. `cyclamenloft explain` finds runs by these names.

use cyclamenloft_dispatch::run_log::RunName;
use cyclamenloft_placement::submission::TaskId;
use std::time::Duration;

const TASK: TaskId =
    TaskId { submission: 0x5c0e_7a21_d94b_36f8, occurrence: 0, step: 1, index: 17 };

macro_rules! names {
    ($($name:ident: $took:expr => $text:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let run = RunName {
                    task: TASK, attempt: 2, worker: "i-7f3a91c2", incarnation: 18, took: $took,
                };
                assert_eq!(run.to_string(), $text);
            }
        )*
    };
}

names! {
    a_run_is_named_by_task_attempt_and_worker: None
        => "5c0e7a21d94b36f8.0.1.17#2@i-7f3a91c2/18";
    the_time_that_an_order_took_follows_the_name: Some(Duration::from_micros(8_900))
        => "5c0e7a21d94b36f8.0.1.17#2@i-7f3a91c2/18+8ms";
}
