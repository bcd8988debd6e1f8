//! Starting, stopping and asking real processes.
//!
//! Every deployment has loopback addresses of its own, so that tests run side
//! by side. A test waits for states, never for a time that decides the verdict.

mod callers;
mod deployment;
mod known_red;
mod limits;
mod operators;
mod plan;
mod process;
mod proxy;

pub use callers::{Callers, Outcome, SentRequest, Traffic};
pub use deployment::Deployment;
pub use known_red::run_named;
pub use operators::{Operators, Race};
pub use plan::{DomainLayout, EntryHost};
pub use process::Process;
pub use proxy::{Delay, Links};

use cyclamenloft_types::Result;
use std::{
    future::Future,
    time::{Duration, Instant},
};

/// Longest wait for a state; reached only where a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two looks.
const POLL_PERIOD: Duration = Duration::from_millis(25);

/// Runs a test on a runtime of its own.
pub fn run(test: impl Future<Output = ()>) {
    cyclamenloft::process::runtime().unwrap().block_on(test);
}

/// Waits until `reached` says so.
///
/// # Panics
///
/// Where the state isn't reached.
pub async fn wait_for(what: &str, reached: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !reached().await {
        assert!(Instant::now() < deadline, "waited too long for {what}");
        compio::time::sleep(POLL_PERIOD).await;
    }
}

/// Repeats a call until it succeeds.
///
/// # Panics
///
/// Where it doesn't succeed.
pub async fn until_ok<T>(what: &str, call: impl AsyncFn() -> Result<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        match call().await {
            Ok(value) => return value,
            Err(e) => assert!(Instant::now() < deadline, "waited too long for {what}: {e}"),
        }
        compio::time::sleep(POLL_PERIOD).await;
    }
}

/// Names each case of a group of tests with real processes.
#[macro_export]
macro_rules! cases {
    ($($name:ident => $test:expr;)*) => {$(
        #[test]
        fn $name() {
            let name = concat!(module_path!(), "::", stringify!($name));
            $crate::harness::run_named(name, || $crate::harness::run($test));
        }
    )*};
}
