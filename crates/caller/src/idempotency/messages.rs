//! The messages between entry hosts and the owner of a key.

use cyclamenloft_types::{CallerName, RequestId, ServiceName};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies a request that a caller may send several times under one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyId {
    /// The requested service.
    pub service: ServiceName,
    /// The name that the caller states; empty if it states none.
    pub caller: CallerName,
    /// The value of the `Idempotency-Key` header.
    pub key: Box<str>,
}

/// Asks whether a request may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginKey {
    /// The key.
    pub id: KeyId,
    /// The id of this request. Each resend has an id of its own.
    pub request: RequestId,
    /// Hash of the request content, so that a key can't be used for two different
    /// requests.
    pub fingerprint: u64,
    /// Whether the caller states that the key has not been used before.
    pub first: bool,
    /// Milliseconds until the deadline of the request.
    pub left_ms: u64,
}

impl BeginKey {
    /// Returns the time until the deadline of the request.
    #[must_use]
    pub fn left(&self) -> Duration {
        Duration::from_millis(self.left_ms)
    }
}

/// The decision on a request with a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BeginDecision {
    /// The request may run; its end must be reported with [`FinishKey`].
    Run,
    /// The request has run with this response.
    Done(StoredResponse),
    /// An earlier request with the key is in progress.
    InProgress,
    /// The key was used for a different request.
    Conflict,
    /// An earlier request with the key may have run, and its response is not known.
    Lost,
    /// The store of the owner is full; the request has not run.
    Full,
}

/// The end of a request with a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The request did not run, so the key may be used again.
    NotRun,
    /// The request ran with this response.
    Done(StoredResponse),
    /// The request may have run, or its response is too long to be stored.
    Unknown,
}

/// Reports the end of a request that was allowed to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishKey {
    /// The key.
    pub id: KeyId,
    /// The id of the request that ran.
    pub request: RequestId,
    /// Whether the request ran and, if known, with which response.
    pub ending: Ending,
}

/// A request to the owner of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyRequest {
    /// Asks whether this request may run.
    Begin(BeginKey),
    /// Reports that this request has ended.
    Finish(FinishKey),
}

/// The response of the owner of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyResponse {
    /// The response to [`KeyRequest::Begin`].
    Begun(BeginDecision),
    /// The response to [`KeyRequest::Finish`].
    Noted,
}

/// One header of a stored response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHeader {
    /// Its name.
    pub name: Box<str>,
    /// Its value.
    #[serde(with = "base64_bytes")]
    pub value: Box<[u8]>,
}

/// A stored response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<StoredHeader>,
    /// The complete body.
    #[serde(with = "base64_bytes")]
    pub body: Box<[u8]>,
}

impl StoredResponse {
    /// Copies a response.
    #[must_use]
    pub fn new(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Self {
        let stored = |(name, value): (&HeaderName, &HeaderValue)| StoredHeader {
            name: name.as_str().into(),
            value: value.as_bytes().into(),
        };
        Self {
            status: status.as_u16(),
            headers: headers.iter().map(stored).collect(),
            body: body.into(),
        }
    }

    /// Returns the approximate number of bytes of the response in memory.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|h| h.name.len() + h.value.len()).sum();
        self.body.len() + headers
    }

    /// Rebuilds the response. Headers that can't be parsed are left out.
    #[must_use]
    pub fn response(&self) -> Response<bytes::Bytes> {
        let mut response = Response::new(bytes::Bytes::copy_from_slice(&self.body));
        if let Ok(status) = StatusCode::from_u16(self.status) {
            *response.status_mut() = status;
        }
        for header in &self.headers {
            let name = HeaderName::try_from(&*header.name);
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&header.value)) {
                response.headers_mut().append(name, value);
            }
        }
        response
    }
}

/// Serializes bytes as base64 text.
mod base64_bytes {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Box<[u8]>, D::Error> {
        let text = <Box<str>>::deserialize(deserializer)?;
        let bytes = STANDARD.decode(&*text).map_err(D::Error::custom)?;
        Ok(bytes.into())
    }
}
