//! The `cyclamenloft job` commands: submit, status, list, cancel.

use super::{client::EntryClient, output, with_entry_flags};
use crate::settings::raw::required;
use clap::{Arg, ArgAction, ArgMatches, Command};
use cyclamenloft_peer::calls::{CancelResponse, JobSummary, SubmitResponse};
use cyclamenloft_types::{
    Error, ErrorKind, JobId, JobSpec, JobState, Result, TaskState, check_name,
};
use std::path::Path;

pub(super) fn command() -> Command {
    Command::new("job")
        .about("Submits, shows and cancels jobs")
        .subcommand_required(true)
        .subcommand(
            with_entry_flags(Command::new("submit"))
                .about("Submits a job; submitting the same job again changes nothing")
                .arg(Arg::new("file").required(true).help("The job as a JSON file")),
        )
        .subcommand(
            with_entry_flags(Command::new("status"))
                .about("Shows a job and its tasks")
                .arg(Arg::new("id").required(true)),
        )
        .subcommand(with_entry_flags(Command::new("list")).about("Lists the jobs"))
        .subcommand(
            with_entry_flags(Command::new("cancel"))
                .about("Cancels jobs")
                .arg(Arg::new("id").required(true).action(ArgAction::Append).num_args(1..)),
        )
}

pub(super) async fn run(args: &ArgMatches) -> Result<()> {
    match args.subcommand() {
        Some(("submit", args)) => submit(args).await,
        Some(("status", args)) => status(args).await,
        Some(("list", args)) => list(args).await,
        Some(("cancel", args)) => cancel(args).await,
        _ => Err(Error::new(ErrorKind::BadSetting, "expected submit, status, list or cancel")),
    }
}

async fn submit(args: &ArgMatches) -> Result<()> {
    let spec = read_spec(Path::new(required(args, "file")?))?;
    let answer: SubmitResponse = EntryClient::try_from(args)?.post("/v1/jobs", &spec).await?;
    output::print(args, &answer, |a| {
        let known = if a.already { " (already submitted)" } else { "" };
        format!("job {} accepted{known}\n", a.job)
    })
}

/// Reads and checks a job file, so that a bad job is reported without a request.
fn read_spec(path: &Path) -> Result<JobSpec> {
    let bad = |what: String| {
        Error::new(ErrorKind::BadRequest, format!("job file {}: {what}", path.display()))
    };
    let text = std::fs::read_to_string(path).map_err(|e| bad(e.to_string()))?;
    let spec: JobSpec = serde_json::from_str(&text).map_err(|e| bad(e.to_string()))?;
    spec.check().map_err(|e| bad(e.detail.into()))?;
    Ok(spec)
}

async fn status(args: &ArgMatches) -> Result<()> {
    let id = check_name("job id", required(args, "id")?)?;
    let state: JobState = EntryClient::try_from(args)?.get(&format!("/v1/jobs/{id}")).await?;
    output::print(args, &state, |state| {
        let mut text = format!("job {} of team {}", state.spec.id, state.spec.team);
        if !state.reason.is_empty() {
            text.push_str(&format!(": {}", state.reason));
        }
        text.push('\n');
        let rows: Vec<_> = state
            .tasks
            .iter()
            .enumerate()
            .map(|(index, task)| [index.to_string(), describe(task)])
            .collect();
        text + &output::table(["TASK", "STATE"], &rows)
    })
}

fn describe(state: &TaskState) -> String {
    match state {
        TaskState::Waiting { checkpoint: None } => "waiting".into(),
        TaskState::Waiting { checkpoint: Some(id) } => format!("waiting, resumes from {id}"),
        TaskState::Placed { worker, attempt } => format!("on {worker}, attempt {attempt}"),
        TaskState::Evicting { worker, attempt } => {
            format!("being evicted from {worker}, attempt {attempt}")
        }
        TaskState::Finished => "finished".into(),
        TaskState::Failed => "failed".into(),
        TaskState::Cancelled => "cancelled".into(),
        TaskState::CannotRun => "cannot run".into(),
    }
}

async fn list(args: &ArgMatches) -> Result<()> {
    let jobs: Vec<JobSummary> = EntryClient::try_from(args)?.get("/v1/jobs").await?;
    output::print(args, &jobs, |jobs| {
        let rows: Vec<_> = jobs
            .iter()
            .map(|j| {
                let count = |n: usize| n.to_string();
                let counts = [j.tasks, j.waiting, j.running, j.finished].map(count);
                let [tasks, waiting, running, finished] = counts;
                [j.job.to_string(), j.team.to_string(), tasks, waiting, running, finished]
            })
            .collect();
        output::table(["JOB", "TEAM", "TASKS", "WAITING", "RUNNING", "FINISHED"], &rows)
    })
}

async fn cancel(args: &ArgMatches) -> Result<()> {
    let ids: Vec<JobId> = args
        .get_many::<String>("id")
        .unwrap_or_default()
        .map(|id| check_name("job id", id))
        .collect::<Result<_>>()?;
    let answer: CancelResponse = EntryClient::try_from(args)?.post("/v1/jobs/cancel", &ids).await?;
    output::print(args, &answer, |a| {
        let cancelled = a.cancelled.iter().map(|id| format!("cancelled {id}\n"));
        let unknown = a.unknown.iter().map(|id| format!("no job {id}\n"));
        cancelled.chain(unknown).collect()
    })
}
