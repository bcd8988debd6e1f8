//! Builds the request for a target from the request of the caller.

use crate::{
    attributes::{DEADLINE_HEADER, ENTRY_HEADER, REQUEST_ID_HEADER, RequestAttributes},
    upload::Upload,
};
use cyclamenloft_http::Body;
use cyclamenloft_target::headers::remove_hop_by_hop;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header, request::Parts};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::Xxh3;

/// The header that lists the addresses that a request came through.
const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
/// The value that an entry host adds to the `Via` header.
const VIA: HeaderValue = HeaderValue::from_static("1.1 cyclamenloft");

/// Maximum number of headers that an entry host adds to a request.
const ADDED_HEADERS: usize = 5;

/// A caller's request as it is forwarded to targets. Each attempt sends a copy built from
/// it.
pub(crate) struct OutgoingRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    upload: Upload,
    /// Whether the request can be built again for a further attempt, which needs a
    /// buffered body. The retry policy decides whether the request may run again.
    repeatable: bool,
}

impl OutgoingRequest {
    /// Creates the request from the head that the caller sent. `remote` is the
    /// address of the sender, `host` the name of this entry host.
    pub(crate) fn new(
        parts: Parts,
        attrs: &RequestAttributes,
        upload: Upload,
        remote: &str,
        host: &str,
    ) -> Self {
        let mut headers = parts.headers;
        headers.reserve(ADDED_HEADERS);
        remove_hop_by_hop(&mut headers);
        headers.remove(header::EXPECT);
        headers.append(header::VIA, VIA);
        if let Ok(value) = HeaderValue::from_str(remote) {
            headers.append(FORWARDED_FOR, value);
        }
        if let Ok(value) = HeaderValue::from_str(host) {
            headers.insert(ENTRY_HEADER, value);
        }
        if let Ok(value) = HeaderValue::from_str(&attrs.id) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
        let repeatable = upload.is_buffered();
        Self { method: parts.method, uri: attrs.path.clone().into(), headers, upload, repeatable }
    }

    /// Returns whether the request can be built again.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.repeatable
    }

    /// Returns a hash of the method, the path with its query, and the body if the body
    /// is buffered.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.method.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(self.uri.path_and_query().map_or("", |p| p.as_str()).as_bytes());
        hasher.update(&[0]);
        if let Upload::Buffered(content) = &self.upload {
            hasher.update(content);
        }
        hasher.digest()
    }

    /// Returns the request for the next attempt, or `None` if it was sent before and
    /// can't be built again.
    pub(crate) fn next(&mut self, deadline: Instant, now: Instant) -> Option<Request<Body>> {
        let body = self.upload.next()?;
        // Set before the headers are copied: the copy has no spare capacity, so an
        // insert into it would allocate.
        set_deadline(&mut self.headers, deadline.saturating_duration_since(now));
        let headers =
            if self.repeatable { self.headers.clone() } else { std::mem::take(&mut self.headers) };
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = headers;
        Some(req)
    }
}

/// Sets the header with the time until the deadline.
pub(crate) fn set_deadline(headers: &mut HeaderMap, left: Duration) {
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left));
}
