//! Calling peers.

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

/// Pause before the next member is asked after one could not answer.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Calls methods of other processes.
#[derive(Clone)]
pub struct PeerClient {
    http: JsonClient,
}

impl PeerClient {
    /// A client that presents the peers' token and gives up after `timeout`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] where the HTTP client can't be built.
    pub fn new(token: Token, timeout: Duration) -> Result<Self> {
        Ok(Self { http: JsonClient::new(Some(token), timeout)? })
    }

    /// Calls a method of the process at `addr`.
    ///
    /// # Errors
    ///
    /// The error that the other side answered, or
    /// [`ErrorKind::PeerUnreachable`] where no answer came.
    pub async fn call<M: Method>(
        &self,
        addr: SocketAddr,
        params: &M::Params,
    ) -> Result<M::Response> {
        let encoded = encode::<M>(params)?;
        let answer = self.http.send(http::Method::POST, addr, RPC_PATH, encoded).await?;
        decode::<M>(addr, &answer)
    }
}

fn encode<M: Method>(params: &M::Params) -> Result<Vec<u8>> {
    let internal =
        |e: serde_json::Error| Error::new(ErrorKind::Internal, format!("{}: {e}", M::NAME));
    let params: Box<RawValue> = to_raw_value(&[params]).map_err(internal)?;
    let req = Request::owned(M::NAME.into(), Some(params), Id::Number(1));
    serde_json::to_vec(&req).map_err(internal)
}

fn decode<M: Method>(addr: SocketAddr, answer: &[u8]) -> Result<M::Response> {
    let response: Response<'_, M::Response> = serde_json::from_slice(answer).map_err(|e| {
        Error::new(ErrorKind::Internal, format!("answer of {addr} to {}: {e}", M::NAME))
    })?;
    match response.payload {
        ResponsePayload::Success(answer) => Ok(answer.into_owned()),
        ResponsePayload::Error(e) => Err(Error::from_rpc(e.code(), e.message())),
    }
}

/// Several processes of which one can answer, such as a group's replicas.
#[derive(Clone)]
pub struct PeerSet {
    client: PeerClient,
    members: Rc<[SocketAddr]>,
    preferred: Rc<Cell<usize>>,
}

impl PeerSet {
    /// A set of `members` that are asked in turn.
    #[must_use]
    pub fn new(client: PeerClient, members: impl Into<Rc<[SocketAddr]>>) -> Self {
        Self { client, members: members.into(), preferred: Rc::default() }
    }

    /// The members.
    #[must_use]
    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    /// Calls a method of every member at once and returns the answers that came.
    pub async fn call_all<M: Method>(&self, params: &M::Params) -> Vec<M::Response> {
        let calls = self.members.iter().map(|addr| self.client.call::<M>(*addr, params));
        join_all(calls).await.into_iter().filter_map(Result::ok).collect()
    }

    /// Calls a method of the member that answers, which must be idempotent:
    /// after a lost answer the next member is asked. The member that answered
    /// last is asked first.
    ///
    /// # Errors
    ///
    /// The error of the member that could decide. Where none could before
    /// `give_up`: [`ErrorKind::ChangeUnknown`] if a member may have taken the
    /// call, else the last member's error.
    pub async fn call<M: Method>(
        &self,
        params: &M::Params,
        deadline: Instant,
    ) -> Result<M::Response> {
        if self.members.is_empty() {
            return Err(Error::new(ErrorKind::PeerUnreachable, "no control host is set"));
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

/// The errors of members that could not decide.
#[derive(Default)]
struct MemberErrors {
    /// The error of a member that may have taken the call.
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

    /// A later member's refusal says nothing of a call that an earlier one may
    /// have taken.
    fn into_error(self) -> Error {
        let none = || Error::new(ErrorKind::NotReached, "no control host answered");
        match self.uncertain {
            Some(uncertain) => Error::new(ErrorKind::ChangeUnknown, uncertain.detail),
            None => self.last.unwrap_or_else(none),
        }
    }
}

/// Whether another member may be able to answer.
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
