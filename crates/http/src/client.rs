//! Calls with JSON bodies to peers, workers and operators' listeners.

use crate::token::Token;
use cyclamenloft_types::{Error, ErrorKind, Result};
use http::{Method, StatusCode, header};
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};

#[derive(serde::Deserialize)]
struct ErrorBody {
    error: Box<str>,
    detail: Box<str>,
}

/// Calls other processes with JSON. Connections are kept and reused.
#[derive(Clone)]
pub struct JsonClient {
    client: cyper::Client,
    token: Option<Token>,
    timeout: Duration,
}

impl JsonClient {
    /// Creates a client that presents `token`, where there is one, and gives
    /// up on a call after `timeout`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] where the HTTP client can't be built.
    pub fn new(token: Option<Token>, timeout: Duration) -> Result<Self> {
        let client = cyper::Client::builder()
            .no_proxy()
            .build()
            .map_err(|e| Error::new(ErrorKind::Internal, format!("HTTP client: {e}")))?;
        Ok(Self { client, token, timeout })
    }

    /// Sends `value` as JSON and reads the JSON answer.
    ///
    /// # Errors
    ///
    /// The error that the other side answered, or
    /// [`ErrorKind::PeerUnreachable`] where no answer came.
    pub async fn post<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T> {
        let content = encode(value)?;
        let answer = self.send(Method::POST, addr, path, content).await?;
        decode(addr, path, &answer)
    }

    /// Sends `value` as JSON and reads an answer of type `T` whatever its status;
    /// only where the answer is no `T` does its error count.
    ///
    /// # Errors
    ///
    /// As [`JsonClient::post`].
    pub async fn post_any_status<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T> {
        let content = encode(value)?;
        let call = self.exchange(Method::POST, addr, path, content);
        let (status, answer) = self.within_timeout(addr, path, call).await?;
        match serde_json::from_slice(&answer) {
            Ok(decided) => Ok(decided),
            Err(_) if !status.is_success() => Err(error_from(status, &answer)),
            Err(_) => decode(addr, path, &answer),
        }
    }

    /// Reads the JSON answer of a GET.
    ///
    /// # Errors
    ///
    /// As [`JsonClient::post`].
    pub async fn get<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T> {
        let answer = self.send(Method::GET, addr, path, Vec::new()).await?;
        decode(addr, path, &answer)
    }

    /// Sends raw bytes and returns the raw answer.
    ///
    /// # Errors
    ///
    /// As [`JsonClient::post`].
    pub async fn send(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        content: Vec<u8>,
    ) -> Result<Vec<u8>> {
        let call = self.exchange(method, addr, path, content);
        let (status, answer) = self.within_timeout(addr, path, call).await?;
        if status.is_success() {
            return Ok(answer);
        }
        Err(error_from(status, &answer))
    }

    async fn within_timeout<T>(
        &self,
        addr: SocketAddr,
        path: &str,
        call: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        match compio::time::timeout(self.timeout, call).await {
            Ok(done) => done,
            Err(_) => Err(unreachable_peer(addr, path, "timed out")),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        content: Vec<u8>,
    ) -> Result<(StatusCode, Vec<u8>)> {
        let lost = |e: cyper::Error| match &e {
            // Without a connection, the other side has surely not been asked.
            cyper::Error::HyperClient(client) if client.is_connect() => {
                Error::new(ErrorKind::NotReached, format!("{addr}{path}: {e}"))
            }
            _ => unreachable_peer(addr, path, &e.to_string()),
        };
        let url = format!("http://{addr}{path}");
        let mut req = self.client.request(method, url).map_err(lost)?;
        if let Some(token) = &self.token {
            req = req.header(header::AUTHORIZATION, token.header_value()).map_err(lost)?;
        }
        req = req.header(header::CONTENT_TYPE, "application/json").map_err(lost)?;
        let response = req.body(content).send().await.map_err(lost)?;
        let status = response.status();
        let answer = response.bytes().await.map_err(lost)?;
        Ok((status, answer.to_vec()))
    }
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|e| Error::new(ErrorKind::Internal, format!("request: {e}")))
}

fn decode<T: DeserializeOwned>(addr: SocketAddr, path: &str, answer: &[u8]) -> Result<T> {
    serde_json::from_slice(answer).map_err(|e| {
        Error::new(ErrorKind::Internal, format!("answer of {addr}{path} is not as expected: {e}"))
    })
}

fn error_from(status: StatusCode, answer: &[u8]) -> Error {
    let body: Option<ErrorBody> = serde_json::from_slice(answer).ok();
    let kind = body.as_ref().and_then(|b| ErrorKind::from_code(&b.error));
    match (kind, body) {
        (Some(kind), Some(body)) => Error::new(kind, body.detail),
        _ => Error::new(ErrorKind::Internal, format!("unexpected answer with status {status}")),
    }
}

fn unreachable_peer(addr: SocketAddr, path: &str, why: &str) -> Error {
    Error::new(ErrorKind::PeerUnreachable, format!("{addr}{path}: {why}"))
}
