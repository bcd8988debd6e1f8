//! The `cyclamenloft config` commands: check, diff, apply, show, history.

use super::{client::EntryClient, json_flag, output, with_entry_flags};
use crate::settings::raw::{self, required, text};
use clap::{Arg, ArgAction, ArgMatches, Command};
use cyclamenloft_operator::{
    CheckedConfig, ConfigDraft,
    cli::{self, CheckOptions, Format},
    messages::{
        ApplyRequest, ApplyResponse, HistoryRequest, HistoryResponse, InForce, ShowResponse,
    },
};
use cyclamenloft_types::{Error, ErrorKind, Result};
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

pub(super) fn command() -> Command {
    let folder = || Arg::new("folder").required(true).help("Folder of .toml files");
    Command::new("config")
        .about("The operators' configuration")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks a folder; contacts a host only with --entry")
                .arg(folder())
                .arg(
                    Arg::new("strict")
                        .long("strict")
                        .action(ArgAction::SetTrue)
                        .help("Fail if there are warnings"),
                )
                // Without an environment variable, so that a check asks no host by accident.
                .arg(
                    Arg::new("entry")
                        .long("entry")
                        .value_name("IP:PORT")
                        .help("Compare with what is in force at this operators' listener"),
                )
                .arg(raw::flag("operator-token-file", "FILE", "File with the token of operators"))
                .arg(json_flag()),
        )
        .subcommand(
            Command::new("diff")
                .about("Lists the differences between two folders")
                .arg(folder())
                .arg(Arg::new("later").required(true).help("The second folder"))
                .arg(json_flag()),
        )
        .subcommand(
            with_entry_flags(Command::new("apply"))
                .about("Proposes a folder as the configuration with the next number")
                .arg(folder())
                .arg(raw::flag("number", "N", "One more than the number in force").required(true))
                .arg(raw::flag("author", "NAME", "Who proposes it").default_value("operator")),
        )
        .subcommand(
            with_entry_flags(Command::new("show")).about("Shows the configuration in force").arg(
                Arg::new("origin")
                    .long("origin")
                    .action(ArgAction::SetTrue)
                    .help("Show which file each value comes from"),
            ),
        )
        .subcommand(
            with_entry_flags(Command::new("history"))
                .about("Lists the accepted configurations, newest first")
                .arg(raw::flag("before", "N", "Only numbers below this one")),
        )
}

pub(super) async fn run(args: &ArgMatches) -> Result<ExitCode> {
    match args.subcommand() {
        Some(("check", args)) => check(args).await,
        Some(("diff", args)) => diff(args),
        Some(("apply", args)) => apply(args).await,
        Some(("show", args)) => show(args).await,
        Some(("history", args)) => history(args).await,
        _ => Err(Error::new(ErrorKind::BadSetting, "expected check, diff, apply, show or history")),
    }
}

fn folder(args: &ArgMatches) -> Result<PathBuf> {
    required(args, "folder").map(PathBuf::from)
}

fn format(args: &ArgMatches) -> Format {
    if args.get_flag("json") { Format::Json } else { Format::Text }
}

async fn check(args: &ArgMatches) -> Result<ExitCode> {
    let folder = folder(args)?;
    let in_force = match text(args, "entry") {
        Some(_) => Some(in_force(args).await),
        None => None,
    };
    let known = in_force.as_ref().and_then(|known| known.as_ref().ok());
    let options = CheckOptions { strict: args.get_flag("strict"), in_force: known };
    let code = output::rendered(&cli::check_with(&folder, options, format(args)));
    // The check itself needs no host, so its result is shown first.
    match in_force {
        Some(Err(e)) => Err(e),
        _ => Ok(code),
    }
}

async fn in_force(args: &ArgMatches) -> Result<InForce> {
    let shown: ShowResponse = EntryClient::try_from(args)?.get("/v1/config").await?;
    shown.try_into()
}

fn diff(args: &ArgMatches) -> Result<ExitCode> {
    let read = |path: &Path| ConfigDraft::from_folder(path)?.check();
    let earlier = read(&folder(args)?)?;
    let later = read(Path::new(required(args, "later")?))?;
    Ok(output::rendered(&cli::difference(&earlier, &later, format(args))))
}

async fn apply(args: &ArgMatches) -> Result<ExitCode> {
    let client = EntryClient::try_from(args)?;
    let folder = folder(args)?;
    let checked = match ConfigDraft::read_folder(&folder).and_then(CheckedConfig::try_from) {
        Ok(checked) => checked,
        // `cli::check` reports the problems with file and line.
        Err(_) => return Ok(output::rendered(&cli::check(&folder, format(args)))),
    };
    let number = raw::optional_number(args, "number", 1..=u64::MAX)?.unwrap_or(1);
    let req = ApplyRequest::new(number, text(args, "author").unwrap_or("operator"), &checked);
    let answer: ApplyResponse = client.post_any_status("/v1/config", &req).await?;
    Ok(output::rendered(&cli::apply(&answer, format(args))))
}

async fn show(args: &ArgMatches) -> Result<ExitCode> {
    let answer: ShowResponse = EntryClient::try_from(args)?.get("/v1/config").await?;
    let rendered = cli::show(&answer, args.get_flag("origin"), format(args))?;
    Ok(output::rendered(&rendered))
}

async fn history(args: &ArgMatches) -> Result<ExitCode> {
    let before = raw::optional_number(args, "before", 1..=u64::MAX)?;
    let req = HistoryRequest { before, limit: None };
    let answer: HistoryResponse =
        EntryClient::try_from(args)?.post("/v1/config/history", &req).await?;
    Ok(output::rendered(&cli::history(&answer, format(args))))
}
