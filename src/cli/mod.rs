//! The operators' command line, `cyclamenloft`.

mod client;
mod config;
mod explain;
mod job;
mod output;
mod replay;
mod status;

use crate::{
    daemon, local,
    process::{self, report},
    settings::raw::{flag, required},
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use cyclamenloft_types::{Error, ErrorKind, Result};
use std::process::ExitCode;

/// Runs the command line with the process's arguments.
#[must_use]
pub fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(e) => report(Err(e)),
    }
}

fn run() -> Result<ExitCode> {
    let Some(args) = daemon::arguments(command())? else {
        return Ok(ExitCode::SUCCESS);
    };
    match args.subcommand() {
        Some(("local", args)) => local::run(args).map(|()| ExitCode::SUCCESS),
        Some(("replay", args)) => replay::run(args),
        Some(("explain", args)) => explain::run(args).map(|()| ExitCode::SUCCESS),
        Some(("completions", args)) => completions(args).map(|()| ExitCode::SUCCESS),
        Some((name, args)) => process::runtime()?.block_on(dispatch(name, args)),
        None => Err(Error::new(ErrorKind::BadSetting, "expected a command; see --help")),
    }
}

async fn dispatch(name: &str, args: &ArgMatches) -> Result<ExitCode> {
    if name == "config" {
        return config::run(args).await;
    }
    match name {
        "job" => job::run(args).await,
        "worker" => status::workers(args).await,
        "service" => status::services(args).await,
        "status" => status::all(args).await,
        _ => Err(Error::new(ErrorKind::BadSetting, format!("no command {name:?}"))),
    }?;
    Ok(ExitCode::SUCCESS)
}

/// Returns the definition of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("cyclamenloft")
        .version(clap::crate_version!())
        .about("Scheduler for colocated latency-critical and batch work: operators' commands")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(config::command())
        .subcommand(job::command())
        .subcommand(status::workers_command())
        .subcommand(status::services_command())
        .subcommand(status::command())
        .subcommand(replay::command())
        .subcommand(explain::command())
        .subcommand(local::command())
        .subcommand(
            Command::new("completions").about("Prints completions for a shell").arg(
                Arg::new("shell").required(true).help("bash, zsh, fish, elvish or powershell"),
            ),
        )
}

fn completions(args: &ArgMatches) -> Result<()> {
    let raw = required(args, "shell")?;
    let shell: clap_complete::Shell = raw.parse().map_err(|_| {
        Error::new(
            ErrorKind::BadSetting,
            format!("shell {raw:?}: expected bash, zsh, fish, elvish or powershell"),
        )
    })?;
    clap_complete::generate(shell, &mut command(), "cyclamenloft", &mut std::io::stdout());
    Ok(())
}

/// Adds the flags of commands that call an entry host.
fn with_entry_flags(command: Command) -> Command {
    command
        .arg(flag("entry", "IP:PORT", "Operators' listener of any entry host").required(true))
        .arg(flag("operator-token-file", "FILE", "File with the token of operators").required(true))
        .arg(json_flag())
}

fn json_flag() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON for scripts")
}
