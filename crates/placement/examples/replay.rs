//! Replays traces and prints what came out next to the baselines:
//! `cargo run --release -p cyclamenloft-placement --example replay -- tests/traces/*.jsonl`
//!
//! With `--fit` (`scored`, `first-fit`, `best-fit`) or `--relief` (`ladder`,
//! `evict-only`, `off`) in front, only that policy is replayed. `--decisions`
//! prints each decision.

use cyclamenloft_placement::{
    PlacementPolicy,
    trace::{Outcome, compare, read, replay},
};
use serde::de::DeserializeOwned;
use std::{error::Error, fs::File, io::BufReader, time::Instant};

fn main() -> Result<(), Box<dyn Error>> {
    let mut policy = PlacementPolicy::default();
    let mut only = false;
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--fit" => policy.fit = value(args.next())?,
            "--relief" => policy.mitigation = value(args.next())?,
            "--decisions" => {
                tracing_subscriber::fmt().with_max_level(tracing::Level::INFO).init();
            }
            path => run(path, &policy, only)?,
        }
        only = only || arg.starts_with("--");
    }
    Ok(())
}

fn value<T: DeserializeOwned>(text: Option<String>) -> Result<T, Box<dyn Error>> {
    Ok(serde_json::from_value(text.unwrap_or_default().into())?)
}

fn run(path: &str, policy: &PlacementPolicy, only: bool) -> Result<(), Box<dyn Error>> {
    let entries = read(BufReader::new(File::open(path)?)).map_err(|e| e.detail.to_string())?;
    let started = Instant::now();
    if only {
        println!("{path}");
        print(&format!("{:?}, {:?}", policy.fit, policy.mitigation), &replay(&entries, policy));
        return Ok(());
    }
    let comparison = compare(&entries, policy);
    println!("{path} ({:.1} s)", started.elapsed().as_secs_f64());
    print("scored", &comparison.given);
    print("first-fit", &comparison.first_fit);
    print("best-fit", &comparison.best_fit);
    for unmet in &comparison.unmet {
        println!("  UNMET {unmet}");
    }
    Ok(())
}

fn print(name: &str, o: &Outcome) {
    println!(
        "  {name:9} broken {} {}, batch {}/{} ({:.1}/h), misses {}, evictions {} ({} s lost), \
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
