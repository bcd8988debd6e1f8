//! Handles the requests of callers.

use crate::{
    attributes::{REQUEST_ID_HEADER, RequestAttributes},
    decision_log,
    forwarder::Forwarder,
    gates::Readiness,
    hop, validate,
};
use cyclamenloft_http::{Handler, Request, Response, response::error_response_with_retry};
use cyclamenloft_routing::Refusal;
use cyclamenloft_types::{Error, ErrorKind, RequestId};
use http::{HeaderValue, header};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use ulid::Ulid;

/// The retry delay that the refusal of an invalid request advises, if its error kind
/// allows a retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Handles the requests of callers on one thread.
pub struct CallerHandler {
    forwarder: Forwarder,
    readiness: Readiness,
}

impl CallerHandler {
    /// Creates a handler that forwards requests through `forwarder`.
    #[must_use]
    pub fn new(forwarder: Forwarder, readiness: Readiness) -> Self {
        Self { forwarder, readiness }
    }

    async fn try_handle(
        &self,
        req: Request,
        id: &RequestId,
        remote: SocketAddr,
    ) -> Result<Response, Refusal> {
        let arrived = Instant::now();
        let (mut parts, body) = req.into_parts();
        let from = remote.ip().to_string();
        let refuse = |e: Error| refuse_early(id, e);
        validate::check(&parts, self.forwarder.limits()).map_err(refuse)?;
        hop::headers::remove(&mut parts.headers);
        let attrs =
            RequestAttributes::read(id.clone(), &parts.method, &parts.uri, &parts.headers, &from)
                .map_err(refuse)?;
        self.forwarder.forward(parts, body, attrs, &from, false, arrived).await
    }
}

impl Handler for CallerHandler {
    async fn handle(&self, req: Request, remote: SocketAddr) -> Response {
        let id: RequestId = Ulid::new().to_string().into();
        let mut response = self.try_handle(req, &id, remote).await.unwrap_or_else(refusal_response);
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        if !self.readiness.is_ready() {
            // The host is not ready, usually because it is about to stop, so callers
            // should connect to another entry host.
            response.headers_mut().insert(header::CONNECTION, CLOSE);
        }
        response
    }
}

/// Returns the response for a refusal.
pub(crate) fn refusal_response(refusal: Refusal) -> Response {
    let malformed = matches!(refusal.kind, ErrorKind::BadRequest | ErrorKind::TooLarge);
    let error = Error::new(refusal.kind, refusal.detail);
    let mut response = error_response_with_retry(&error, Some(refusal.retry_after));
    if malformed {
        // The bytes after a malformed request may be part of it, so they must not be
        // read as another request.
        response.headers_mut().insert(header::CONNECTION, CLOSE);
    }
    response
}

/// Logs and returns the refusal of an invalid request.
fn refuse_early(id: &str, error: Error) -> Refusal {
    let refusal = Refusal::new(error.kind, error.detail, RETRY_AFTER);
    decision_log::refused(id, None, &refusal);
    refusal
}
