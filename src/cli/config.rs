//! `cyclamenloft config`: check, apply, show, history.

use super::{client::EntryClient, json_flag, output, with_entry_flags};
use crate::settings::raw::{self, required, text};
use clap::{Arg, ArgMatches, Command};
use cyclamenloft_operator::{Accepted, Draft};
use cyclamenloft_peer::calls::{ApplyParams, ConfigUpdate};
use cyclamenloft_types::{Error, ErrorKind, Result};
use std::path::Path;

pub(super) fn command() -> Command {
    let folder = || Arg::new("folder").required(true).help("Folder of .toml files");
    Command::new("config")
        .about("The operators' configuration")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks a folder without any host")
                .arg(folder())
                .arg(json_flag()),
        )
        .subcommand(
            with_entry_flags(Command::new("apply"))
                .about("Proposes a folder under the next number")
                .arg(folder())
                .arg(raw::flag("number", "N", "One more than the number in force").required(true))
                .arg(raw::flag("author", "NAME", "Who proposes it").default_value("operator")),
        )
        .subcommand(
            with_entry_flags(Command::new("show")).about("Shows the configuration in force"),
        )
        .subcommand(
            with_entry_flags(Command::new("history")).about("Lists the accepted configurations"),
        )
}

pub(super) async fn run(args: &ArgMatches) -> Result<()> {
    match args.subcommand() {
        Some(("check", args)) => check(args),
        Some(("apply", args)) => apply(args).await,
        Some(("show", args)) => show(args).await,
        Some(("history", args)) => history(args).await,
        _ => Err(Error::new(ErrorKind::BadSetting, "expected check, apply, show or history")),
    }
}

fn check(args: &ArgMatches) -> Result<()> {
    let checked = Draft::from_folder(Path::new(required(args, "folder")?))?.check()?;
    println!("{} files, no errors", checked.files().len());
    Ok(())
}

async fn apply(args: &ArgMatches) -> Result<()> {
    let client = EntryClient::try_from(args)?;
    let checked = Draft::from_folder(Path::new(required(args, "folder")?))?.check()?;
    let number = raw::optional_number(args, "number", 1..=u64::MAX)?.unwrap_or(1);
    let author = text(args, "author").unwrap_or("operator").into();
    let params = ApplyParams { number, author, files: checked.files().to_vec() };
    let accepted: Accepted = client.post("/v1/config", &params).await?;
    output::print(args, &accepted, |a| format!("configuration {} accepted\n", a.number))
}

async fn show(args: &ArgMatches) -> Result<()> {
    let update: ConfigUpdate = EntryClient::try_from(args)?.get("/v1/config").await?;
    output::print(args, &update, |update| {
        let mut shown = format!("# configuration {}\n", update.number);
        for file in update.files.iter().flatten() {
            shown.push_str(&format!("# --- {}\n{}\n", file.name, file.text.trim_end()));
        }
        shown
    })
}

async fn history(args: &ArgMatches) -> Result<()> {
    let history: Vec<Accepted> = EntryClient::try_from(args)?.get("/v1/config/history").await?;
    output::print(args, &history, |history| {
        let rows: Vec<_> = history
            .iter()
            .map(|a| {
                let at = std::time::UNIX_EPOCH + std::time::Duration::from_millis(a.at_unix_ms);
                let at = humantime::format_rfc3339_seconds(at).to_string();
                [a.number.to_string(), format!("{:016x}", a.hash), a.author.to_string(), at]
            })
            .collect();
        output::table(["NUMBER", "HASH", "AUTHOR", "AT"], &rows)
    })
}
