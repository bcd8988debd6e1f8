//! Starts, stops and queries real processes.
//!
//! Every deployment has its own loopback addresses, so that tests can run in
//! parallel. A test waits for states, so that no fixed delay decides its result.

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

/// The timeout of a wait for a state. Only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The time between two reads of a state.
const POLL_PERIOD: Duration = Duration::from_millis(25);

/// Runs a test on a new runtime.
pub fn run(test: impl Future<Output = ()>) {
    cyclamenloft::process::runtime().unwrap().block_on(test);
}

/// Waits until `reached` returns true.
///
/// # Panics
///
/// Panics after [`WAIT_TIMEOUT`].
pub async fn wait_for(what: &str, reached: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !reached().await {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        compio::time::sleep(POLL_PERIOD).await;
    }
}

/// Repeats a call until it succeeds.
///
/// # Panics
///
/// Panics if it still fails after [`WAIT_TIMEOUT`].
pub async fn until_ok<T>(what: &str, call: impl AsyncFn() -> Result<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        match call().await {
            Ok(value) => return value,
            Err(e) => assert!(Instant::now() < deadline, "timed out waiting for {what}: {e}"),
        }
        compio::time::sleep(POLL_PERIOD).await;
    }
}

/// Defines a test with real processes for each `name => future`.
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
