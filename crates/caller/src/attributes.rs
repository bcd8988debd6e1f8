//! The attributes of a request that a caller sets by headers and path.

use cyclamenloft_types::{
    CallerName, Error, ErrorKind, Priority, RequestId, Result, ServiceName, check_name,
};
use http::{HeaderMap, HeaderName, Method, Uri, uri::PathAndQuery};
use std::time::Duration;

/// The header that names the service. If it is absent, the first segment of the
/// path names the service.
pub const SERVICE_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-service");
/// The header that names the caller.
pub const CALLER_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-caller");
/// The header with the milliseconds until the deadline of the request.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-deadline-ms");
/// The header that states whether the request is idempotent, so that it may run more than
/// once.
pub const IDEMPOTENT_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-idempotent");
/// The header with the priority of the request: `batch`, `service` or `urgent`.
pub const PRIORITY_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-priority");
/// The header that names the entry host to targets, so that they can count the
/// requests of each entry host.
pub const ENTRY_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-entry");
/// The header with the id of the request, sent to targets and back to callers.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-request-id");

/// The header with the idempotency key, under which the caller may send the request
/// again.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// The header that states whether the idempotency key has been sent before: `true` or
/// `false`.
pub const RESEND_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-resend");
/// The header that marks a response as the stored response to an earlier request.
pub const REPLAYED_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-replayed");

/// Maximum length of an idempotency key.
pub const MAX_KEY_BYTES: usize = 128;
/// Maximum deadline that a caller may set.
pub const MAX_DEADLINE: Duration = Duration::from_secs(300);

/// The idempotency key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The value of the `Idempotency-Key` header.
    pub key: Box<str>,
    /// Whether the caller states that the key has not been sent before.
    pub first: bool,
}

/// The validated attributes of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestAttributes {
    /// The id of the request.
    pub id: RequestId,
    /// The requested service.
    pub service: ServiceName,
    /// The name of the caller, or its address if it states no name.
    pub caller: CallerName,
    /// The name that the caller states; `None` if it states none.
    pub named_caller: Option<CallerName>,
    /// The time until the deadline; `None` means the default of the service.
    pub deadline: Option<Duration>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The key under which the request may be sent again. `None` if the caller sent no
    /// key, or if the request may run more than once and so needs none.
    pub key: Option<IdempotencyKey>,
    /// The priority of the request.
    pub priority: Priority,
    /// The path of the request to the target.
    pub path: PathAndQuery,
}

impl RequestAttributes {
    /// Reads the attributes of the request with the id `id`. `anonymous` stands in
    /// for the name of the caller if the request states none.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadRequest`] naming the header, the expected value and
    /// the value found.
    pub fn read(
        id: RequestId,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        anonymous: &str,
    ) -> Result<Self> {
        let (service, path) = match header_text(headers, &SERVICE_HEADER)? {
            Some(name) => (check_name(SERVICE_HEADER.as_str(), name)?, whole_path(uri)),
            None => split_path(uri)?,
        };
        let named_caller = header_text(headers, &CALLER_HEADER)?
            .map(|name| check_name(CALLER_HEADER.as_str(), name))
            .transpose()?;
        let caller = named_caller.clone().unwrap_or_else(|| anonymous.into());
        let idempotent = idempotent(method, headers)?;
        Ok(Self {
            id,
            service,
            caller,
            named_caller,
            deadline: deadline(headers)?,
            idempotent,
            key: if idempotent { None } else { key(headers)? },
            priority: priority(headers)?,
            path,
        })
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>> {
    let Some(raw) = header_text(headers, &DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let most = MAX_DEADLINE.as_millis() as u64;
    match raw.parse::<u64>() {
        Ok(ms) if (1..=most).contains(&ms) => Ok(Some(Duration::from_millis(ms))),
        _ => Err(unexpected(&DEADLINE_HEADER, &format!("1..={most}"), raw)),
    }
}

fn idempotent(method: &Method, headers: &HeaderMap) -> Result<bool> {
    match header_text(headers, &IDEMPOTENT_HEADER)? {
        None => Ok(method.is_idempotent()),
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(raw) => Err(unexpected(&IDEMPOTENT_HEADER, "true or false", raw)),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>> {
    let Some(raw) = header_text(headers, &KEY_HEADER)? else {
        return Ok(None);
    };
    if raw.is_empty() || raw.len() > MAX_KEY_BYTES {
        return Err(unexpected(&KEY_HEADER, &format!("1 to {MAX_KEY_BYTES} characters"), raw));
    }
    let first = match header_text(headers, &RESEND_HEADER)? {
        None | Some("true") => false,
        Some("false") => true,
        Some(raw) => return Err(unexpected(&RESEND_HEADER, "true or false", raw)),
    };
    Ok(Some(IdempotencyKey { key: raw.into(), first }))
}

fn priority(headers: &HeaderMap) -> Result<Priority> {
    match header_text(headers, &PRIORITY_HEADER)? {
        None | Some("service") => Ok(Priority::Service),
        Some("batch") => Ok(Priority::Batch),
        Some("urgent") => Ok(Priority::Urgent),
        Some(raw) => Err(unexpected(&PRIORITY_HEADER, "batch, service or urgent", raw)),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(unexpected(name, "one value", "several"));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => Err(unexpected(name, "visible ASCII", "other bytes")),
    }
}

fn unexpected(header: &HeaderName, expected: &str, found: &str) -> Error {
    let shown: String = found.chars().take(64).collect();
    let detail = format!("header \"{header}\": expected {expected}, found {shown:?}");
    Error::new(ErrorKind::BadRequest, detail)
}

fn whole_path(uri: &Uri) -> PathAndQuery {
    uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"))
}

/// Splits the path into its first segment, which is the service name, and the rest.
fn split_path(uri: &Uri) -> Result<(ServiceName, PathAndQuery)> {
    let path = uri.path().strip_prefix('/').unwrap_or_default();
    let (name, rest) = path.split_once('/').unwrap_or((path, ""));
    let service = check_name("service in the path", name)?;
    let query = uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    let path = format!("/{rest}{query}")
        .parse()
        .map_err(|e| Error::new(ErrorKind::BadRequest, format!("path: {e}")))?;
    Ok((service, path))
}
