//! A group of replicas in one process, a transport that loses, delays,
//! repeats and reorders messages, and a checker of what clients were told.
#![allow(dead_code)]

pub mod cluster;
pub mod history;
pub mod net;

use std::{future::Future, time::Duration};

/// Guards against a test that would never end; far above what any step takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Runs a test on a runtime of its own.
pub fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        compio::time::timeout(TEST_TIMEOUT, test).await.expect("test hangs");
    });
}

/// Waits until `condition` holds.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        compio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Names each case and runs it.
#[macro_export]
macro_rules! cases {
    ($($name:ident => $test:expr;)*) => {
        $(#[test] fn $name() { $crate::support::run($test); })*
    };
}
