//! A client for calls with JSON bodies to peers, workers and listeners for
//! operators.

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

/// Calls other processes with JSON bodies. Connections are kept alive and reused.
#[derive(Clone)]
pub struct JsonClient {
    client: cyper::Client,
    token: Option<Token>,
    timeout: Duration,
}

impl JsonClient {
    /// Creates a client that presents `token`, if any, and aborts a call after
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the HTTP client can't be built.
    pub fn new(token: Option<Token>, timeout: Duration) -> Result<Self> {
        let client = cyper::Client::builder()
            .no_proxy()
            .build()
            .map_err(|e| Error::new(ErrorKind::Internal, format!("HTTP client: {e}")))?;
        Ok(Self { client, token, timeout })
    }

    /// Sends `value` as JSON and reads the JSON response.
    ///
    /// # Errors
    ///
    /// Returns the error that the server sent, [`ErrorKind::NotReached`] if no
    /// connection could be opened, or [`ErrorKind::PeerUnreachable`] if no response
    /// arrived.
    pub async fn post<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T> {
        let content = encode(value)?;
        let reply = self.send(Method::POST, addr, path, content).await?;
        decode(addr, path, &reply)
    }

    /// Sends `value` as JSON and reads a response of type `T` with any status. A
    /// response is an error only if its body is not a `T`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`JsonClient::post`].
    pub async fn post_any_status<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T> {
        let content = encode(value)?;
        let call = self.exchange(Method::POST, addr, path, content);
        let (status, reply) = self.within_timeout(addr, path, call).await?;
        match serde_json::from_slice(&reply) {
            Ok(decided) => Ok(decided),
            Err(_) if !status.is_success() => Err(error_from(status, &reply)),
            Err(_) => decode(addr, path, &reply),
        }
    }

    /// Sends a GET request and reads the JSON response.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`JsonClient::post`].
    pub async fn get<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T> {
        let reply = self.send(Method::GET, addr, path, Vec::new()).await?;
        decode(addr, path, &reply)
    }

    /// Sends raw bytes and returns the raw response body.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`JsonClient::post`].
    pub async fn send(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        content: Vec<u8>,
    ) -> Result<Vec<u8>> {
        let call = self.exchange(method, addr, path, content);
        let (status, reply) = self.within_timeout(addr, path, call).await?;
        if status.is_success() {
            return Ok(reply);
        }
        Err(error_from(status, &reply))
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
            // Without a connection, the server has not received the request.
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
        let reply = response.bytes().await.map_err(lost)?;
        Ok((status, reply.to_vec()))
    }
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|e| Error::new(ErrorKind::Internal, format!("request: {e}")))
}

fn decode<T: DeserializeOwned>(addr: SocketAddr, path: &str, reply: &[u8]) -> Result<T> {
    serde_json::from_slice(reply).map_err(|e| {
        Error::new(
            ErrorKind::Internal,
            format!("response from {addr}{path} is not as expected: {e}"),
        )
    })
}

fn error_from(status: StatusCode, reply: &[u8]) -> Error {
    let body: Option<ErrorBody> = serde_json::from_slice(reply).ok();
    let kind = body.as_ref().and_then(|b| ErrorKind::from_code(&b.error));
    match (kind, body) {
        (Some(kind), Some(body)) => Error::new(kind, body.detail),
        _ => Error::new(ErrorKind::Internal, format!("unexpected response with status {status}")),
    }
}

fn unreachable_peer(addr: SocketAddr, path: &str, reason: &str) -> Error {
    Error::new(ErrorKind::PeerUnreachable, format!("{addr}{path}: {reason}"))
}
