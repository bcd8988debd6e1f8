//! The boxed body type, and reading of bodies with a size limit.

use bytes::Bytes;
use cyclamenloft_types::{Error, ErrorKind, Result};
use http_body_util::{BodyExt, Empty, Full, Limited};
use std::pin::Pin;

/// The error of a body that ended prematurely.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// The body of a response or of a request to a target. It is not `Send`.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = BoxError>>>;

/// Returns an empty body.
#[must_use]
pub fn empty() -> Body {
    Box::pin(Empty::new().map_err(|never| match never {}))
}

/// Returns a body with the given content.
#[must_use]
pub fn full(content: impl Into<Bytes>) -> Body {
    Box::pin(Full::new(content.into()).map_err(|never| match never {}))
}

/// Boxes any body.
#[must_use]
pub fn boxed<B>(body: B) -> Body
where
    B: http_body::Body<Data = Bytes> + 'static,
    B::Error: Into<BoxError>,
{
    Box::pin(body.map_err(Into::into))
}

/// Reads a complete body of at most `limit` bytes, such as that of a response. The body of a request
/// is read by [`RequestBody::read`](crate::RequestBody::read).
///
/// # Errors
///
/// Returns [`ErrorKind::TooLarge`] above the limit and [`ErrorKind::BadRequest`] if
/// the body is cut short.
pub async fn read_limited<B>(body: B, limit: usize) -> Result<Bytes>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(Error::new(
            ErrorKind::TooLarge,
            format!("body: expected at most {limit} bytes, found more"),
        )),
        Err(e) => Err(Error::new(ErrorKind::BadRequest, format!("body cut short: {e}"))),
    }
}
