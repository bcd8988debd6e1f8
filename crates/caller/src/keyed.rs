//! A request with an idempotency key: it runs at most once, also where it is
//! sent again, and it runs to its end even where its caller has gone.

use crate::{
    exchange::{self, Exchange},
    forward::pass_back,
    gate::refusal,
    idempotency::{
        BeginKey, Begun, Ending, FinishKey, KeyAnswer, KeyId, KeyQuestion, Keys, StoredAnswer, keys,
    },
    limits::CallerLimits,
    marks::REPLAYED_HEADER,
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

/// Runs the request unless its key says that it has run or may have.
pub(crate) async fn run(
    keys: Keys,
    begin: BeginKey,
    exchange: Box<Exchange>,
    limits: CallerLimits,
) -> Result<Response, Refusal> {
    let (id, request) = (begin.id.clone(), begin.request.clone());
    let begun = ask(&keys, begin, exchange.facts.deadline).await?;
    if let Some(error) = keys::refuse(&begun, &id.key) {
        return Err(refusal(error.kind, error.detail));
    }
    if let Begun::Done(stored) = begun {
        return Ok(replay(&stored));
    }
    let (tx, rx) = oneshot::channel();
    compio::runtime::spawn(async move {
        let (answer, ending) = carry(exchange, &limits).await;
        // The caller may have gone; what ran is remembered all the same.
        let _ = tx.send(answer);
        finish(&keys, id, request, ending).await;
    })
    .detach();
    rx.await.unwrap_or_else(|_| Err(refusal(ErrorKind::Internal, "the request's task ended")))
}

async fn ask(keys: &Keys, begin: BeginKey, deadline: Instant) -> Result<Begun, Refusal> {
    let key = begin.id.key.clone();
    let unreachable = |what: &str| {
        refusal(ErrorKind::PeerUnreachable, format!("idempotency key {key:?}: {what}"))
    };
    let asked = keys.ask(KeyQuestion::Begin(begin));
    match compio::time::timeout_at(deadline, asked).await {
        Ok(Ok(KeyAnswer::Begun(begun))) => Ok(begun),
        Ok(Ok(KeyAnswer::Noted)) => Err(unreachable("the owner gave another answer")),
        Ok(Err(e)) => Err(unreachable(&e.detail)),
        Err(_) => Err(unreachable("the owner did not answer in time")),
    }
}

async fn finish(keys: &Keys, id: KeyId, request: RequestId, ending: Ending) {
    let finish = FinishKey { id, request, ending };
    if let Err(e) = keys.ask(KeyQuestion::Finish(finish)).await {
        // The owner will hold the outcome as not known.
        tracing::warn!(error = %e, "the end of a request with a key was not noted");
    }
}

/// The remembered answer, marked as such.
fn replay(stored: &StoredAnswer) -> Response {
    let mut response = stored.response().map(full);
    response.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    response
}

/// Carries the request to its end and says what is to be remembered.
async fn carry(
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
    let (parts, body) = pass_back(answered, limits.body_pause).into_parts();
    let limit = usize::try_from(limits.replay_bytes).unwrap_or(usize::MAX);
    let (frames, rest) = match collect(body, limit).await {
        Ok(read) => read,
        // No byte of the answer has gone to the caller yet.
        Err(e) => {
            let cut = refusal(ErrorKind::TargetFailed, format!("the answer was cut: {e}"));
            return (Err(cut), Ending::Unknown);
        }
    };
    let ending = match rest {
        None => remembered(&parts, &frames),
        Some(_) => Ending::Unknown,
    };
    let body: Body = Box::pin(Prefixed { frames: frames.into(), rest });
    (Ok(Response::from_parts(parts, body)), ending)
}

fn remembered(parts: &Parts, frames: &[Frame<Bytes>]) -> Ending {
    let mut body = Vec::new();
    for data in frames.iter().filter_map(Frame::data_ref) {
        body.extend_from_slice(data);
    }
    Ending::Done(StoredAnswer::new(parts.status, &parts.headers, &body))
}

/// Reads a body as far as `limit` bytes go, and gives back what is left of a
/// longer one.
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

/// The part of a body that has been read, and then what follows it.
struct Prefixed {
    frames: VecDeque<Frame<Bytes>>,
    rest: Option<Body>,
}

impl http_body::Body for Prefixed {
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
