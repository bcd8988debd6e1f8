//! The body of a request from a caller. A small body of known length is buffered, so that
//! it can be sent again; any other body is streamed once.

use crate::{gate::refusal, idle_timeout::IdleTimeout, limits::CallerLimits};
use bytes::Bytes;
use cyclamenloft_http::{Body, BoxError, RequestBody, empty, full};
use cyclamenloft_routing::Refusal;
use cyclamenloft_types::ErrorKind;
use http::{HeaderMap, header};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Instant,
};

/// The body of a request on its way to a target.
pub(crate) enum Upload {
    /// A complete body, which can be sent again.
    Buffered(Bytes),
    /// A body that can be sent only once; `None` once an attempt has taken it.
    Streamed(Option<Body>),
}

/// Whether the caller's body failed because it was cut short, stalled or was too long.
#[derive(Clone, Default)]
pub(crate) struct CallerFault(Rc<Cell<bool>>);

impl CallerFault {
    /// Returns whether the body failed on the side of the caller.
    pub(crate) fn happened(&self) -> bool {
        self.0.get()
    }
}

impl Upload {
    /// Receives a body. A small body is buffered before a target is chosen, so that no
    /// slot is occupied while the body arrives.
    ///
    /// # Errors
    ///
    /// Returns a refusal if a small body is cut short or arrives too slowly.
    pub(crate) async fn receive(
        body: RequestBody,
        headers: &HeaderMap,
        limits: &CallerLimits,
        deadline: Instant,
        fault: &CallerFault,
    ) -> Result<Self, Refusal> {
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let small = body.size_hint().exact().is_some_and(|n| n <= limits.replay_bytes);
        let limited = LimitedBody {
            body,
            idle_timeout: IdleTimeout::new(limits.body_idle_timeout),
            left: limits.body_bytes,
            fault: fault.clone(),
        };
        // A caller that waits for `100 Continue` must send its body only after the
        // request has been admitted, so the body is not awaited here.
        if !small || headers.contains_key(header::EXPECT) {
            return Ok(Self::Streamed(Some(Box::pin(limited))));
        }
        match compio::time::timeout_at(deadline, limited.collect()).await {
            Ok(Ok(whole)) => Ok(Self::Buffered(whole.to_bytes())),
            Ok(Err(e)) => Err(refusal(ErrorKind::BadRequest, format!("body: {e}"))),
            Err(_) => {
                let detail = "the deadline passed while the body arrived";
                Err(refusal(ErrorKind::DeadlinePassed, detail))
            }
        }
    }

    /// Returns whether the body is buffered, so that it can be sent again.
    pub(crate) fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the body for the next attempt, or `None` if it has been sent and
    /// can't be sent again.
    pub(crate) fn next(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(content) if content.is_empty() => Some(empty()),
            Self::Buffered(content) => Some(full(content.clone())),
            Self::Streamed(body) => body.take(),
        }
    }
}

/// A body that fails if it is too long or yields nothing for too long.
struct LimitedBody {
    body: RequestBody,
    idle_timeout: IdleTimeout,
    left: u64,
    fault: CallerFault,
}

impl LimitedBody {
    fn fail<T>(&self, error: BoxError) -> Poll<Option<Result<T, BoxError>>> {
        self.fault.0.set(true);
        Poll::Ready(Some(Err(error)))
    }
}

impl http_body::Body for LimitedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let Poll::Ready(polled) = Pin::new(&mut self.body).poll_frame(cx) else {
            if self.idle_timeout.poll_expired(cx).is_pending() {
                return Poll::Pending;
            }
            let limit = self.idle_timeout.limit();
            return self.fail(format!("no data within {limit:?}").into());
        };
        self.idle_timeout.reset();
        match polled {
            Some(Ok(frame)) => {
                let length = frame.data_ref().map_or(0, |d| d.len() as u64);
                if length > self.left {
                    return self.fail("longer than the limit".into());
                }
                self.left -= length;
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(e)) => self.fail(e.into()),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
