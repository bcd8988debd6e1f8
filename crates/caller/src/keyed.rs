//! Requests with an idempotency key. Such a request runs at most once even if it
//! is sent again, and it runs to its end even if its caller disconnects.

use crate::{
    attributes::REPLAYED_HEADER,
    exchange::{self, Exchange},
    gate::refusal,
    idempotency::{
        BeginDecision, BeginKey, Ending, FinishKey, KeyId, KeyRequest, KeyResponse, Keys,
        StoredResponse, keys,
    },
    limits::CallerLimits,
    response::into_caller_response,
};
use bytes::Bytes;
use cyclamenloft_http::{Body, BoxError, Response, full};
use cyclamenloft_routing::Refusal;
use cyclamenloft_types::{ErrorKind, Outcome, RequestId};
use futures_channel::oneshot;
use http::{HeaderValue, response::Parts};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
};

/// Runs the request unless the owner of its key responds that a request with this key has
/// run or may have run.
pub(crate) async fn run(
    keys: Keys,
    begin: BeginKey,
    exchange: Box<Exchange>,
    limits: CallerLimits,
) -> Result<Response, Refusal> {
    let (id, request) = (begin.id.clone(), begin.request.clone());
    let begun = ask(&keys, begin, exchange.meta.deadline).await?;
    if let Some(error) = keys::refuse(&begun, &id.key) {
        return Err(refusal(error.kind, error.detail));
    }
    if let BeginDecision::Done(stored) = begun {
        return Ok(replay(&stored));
    }
    let (tx, rx) = oneshot::channel();
    compio::runtime::spawn(async move {
        let (response, ending) = execute(exchange, &limits).await;
        // The caller may have disconnected; the outcome is stored in any case.
        let _ = tx.send(response);
        finish(&keys, id, request, ending).await;
    })
    .detach();
    rx.await.unwrap_or_else(|_| Err(refusal(ErrorKind::Internal, "the request's task ended")))
}

async fn ask(keys: &Keys, begin: BeginKey, deadline: Instant) -> Result<BeginDecision, Refusal> {
    let key = begin.id.key.clone();
    let unreachable = |what: &str| {
        refusal(ErrorKind::PeerUnreachable, format!("idempotency key {key:?}: {what}"))
    };
    let asked = keys.ask(KeyRequest::Begin(begin));
    match compio::time::timeout_at(deadline, asked).await {
        Ok(Ok(KeyResponse::Begun(begun))) => Ok(begun),
        Ok(Ok(KeyResponse::Noted)) => Err(unreachable("the owner sent an unexpected response")),
        Ok(Err(e)) => Err(unreachable(&e.detail)),
        Err(_) => Err(unreachable("the owner did not respond in time")),
    }
}

async fn finish(keys: &Keys, id: KeyId, request: RequestId, ending: Ending) {
    let finish = FinishKey { id, request, ending };
    if let Err(e) = keys.ask(KeyRequest::Finish(finish)).await {
        // After the deadline, the owner treats the outcome as unknown.
        tracing::warn!(error = %e, "the end of a request with a key was not noted");
    }
}

/// Returns the stored response with the header that marks it as replayed.
fn replay(stored: &StoredResponse) -> Response {
    let mut response = stored.response().map(full);
    response.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    response
}

/// Runs the request to its end and returns the outcome to store.
async fn execute(
    exchange: Box<Exchange>,
    limits: &CallerLimits,
) -> (Result<Response, Refusal>, Ending) {
    let answered = match exchange::run(exchange).await {
        Ok(answered) => answered,
        Err(refusal) => {
            let not_run = refusal.kind.info().outcome == Outcome::NotRun;
            let ending = if not_run { Ending::NotRun } else { Ending::Unknown };
            return (Err(refusal), ending);
        }
    };
    let (parts, body) = into_caller_response(answered, limits.body_idle_timeout).into_parts();
    let limit = usize::try_from(limits.replay_bytes).unwrap_or(usize::MAX);
    let (frames, rest) = match collect(body, limit).await {
        Ok(read) => read,
        // No byte of the response has been sent to the caller yet, so the caller can
        // still be sent an error.
        Err(e) => {
            let cut = refusal(ErrorKind::TargetFailed, format!("the response was cut short: {e}"));
            return (Err(cut), Ending::Unknown);
        }
    };
    let ending = match rest {
        None => stored_ending(&parts, &frames),
        Some(_) => Ending::Unknown,
    };
    let body: Body = Box::pin(PrefixedBody { frames: frames.into(), rest });
    (Ok(Response::from_parts(parts, body)), ending)
}

fn stored_ending(parts: &Parts, frames: &[Frame<Bytes>]) -> Ending {
    let mut body = Vec::new();
    for data in frames.iter().filter_map(Frame::data_ref) {
        body.extend_from_slice(data);
    }
    Ending::Done(StoredResponse::new(parts.status, &parts.headers, &body))
}

/// Reads a body until it ends or exceeds `limit` bytes. Returns the frames read and, if
/// the body exceeds the limit, the unread rest; `None` if the body has ended.
async fn collect(
    mut body: Body,
    limit: usize,
) -> Result<(Vec<Frame<Bytes>>, Option<Body>), BoxError> {
    let (mut frames, mut length) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        length += frame.data_ref().map_or(0, Bytes::len);
        frames.push(frame);
        if length > limit {
            return Ok((frames, Some(body)));
        }
    }
    Ok((frames, None))
}

/// A body that yields the frames already read, then the unread rest.
struct PrefixedBody {
    frames: VecDeque<Frame<Bytes>>,
    rest: Option<Body>,
}

impl http_body::Body for PrefixedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(frame) = self.frames.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        match &mut self.rest {
            Some(rest) => rest.as_mut().poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.frames.is_empty() && self.rest.as_ref().is_none_or(|rest| rest.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let read: usize = self.frames.iter().filter_map(Frame::data_ref).map(Bytes::len).sum();
        let rest = self.rest.as_ref().map_or(SizeHint::with_exact(0), |rest| rest.size_hint());
        let mut hint = SizeHint::new();
        hint.set_lower(read as u64 + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(read as u64 + upper);
        }
        hint
    }
}
