//! The `cyclamenloft replay` command: replays a recorded trace and compares the
//! results with the outcomes that the trace expects.

use super::json_flag;
use crate::{process::EXIT_FAILURE, settings::raw::required};
use clap::{Arg, ArgMatches, Command};
use cyclamenloft_placement::{
    PlacementPolicy,
    trace::{Outcome, compare, read},
};
use cyclamenloft_types::{Error, ErrorKind, Result};
use std::{fs::File, io::BufReader, process::ExitCode};

pub(super) fn command() -> Command {
    Command::new("replay")
        .about("Replays a trace through the placement decisions and checks its expected outcomes")
        .arg(Arg::new("trace").required(true).help("Trace file of JSON lines"))
        .arg(json_flag())
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let path = required(args, "trace")?;
    let file = File::open(path)
        .map_err(|e| Error::new(ErrorKind::BadRequest, format!("trace {path}: {e}")))?;
    let entries = read(BufReader::new(file))
        .map_err(|e| Error::new(e.kind, format!("trace {path}: {}", e.detail)))?;
    let comparison = compare(&entries, &PlacementPolicy::default());
    let variants = [
        ("scored", &comparison.given),
        ("first-fit", &comparison.first_fit),
        ("best-fit", &comparison.best_fit),
    ];
    if args.get_flag("json") {
        let json = serde_json::json!({
            "scored": comparison.given,
            "first-fit": comparison.first_fit,
            "best-fit": comparison.best_fit,
            "unmet": comparison.unmet,
        });
        println!("{json:#}");
    } else {
        variants.iter().for_each(|(name, outcome)| println!("{}", line(name, outcome)));
        comparison.unmet.iter().for_each(|unmet| println!("unmet: {unmet}"));
    }
    let met = comparison.unmet.is_empty();
    Ok(if met { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILURE) })
}

fn line(name: &str, o: &Outcome) -> String {
    format!(
        "{name:9}  invariant violations {}, batch {} of {}, deadline misses {}, evictions {}, \
         over target {:.4}%, urgent start at most {} ms",
        o.broken.total(),
        o.batch_finished,
        o.batch_submitted,
        o.deadline_misses,
        o.evictions,
        o.over_target_share() * 100.0,
        o.urgent_start_max_ms
    )
}
