//! Answering callers' requests: marks, admission, the attempt, the answer.

use crate::{
    forward::AnswerBody,
    gate::{Gate, HeldPermit},
    marks::{DEADLINE_HEADER, Marks, REQUEST_ID_HEADER},
};
use cyclamenloft_http::{
    Body, Handler, Request, Response, answer::error_response_after, body::boxed, empty,
};
use cyclamenloft_routing::{AttemptResult, Refusal, RequestFacts};
use cyclamenloft_target::{Pool, SendFailure, TargetBody, headers::remove_hop_by_hop};
use cyclamenloft_types::{Error, ErrorKind, Outcome, RequestId, Result, ServiceName, TargetId};
use http::{HeaderValue, header, request::Parts};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use ulid::Ulid;

/// Attempts at different targets that one request may use.
const MAX_ATTEMPTS: usize = 3;

/// The gates of all services, shared by the threads of an entry host.
#[derive(Clone, Default)]
pub struct Gates(Arc<RwLock<HashMap<ServiceName, Arc<Gate>>>>);

impl Gates {
    /// The gate of a service.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownService`] naming the service.
    pub fn get(&self, service: &str) -> Result<Arc<Gate>> {
        let gates = self.0.read().unwrap_or_else(PoisonError::into_inner);
        gates.get(service).cloned().ok_or_else(|| {
            Error::new(ErrorKind::UnknownService, format!("no service {service:?} is configured"))
        })
    }

    /// Every gate with its service's name.
    #[must_use]
    pub fn all(&self) -> Vec<(ServiceName, Arc<Gate>)> {
        let gates = self.0.read().unwrap_or_else(PoisonError::into_inner);
        gates.iter().map(|(name, gate)| (name.clone(), gate.clone())).collect()
    }

    /// Replaces the set of gates.
    pub fn set(&self, gates: impl IntoIterator<Item = (ServiceName, Arc<Gate>)>) {
        let mut present = self.0.write().unwrap_or_else(PoisonError::into_inner);
        *present = gates.into_iter().collect();
    }
}

/// Whether the entry host wants new connections.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether the host is ready.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }

    /// Whether the host is ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Answers callers on one thread.
pub struct CallerHandler {
    gates: Gates,
    pool: Pool,
    readiness: Readiness,
}

impl CallerHandler {
    /// A handler that uses the thread's `pool`.
    #[must_use]
    pub fn new(gates: Gates, pool: Pool, readiness: Readiness) -> Self {
        Self { gates, pool, readiness }
    }

    async fn answer(
        &self,
        req: Request,
        id: &RequestId,
        remote: SocketAddr,
    ) -> Result<Response, Refusal> {
        let now = Instant::now();
        let (parts, body) = req.into_parts();
        let anonymous = remote.ip().to_string();
        let marks = Marks::read(id.clone(), &parts.method, &parts.uri, &parts.headers, &anonymous)
            .map_err(refusal)?;
        let gate = self.gates.get(&marks.service).map_err(refusal)?;
        let deadline = now + marks.deadline.unwrap_or_else(|| gate.policy().deadline);
        let facts = RequestFacts {
            id: marks.id.clone(),
            caller: marks.caller.clone(),
            idempotent: marks.idempotent,
            priority: marks.priority,
            deadline,
            hopped: false,
        };
        let body = boxed(body);
        let attempts = self.attempts(&gate, &marks, facts, parts, body);
        match compio::time::timeout_at(deadline, attempts).await {
            Ok(done) => done,
            Err(_) => Err(Refusal {
                kind: ErrorKind::TargetTimeout,
                detail: "the deadline passed before an answer came".into(),
                retry_after: Duration::from_secs(1),
            }),
        }
    }

    /// Tries targets until one has taken the request.
    async fn attempts(
        &self,
        gate: &Arc<Gate>,
        marks: &Marks,
        facts: RequestFacts,
        parts: Parts,
        body: Body,
    ) -> Result<Response, Refusal> {
        let mut failed: Vec<TargetId> = Vec::new();
        let mut req = build_request(&parts, marks, facts.deadline, body);
        loop {
            let held = gate.enter(facts.clone(), &failed, Instant::now()).await?;
            let target = held.permit().target.clone();
            let (addr, reason) = (held.permit().addr, held.permit().reason);
            let sent = self.pool.send(&target, addr, req, Instant::now()).await;
            log_attempt(marks, &target, reason, &sent);
            match sent {
                Ok(response) => return Ok(pass_back(response, held)),
                Err(SendFailure::NotRun { req: Some(back), detail }) => {
                    held.finish_unsent(false, Instant::now());
                    failed.push(target);
                    if failed.len() >= MAX_ATTEMPTS {
                        return Err(not_sent(&detail));
                    }
                    req = *back;
                }
                Err(SendFailure::NotRun { req: None, detail }) => {
                    held.finish_unsent(false, Instant::now());
                    return Err(not_sent(&detail));
                }
                Err(SendFailure::Unknown { detail }) => {
                    finish_failed(held);
                    return Err(Refusal {
                        kind: ErrorKind::TargetFailed,
                        detail: format!("target {target:?}: {detail}").into(),
                        retry_after: Duration::from_secs(1),
                    });
                }
            }
        }
    }
}

impl Handler for CallerHandler {
    async fn handle(&self, req: Request, remote: SocketAddr) -> Response {
        let id: RequestId = Ulid::new().to_string().into();
        let mut response = match self.answer(req, &id, remote).await {
            Ok(response) => response,
            Err(refusal) => {
                let code = refusal.kind.answer().code;
                tracing::info!(request = %id, code, detail = %refusal.detail, "refused");
                let error = Error::new(refusal.kind, refusal.detail);
                error_response_after(&error, Some(refusal.retry_after))
            }
        };
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        if !self.readiness.is_ready() {
            // The host is about to stop: callers should connect elsewhere.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

fn refusal(error: Error) -> Refusal {
    Refusal { kind: error.kind, detail: error.detail, retry_after: Duration::from_secs(1) }
}

fn not_sent(detail: &str) -> Refusal {
    Refusal {
        kind: ErrorKind::NoTarget,
        detail: detail.into(),
        retry_after: Duration::from_secs(1),
    }
}

fn finish_failed(held: HeldPermit) {
    let now = Instant::now();
    let latency = now.saturating_duration_since(held.permit().since);
    let result =
        AttemptResult { outcome: Outcome::Unknown, healthy: false, latency, abandoned: true };
    held.finish(result, now);
}

/// Builds the request for a target from the caller's.
fn build_request(
    parts: &Parts,
    marks: &Marks,
    deadline: Instant,
    body: Body,
) -> http::Request<Body> {
    let mut req = http::Request::new(body);
    *req.method_mut() = parts.method.clone();
    *req.uri_mut() = marks.path.clone().into();
    let headers = req.headers_mut();
    *headers = parts.headers.clone();
    remove_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    let remaining = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
    headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining));
    if let Ok(value) = HeaderValue::from_str(&marks.id) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    if http_body::Body::is_end_stream(req.body()) {
        *req.body_mut() = empty();
    }
    req
}

fn pass_back(response: http::Response<TargetBody>, held: HeldPermit) -> Response {
    let latency = held.permit().since.elapsed();
    let (mut parts, body) = response.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    http::Response::from_parts(parts, AnswerBody::boxed(body, held, latency))
}

fn log_attempt(
    marks: &Marks,
    target: &TargetId,
    reason: &str,
    sent: &Result<http::Response<TargetBody>, SendFailure>,
) {
    let outcome = match sent {
        Ok(_) => Outcome::Done,
        Err(SendFailure::NotRun { .. }) => Outcome::NotRun,
        Err(SendFailure::Unknown { .. }) => Outcome::Unknown,
    };
    tracing::info!(
        target: "cyclamenloft::decision",
        request = %marks.id,
        service = %marks.service,
        caller = %marks.caller,
        chosen = %target,
        reason,
        outcome = outcome.as_str(),
        "route"
    );
}
