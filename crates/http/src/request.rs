//! The body of a request, which is read within the budget of its listener.

use crate::{
    body::{Body, BoxError},
    budget::{Budget, Claim},
    connections::Connection,
};
use bytes::Bytes;
use compio::{runtime::spawn, time::timeout_at};
use cyclamenloft_types::{Error, ErrorKind, Result};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use std::{
    ops::Deref,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

/// Size for which a body is claimed before any of it has arrived.
const FIRST_CLAIM_BYTES: usize = 4 << 10;
/// Longest time for which the rest of a refused body is read and dropped. A connection that is
/// closed with unread bytes is reset, and its client may lose the refusal.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// How long a body may take to arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalLimits {
    /// Without progress.
    pub stall: Duration,
    /// In all.
    pub total: Duration,
}

/// What a request knows of its connection and its listener.
pub(crate) struct Origin {
    pub connection: Rc<Connection>,
    pub budget: Budget,
    pub limits: ArrivalLimits,
}

/// The body of a request. It can be streamed, or read as a whole within the listener's budget.
pub struct RequestBody {
    incoming: Incoming,
    origin: Rc<Origin>,
}

impl http_body::Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.incoming).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, origin: Rc<Origin>) -> Self {
        Self { incoming, origin }
    }

    /// Returns the budget of the listener.
    #[must_use]
    pub fn budget(&self) -> &Budget {
        &self.origin.budget
    }

    /// Reads the complete body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::TooLarge`] above the limit, [`ErrorKind::Overloaded`] if the budget is
    /// used up, [`ErrorKind::DeadlinePassed`] if the body arrives too slowly, and
    /// [`ErrorKind::BadRequest`] if it is cut short. The request was not handled then.
    pub async fn read(self, limit: usize) -> Result<Content> {
        let until = Instant::now() + self.origin.limits.total;
        self.read_until(limit, until).await
    }

    /// Like [`Self::read`], at most until `until`.
    ///
    /// # Errors
    ///
    /// Those of [`Self::read`].
    pub async fn read_until(mut self, limit: usize, until: Instant) -> Result<Content> {
        let hint = self.incoming.size_hint();
        if usize::try_from(hint.lower()).is_ok_and(|least| least > limit) {
            return Err(too_large(limit));
        }
        let now = Instant::now();
        if self.incoming.is_end_stream() {
            return Ok(Content { bytes: Vec::new(), claim: self.origin.budget.claim(0, now)? });
        }
        let origin = self.origin.clone();
        let until = until.min(now + origin.limits.total);
        let claim = origin.budget.begin_arrival(origin.connection.clone(), now);
        origin.connection.await_client(now);
        let expected = hint.exact().and_then(|n| usize::try_from(n).ok());
        let received = self.receive(&claim, expected, limit, until).await;
        origin.connection.begin_handling();
        claim.end_arrival();
        match received {
            Ok(bytes) => Ok(Content { bytes, claim }),
            Err(e) => {
                if e.kind == ErrorKind::Overloaded {
                    spawn(self.discard(limit)).detach();
                }
                Err(e)
            }
        }
    }

    async fn receive(
        &mut self,
        claim: &Claim,
        expected: Option<usize>,
        limit: usize,
        until: Instant,
    ) -> Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let mut now = Instant::now();
        claim.resize(expected.unwrap_or(FIRST_CLAIM_BYTES).min(FIRST_CLAIM_BYTES), now)?;
        while !self.incoming.is_end_stream() {
            let deadline = until.min(now + self.origin.limits.stall);
            let frame = match timeout_at(deadline, self.incoming.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => {
                    return Err(Error::new(ErrorKind::BadRequest, format!("body cut short: {e}")));
                }
                Ok(None) => break,
                Err(_) => {
                    let detail = format!("body: {} bytes arrived in time", bytes.len());
                    return Err(Error::new(ErrorKind::DeadlinePassed, detail));
                }
            };
            let Ok(data) = frame.into_data() else { continue };
            now = Instant::now();
            let len = bytes.len() + data.len();
            if len > limit {
                return Err(too_large(limit));
            }
            if len > bytes.capacity() {
                let capacity = capacity_for(len, bytes.capacity(), expected, limit);
                claim.resize(capacity, now)?;
                bytes.reserve_exact(capacity - bytes.len());
            }
            // The frame shares its buffer with others, so it isn't kept.
            bytes.extend_from_slice(&data);
            claim.record_progress(now);
        }
        Ok(bytes)
    }

    /// Reads and drops the rest of the body while the refusal is on its way.
    async fn discard(mut self, limit: usize) {
        let until = Instant::now() + DISCARD_TIME;
        let mut left = limit;
        while let Ok(Some(Ok(frame))) = timeout_at(until, self.incoming.frame()).await {
            let len = frame.data_ref().map_or(0, Bytes::len);
            match left.checked_sub(len) {
                Some(rest) => left = rest,
                None => return,
            }
        }
    }
}

fn too_large(limit: usize) -> Error {
    Error::new(ErrorKind::TooLarge, format!("body: expected at most {limit} bytes, found more"))
}

/// Returns the capacity for a body of which `len` bytes have arrived.
fn capacity_for(len: usize, capacity: usize, expected: Option<usize>, limit: usize) -> usize {
    match expected {
        Some(all) if len > FIRST_CLAIM_BYTES => all,
        _ => (2 * capacity).max(FIRST_CLAIM_BYTES).max(len).min(expected.unwrap_or(limit)),
    }
}

/// A complete body, and the claim on the bytes that it takes.
pub struct Content {
    bytes: Vec<u8>,
    claim: Claim,
}

impl Content {
    /// Drops the bytes and returns the claim, for what they were decoded to.
    #[must_use]
    pub fn into_claim(self) -> Claim {
        self.claim
    }
}

impl Deref for Content {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
///
/// Returns the errors of [`RequestBody::read`], and [`ErrorKind::BadRequest`] with line and column
/// if the text is not the expected JSON.
pub async fn read_json<T: DeserializeOwned>(body: RequestBody, limit: usize) -> Result<T> {
    let content = body.read(limit).await?;
    serde_json::from_slice(&content)
        .map_err(|e| Error::new(ErrorKind::BadRequest, format!("body is not as expected: {e}")))
}

/// Size of the parts in which a claimed response is handed to the connection. The connection asks
/// for the next part once most of the last one is sent.
const PART_BYTES: usize = 16 << 10;

/// Returns the body of a response that holds a claim until nearly all of it is sent.
#[must_use]
pub fn claimed(bytes: impl Into<Bytes>, claim: Claim) -> Body {
    Box::pin(Claimed { left: bytes.into(), _claim: claim })
}

struct Claimed {
    left: Bytes,
    _claim: Claim,
}

impl http_body::Body for Claimed {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        let len = self.left.len().min(PART_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.left.split_to(len)))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left.len() as u64)
    }
}
