//! Support for tests: a group of replicas in one process, a transport that
//! loses, delays, repeats and reorders messages, and a checker of the outcomes
//! that clients got.
#![allow(dead_code)]

pub mod cluster;
pub mod history;
pub mod net;

use std::{future::Future, time::Duration};

/// Time limit of a test, far above what any test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Runs a test on its own runtime.
pub fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        compio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("test must end within its time limit");
    });
}

/// Waits until `condition` holds.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        compio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Defines a test for each named case.
#[macro_export]
macro_rules! cases {
    ($($name:ident => $test:expr;)*) => {
        $(#[test] fn $name() { $crate::support::run($test); })*
    };
}
