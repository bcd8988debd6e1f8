//! A replica's answers to entry hosts.

use crate::{
    admission::{self, Refusal},
    ask::{Ask, Draft, Progress, Reply},
    members,
    node::{Node, wall_ms},
    port::Port,
};
use cyclamenloft_placement::submission::{
    Change, Outcome, Submission, SubmissionId, SubmissionState, routes::QueuePolicy,
    spec::parse_id, state::Phase,
};
use cyclamenloft_types::{Error, ErrorKind, Outcome as RunOutcome};
use std::time::Instant;

/// Answers a question.
pub(crate) async fn answer<P: Port>(node: &Node<P>, ask: Ask) -> Reply {
    match ask {
        Ask::Where => Reply::Standing(node.standing()),
        Ask::Join(id) => members::admit(node, id).await,
        _ if !node.leads() => Reply::NotLeader(node.replica.status().leader),
        Ask::Report(worker) => taken(node.report(worker).await),
        Ask::Farewell(id) => taken(node.farewell(&id).await),
        Ask::Submit { host, path, draft } => submit(node, &host, &path, draft).await,
        Ask::Read { host, path } => node.state(|s| read(s, &host, &path)),
        Ask::Cancel { host, path } => cancel(node, &host, &path).await,
    }
}

/// What a path names: a queue, and a submission unless it ends with the prefix.
struct Target {
    key: Box<str>,
    policy: QueuePolicy,
    id: Option<SubmissionId>,
}

fn find(state: &SubmissionState, host: &str, path: &str) -> Result<Target, Reply> {
    let routes = state.routes();
    if routes.number == 0 {
        return Err(Reply::Unconfigured);
    }
    let queue = routes.route(host, path).ok_or(Reply::NoQueue)?;
    let rest = &path[queue.prefix.len()..];
    let id = match rest {
        "" => None,
        _ => Some(parse_id(rest).map_err(|e| Reply::Invalid(e.detail))?),
    };
    Ok(Target { key: queue.key(), policy: queue.policy.clone(), id })
}

async fn submit<P: Port>(node: &Node<P>, host: &str, path: &str, draft: Draft) -> Reply {
    let target = match node.state(|s| find(s, host, path)) {
        Ok(target) => target,
        Err(reply) => return reply,
    };
    let Some(id) = target.id else {
        return Reply::Invalid("the path names a queue but no submission".into());
    };
    let submission = draft.into_submission(id, target.key);
    if let Err(e) = submission.check() {
        return Reply::Invalid(e.detail);
    }
    if let Err(refusal) = admit(node, &submission, &target.policy) {
        let (open, version) = node.state(|s| (s.open_count(), s.routes().number));
        let Refusal { reason, retry_after_s } = refusal;
        let submission = format!("{id:016x}");
        tracing::info!(decision = "submit", %submission, open, version, retry_after_s, outcome = reason);
        node.metrics.count("submit", reason);
        return Reply::Busy { retry_after_s };
    }
    tracing::debug!(event = "submission", submission = %format_args!("{id:016x}"), steps = ?submission.steps);
    let tasks: u32 = submission.steps.iter().map(|s| u32::from(s.count)).sum();
    let steps = submission.steps.len();
    let version = node.state(|s| s.routes().number);
    let change = Change::Submit { submission, policy: target.policy, at_ms: wall_ms() };
    let reply = match node.propose(change).await {
        Ok(Outcome::IdTaken) => Reply::Invalid("the id is taken by another submission".into()),
        Ok(_) => Reply::Done,
        Err(e) => failure(&e),
    };
    let outcome = outcome_of(&reply);
    tracing::info!(decision = "submit", submission = %format_args!("{id:016x}"), steps, tasks, version, outcome);
    node.metrics.count("submit", outcome);
    node.due.notify();
    reply
}

fn admit<P: Port>(
    node: &Node<P>,
    submission: &Submission,
    policy: &QueuePolicy,
) -> Result<(), Refusal> {
    let leadership = node.leading();
    let fleet = leadership.as_ref().map(|l| l.fleet.borrow());
    node.state(|s| admission::admit(s, fleet.as_deref(), submission, policy, Instant::now()))
}

fn read(state: &SubmissionState, host: &str, path: &str) -> Reply {
    let target = match find(state, host, path) {
        Ok(target) => target,
        Err(reply) => return reply,
    };
    let Some(id) = target.id else {
        return Reply::Pending(state.pending(&target.key) as u64);
    };
    match state.record(id).filter(|r| r.spec.queue == target.key) {
        None => Reply::Gone,
        Some(r) if r.phase != Phase::Open => Reply::Progress(Progress::Over(r.phase)),
        Some(r) if r.begun => Reply::Progress(Progress::Running),
        Some(_) => Reply::Progress(Progress::Queued),
    }
}

async fn cancel<P: Port>(node: &Node<P>, host: &str, path: &str) -> Reply {
    let target = match node.state(|s| find(s, host, path)) {
        Ok(target) => target,
        Err(reply) => return reply,
    };
    let Some(id) = target.id else {
        return Reply::Invalid("the path names a queue but no submission".into());
    };
    let reply = match node.propose(Change::Cancel(vec![id])).await {
        Ok(Outcome::Unknown) => Reply::Gone,
        Ok(_) => Reply::Done,
        Err(e) => failure(&e),
    };
    let outcome = outcome_of(&reply);
    tracing::info!(decision = "cancel", submission = %format_args!("{id:016x}"), outcome);
    node.metrics.count("cancel", outcome);
    if let Some(leadership) = &*node.leadership.borrow() {
        node.state(|s| leadership.wake_runs(s, id));
    }
    node.due.notify();
    reply
}

/// The answer to what a worker says of itself.
fn taken(done: cyclamenloft_types::Result<()>) -> Reply {
    match done {
        Ok(()) => Reply::Done,
        Err(e) if e.kind == ErrorKind::Conflict => Reply::Outdated,
        Err(e) => failure(&e),
    }
}

/// The answer to a change that the group has not agreed on.
fn failure(e: &Error) -> Reply {
    match e.info().outcome {
        RunOutcome::NotRun => Reply::NotLeader(None),
        RunOutcome::Done | RunOutcome::Unknown => Reply::Unsure,
    }
}

fn outcome_of(reply: &Reply) -> &'static str {
    match reply {
        Reply::Done => "done",
        Reply::Gone => "gone",
        Reply::Invalid(_) => "invalid",
        Reply::Unsure => "unsure",
        Reply::NotLeader(_) => "not-leader",
        _ => "other",
    }
}
