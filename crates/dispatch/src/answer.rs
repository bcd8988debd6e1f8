//! Handles requests of entry hosts and other replicas.

use crate::{
    admission::{self, Refusal},
    members,
    node::{Node, wall_ms},
    port::Port,
    protocol::{Draft, PeerRequest, Progress, Reply},
};
use cyclamenloft_placement::submission::{
    Change, Outcome, Submission, SubmissionId, SubmissionState, routes::QueuePolicy,
    spec::parse_id, state::Phase,
};
use cyclamenloft_types::{Error, ErrorKind, Outcome as RunOutcome};
use std::time::Instant;

/// Handles a request and returns the response.
pub(crate) async fn answer<P: Port>(node: &Node<P>, req: PeerRequest) -> Reply {
    match req {
        PeerRequest::Where => Reply::Standing(node.group_status()),
        PeerRequest::Join(id) => members::admit(node, id).await,
        _ if !node.leads() => Reply::NotLeader(node.replica.status().leader),
        PeerRequest::Report(worker) => report_reply(node.report(worker).await),
        PeerRequest::Farewell(id) => report_reply(node.deregister(&id).await),
        PeerRequest::Submit { host, path, draft } => submit(node, &host, &path, draft).await,
        PeerRequest::Read { host, path } => node.state(|s| read(s, &host, &path)),
        PeerRequest::Cancel { host, path } => cancel(node, &host, &path).await,
    }
}

/// A resolved path: a queue and, if the path continues after the queue's
/// prefix, a submission.
struct ResolvedPath {
    key: Box<str>,
    policy: QueuePolicy,
    id: Option<SubmissionId>,
}

fn resolve_path(state: &SubmissionState, host: &str, path: &str) -> Result<ResolvedPath, Reply> {
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
    Ok(ResolvedPath { key: queue.key(), policy: queue.policy.clone(), id })
}

async fn submit<P: Port>(node: &Node<P>, host: &str, path: &str, draft: Draft) -> Reply {
    let resolved = match node.state(|s| resolve_path(s, host, path)) {
        Ok(resolved) => resolved,
        Err(reply) => return reply,
    };
    let Some(id) = resolved.id else {
        return Reply::Invalid("the path names a queue but no submission".into());
    };
    let submission = draft.into_submission(id, resolved.key);
    if let Err(e) = submission.check() {
        return Reply::Invalid(e.detail);
    }
    if let Err(refusal) = admit(node, &submission, &resolved.policy) {
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
    let change = Change::Submit { submission, policy: resolved.policy, at_ms: wall_ms() };
    let reply = match node.propose(change).await {
        Ok(Outcome::IdTaken) => {
            Reply::Invalid("the id is already used by another submission".into())
        }
        Ok(_) => Reply::Done,
        Err(e) => failure_reply(&e),
    };
    let outcome = outcome_of(&reply);
    tracing::info!(decision = "submit", submission = %format_args!("{id:016x}"), steps, tasks, version, outcome);
    node.metrics.count("submit", outcome);
    node.decision_due.notify();
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
    let resolved = match resolve_path(state, host, path) {
        Ok(resolved) => resolved,
        Err(reply) => return reply,
    };
    let Some(id) = resolved.id else {
        return Reply::Pending(state.pending(&resolved.key) as u64);
    };
    match state.record(id).filter(|r| r.spec.queue == resolved.key) {
        None => Reply::Gone,
        Some(r) if r.phase != Phase::Open => Reply::Progress(Progress::Over(r.phase)),
        Some(r) if r.begun => Reply::Progress(Progress::Running),
        Some(_) => Reply::Progress(Progress::Queued),
    }
}

async fn cancel<P: Port>(node: &Node<P>, host: &str, path: &str) -> Reply {
    let resolved = match node.state(|s| resolve_path(s, host, path)) {
        Ok(resolved) => resolved,
        Err(reply) => return reply,
    };
    let Some(id) = resolved.id else {
        return Reply::Invalid("the path names a queue but no submission".into());
    };
    let reply = match node.propose(Change::Cancel(vec![id])).await {
        Ok(Outcome::Unknown) => Reply::Gone,
        Ok(_) => Reply::Done,
        Err(e) => failure_reply(&e),
    };
    let outcome = outcome_of(&reply);
    tracing::info!(decision = "cancel", submission = %format_args!("{id:016x}"), outcome);
    node.metrics.count("cancel", outcome);
    if let Some(leadership) = &*node.leadership.borrow() {
        node.state(|s| leadership.wake_runs(s, id));
    }
    node.decision_due.notify();
    reply
}

/// Returns the response to a worker's report about itself.
fn report_reply(result: cyclamenloft_types::Result<()>) -> Reply {
    match result {
        Ok(()) => Reply::Done,
        Err(e) if e.kind == ErrorKind::Conflict => Reply::Outdated,
        Err(e) => failure_reply(&e),
    }
}

/// Returns the response to a request whose change was not committed.
fn failure_reply(e: &Error) -> Reply {
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
