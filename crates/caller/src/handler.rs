//! Answering callers' requests: marks, admission, the attempts, the answer.

use crate::{
    decision_log::{self, Trail},
    exchange::{self, Exchange},
    forward::pass_back,
    gates::{Gates, Readiness},
    idempotency::{BeginKey, KeyId, Keys},
    keyed,
    limits::CallerLimits,
    marks::{KeyMark, Marks, REQUEST_ID_HEADER},
    outgoing::Outgoing,
    shape,
    upload::{CallerFault, Upload},
};
use cyclamenloft_http::{Handler, Request, Response, answer::error_response_after};
use cyclamenloft_routing::{Refusal, RequestFacts};
use cyclamenloft_target::Pool;
use cyclamenloft_types::{Error, ErrorKind, RequestId};
use http::{HeaderValue, header};
use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use ulid::Ulid;

/// When a request with a fault in its head may be sent again.
const RETRY_AFTER: Duration = Duration::from_secs(1);
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Answers callers on one thread.
pub struct CallerHandler {
    gates: Gates,
    pool: Pool,
    readiness: Readiness,
    keys: Keys,
    limits: CallerLimits,
}

impl CallerHandler {
    /// A handler that uses the thread's `pool`.
    #[must_use]
    pub fn new(
        gates: Gates,
        pool: Pool,
        readiness: Readiness,
        keys: Keys,
        limits: CallerLimits,
    ) -> Self {
        Self { gates, pool, readiness, keys, limits }
    }

    async fn answer(
        &self,
        req: Request,
        id: &RequestId,
        remote: SocketAddr,
    ) -> Result<Response, Refusal> {
        let arrived = Instant::now();
        let (parts, body) = req.into_parts();
        let remote = remote.ip().to_string();
        let refuse = |e: Error| refused_early(id, e);
        shape::check(&parts, &self.limits).map_err(refuse)?;
        let marks = Marks::read(id.clone(), &parts.method, &parts.uri, &parts.headers, &remote)
            .map_err(refuse)?;
        let gate = self.gates.get(&marks.service).map_err(refuse)?;
        let deadline = arrived + marks.deadline.unwrap_or_else(|| gate.policy().deadline);
        let facts = RequestFacts {
            id: id.clone(),
            caller: marks.caller.clone(),
            idempotent: marks.idempotent,
            priority: marks.priority,
            deadline,
            hopped: false,
        };
        let trail = Rc::new(Trail {
            request: id.clone(),
            service: marks.service.clone(),
            caller: marks.caller.clone(),
            arrived,
        });
        let ended = async {
            let fault = CallerFault::default();
            let upload =
                Upload::receive(body, &parts.headers, &self.limits, deadline, &fault).await?;
            let outgoing = Outgoing::new(parts, &marks, upload, &remote);
            let (pool, trail) = (self.pool.clone(), trail.clone());
            let begin = marks.key.as_ref().map(|key| begin(&marks, key, &outgoing, deadline));
            let exchange = Exchange { gate, pool, facts, trail, outgoing, fault };
            match begin {
                Some(begin) => keyed::run(self.keys.clone(), begin, exchange, self.limits).await,
                None => {
                    let answered = exchange::run(exchange).await?;
                    Ok(pass_back(answered, self.limits.body_pause))
                }
            }
        };
        ended.await.inspect_err(|refusal| decision_log::refused(id, Some(&trail), refusal))
    }
}

/// The question whether a request with a key may run.
fn begin(marks: &Marks, key: &KeyMark, outgoing: &Outgoing, deadline: Instant) -> BeginKey {
    let left = deadline.saturating_duration_since(Instant::now());
    BeginKey {
        id: KeyId {
            service: marks.service.clone(),
            caller: marks.named_caller.clone().unwrap_or_default(),
            key: key.key.clone(),
        },
        request: marks.id.clone(),
        fingerprint: outgoing.fingerprint(),
        first: key.first,
        left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
    }
}

impl Handler for CallerHandler {
    async fn handle(&self, req: Request, remote: SocketAddr) -> Response {
        let id: RequestId = Ulid::new().to_string().into();
        let mut response = match self.answer(req, &id, remote).await {
            Ok(response) => response,
            Err(refusal) => refused(refusal),
        };
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        if !self.readiness.is_ready() {
            // The host is about to stop: callers should connect elsewhere.
            response.headers_mut().insert(header::CONNECTION, CLOSE);
        }
        response
    }
}

fn refused(refusal: Refusal) -> Response {
    let malformed = matches!(refusal.kind, ErrorKind::BadRequest | ErrorKind::TooLarge);
    let error = Error::new(refusal.kind, refusal.detail);
    let mut response = error_response_after(&error, Some(refusal.retry_after));
    if malformed {
        // What follows a malformed request may be a part of it.
        response.headers_mut().insert(header::CONNECTION, CLOSE);
    }
    response
}

/// The refusal of a request that is at fault itself.
fn refused_early(id: &str, error: Error) -> Refusal {
    let refusal = Refusal::new(error.kind, error.detail, RETRY_AFTER);
    decision_log::refused(id, None, &refusal);
    refusal
}
