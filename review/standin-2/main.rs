//! Stand-ins for the clients, workers, operator and network of a small deployment of the project's
//! own programs, and the cases that are played on it. `main CASE RECORD` exits with 1 if the rule of
//! the case was broken, 0 if it held, and 2 if the case couldn't run.

mod cancelled;
mod flapping;
mod http;
mod json;
mod long_tasks;
mod occurrences;
mod pending;
mod proxy;
mod record;
mod refused;
mod replaced;
mod site;
mod twice;
mod worker;

use std::{process::ExitCode, thread, time::Duration};

/// Longest run.
const LIMIT: Duration = Duration::from_secs(115);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else { return ExitCode::from(2) };
    if let Err(e) = record::open(path) {
        eprintln!("{path}: {e}");
        return ExitCode::from(2);
    }
    thread::spawn(|| {
        thread::sleep(LIMIT);
        note!("the case took too long");
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    note!("case {case}, TROUBLE={trouble}");
    let verdict = match case.as_str() {
        "replaced" => replaced::play(&trouble),
        "twice" => twice::play(&trouble),
        "refused" => refused::play(&trouble),
        "cancelled" => cancelled::play(&trouble),
        "occurrences" => occurrences::play(&trouble),
        "pending" => pending::play(&trouble),
        "flapping" => flapping::play(&trouble),
        "long-tasks" => long_tasks::play(&trouble),
        _ => Ok(Verdict::NotRun(format!("there is no case {case}"))),
    };
    match verdict {
        Ok(Verdict::Held) => {
            note!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(why)) => {
            note!("the rule is broken: {why}");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun(why)) => {
            note!("the case couldn't run: {why}");
            ExitCode::from(2)
        }
        Err(e) => {
            note!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
