//! Client for calls to peers.

use crate::{RPC_PATH, calls::Method};
use cyclamenloft_http::{JsonClient, Token};
use cyclamenloft_types::{Error, ErrorKind, Outcome, Result};
use futures_util::future::join_all;
use jsonrpsee_types::{Id, Request, Response, ResponsePayload};
use serde_json::value::{RawValue, to_raw_value};
use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Delay before the members of a set are called again, after none of them has served the
/// call.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// A client for the methods of other processes.
#[derive(Clone)]
pub struct PeerClient {
    http: JsonClient,
}

impl PeerClient {
    /// Creates a client that sends the peer token and times out after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the HTTP client can't be built.
    pub fn new(token: Token, timeout: Duration) -> Result<Self> {
        Ok(Self { http: JsonClient::new(Some(token), timeout)? })
    }

    /// Calls a method of the process at `addr`.
    ///
    /// # Errors
    ///
    /// Returns the error that the process responded with, or
    /// [`ErrorKind::PeerUnreachable`] if no response arrived.
    pub async fn call<M: Method>(
        &self,
        addr: SocketAddr,
        params: &M::Params,
    ) -> Result<M::Response> {
        let encoded = encode::<M>(params)?;
        let body = self.http.send(http::Method::POST, addr, RPC_PATH, encoded).await?;
        decode::<M>(addr, &body)
    }
}

fn encode<M: Method>(params: &M::Params) -> Result<Vec<u8>> {
    let internal =
        |e: serde_json::Error| Error::new(ErrorKind::Internal, format!("{}: {e}", M::NAME));
    let params: Box<RawValue> = to_raw_value(&[params]).map_err(internal)?;
    let req = Request::owned(M::NAME.into(), Some(params), Id::Number(1));
    serde_json::to_vec(&req).map_err(internal)
}

fn decode<M: Method>(addr: SocketAddr, body: &[u8]) -> Result<M::Response> {
    let response: Response<'_, M::Response> = serde_json::from_slice(body).map_err(|e| {
        Error::new(ErrorKind::Internal, format!("response of {addr} to {}: {e}", M::NAME))
    })?;
    match response.payload {
        ResponsePayload::Success(value) => Ok(value.into_owned()),
        ResponsePayload::Error(e) => Err(Error::from_rpc(e.code(), e.message())),
    }
}

/// Several processes of which at least one can serve a call, such as the replicas of a
/// group.
#[derive(Clone)]
pub struct PeerSet {
    client: PeerClient,
    members: Rc<[SocketAddr]>,
    preferred: Rc<Cell<usize>>,
}

impl PeerSet {
    /// Creates a set whose `members` are called in turn.
    #[must_use]
    pub fn new(client: PeerClient, members: impl Into<Rc<[SocketAddr]>>) -> Self {
        Self { client, members: members.into(), preferred: Rc::default() }
    }

    /// Returns the addresses of the members.
    #[must_use]
    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    /// Calls a method of all members concurrently and returns the successful
    /// responses.
    pub async fn call_all<M: Method>(&self, params: &M::Params) -> Vec<M::Response> {
        let calls = self.members.iter().map(|addr| self.client.call::<M>(*addr, params));
        join_all(calls).await.into_iter().filter_map(Result::ok).collect()
    }

    /// Calls a method of the members in turn until one serves the call. The
    /// method must be idempotent, because the next member is called if the
    /// response of the previous one is lost. The member that served the last
    /// call is called first.
    ///
    /// # Errors
    ///
    /// Returns the error of the member that served the call. If none did before
    /// `deadline`, returns [`ErrorKind::ChangeUnknown`] if a member may have
    /// executed the call, and otherwise the last member's error.
    pub async fn call<M: Method>(
        &self,
        params: &M::Params,
        deadline: Instant,
    ) -> Result<M::Response> {
        if self.members.is_empty() {
            return Err(Error::new(ErrorKind::PeerUnreachable, "no control host is configured"));
        }
        let mut errors = MemberErrors::default();
        loop {
            for _ in 0..self.members.len() {
                let index = self.preferred.get() % self.members.len();
                match self.client.call::<M>(self.members[index], params).await {
                    Err(e) if can_try_next(e.kind) => {
                        self.preferred.set(index + 1);
                        errors.record(e);
                    }
                    result => return result,
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return Err(errors.into_error());
            }
            compio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// The errors of members that could not serve a call.
#[derive(Default)]
struct MemberErrors {
    /// The error of a member that may have executed the call.
    uncertain: Option<Error>,
    last: Option<Error>,
}

impl MemberErrors {
    fn record(&mut self, e: Error) {
        if e.info().outcome == Outcome::Unknown {
            self.uncertain = Some(e.clone());
        }
        self.last = Some(e);
    }

    /// Returns [`ErrorKind::ChangeUnknown`] if a member may have executed the call, and
    /// otherwise the last error. A refusal by a later member does not show that an
    /// earlier one did not execute the call.
    fn into_error(self) -> Error {
        let none = || Error::new(ErrorKind::NotReached, "no control host answered");
        match self.uncertain {
            Some(uncertain) => Error::new(ErrorKind::ChangeUnknown, uncertain.detail),
            None => self.last.unwrap_or_else(none),
        }
    }
}

/// Returns whether another member may be able to serve the call.
fn can_try_next(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NotLeader
            | ErrorKind::NoQuorum
            | ErrorKind::PeerUnreachable
            | ErrorKind::NotReached
            | ErrorKind::Draining
            | ErrorKind::ChangeUnknown
    )
}
