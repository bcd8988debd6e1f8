//! Passes a target's response back to the caller.

use crate::{
    decision_log, decision_log::RequestContext, exchange::Answered, idle_timeout::IdleTimeout,
    permit::InFlightSlot,
};
use bytes::Bytes;
use cyclamenloft_http::{
    Body, BoxError, Response,
    response::{ERROR_HEADER, OUTCOME_HEADER},
};
use cyclamenloft_routing::AttemptResult;
use cyclamenloft_target::{TargetBody, headers::remove_hop_by_hop};
use cyclamenloft_types::Outcome;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body::{Frame, SizeHint};
use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

/// Converts a target's response into the response for the caller.
pub(crate) fn into_caller_response(answered: Answered, idle_timeout: Duration) -> Response {
    let Answered { response, slot, context } = answered;
    let (mut parts, body) = response.into_parts();
    strip_headers(&mut parts.headers);
    let body = ResponseBody::boxed(body, slot, context, parts.status, idle_timeout);
    Response::from_parts(parts, body)
}

/// Removes the headers that a target must not pass to a caller, and adds `Via`.
fn strip_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    // Only an entry host states whether a request ran.
    headers.remove(OUTCOME_HEADER);
    headers.remove(ERROR_HEADER);
    headers.append(header::VIA, HeaderValue::from_static("1.1 cyclamenloft"));
}

/// The slot and the log context of a response that has not ended.
struct Unfinished {
    slot: Option<InFlightSlot>,
    latency: Duration,
    context: Rc<RequestContext>,
    status: StatusCode,
}

/// The body of a response on its way to the caller. It holds the slot until the
/// response is complete. If either side cuts the response short, the slot is
/// released as abandoned.
struct ResponseBody {
    body: TargetBody,
    idle_timeout: IdleTimeout,
    unfinished: Option<Unfinished>,
}

impl ResponseBody {
    fn boxed(
        body: TargetBody,
        slot: Option<InFlightSlot>,
        context: Rc<RequestContext>,
        status: StatusCode,
        idle_timeout: Duration,
    ) -> Body {
        let latency = slot.as_ref().map(|h| h.permit().since.elapsed()).unwrap_or_default();
        let unfinished = Some(Unfinished { slot, latency, context, status });
        let mut this = Self { body, idle_timeout: IdleTimeout::new(idle_timeout), unfinished };
        this.finish_if_ended();
        Box::pin(this)
    }

    fn finish_if_ended(&mut self) {
        if http_body::Body::is_end_stream(&self.body) {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if let Some(Unfinished { slot, latency, context, status }) = self.unfinished.take() {
            decision_log::answered(&context, status, true);
            let result = AttemptResult {
                outcome: Outcome::Done,
                healthy: !status.is_server_error() || status == StatusCode::NOT_IMPLEMENTED,
                latency,
                abandoned: false,
            };
            if let Some(slot) = slot {
                slot.finish(result, Instant::now());
            }
        }
    }

    /// Ends the response because the target cut it short or stalled.
    fn abort(&mut self) {
        if let Some(Unfinished { slot, context, status, .. }) = self.unfinished.take() {
            decision_log::answered(&context, status, false);
            if let Some(slot) = slot {
                slot.finish_lost(false, Instant::now());
            }
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        // The caller has disconnected; dropping the slot marks the request as abandoned.
        if let Some(unfinished) = self.unfinished.take() {
            decision_log::answered(&unfinished.context, unfinished.status, false);
        }
    }
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
            if self.idle_timeout.poll_expired(cx).is_pending() {
                return Poll::Pending;
            }
            self.abort();
            let limit = self.idle_timeout.limit();
            return Poll::Ready(Some(Err(format!("response: no data within {limit:?}").into())));
        };
        self.idle_timeout.reset();
        match &frame {
            None => self.finish(),
            Some(Ok(_)) => self.finish_if_ended(),
            Some(Err(_)) => self.abort(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        http_body::Body::is_end_stream(&self.body)
    }

    fn size_hint(&self) -> SizeHint {
        http_body::Body::size_hint(&self.body)
    }
}
