//! Output of the operators' command line, as text or JSON.

use crate::{
    folder::{CheckedConfig, ConfigDraft},
    messages::{
        ApplyResponse, CheckResponse, ContentHash, HistoryEntry, HistoryResponse, InForce,
        InForceChanges, LocatedChange, ReportMessage, ShowResponse,
    },
    origin::{Change, KeyChange, Location, Origin, diff},
    report::ConfigReport,
};
use cyclamenloft_types::Result;
use miette::{GraphicalReportHandler, GraphicalTheme};
use serde::Serialize;
use std::{
    fmt::Write as _,
    path::Path,
    time::{Duration, UNIX_EPOCH},
};

/// Last millisecond of the year 9999; later times can't be formatted and are
/// printed as this one.
const MAX_UNIX_MS: u64 = 253_402_300_799_999;

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

/// The output of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rendered {
    /// The printed text, which ends with a line break.
    pub text: Box<str>,
    /// Whether the command succeeded, which determines the exit code.
    pub ok: bool,
}

/// What `config check` does beside reporting errors.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckOptions<'a> {
    /// Whether the command fails if there are warnings.
    pub strict: bool,
    /// The configuration in force, to which the folder is compared.
    pub in_force: Option<&'a InForce>,
}

/// Renders the output of `config check FOLDER`.
#[must_use]
pub fn check(folder: &Path, format: Format) -> Rendered {
    check_with(folder, CheckOptions::default(), format)
}

/// Renders the output of `config check FOLDER` with options.
#[must_use]
pub fn check_with(folder: &Path, options: CheckOptions<'_>, format: Format) -> Rendered {
    let result = ConfigDraft::read_folder(folder).and_then(CheckedConfig::try_from);
    let mut response = CheckResponse::from(&result);
    let mut ok = result.is_ok();
    if let (CheckResponse::InOrder { warnings, in_force, .. }, Ok(checked)) =
        (&mut response, &result)
    {
        ok = warnings.is_empty() || !options.strict;
        *in_force = options.in_force.map(|known| known.changes(checked));
    }
    let text = match (format, &result) {
        (Format::Json, _) => json(&response),
        (Format::Text, Ok(checked)) => check_summary(checked) + &check_details(&response),
        (Format::Text, Err(report)) => report_text(report),
    };
    Rendered { text: text.into(), ok }
}

/// Returns the lines on warnings and on what differs from the configuration in force.
fn check_details(response: &CheckResponse) -> String {
    let mut text = String::new();
    let CheckResponse::InOrder { warnings, in_force, .. } = response else { return text };
    match warnings.problems.len() + warnings.omitted {
        0 => {}
        1 => text.push_str("1 warning\n"),
        n => text.push_str(&format!("{n} warnings\n")),
    }
    text.push_str(&report_lines(warnings));
    let Some(InForceChanges { number, hash, changes }) = in_force else { return text };
    let count = match changes.len() {
        0 => "no differences".into(),
        1 => "1 difference".into(),
        n => format!("{n} differences"),
    };
    let _ = writeln!(text, "{count} from number {number}, content {hash}");
    for LocatedChange { change, file, position: at } in changes {
        let line = change_line(change);
        let _ = writeln!(text, "{} # {file}:{}:{}", line.trim_end(), at.line, at.column);
    }
    text
}

/// Renders the output of `config apply`.
#[must_use]
pub fn apply(response: &ApplyResponse, format: Format) -> Rendered {
    let ok = matches!(response, ApplyResponse::Accepted(_));
    let text = match (format, response) {
        (Format::Json, response) => json(response),
        (Format::Text, ApplyResponse::Accepted(entry)) => {
            format!("accepted: {}\n", entry_line(entry))
        }
        (Format::Text, ApplyResponse::Conflict { asked, holder, last }) => {
            let reason = match (holder, last) {
                (Some(holder), _) => format!("taken: {}", entry_line(holder)),
                (None, Some(last)) if last.number >= *asked => "taken too long ago".into(),
                (None, last) => {
                    let next = last.as_ref().map_or(0, |last| last.number).saturating_add(1);
                    format!("expected {next}")
                }
            };
            let current = last.as_ref().map_or_else(|| "nothing".into(), entry_line);
            format!("conflict: number {asked} is not accepted\n  {reason}\n  in force: {current}\n")
        }
        (Format::Text, ApplyResponse::Invalid(report)) => report_lines(report),
    };
    Rendered { text: text.into(), ok }
}

/// Renders the output of `config show`, or of `config show --origin` if `origin`
/// is set. The text is a valid configuration file.
///
/// # Errors
///
/// Returns [`ErrorKind::InvalidConfig`](cyclamenloft_types::ErrorKind::InvalidConfig)
/// if this version can't read the active configuration.
pub fn show(response: &ShowResponse, origin: bool, format: Format) -> Result<Rendered> {
    let checked = ConfigDraft::from_files(response.files.clone()).check()?;
    let origins = checked.origins();
    let text = match format {
        Format::Json => {
            json(&ShownConfig { number: response.number, hash: response.hash, values: &origins })
        }
        Format::Text => show_text(response, &origins, origin),
    };
    Ok(Rendered { text: text.into(), ok: true })
}

/// Renders the output of `config history`.
#[must_use]
pub fn history(response: &HistoryResponse, format: Format) -> Rendered {
    let text = match format {
        Format::Json => json(response),
        Format::Text => {
            let mut text: String = response.entries.iter().map(|e| entry_line(e) + "\n").collect();
            if response.entries.is_empty() {
                text.push_str("no configuration is accepted yet\n");
            }
            if let (true, Some(last)) = (response.older, response.entries.last()) {
                let _ = writeln!(text, "older ones: --before {}", last.number);
            }
            text
        }
    };
    Rendered { text: text.into(), ok: true }
}

/// Renders the output of `config diff`: what `later` changes against `earlier`.
#[must_use]
pub fn difference(earlier: &CheckedConfig, later: &CheckedConfig, format: Format) -> Rendered {
    let changes = diff(earlier, later);
    let text = match format {
        Format::Json => json(&changes),
        Format::Text if changes.is_empty() => "no differences\n".into(),
        Format::Text => changes.iter().map(change_line).collect(),
    };
    Rendered { text: text.into(), ok: true }
}

#[derive(Serialize)]
struct ShownConfig<'a> {
    number: u64,
    hash: ContentHash,
    values: &'a [Origin],
}

fn json(value: &impl Serialize) -> String {
    let text = serde_json::to_string_pretty(value).expect("plain data always encodes");
    text + "\n"
}

fn check_summary(checked: &CheckedConfig) -> String {
    let content = checked.deployment();
    let mut text = String::from("the configuration is in order\n");
    let counts = [
        ("files", checked.files().len()),
        ("services", content.services.len()),
        ("teams", content.teams.len()),
        ("domains", content.domains.len()),
        ("job classes", content.classes.len()),
    ];
    for (what, count) in counts {
        let _ = writeln!(text, "  {what}: {count}");
    }
    let _ = writeln!(text, "  content: {}", ContentHash(checked.hash()));
    text
}

fn report_text(report: &ConfigReport) -> String {
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
    match handler.render_report(&mut text, report) {
        Ok(()) => text,
        Err(_) => report_lines(&report.into()),
    }
}

fn report_lines(report: &ReportMessage) -> String {
    let mut text = String::new();
    for problem in &report.problems {
        if let (Some(file), Some(at)) = (&problem.file, problem.position) {
            let _ = write!(text, "{file}:{}:{}: ", at.line, at.column);
        }
        let _ = writeln!(text, "{}", problem.message);
    }
    if report.omitted > 0 {
        let _ = writeln!(text, "{} more problems", report.omitted);
    }
    text
}

fn show_text(response: &ShowResponse, origins: &[Origin], origin: bool) -> String {
    let current = match (&response.entry, response.number) {
        (Some(entry), _) => entry_line(entry),
        (None, 0) => "nothing".into(),
        (None, number) => format!("{number}, content {}", response.hash),
    };
    let mut text = format!("# in force: {current}\n");
    for Origin { key, value, place, overrides } in origins {
        let _ = write!(text, "{key} = {value}");
        if origin {
            let _ = write!(text, " # {}", location_text(place));
        }
        if origin && !overrides.is_empty() {
            let places: Vec<String> = overrides.iter().map(location_text).collect();
            let _ = write!(text, ", overrides {}", places.join(", "));
        }
        text.push('\n');
    }
    text
}

fn location_text(place: &Location) -> String {
    format!("{}:{}", place.file, place.line)
}

fn entry_line(entry: &HistoryEntry) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(entry.at_unix_ms.min(MAX_UNIX_MS));
    let at = humantime::format_rfc3339_seconds(at);
    format!("{} at {at} by {}, content {}", entry.number, entry.author, entry.hash)
}

fn change_line(KeyChange { key, change }: &KeyChange) -> String {
    match change {
        Change::Added { value } => format!("+ {key} = {value}\n"),
        Change::Removed { value } => format!("- {key} = {value}\n"),
        Change::Changed { from, to } => format!("~ {key} = {from} -> {to}\n"),
    }
}
