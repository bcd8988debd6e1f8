//! Carrying one admitted request to its target and the answer back.

use crate::gate::HeldPermit;
use bytes::Bytes;
use cyclamenloft_http::{Body, BoxError};
use cyclamenloft_routing::AttemptResult;
use cyclamenloft_target::TargetBody;
use cyclamenloft_types::Outcome;
use http_body::{Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

/// The body of an answer on its way to the caller. It holds the permit until
/// the answer has ended whole; an answer that is cut short, by either side,
/// gives the permit back as abandoned.
pub(crate) struct AnswerBody {
    body: TargetBody,
    held: Option<(HeldPermit, Duration)>,
}

impl AnswerBody {
    /// Wraps the target's body; `latency` is the time until the answer's head.
    pub(crate) fn boxed(body: TargetBody, held: HeldPermit, latency: Duration) -> Body {
        let mut answer = Self { body, held: Some((held, latency)) };
        answer.finish_if_ended();
        Box::pin(answer)
    }

    fn finish_if_ended(&mut self) {
        if http_body::Body::is_end_stream(&self.body) {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if let Some((held, latency)) = self.held.take() {
            let result =
                AttemptResult { outcome: Outcome::Done, healthy: true, latency, abandoned: false };
            held.finish(result, Instant::now());
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
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            None => self.finish(),
            Some(Ok(_)) => self.finish_if_ended(),
            // Dropping the permit marks the request as abandoned.
            Some(Err(_)) => self.held = None,
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
