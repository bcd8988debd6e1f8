//! The commands `cyclamenloft status`, `worker list` and `service status`.

use super::{client::EntryClient, output, with_entry_flags};
use clap::{ArgMatches, Command};
use cyclamenloft_peer::calls::{ServiceStatus, StatusResponse, WorkerSummary};
use cyclamenloft_types::{Error, ErrorKind, Result};

pub(super) fn command() -> Command {
    with_entry_flags(Command::new("status"))
        .about("Shows an entry host and its domain's control replicas")
}

pub(super) fn workers_command() -> Command {
    Command::new("worker")
        .about("Shows workers")
        .subcommand_required(true)
        .subcommand(with_entry_flags(Command::new("list")).about("Lists the domain's workers"))
}

pub(super) fn services_command() -> Command {
    Command::new("service").about("Shows services").subcommand_required(true).subcommand(
        with_entry_flags(Command::new("status")).about("Shows the services at an entry host"),
    )
}

pub(super) async fn all(args: &ArgMatches) -> Result<()> {
    let all: Vec<StatusResponse> = EntryClient::try_from(args)?.get("/v1/status").await?;
    output::print(args, &all, |all| {
        let rows: Vec<_> = all
            .iter()
            .map(|s| {
                let ready = if s.ready { "ready" } else { "not ready" };
                let [host, domain, program] =
                    [&s.host, &s.domain, &s.program].map(ToString::to_string);
                [host, domain, program, ready.into(), s.config.to_string(), groups(s)]
            })
            .collect();
        output::table(["HOST", "DOMAIN", "PROGRAM", "STATE", "CONFIG", "GROUPS"], &rows)
    })
}

fn groups(status: &StatusResponse) -> String {
    let one = |g: &cyclamenloft_peer::calls::GroupStatus| {
        format!("{} {} at {}", g.group, g.role, g.committed)
    };
    status.groups.iter().map(one).collect::<Vec<_>>().join(", ")
}

pub(super) async fn workers(args: &ArgMatches) -> Result<()> {
    let Some(("list", args)) = args.subcommand() else {
        return Err(Error::new(ErrorKind::BadSetting, "expected worker list"));
    };
    let workers: Vec<WorkerSummary> = EntryClient::try_from(args)?.get("/v1/workers").await?;
    output::print(args, &workers, |workers| {
        let rows: Vec<_> = workers
            .iter()
            .map(|w| {
                let state = if w.alive { "alive" } else { "lost" };
                let [id, rack] = [&w.worker, &w.rack].map(ToString::to_string);
                let tasks = w.tasks.to_string();
                [id, rack, state.into(), tasks, w.reserved.to_string(), w.capacity.to_string()]
            })
            .collect();
        output::table(["WORKER", "RACK", "STATE", "TASKS", "RESERVED", "CAPACITY"], &rows)
    })
}

pub(super) async fn services(args: &ArgMatches) -> Result<()> {
    let Some(("status", args)) = args.subcommand() else {
        return Err(Error::new(ErrorKind::BadSetting, "expected service status"));
    };
    let all: Vec<StatusResponse> = EntryClient::try_from(args)?.get("/v1/status").await?;
    let services: Vec<ServiceStatus> = all.into_iter().flat_map(|s| s.services).collect();
    output::print(args, &services, |services| {
        let rows: Vec<_> =
            services.iter().map(|s| [s.service.to_string(), s.targets.to_string()]).collect();
        output::table(["SERVICE", "TARGETS"], &rows)
    })
}
