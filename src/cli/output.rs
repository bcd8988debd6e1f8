//! Prints answers as JSON for scripts or as columns for readers.

use crate::process::EXIT_FAILURE;
use clap::ArgMatches;
use cyclamenloft_operator::cli::Rendered;
use cyclamenloft_types::{Error, ErrorKind, Result};
use serde::Serialize;
use std::process::ExitCode;

/// Prints `value` as JSON if `--json` is set, otherwise the text that `text`
/// returns for it.
pub(super) fn print<T: Serialize>(
    args: &ArgMatches,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<()> {
    if args.get_flag("json") {
        let json = serde_json::to_string_pretty(value)
            .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
        println!("{json}");
    } else {
        print!("{}", text(value));
    }
    Ok(())
}

/// Prints rendered output and returns the exit code for its `ok` field.
pub(super) fn rendered(rendered: &Rendered) -> ExitCode {
    print!("{}", rendered.text);
    if rendered.ok { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILURE) }
}

/// Formats rows as left-aligned columns below a heading.
pub(super) fn table<const N: usize>(heading: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = heading.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let line = |cells: [&str; N]| {
        let padded: Vec<String> =
            cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        format!("{}\n", padded.join("  ").trim_end())
    };
    let mut text = line(heading);
    for row in rows {
        text.push_str(&line(std::array::from_fn(|i| &*row[i])));
    }
    text
}
