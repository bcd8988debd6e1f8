//! Handling of hop-by-hop headers.

use http::{HeaderMap, HeaderName, HeaderValue, header};

/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes the headers that must not be forwarded, including those that the
/// `Connection` header names. `TE: trailers` is kept, because trailers are
/// forwarded.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let trailers = accepts_trailers(headers);
    remove_named(headers);
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    if trailers {
        headers.insert(header::TE, HeaderValue::from_static("trailers"));
    }
}

/// Removes the headers that the `Connection` header names, except
/// `Content-Length` and `Host`: a sender must not be able to remove those.
fn remove_named(headers: &mut HeaderMap) {
    if !headers.contains_key(header::CONNECTION) {
        return;
    }
    let named: Vec<HeaderName> = list_items(headers, &header::CONNECTION)
        .filter_map(|name| name.parse().ok())
        .filter(|name| name != header::CONTENT_LENGTH && name != header::HOST)
        .collect();
    for name in &named {
        headers.remove(name);
    }
}

fn accepts_trailers(headers: &HeaderMap) -> bool {
    list_items(headers, &header::TE).any(|item| item.eq_ignore_ascii_case("trailers"))
}

/// Returns the items of a list-valued header.
pub fn list_items<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> impl Iterator<Item = &'a str> + use<'a> {
    headers
        .get_all(name)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(str::trim)
}
