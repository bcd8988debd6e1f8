//! Printing of answers: JSON for scripts, columns for readers.

use clap::ArgMatches;
use cyclamenloft_types::{Error, ErrorKind, Result};
use serde::Serialize;

/// Prints `value` as JSON where `--json` is set, else what `text` makes of it.
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

/// Lays rows out in columns, with a heading.
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
