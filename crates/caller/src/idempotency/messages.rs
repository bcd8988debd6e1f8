//! What entry hosts ask the owner of a key, and what it answers.

use cyclamenloft_types::{CallerName, RequestId, ServiceName};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Names one request of one caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyId {
    /// The service that is asked.
    pub service: ServiceName,
    /// The caller as it names itself; empty where it doesn't.
    pub caller: CallerName,
    /// The key.
    pub key: Box<str>,
}

/// Asks whether a request may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginKey {
    /// The key.
    pub id: KeyId,
    /// This sending of the request.
    pub request: RequestId,
    /// Hash of what the request asks for, so that a key can't be used for two
    /// different requests.
    pub fingerprint: u64,
    /// Whether the caller says that the key has not been used before.
    pub first: bool,
    /// Milliseconds until the request's deadline.
    pub left_ms: u64,
}

impl BeginKey {
    /// Time until the request's deadline.
    #[must_use]
    pub fn left(&self) -> Duration {
        Duration::from_millis(self.left_ms)
    }
}

/// What is decided on a request with a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BeginDecision {
    /// It may run; its end is to be told with [`FinishKey`].
    Run,
    /// It has run, with this answer.
    Done(StoredAnswer),
    /// An earlier sending is in progress.
    InProgress,
    /// The key belongs to another request.
    Conflict,
    /// An earlier sending may have run, and its answer is not known.
    Lost,
    /// The owner remembers too much already; the request has not run.
    Full,
}

/// How a request with a key ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// It did not run: the key is free again.
    NotRun,
    /// It ran, with this answer.
    Done(StoredAnswer),
    /// It may have run, or its answer is too long to be kept.
    Unknown,
}

/// Tells how a request ended that had been told to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishKey {
    /// The key.
    pub id: KeyId,
    /// The sending that ran.
    pub request: RequestId,
    /// How it ended.
    pub ending: Ending,
}

/// What an entry host asks of a key's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyRequest {
    /// May this request run?
    Begin(BeginKey),
    /// This request has ended.
    Finish(FinishKey),
}

/// What a key's owner answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyResponse {
    /// The answer to [`KeyRequest::Begin`].
    Begun(BeginDecision),
    /// The answer to [`KeyRequest::Finish`].
    Noted,
}

/// One header of a remembered answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHeader {
    /// Its name.
    pub name: Box<str>,
    /// Its value.
    #[serde(with = "base64_bytes")]
    pub value: Box<[u8]>,
}

/// A remembered answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<StoredHeader>,
    /// The whole body.
    #[serde(with = "base64_bytes")]
    pub body: Box<[u8]>,
}

impl StoredAnswer {
    /// Remembers an answer.
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

    /// Bytes that the answer takes in memory, about.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|h| h.name.len() + h.value.len()).sum();
        self.body.len() + headers
    }

    /// The answer as it was. Headers that can't be read are left out.
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

/// Bytes as base64 text.
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
