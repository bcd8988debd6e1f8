//! Stand-ins and scenarios of the review. `standin SCENARIO RECORD` plays a scenario; with
//! TROUBLE=0 in the environment, without its disruption. Exit code 1: the rule was broken; 0: it
//! held; 2: the case couldn't run.

mod http;
mod json;
mod scenarios;
mod site;
mod worker;

use std::{path::Path, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == "worker") {
        match site::worker_settings(&args[1..]) {
            Some(settings) => worker::run(settings),
            None => return ExitCode::from(2),
        }
    }
    let [scenario, record] = &args[..] else {
        eprintln!("usage: standin SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    match scenarios::play(scenario, trouble, Path::new(record)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("{scenario}: {e}");
            ExitCode::from(2)
        }
    }
}
