//! Reasons why a request got no response, and whether the target may have received
//! it.

use cyclamenloft_http::Body;
use http::Request;

/// The reason why no connection is available for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnectionCause {
    /// No connection could be opened, which counts as a failure of the target.
    Connect,
    /// All connections that this host or this thread may open are in use.
    Busy,
    /// The deadline of the request passed first.
    Deadline,
}

/// No connection is available, so the request was not sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoConnection {
    /// The reason.
    pub cause: NoConnectionCause,
    /// A description of the failure.
    pub detail: Box<str>,
}

/// A request that a closed connection handed back before a byte of it was written.
/// Only this crate can construct it, so it proves that the request was not sent.
pub struct UnsentRequest(Box<Request<Body>>);

impl UnsentRequest {
    pub(crate) fn new(req: Request<Body>) -> Self {
        Self(Box::new(req))
    }

    /// Returns the request, which may be sent again.
    #[must_use]
    pub fn into_request(self) -> Request<Body> {
        *self.0
    }
}

/// The loss of a response: the target may have received the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostResponse {
    /// Whether the deadline passed; otherwise the connection failed.
    pub timed_out: bool,
    /// A description of the failure.
    pub detail: Box<str>,
}

/// The reason why no response arrived.
pub enum SendFailure {
    /// No byte of the request was written to a connection.
    Unsent(UnsentRequest),
    /// The target may have received the request.
    Lost(LostResponse),
}
