//! The command line of `cyclamenloft-standin`, which runs simulated targets, workers
//! and callers for tests. It is not part of the product.

use crate::{
    daemon,
    logging::{self, LogFormat, LogSettings},
    process::{self, report},
    settings::raw::{addr, bad, duration, flag, name, optional_number, required, text},
};
use clap::{ArgMatches, Command};
use cyclamenloft_http::{StopSignal, stop_pair};
use cyclamenloft_standin::{
    LoadSettings, TargetSettings, TargetStandin, WorkerSettings, WorkerStandin, load,
};
use cyclamenloft_types::{Error, ErrorKind, Resources, Result};
use std::{
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};

/// The maximum number of workers in one process.
const MAX_WORKERS: u64 = 500;
/// The number of workers in a rack.
const WORKERS_PER_RACK: u64 = 8;
/// The maximum number of processor cores of a stand-in worker.
const MAX_CORES: u64 = 1024;
/// The maximum memory of a stand-in worker in gibibytes.
const MAX_GIB: u64 = 4096;

/// Runs the stand-ins' command line with the process's arguments.
#[must_use]
pub fn main() -> ExitCode {
    report(run())
}

fn run() -> Result<()> {
    let Some(args) = daemon::arguments(command())? else {
        return Ok(());
    };
    let Some((subcommand, args)) = args.subcommand() else {
        return Err(Error::new(ErrorKind::BadSetting, "expected target, worker, workers or load"));
    };
    let filter = text(args, "log-filter").unwrap_or("warn").into();
    logging::start(&LogSettings { format: LogFormat::Text, filter })?;
    process::runtime()?.block_on(async {
        match subcommand {
            "target" => run_target(args).await,
            "worker" => run_worker(args).await,
            "workers" => run_workers(args).await,
            _ => run_load(args).await,
        }
    })
}

fn command() -> Command {
    let common = |command: Command| {
        command
            .arg(flag("domain", "NAME", "Failure domain").required(true))
            .arg(flag("name", "NAME", "Name of the stand-in").required(true))
            .arg(
                flag("platforms", "IP:PORT,...", "Platform listeners of entry hosts")
                    .required(true),
            )
            .arg(flag("journal", "FILE", "File that events are written to"))
            .arg(flag("log-filter", "FILTER", "Which lines are logged").default_value("warn"))
    };
    Command::new("cyclamenloft-standin")
        .about("Stand-ins for targets, workers and callers")
        .subcommand_required(true)
        .subcommand(
            common(Command::new("target"))
                .arg(flag("service", "NAME", "Service").required(true))
                .arg(flag("listen", "IP:PORT", "Address to listen on").required(true))
                .arg(
                    flag("service-time", "TIME", "Time that a request takes").default_value("5ms"),
                ),
        )
        .subcommand(
            common(Command::new("worker"))
                .arg(flag(
                    "boot",
                    "N",
                    "Number of this start of the worker; from the clock if absent",
                ))
                .arg(flag("rack", "NAME", "Rack").default_value("rack-1"))
                .arg(flag("cores", "N", "Processor cores").default_value("16"))
                .arg(flag("memory-gib", "N", "Memory in GiB").default_value("60"))
                .arg(
                    flag("fails-everything", "true|false", "Fail every task")
                        .default_value("false"),
                ),
        )
        .subcommand(
            Command::new("workers")
                .about("Several workers in one process, 8 to a rack")
                .arg(flag("domain", "NAME", "Failure domain").required(true))
                .arg(flag("count", "N", "Number of workers").required(true))
                .arg(
                    flag("platforms", "IP:PORT,...", "Platform listeners of entry hosts")
                        .required(true),
                )
                .arg(flag("cores", "N", "Processor cores of each").default_value("16"))
                .arg(flag("memory-gib", "N", "Memory of each in GiB").default_value("60"))
                .arg(flag("log-filter", "FILTER", "Which lines are logged").default_value("warn")),
        )
        .subcommand(
            Command::new("load")
                .arg(
                    flag("entries", "IP:PORT,...", "Callers' listeners of entry hosts")
                        .required(true),
                )
                .arg(flag("service", "NAME", "Service").required(true))
                .arg(flag("rate", "N", "Requests a second").default_value("100"))
                .arg(flag("time", "TIME", "Time for which requests are sent").default_value("10s"))
                .arg(flag("deadline", "TIME", "Deadline of a request").default_value("2s"))
                .arg(flag("log-filter", "FILTER", "Which lines are logged").default_value("warn")),
        )
}

async fn run_target(args: &ArgMatches) -> Result<()> {
    let target = TargetStandin::new(TargetSettings {
        name: name(args, "name")?,
        service: name(args, "service")?,
        domain: name(args, "domain")?,
        addr: addr(args, "listen")?,
        platforms: addrs(args, "platforms")?,
        service_time: duration(args, "service-time")?,
        journal: text(args, "journal").map(PathBuf::from),
    })?;
    target.run(termination_signal()).await
}

async fn run_worker(args: &ArgMatches) -> Result<()> {
    let cores = optional_number(args, "cores", 1..=MAX_CORES)?.unwrap_or(16) as u32;
    let memory_gib = optional_number(args, "memory-gib", 1..=MAX_GIB)?.unwrap_or(60) as u32;
    let worker = WorkerStandin::new(WorkerSettings {
        name: name(args, "name")?,
        boot: optional_number(args, "boot", 1..=u64::MAX)?.unwrap_or_else(boot_from_clock),
        domain: name(args, "domain")?,
        rack: name(args, "rack")?,
        capacity: Resources::new(cores * 1000, memory_gib * 1024, 0),
        platforms: addrs(args, "platforms")?,
        fails_everything: required(args, "fails-everything")? == "true",
        journal: text(args, "journal").map(PathBuf::from),
    })?;
    worker.run(termination_signal()).await;
    Ok(())
}

/// Returns a boot number that is derived from the clock, so that it differs from the
/// numbers of earlier starts.
fn boot_from_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |t| u64::try_from(t.as_micros()).unwrap_or(1))
}

/// Runs several workers until the process is told to stop.
async fn run_workers(args: &ArgMatches) -> Result<()> {
    let count = optional_number(args, "count", 1..=MAX_WORKERS)?.unwrap_or(1);
    let cores = optional_number(args, "cores", 1..=MAX_CORES)?.unwrap_or(16) as u32;
    let memory_gib = optional_number(args, "memory-gib", 1..=MAX_GIB)?.unwrap_or(60) as u32;
    let mut platforms = addrs(args, "platforms")?;
    let domain = name(args, "domain")?;
    let stop = termination_signal();
    for number in 0..count {
        // Each worker starts with a different entry host.
        platforms.rotate_left(1);
        let worker = WorkerStandin::new(WorkerSettings {
            name: format!("worker-{number}").into(),
            boot: 1,
            domain: domain.clone(),
            rack: format!("rack-{}", number / WORKERS_PER_RACK).into(),
            capacity: Resources::new(cores * 1000, memory_gib * 1024, 0),
            platforms: platforms.clone(),
            fails_everything: false,
            journal: None,
        })?;
        let stop = stop.clone();
        compio::runtime::spawn(async move { worker.run(stop).await }).detach();
    }
    stop.stopped().await;
    Ok(())
}

async fn run_load(args: &ArgMatches) -> Result<()> {
    let report = load::run(LoadSettings {
        entries: addrs(args, "entries")?,
        service: name(args, "service")?,
        rate: optional_number(args, "rate", 1..=100_000)?.unwrap_or(100) as f64,
        time: duration(args, "time")?,
        deadline: duration(args, "deadline")?,
        prefix: ulid::Ulid::new().to_string().into(),
    })
    .await?;
    let json = serde_json::to_string_pretty(&report)
        .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    println!("{json}");
    Ok(())
}

fn addrs(args: &ArgMatches, flag: &str) -> Result<Vec<SocketAddr>> {
    required(args, flag)?
        .split(',')
        .map(|raw| {
            raw.trim().parse().map_err(|_| bad(flag, raw, "addresses such as 127.0.0.1:7000"))
        })
        .collect()
}

/// Returns a stop signal that SIGTERM and SIGINT trigger.
fn termination_signal() -> StopSignal {
    let (mut handle, stop) = stop_pair();
    compio::runtime::spawn(async move {
        process::terminated().await;
        handle.stop();
    })
    .detach();
    stop
}
