//! What a caller says of its request, in headers and path.

use cyclamenloft_types::{
    CallerName, Error, ErrorKind, Priority, RequestId, Result, ServiceName, check_name,
};
use http::{HeaderMap, HeaderName, Method, Uri, uri::PathAndQuery};
use std::time::Duration;

/// Header that names the service; the first segment of the path where absent.
pub const SERVICE_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-service");
/// Header that names the caller.
pub const CALLER_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-caller");
/// Header with the milliseconds until the answer becomes useless.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-deadline-ms");
/// Header that says whether the request may run more than once.
pub const IDEMPOTENT_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-idempotent");
/// Header with the request's priority: `batch`, `service` or `urgent`.
pub const PRIORITY_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-priority");
/// Header that names the entry host to targets, so that they can count the
/// requests of each.
pub const ENTRY_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-entry");
/// Header with the request's id, given to targets and back to callers.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-request-id");

/// Header with a caller's key for a request that it may send again.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Header that says whether the key has been sent before: `true` or `false`.
pub const RESEND_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-resend");
/// Header that marks an answer as one that was given to an earlier sending.
pub const REPLAYED_HEADER: HeaderName = HeaderName::from_static("cyclamenloft-replayed");

/// Longest key in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Longest deadline that a caller may ask for.
pub const MAX_DEADLINE: Duration = Duration::from_secs(300);

/// A caller's key for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The key.
    pub key: Box<str>,
    /// Whether the caller says that the key has not been sent before.
    pub first: bool,
}

/// The checked marks of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestAttributes {
    /// The request's id.
    pub id: RequestId,
    /// The service that is asked.
    pub service: ServiceName,
    /// Who asks; the address that it asks from where it doesn't say.
    pub caller: CallerName,
    /// Who asks, as the request says.
    pub named_caller: Option<CallerName>,
    /// Time until the answer becomes useless; the service's default where absent.
    pub deadline: Option<Duration>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The key under which it may be sent again. Requests that may run more than
    /// once need none, so theirs are not read.
    pub key: Option<IdempotencyKey>,
    /// How urgent it is.
    pub priority: Priority,
    /// The path that the target is asked for.
    pub path: PathAndQuery,
}

impl RequestAttributes {
    /// Reads the marks of a request that has been given `id`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] naming the header, what was expected and what
    /// was found.
    pub fn read(
        id: RequestId,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        anonymous: &str,
    ) -> Result<Self> {
        let (service, path) = match text(headers, &SERVICE_HEADER)? {
            Some(name) => (check_name(SERVICE_HEADER.as_str(), name)?, whole_path(uri)),
            None => split_path(uri)?,
        };
        let named_caller = text(headers, &CALLER_HEADER)?
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
    let Some(raw) = text(headers, &DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let most = MAX_DEADLINE.as_millis() as u64;
    match raw.parse::<u64>() {
        Ok(ms) if (1..=most).contains(&ms) => Ok(Some(Duration::from_millis(ms))),
        _ => Err(unexpected(&DEADLINE_HEADER, &format!("1..={most}"), raw)),
    }
}

fn idempotent(method: &Method, headers: &HeaderMap) -> Result<bool> {
    match text(headers, &IDEMPOTENT_HEADER)? {
        None => Ok(method.is_idempotent()),
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(raw) => Err(unexpected(&IDEMPOTENT_HEADER, "true or false", raw)),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>> {
    let Some(raw) = text(headers, &KEY_HEADER)? else {
        return Ok(None);
    };
    if raw.is_empty() || raw.len() > MAX_KEY_BYTES {
        return Err(unexpected(&KEY_HEADER, &format!("1 to {MAX_KEY_BYTES} characters"), raw));
    }
    let first = match text(headers, &RESEND_HEADER)? {
        None | Some("true") => false,
        Some("false") => true,
        Some(raw) => return Err(unexpected(&RESEND_HEADER, "true or false", raw)),
    };
    Ok(Some(IdempotencyKey { key: raw.into(), first }))
}

fn priority(headers: &HeaderMap) -> Result<Priority> {
    match text(headers, &PRIORITY_HEADER)? {
        None | Some("service") => Ok(Priority::Service),
        Some("batch") => Ok(Priority::Batch),
        Some("urgent") => Ok(Priority::Urgent),
        Some(raw) => Err(unexpected(&PRIORITY_HEADER, "batch, service or urgent", raw)),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
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

/// Takes the service's name from the first segment of the path.
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
