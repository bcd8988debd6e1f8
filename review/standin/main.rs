//! Scenarios and stand-ins for the cases of this review. Uses only the standard library.
//!
//! `standin SCENARIO FOLDER` starts the programs of the deploy file on loopback addresses, plays
//! the scenario, writes `record.txt` into FOLDER and exits with 0 (the rule held), 1 (the rule was
//! broken) or 2 (the scenario could not run). `TROUBLE=0` leaves the disruption out.

mod cluster;
mod http;
mod json;
mod proxy;
mod record;
mod scenarios;
mod worker;

use std::{
    process::exit,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

/// Longest time of a scenario.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// Whether the scenario is over, so that the watchdog must not end it.
static OVER: AtomicBool = AtomicBool::new(false);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin SCENARIO FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record::open(folder);
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        if !OVER.load(Ordering::SeqCst) {
            record::line("the scenario took too long");
            record::flush();
            cluster::kill_all();
            exit(2);
        }
    });
    let outcome = scenarios::play(name, trouble);
    OVER.store(true, Ordering::SeqCst);
    cluster::kill_all();
    let code = match &outcome {
        Ok(broken) if broken.is_empty() => {
            record::line("RESULT: the rule held");
            0
        }
        Ok(broken) => {
            for what in broken {
                record::line(&format!("BROKEN: {what}"));
            }
            record::line("RESULT: the rule was broken");
            1
        }
        Err(e) => {
            record::line(&format!("RESULT: the scenario could not run: {e}"));
            2
        }
    };
    record::flush();
    println!("{}", record::last());
    exit(code);
}
