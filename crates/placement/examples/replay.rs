//! Replays traces and prints their outcomes next to those of the baselines:
//! `cargo run --release -p cyclamenloft-placement --example replay -- tests/traces/*.jsonl`
//!
//! If `--fit` (`scored`, `first-fit`, `best-fit`), `--relief` (`ladder`,
//! `evict-only`, `off`) or `--decisions` precedes a trace, only the given policy
//! is replayed. `--decisions` also prints each decision.

use cyclamenloft_placement::{
    PlacementPolicy,
    trace::{Outcome, compare, read, replay},
};
use serde::de::DeserializeOwned;
use std::{error::Error, fs::File, io::BufReader, time::Instant};

fn main() -> Result<(), Box<dyn Error>> {
    let mut policy = PlacementPolicy::default();
    let mut single_policy = false;
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--fit" => policy.fit = parse_value(args.next())?,
            "--relief" => policy.mitigation = parse_value(args.next())?,
            "--decisions" => {
                tracing_subscriber::fmt().with_max_level(tracing::Level::INFO).init();
            }
            path => run(path, &policy, single_policy)?,
        }
        single_policy = single_policy || arg.starts_with("--");
    }
    Ok(())
}

fn parse_value<T: DeserializeOwned>(text: Option<String>) -> Result<T, Box<dyn Error>> {
    Ok(serde_json::from_value(text.unwrap_or_default().into())?)
}

fn run(path: &str, policy: &PlacementPolicy, single_policy: bool) -> Result<(), Box<dyn Error>> {
    let entries = read(BufReader::new(File::open(path)?)).map_err(|e| e.detail.to_string())?;
    let started = Instant::now();
    if single_policy {
        println!("{path}");
        print_outcome(
            &format!("{:?}, {:?}", policy.fit, policy.mitigation),
            &replay(&entries, policy),
        );
        return Ok(());
    }
    let comparison = compare(&entries, policy);
    println!("{path} ({:.1} s)", started.elapsed().as_secs_f64());
    print_outcome("scored", &comparison.given);
    print_outcome("first-fit", &comparison.first_fit);
    print_outcome("best-fit", &comparison.best_fit);
    for unmet in &comparison.unmet {
        println!("  UNMET {unmet}");
    }
    Ok(())
}

fn print_outcome(name: &str, o: &Outcome) {
    println!(
        "  {name:9} invariant violations {} {}, batch {}/{} ({:.1}/h), misses {}, evictions {} ({} s lost), \
         throttles {}, over target {:.4}% of {}, starts {} p50 {} ms p99 {} ms, \
         urgent {} max {} ms waiting {}, cannot run {}, failed {}",
        o.broken.total(),
        if o.broken.total() > 0 { format!("{:?}", o.broken) } else { String::new() },
        o.batch_finished,
        o.batch_submitted,
        o.batch_per_hour(),
        o.deadline_misses,
        o.evictions,
        o.lost_work_ms / 1000,
        o.throttles,
        o.over_target_share() * 100.0,
        o.service_reports,
        o.starts,
        o.start_p50_ms,
        o.start_p99_ms,
        o.urgent_started,
        o.urgent_start_max_ms,
        o.urgent_waiting,
        o.cannot_run,
        o.failed,
    );
}
