//! Bodies: the one boxed type that answers use, and reading with a bound.

use bytes::Bytes;
use cyclamenloft_types::{Error, ErrorKind, Result};
use http_body_util::{BodyExt, Empty, Full, Limited};
use serde::de::DeserializeOwned;
use std::pin::Pin;

/// Error of a body that ended before its time.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// Body of an answer or of a request to a target. It stays on its thread.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = BoxError>>>;

/// A body without content.
#[must_use]
pub fn empty() -> Body {
    Box::pin(Empty::new().map_err(|never| match never {}))
}

/// A body with content that is at hand.
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

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// [`ErrorKind::TooLarge`] past the limit, [`ErrorKind::BadRequest`] where the
/// body is cut short.
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

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
///
/// As [`read_limited`], and [`ErrorKind::BadRequest`] with line and column
/// where the text is not the expected JSON.
pub async fn read_json<T, B>(body: B, limit: usize) -> Result<T>
where
    T: DeserializeOwned,
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let content = read_limited(body, limit).await?;
    serde_json::from_slice(&content)
        .map_err(|e| Error::new(ErrorKind::BadRequest, format!("body is not as expected: {e}")))
}
