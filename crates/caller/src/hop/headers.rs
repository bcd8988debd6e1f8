//! The headers of a request between two entry hosts.

use crate::attributes::{
    DEADLINE_HEADER, IDEMPOTENT_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER, RequestAttributes,
    SERVICE_HEADER,
};
use cyclamenloft_http::{Body, Token};
use cyclamenloft_routing::RequestMeta;
use cyclamenloft_types::{
    Error, ErrorKind, HostId, Priority, RequestId, Result, ServiceName, check_name,
};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Uri, request::Parts, uri::PathAndQuery};
use std::time::{Duration, Instant};

/// The path prefix of handed-over requests on the listener for peers.
pub const HOP_PATH: &str = "/v1/hop";
/// The header that names the entry host that handed the request over.
pub const HOP_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-hop");
/// The header with the token of the peers. The token is not sent in `Authorization`,
/// because that header belongs to the caller.
pub const HOP_TOKEN_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-hop-token");
/// The header with the name or address of the caller, as the sending host knows it.
pub const HOP_CALLER_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-hop-caller");

/// Maximum length of a caller name or address.
const MAX_CALLER_BYTES: usize = 64;

/// Removes the headers that only entry hosts may set.
pub(crate) fn remove(headers: &mut HeaderMap) {
    for name in [&HOP_HEADER, &HOP_TOKEN_HEADER, &HOP_CALLER_HEADER] {
        headers.remove(name);
    }
}

/// Converts a request for a target into one for another entry host.
pub(crate) fn write(
    req: &mut Request<Body>,
    host: &HostId,
    token: &Token,
    service: &ServiceName,
    meta: &RequestMeta,
    now: Instant,
) -> Result<()> {
    let path = req.uri().path_and_query().map_or("/", PathAndQuery::as_str);
    let path = format!("{HOP_PATH}{path}");
    *req.uri_mut() = path.parse().map_err(|e| bad_request(format!("path {path:?}: {e}")))?;
    let left = meta.deadline.saturating_duration_since(now).max(Duration::from_millis(1));
    let headers = req.headers_mut();
    let idempotent = if meta.idempotent { "true" } else { "false" };
    headers.insert(IDEMPOTENT_HEADER, HeaderValue::from_static(idempotent));
    headers.insert(PRIORITY_HEADER, HeaderValue::from_static(priority(meta.priority)));
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left.as_millis() as u64));
    set(headers, SERVICE_HEADER, service)?;
    set(headers, REQUEST_ID_HEADER, &meta.id)?;
    set(headers, HOP_HEADER, host)?;
    set(headers, HOP_CALLER_HEADER, &meta.caller)?;
    set(headers, HOP_TOKEN_HEADER, &token.header_value())
}

/// Reads the attributes of a handed-over request and restores the path for its
/// target.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] naming the header.
pub(crate) fn read(parts: &mut Parts) -> Result<RequestAttributes> {
    let headers = &parts.headers;
    let id: RequestId =
        check_name(REQUEST_ID_HEADER.as_str(), header_text(headers, &REQUEST_ID_HEADER)?)?;
    check_name(HOP_HEADER.as_str(), header_text(headers, &HOP_HEADER)?)?;
    let caller = header_text(headers, &HOP_CALLER_HEADER)?;
    if caller.is_empty() || caller.len() > MAX_CALLER_BYTES {
        return Err(bad_request(format!("header {HOP_CALLER_HEADER}: expected a caller")));
    }
    let path = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
    let path = path
        .strip_prefix(HOP_PATH)
        .filter(|rest| rest.starts_with('/'))
        .ok_or_else(|| bad_request(format!("path {path:?}: expected {HOP_PATH}/...")))?;
    let uri: Uri = path.parse().map_err(|e| bad_request(format!("path {path:?}: {e}")))?;
    let mut attrs = RequestAttributes::read(id, &parts.method, &uri, headers, caller)?;
    // The sending host has already asked the owner of the key.
    attrs.key = None;
    parts.uri = uri;
    Ok(attrs)
}

fn priority(priority: Priority) -> &'static str {
    match priority {
        Priority::Batch => "batch",
        Priority::Service => "service",
        Priority::Urgent => "urgent",
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str> {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.ok_or_else(|| bad_request(format!("header {name}: expected one")))
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) -> Result<()> {
    let value =
        HeaderValue::from_str(value).map_err(|e| bad_request(format!("header {name}: {e}")))?;
    headers.insert(name, value);
    Ok(())
}

fn bad_request(detail: String) -> Error {
    Error::new(ErrorKind::BadRequest, detail)
}
