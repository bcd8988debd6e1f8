//! Why a request got no answer, and whether the target may have received it.

use cyclamenloft_http::Body;
use http::Request;

/// Why there is no connection to hand a request to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnectionCause {
    /// No connection could be made; this speaks against the target.
    Connect,
    /// Every connection that this host may have is in use.
    Busy,
    /// The request's deadline passed first.
    Deadline,
}

/// There is no connection to hand a request to, so no request was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoConnection {
    /// What stopped the attempt.
    pub cause: NoConnectionCause,
    /// What failed, for a reader.
    pub detail: Box<str>,
}

/// A request that came back from a closed connection before a byte of it was
/// written. Only the code that handed it over can build this.
pub struct UnsentRequest(Box<Request<Body>>);

impl UnsentRequest {
    pub(crate) fn new(req: Request<Body>) -> Self {
        Self(Box::new(req))
    }

    /// The request, to be sent again.
    #[must_use]
    pub fn into_request(self) -> Request<Body> {
        *self.0
    }
}

/// A request that the target may have received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostResponse {
    /// Whether the deadline passed, as opposed to a connection that failed.
    pub timed_out: bool,
    /// What failed, for a reader.
    pub detail: Box<str>,
}

/// Why no answer came.
pub enum SendFailure {
    /// No byte of the request was written to a connection.
    Unsent(UnsentRequest),
    /// The target may have received the request.
    Lost(LostResponse),
}
