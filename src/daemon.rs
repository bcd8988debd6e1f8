//! The entry points of the daemons, which their `main` functions call.

use crate::{
    control, entry, logging, process,
    settings::{ControlSettings, EntrySettings},
};
use clap::{ArgMatches, Command, error::ErrorKind as ClapErrorKind};
use cyclamenloft_http::{StopSignal, stop_pair};
use cyclamenloft_types::{Error, ErrorKind, Result};
use std::{future::Future, process::ExitCode};

/// Runs the entry daemon with the process's arguments until SIGTERM or SIGINT.
#[must_use]
pub fn entry(command: Command) -> ExitCode {
    process::report(run_entry(command))
}

/// Runs the control daemon with the process's arguments until SIGTERM or SIGINT.
#[must_use]
pub fn control(command: Command) -> ExitCode {
    process::report(run_control(command))
}

fn run_entry(command: Command) -> Result<()> {
    let Some(args) = arguments(command)? else {
        return Ok(());
    };
    let settings = EntrySettings::try_from(&args)?;
    logging::start(&settings.log)?;
    process::runtime()?.block_on(until_terminated(|stop| entry::run(settings, stop)))
}

fn run_control(command: Command) -> Result<()> {
    let Some(args) = arguments(command)? else {
        return Ok(());
    };
    let settings = ControlSettings::try_from(&args)?;
    logging::start(&settings.log)?;
    process::runtime()?.block_on(until_terminated(|stop| control::run(settings, stop)))
}

/// Parses the process's arguments. Prints help or the version if asked for, and
/// then returns `None`.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] if flags are unknown or missing.
pub fn arguments(command: Command) -> Result<Option<ArgMatches>> {
    match command.try_get_matches() {
        Ok(args) => Ok(Some(args)),
        Err(e)
            if matches!(e.kind(), ClapErrorKind::DisplayHelp | ClapErrorKind::DisplayVersion) =>
        {
            // Nothing can be done if standard output is closed.
            let _ = e.print();
            Ok(None)
        }
        Err(e) => {
            let text = e.render().to_string();
            let text = text.trim_start_matches("error: ").trim_end();
            Err(Error::new(ErrorKind::BadSetting, text))
        }
    }
}

/// Runs a daemon and triggers its stop signal on SIGTERM or SIGINT.
async fn until_terminated<F>(run: impl FnOnce(StopSignal) -> F) -> Result<()>
where
    F: Future<Output = Result<()>>,
{
    let (mut handle, stop) = stop_pair();
    compio::runtime::spawn(async move {
        process::terminated().await;
        handle.stop();
    })
    .detach();
    run(stop).await
}
