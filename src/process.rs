//! Runtime, signals and exit codes of a program.

use compio::runtime::{Runtime, RuntimeBuilder};
use cyclamenloft_http::StopSignal;
use cyclamenloft_types::{Error, ErrorKind, Result};
use futures_util::future::{Either, select};
use std::{future::Future, pin::pin, process::ExitCode};

/// The exit code for wrong settings.
pub const EXIT_BAD_SETTING: u8 = 2;
/// The exit code for every failure except wrong settings.
pub const EXIT_FAILURE: u8 = 1;

const SIGTERM: i32 = 15;

/// Creates a runtime for this thread.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] if the operating system doesn't allow it.
pub fn runtime() -> Result<Runtime> {
    RuntimeBuilder::new()
        .build()
        .map_err(|e| Error::new(ErrorKind::Internal, format!("runtime: {e}")))
}

/// Waits for SIGTERM or SIGINT.
pub async fn terminated() {
    let term = pin!(compio::signal::unix::signal(SIGTERM));
    let interrupt = pin!(compio::signal::ctrl_c());
    select(term, interrupt).await;
}

/// Waits for `work`. Returns `None` if the stop signal comes first.
pub async fn until_stopped<T>(stop: &StopSignal, work: impl Future<Output = T>) -> Option<T> {
    match select(pin!(work), pin!(stop.stopped())).await {
        Either::Left((value, _)) => Some(value),
        Either::Right(_) => None,
    }
}

/// Prints an error as a report and returns the exit code.
pub fn report(result: Result<()>) -> ExitCode {
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    let code = if error.kind == ErrorKind::BadSetting { EXIT_BAD_SETTING } else { EXIT_FAILURE };
    let report = miette::MietteDiagnostic::new(error.detail.to_string())
        .with_code(format!("cyclamenloft::{}", error.info().code));
    eprintln!("{:?}", miette::Report::new(report));
    ExitCode::from(code)
}
