//! Handles requests of entry hosts and other replicas.

use crate::{
    admission::{self, Refusal},
    leader::Leadership,
    members,
    node::{Node, wall_ms},
    port::Port,
    protocol::{Draft, PeerRequest, PeerResponse, Progress},
    refusals::{RefusalStamp, SubmissionKey},
    reports,
};
use cyclamenloft_placement::submission::{
    Command, CommandResult, Submission, SubmissionId, SubmissionState, kept::kept_bytes,
    routes::QueuePolicy, spec::parse_id, state::Phase,
};
use cyclamenloft_types::{Error, ErrorKind, Outcome};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Handles a request and returns the response.
pub(crate) async fn handle_request<P: Port>(node: &Node<P>, req: PeerRequest) -> PeerResponse {
    match req {
        PeerRequest::Where => PeerResponse::Standing(node.group_status()),
        PeerRequest::Join(id) => members::add_learner(node, id).await,
        _ if !node.leads() => PeerResponse::NotLeader(node.replica.status().leader),
        PeerRequest::Report(report) => change_response(node.register(report).await),
        PeerRequest::Farewell(id) => change_response(node.register_leaving(&id).await),
        PeerRequest::Configure(routes) => change_response(node.commit_routes(routes).await),
        PeerRequest::StartWave(wave) => change_response(node.commit_wave(wave).await),
        PeerRequest::ReadIndex => match node.read_index().await {
            Ok(index) => PeerResponse::ReadIndex(index),
            Err(e) => failure_response(&e),
        },
        PeerRequest::Submit { host, path, draft, stamp } => {
            submit(node, &host, &path, draft, stamp).await
        }
        PeerRequest::Read { host, path } => node.state(|s| read(s, &host, &path)),
        PeerRequest::Cancel { host, path } => cancel(node, &host, &path).await,
        // The leader doesn't relay calls.
        PeerRequest::Relay(_) => PeerResponse::Outdated,
        PeerRequest::Evacuate { domain, on, expected } => {
            change_response(node.commit_evacuation(domain, on, expected).await)
        }
        PeerRequest::Reported(stamps) => match reports::record(node, &stamps) {
            true => PeerResponse::Done,
            false => PeerResponse::NotLeader(None),
        },
    }
}

/// A resolved path: a queue and, if the path continues after the queue's
/// prefix, a submission.
struct ResolvedPath {
    key: Box<str>,
    policy: QueuePolicy,
    id: Option<SubmissionId>,
}

fn resolve_path(
    state: &SubmissionState,
    host: &str,
    path: &str,
) -> Result<ResolvedPath, PeerResponse> {
    let routes = state.routes();
    if routes.number == 0 {
        return Err(PeerResponse::Unconfigured);
    }
    let queue = routes.route(host, path).ok_or(PeerResponse::NoQueue)?;
    let rest = &path[queue.prefix.len()..];
    let id = match rest {
        "" => None,
        _ => Some(parse_id(rest).map_err(|e| PeerResponse::Invalid(e.detail))?),
    };
    Ok(ResolvedPath { key: queue.key(), policy: queue.policy.clone(), id })
}

async fn submit<P: Port>(
    node: &Node<P>,
    host: &str,
    path: &str,
    draft: Draft,
    stamp: RefusalStamp,
) -> PeerResponse {
    let Some(leadership) = node.leading() else { return PeerResponse::NotLeader(None) };
    let key = SubmissionKey::new(host, path);
    let refusals = &leadership.refusals;
    if refusals.borrow().is_stale(key, stamp) {
        let newest = refusals.borrow().newest();
        tracing::info!(decision = "submit", path, ?stamp, ?newest, outcome = "stale");
        node.metrics.count("submit", "stale");
        return PeerResponse::Stale(newest);
    }
    let is_committing = refusals.borrow().is_committing(key);
    let (submission, policy, backdated) = match check_submission(node, host, path, draft, key) {
        Ok(checked) => checked,
        // The attempt that is being committed may yet be accepted.
        Err(_) if is_committing => return PeerResponse::Unsure,
        Err(refused) => {
            refusals.borrow_mut().record(key);
            return refused.into_response(refusals.borrow().newest());
        }
    };
    // It stays recorded if the outcome is unknown or the caller leaves: the entry may be committed
    // later in this term.
    refusals.borrow_mut().begin_commit(key);
    let _committing = CommittingBytes::new(leadership.clone(), kept_bytes(&submission));
    let response = accept(node, submission, policy, backdated).await;
    if response != PeerResponse::Unsure {
        refusals.borrow_mut().end_commit(key);
    }
    response
}

/// Counts the memory of a submission while it is being committed.
struct CommittingBytes {
    leadership: Rc<Leadership>,
    bytes: usize,
}

impl CommittingBytes {
    fn new(leadership: Rc<Leadership>, bytes: usize) -> Self {
        let count = &leadership.committing_bytes;
        count.set(count.get() + bytes);
        Self { leadership, bytes }
    }
}

impl Drop for CommittingBytes {
    fn drop(&mut self) {
        let count = &self.leadership.committing_bytes;
        count.set(count.get() - self.bytes);
    }
}

/// Why a submission isn't accepted.
enum Refused {
    /// It can't be accepted at all or not under this configuration.
    Unfit(PeerResponse),
    /// It can't be served in time.
    Busy { retry_after_s: u32 },
}

impl Refused {
    fn into_response(self, stamp: RefusalStamp) -> PeerResponse {
        match self {
            Self::Unfit(response) => response,
            Self::Busy { retry_after_s } => PeerResponse::Busy { retry_after_s, stamp },
        }
    }
}

/// Decides whether a submission is accepted. Returns it with the policy of its queue and the time by
/// which its acceptance is backdated, in milliseconds.
fn check_submission<P: Port>(
    node: &Node<P>,
    host: &str,
    path: &str,
    draft: Draft,
    key: SubmissionKey,
) -> Result<(Submission, QueuePolicy, u64), Refused> {
    let resolved = node.state(|s| resolve_path(s, host, path)).map_err(Refused::Unfit)?;
    let invalid = |detail: Box<str>| Refused::Unfit(PeerResponse::Invalid(detail));
    let no_id = || invalid("the path names a queue but no submission".into());
    let id = resolved.id.ok_or_else(no_id)?;
    let submission = draft.into_submission(id, resolved.key);
    submission.check().map_err(|e| invalid(e.detail))?;
    match admit(node, &submission, &resolved.policy, key) {
        Ok(backdated) => Ok((submission, resolved.policy, backdated)),
        Err(Refusal { reason, retry_after_s }) => {
            let (open, version) = node.state(|s| (s.open_count(), s.routes().number));
            let submission = format!("{id:016x}");
            tracing::info!(decision = "submit", %submission, open, version, retry_after_s, outcome = reason);
            node.metrics.count("submit", reason);
            Err(Refused::Busy { retry_after_s })
        }
    }
}

async fn accept<P: Port>(
    node: &Node<P>,
    submission: Submission,
    policy: QueuePolicy,
    backdated: u64,
) -> PeerResponse {
    let id = submission.id;
    tracing::debug!(event = "submission", submission = %format_args!("{id:016x}"), steps = ?submission.steps);
    let tasks: u32 = submission.steps.iter().map(|s| u32::from(s.count)).sum();
    let steps = submission.steps.len();
    let version = node.state(|s| s.routes().number);
    let is_resend = node.state(|s| s.record(id).is_some());
    let at_ms = wall_ms().saturating_sub(backdated);
    let command = Command::Submit { submission, policy, at_ms };
    let response = match node.propose(command).await {
        Ok(CommandResult::IdTaken) => {
            PeerResponse::Invalid("the id is already used by another submission".into())
        }
        Ok(_) => PeerResponse::Done,
        Err(e) => change_failure_response(e),
    };
    let outcome = outcome_of(&response);
    if outcome == "done" && !is_resend {
        record_arrival(node, id);
    }
    tracing::info!(decision = "submit", submission = %format_args!("{id:016x}"), steps, tasks, version, outcome);
    node.metrics.count("submit", outcome);
    node.decision_due.notify();
    response
}

/// Decides on a submission. Returns the time by which its acceptance is backdated, in
/// milliseconds.
fn admit<P: Port>(
    node: &Node<P>,
    submission: &Submission,
    policy: &QueuePolicy,
    key: SubmissionKey,
) -> Result<u64, Refusal> {
    let leadership = node.leading();
    // A resend of a submission that this leader accepted and has not yet committed.
    if leadership.as_ref().is_some_and(|l| l.refusals.borrow().is_committing(key)) {
        return Ok(0);
    }
    let mut fleet = leadership.as_ref().map(|l| l.fleet.borrow_mut());
    let (now, wall_ms) = (Instant::now(), wall_ms());
    node.state(|s| {
        // A resend of a submission that this leader accepted and has not yet committed.
        if fleet.as_ref().is_some_and(|f| f.backlog.is_accepted(submission.id)) {
            return Ok(0);
        }
        if let Some(leadership) = leadership.as_ref().filter(|_| s.record(submission.id).is_none())
        {
            let kept = s.kept_bytes() + leadership.committing_bytes.get();
            admission::admit_bytes(kept_bytes(submission), kept, node.settings.kept_bytes)?;
        }
        admission::admit(s, fleet.as_deref(), submission, policy, now)?;
        let backdated = match &mut fleet {
            Some(fleet) => admission::admit_in_time(s, fleet, submission, policy, now, wall_ms)?,
            None => Duration::ZERO,
        };
        Ok(u64::try_from(backdated.as_millis()).unwrap_or(0))
    })
}

/// Records an accepted submission in the leader's demand.
fn record_arrival<P: Port>(node: &Node<P>, id: SubmissionId) {
    let Some(leadership) = node.leading() else { return };
    node.state(|s| {
        let Some(record) = s.record(id) else { return };
        let demand = &mut leadership.fleet.borrow_mut().demand;
        demand.record_arrival(&record.spec.queue, &record.spec, Instant::now());
    });
}

/// Records in the leader's demand that a client cancelled a submission.
fn record_cancelled<P: Port>(node: &Node<P>, queue: &str, begun: bool) {
    if let Some(leadership) = node.leading() {
        leadership.fleet.borrow_mut().demand.record_cancelled(queue, begun, Instant::now());
    }
}

fn read(state: &SubmissionState, host: &str, path: &str) -> PeerResponse {
    let resolved = match resolve_path(state, host, path) {
        Ok(resolved) => resolved,
        Err(response) => return response,
    };
    let Some(id) = resolved.id else {
        return PeerResponse::Pending(state.pending(&resolved.key) as u64);
    };
    match state.record(id).filter(|r| r.spec.queue == resolved.key) {
        None => PeerResponse::Gone,
        Some(r) if r.phase != Phase::Open => PeerResponse::Progress(Progress::Over(r.phase)),
        Some(r) if r.begun => PeerResponse::Progress(Progress::Running),
        Some(_) => PeerResponse::Progress(Progress::Queued),
    }
}

async fn cancel<P: Port>(node: &Node<P>, host: &str, path: &str) -> PeerResponse {
    let resolved = match node.state(|s| resolve_path(s, host, path)) {
        Ok(resolved) => resolved,
        Err(response) => return response,
    };
    let Some(id) = resolved.id else {
        return PeerResponse::Invalid("the path names a queue but no submission".into());
    };
    let begun = node.state(|s| s.record(id).filter(|r| r.phase == Phase::Open).map(|r| r.begun));
    if node.state(|s| s.record(id).is_none())
        && let Some(leadership) = node.leading()
    {
        // An attempt to hand the submission in may arrive after the answer that there is none.
        leadership.refusals.borrow_mut().record(SubmissionKey::new(host, path));
    }
    let response = match node.propose(Command::Cancel(vec![id])).await {
        Ok(CommandResult::Unknown) => PeerResponse::Gone,
        Ok(_) => PeerResponse::Done,
        Err(e) => failure_response(&e),
    };
    let outcome = outcome_of(&response);
    if let Some(begun) = begun.filter(|_| outcome == "done") {
        record_cancelled(node, &resolved.key, begun);
    }
    tracing::info!(decision = "cancel", submission = %format_args!("{id:016x}"), outcome);
    node.metrics.count("cancel", outcome);
    if let Some(leadership) = &*node.leadership.borrow() {
        node.state(|s| leadership.wake_runs(s, id));
    }
    node.decision_due.notify();
    response
}

/// Returns the response to a change that is not a client's.
fn change_response(result: cyclamenloft_types::Result<()>) -> PeerResponse {
    match result {
        Ok(()) => PeerResponse::Done,
        Err(e) if e.kind == ErrorKind::Conflict => PeerResponse::Outdated,
        Err(e) => change_failure_response(e),
    }
}

/// Returns the response to a change that was not committed. One that exceeds a log entry would
/// fail at each replica.
fn change_failure_response(e: Error) -> PeerResponse {
    match e.kind {
        ErrorKind::BadRequest | ErrorKind::TooLarge => PeerResponse::Invalid(e.detail),
        _ => failure_response(&e),
    }
}

/// Returns the response to a request whose command was not committed.
fn failure_response(e: &Error) -> PeerResponse {
    match e.info().outcome {
        Outcome::NotRun => PeerResponse::NotLeader(None),
        Outcome::Done | Outcome::Unknown => PeerResponse::Unsure,
    }
}

fn outcome_of(response: &PeerResponse) -> &'static str {
    match response {
        PeerResponse::Done => "done",
        PeerResponse::Gone => "gone",
        PeerResponse::Invalid(_) => "invalid",
        PeerResponse::Unsure => "unsure",
        PeerResponse::NotLeader(_) => "not-leader",
        _ => "other",
    }
}
