//! The `cyclamenloft explain` command: the log lines about one id, sorted by time.

use crate::settings::raw::required;
use clap::{Arg, ArgAction, ArgMatches, Command};
use cyclamenloft_types::{Error, ErrorKind, Result};
use serde_json::{Map, Value};
use std::{
    fs::File,
    io::{BufRead, BufReader, Read, Write},
};

/// Fields that an output line shows at its beginning or omits.
const SUMMARY_KEYS: [&str; 5] = ["timestamp", "decision", "event", "outcome", "level"];

/// Field with the runs that share a line, each as `TASK#ATTEMPT@WORKER/INCARNATION`.
const RUNS_KEY: &str = "runs";

pub(super) fn command() -> Command {
    Command::new("explain")
        .about("Shows the log lines about one submission, task, worker, host or failure domain")
        .arg(Arg::new("id").required(true).help("The id, or the first parts of a task's name"))
        .arg(
            Arg::new("logs")
                .action(ArgAction::Append)
                .help("Files of JSON lines; standard input if none is given"),
        )
}

pub(super) fn run(args: &ArgMatches) -> Result<()> {
    let id = required(args, "id")?;
    let files: Vec<&String> = args.get_many("logs").into_iter().flatten().collect();
    let mut matches = Vec::new();
    if files.is_empty() {
        collect(id, std::io::stdin(), "standard input", &mut matches)?;
    }
    for path in files {
        let file = File::open(path)
            .map_err(|e| Error::new(ErrorKind::BadRequest, format!("log {path}: {e}")))?;
        collect(id, file, path, &mut matches)?;
    }
    if matches.is_empty() {
        return Err(Error::new(ErrorKind::NotFound, format!("the logs say nothing of {id:?}")));
    }
    matches.sort();
    let mut out = std::io::stdout().lock();
    for (_, line) in matches {
        // The reader, such as `head`, may close the pipe early.
        if writeln!(out, "{line}").is_err() {
            break;
        }
    }
    Ok(())
}

/// Collects the lines that match `id`, each with its timestamp as the sort key.
fn collect(
    id: &str,
    log: impl Read,
    name: &str,
    matches: &mut Vec<(String, String)>,
) -> Result<()> {
    for line in BufReader::new(log).lines() {
        let line =
            line.map_err(|e| Error::new(ErrorKind::BadRequest, format!("log {name}: {e}")))?;
        // Other text may precede a JSON object or stand between the lines.
        let Some(start) = line.find('{').filter(|_| line.contains(id)) else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else { continue };
        if matches_id(&fields, id) {
            let time = text(&fields, "timestamp");
            matches.push((time, format_line(fields, id)));
        }
    }
    Ok(())
}

/// Returns whether a field is the id, the name of one of its tasks, or a path that ends
/// with the id.
fn matches_id(fields: &Map<String, Value>, id: &str) -> bool {
    let is_match = |value: &str| {
        value == id
            || value.strip_prefix(id).is_some_and(|rest| rest.starts_with('.'))
            || value.strip_suffix(id).is_some_and(|rest| rest.ends_with('/'))
    };
    fields.values().filter_map(Value::as_str).any(is_match) || !runs_of(fields, id).is_empty()
}

/// Returns the runs in the field [`RUNS_KEY`] that are of the submission, step, task or worker
/// with this id.
fn runs_of(fields: &Map<String, Value>, id: &str) -> Box<str> {
    let runs = fields.get(RUNS_KEY).and_then(Value::as_str).unwrap_or_default();
    let is_match = |run: &&str| {
        let Some((task, attempt)) = run.split_once('#') else { return false };
        let worker = attempt.split_once('@').map_or("", |(_, worker)| worker);
        let worker = worker.split(['/', '+']).next().unwrap_or_default();
        worker == id || task.strip_prefix(id).is_some_and(|r| r.is_empty() || r.starts_with('.'))
    };
    let matching: Vec<&str> = runs.split_whitespace().filter(is_match).collect();
    matching.join(" ").into()
}

fn text(fields: &Map<String, Value>, key: &str) -> String {
    match fields.get(key) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}

/// Formats one line for a reader: time, decision and outcome, then all other
/// fields. Of the runs that share the line only those that match `id` are shown.
fn format_line(mut fields: Map<String, Value>, id: &str) -> String {
    let runs = runs_of(&fields, id);
    if !runs.is_empty() {
        fields.insert(RUNS_KEY.into(), Value::String(runs.into()));
    }
    let fields = &fields;
    let what = format!("{}{}", text(fields, "decision"), text(fields, "event"));
    let mut line =
        format!("{} {what:10} {:12}", text(fields, "timestamp"), text(fields, "outcome"));
    for (key, value) in fields.iter().filter(|(key, _)| !SUMMARY_KEYS.contains(&key.as_str())) {
        match value {
            Value::String(text) if text.is_empty() => {}
            Value::String(text) => line.push_str(&format!(" {key}={text}")),
            value => line.push_str(&format!(" {key}={value}")),
        }
    }
    line
}
