//! Rejects requests whose framing two servers could read differently, which would allow
//! request smuggling, and requests for features that an entry host does not support.

use crate::limits::CallerLimits;
use cyclamenloft_target::headers::list_items;
use cyclamenloft_types::{Error, ErrorKind, Result};
use http::{HeaderMap, Method, Version, header, request::Parts};

/// Upgrade tokens that a server may ignore, as RFC 9110 section 7.8 allows:
/// clients offer them on ordinary requests.
const IGNORED_UPGRADES: [&str; 2] = ["h2c", "TLS/1.2"];

/// Checks the head of a request.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] or [`ErrorKind::TooLarge`] naming the header.
pub(crate) fn check(parts: &Parts, limits: &CallerLimits) -> Result<()> {
    let headers = &parts.headers;
    if headers.len() > limits.headers {
        return Err(Error::new(
            ErrorKind::TooLarge,
            format!("headers: expected at most {}, found {}", limits.headers, headers.len()),
        ));
    }
    if parts.method == Method::CONNECT {
        return Err(bad_request("method CONNECT: tunnels are not supported".into()));
    }
    check_framing(headers)?;
    check_host(parts)?;
    check_upgrade(headers)?;
    check_length(headers, limits)
}

/// Checks the transfer coding. A `Content-Length` in addition to chunked coding needs
/// no check: the server ignores the length and closes the connection after the
/// response (RFC 9112, section 6.3).
fn check_framing(headers: &HeaderMap) -> Result<()> {
    let mut codings = list_items(headers, &header::TRANSFER_ENCODING);
    let Some(first) = codings.next() else {
        return Ok(());
    };
    if !first.eq_ignore_ascii_case("chunked") || codings.next().is_some() {
        return Err(bad_request("transfer-encoding: expected chunked alone".into()));
    }
    Ok(())
}

fn check_host(parts: &Parts) -> Result<()> {
    let count = parts.headers.get_all(header::HOST).iter().count();
    let expected = usize::from(parts.version == Version::HTTP_11);
    if count > 1 || count < expected {
        return Err(bad_request(format!("host: expected one, found {count}")));
    }
    Ok(())
}

fn check_upgrade(headers: &HeaderMap) -> Result<()> {
    let known = |item: &str| IGNORED_UPGRADES.iter().any(|i| i.eq_ignore_ascii_case(item));
    match list_items(headers, &header::UPGRADE).find(|item| !known(item)) {
        Some(item) => Err(bad_request(format!("upgrade: {item:?} is not supported"))),
        None => Ok(()),
    }
}

fn check_length(headers: &HeaderMap, limits: &CallerLimits) -> Result<()> {
    let Some(length) = content_length(headers) else {
        return Ok(());
    };
    if length > limits.body_bytes {
        return Err(Error::new(
            ErrorKind::TooLarge,
            format!("body: expected at most {} bytes, found {length}", limits.body_bytes),
        ));
    }
    Ok(())
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn bad_request(detail: String) -> Error {
    Error::new(ErrorKind::BadRequest, detail)
}
