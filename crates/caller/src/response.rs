//! Carrying a target's answer back to the caller.

use crate::{
    decision_log, decision_log::Trail, exchange::Answered, idle_timeout::PauseLimit,
    permit::InFlight,
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

/// The response for the caller.
pub(crate) fn pass_back(answered: Answered, pause: Duration) -> Response {
    let Answered { response, held, trail } = answered;
    let (mut parts, body) = response.into_parts();
    clean(&mut parts.headers);
    let body = AnswerBody::boxed(body, held, trail, parts.status, pause);
    Response::from_parts(parts, body)
}

/// Removes what a target can't say to a caller.
fn clean(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    // Only an entry host says whether a request ran.
    headers.remove(OUTCOME_HEADER);
    headers.remove(ERROR_HEADER);
    headers.append(header::VIA, HeaderValue::from_static("1.1 cyclamenloft"));
}

/// What is given back once the answer has ended.
struct Open {
    held: Option<InFlight>,
    latency: Duration,
    trail: Rc<Trail>,
    status: StatusCode,
}

/// The body of an answer on its way to the caller. It holds the slot until the
/// answer has ended whole; an answer that is cut short, by either side, gives
/// the slot back as abandoned.
struct AnswerBody {
    body: TargetBody,
    pause: PauseLimit,
    open: Option<Open>,
}

impl AnswerBody {
    fn boxed(
        body: TargetBody,
        held: Option<InFlight>,
        trail: Rc<Trail>,
        status: StatusCode,
        pause: Duration,
    ) -> Body {
        let latency = held.as_ref().map(|h| h.permit().since.elapsed()).unwrap_or_default();
        let open = Some(Open { held, latency, trail, status });
        let mut answer = Self { body, pause: PauseLimit::new(pause), open };
        answer.finish_if_ended();
        Box::pin(answer)
    }

    fn finish_if_ended(&mut self) {
        if http_body::Body::is_end_stream(&self.body) {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if let Some(Open { held, latency, trail, status }) = self.open.take() {
            decision_log::answered(&trail, status, true);
            let result = AttemptResult {
                outcome: Outcome::Done,
                healthy: !status.is_server_error() || status == StatusCode::NOT_IMPLEMENTED,
                latency,
                abandoned: false,
            };
            if let Some(held) = held {
                held.finish(result, Instant::now());
            }
        }
    }

    /// Ends the answer because the target's side broke off.
    fn cut(&mut self) {
        if let Some(Open { held, trail, status, .. }) = self.open.take() {
            decision_log::answered(&trail, status, false);
            if let Some(held) = held {
                held.finish_lost(false, Instant::now());
            }
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        // The caller has gone; dropping the slot marks the request as abandoned.
        if let Some(open) = self.open.take() {
            decision_log::answered(&open.trail, open.status, false);
        }
    }
}

impl http_body::Body for AnswerBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
            if self.pause.poll_waiting(cx).is_pending() {
                return Poll::Pending;
            }
            self.cut();
            let limit = self.pause.limit();
            return Poll::Ready(Some(
                Err(format!("answer: expected more within {limit:?}").into()),
            ));
        };
        self.pause.reset();
        match &frame {
            None => self.finish(),
            Some(Ok(_)) => self.finish_if_ended(),
            Some(Err(_)) => self.cut(),
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
