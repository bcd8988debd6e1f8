//! Sends requests to other entry hosts.

use super::headers;
use cyclamenloft_http::{
    Body, Token,
    response::{ERROR_HEADER, OUTCOME_HEADER},
};
use cyclamenloft_routing::{Refusal, RequestMeta};
use cyclamenloft_target::{Endpoint, LostResponse, Pool, SendFailure, TargetBody};
use cyclamenloft_types::{ErrorKind, HostId, Outcome, ServiceName};
use http::{HeaderMap, Request, Response};
use std::{net::SocketAddr, time::Instant};

/// Another entry host that may accept a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// The host.
    pub host: HostId,
    /// The address of its listener for peers.
    pub addr: SocketAddr,
}

/// Decides whether a request that this host would refuse goes to another host.
pub trait HopRule {
    /// Returns the host to hand the request to, or `None` if the refusal stands.
    fn choose(
        &self,
        service: &ServiceName,
        meta: &RequestMeta,
        refusal: &Refusal,
        now: Instant,
    ) -> Option<Hop>;
}

/// The reason why another entry host returned no response of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HopFailure {
    /// The request did not run.
    NotRun {
        /// A description of the failure.
        detail: Box<str>,
    },
    /// The request may have run.
    Unknown(LostResponse),
}

/// Sends requests to other entry hosts over the connections of one thread.
#[derive(Clone)]
pub struct HopClient {
    host: HostId,
    token: Token,
    pool: Pool,
    connections: u16,
}

impl HopClient {
    /// Creates a client for `host` with at most `connections` connections to each
    /// other host.
    #[must_use]
    pub fn new(host: HostId, token: Token, pool: Pool, connections: u16) -> Self {
        Self { host, token, pool, connections }
    }

    /// Hands a request over and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns [`HopFailure::NotRun`] if no byte was written or the other host
    /// states that the request did not run, and [`HopFailure::Unknown`] in every
    /// other case without a response.
    pub(crate) async fn send(
        &self,
        hop: &Hop,
        mut req: Request<Body>,
        service: &ServiceName,
        meta: &RequestMeta,
    ) -> Result<Response<TargetBody>, HopFailure> {
        let not_run = |detail: &str| HopFailure::NotRun { detail: detail.into() };
        let to = Endpoint { addr: hop.addr, connections: self.connections };
        loop {
            let now = Instant::now();
            let acquired = self.pool.acquire(to, meta.deadline, now).await;
            let connection = acquired.map_err(|e| not_run(&e.detail))?;
            let fresh = connection.is_fresh();
            if !req.uri().path().starts_with(headers::HOP_PATH) {
                headers::write(&mut req, &self.host, &self.token, service, meta, now)
                    .map_err(|e| not_run(&e.detail))?;
            }
            match connection.send(req, meta.deadline).await {
                Ok(response) => return classify(response),
                Err(SendFailure::Lost(lost)) => return Err(HopFailure::Unknown(lost)),
                Err(SendFailure::Unsent(_)) if fresh => {
                    return Err(not_run(
                        "the connection was closed before the request was written",
                    ));
                }
                Err(SendFailure::Unsent(unsent)) => req = unsent.into_request(),
            }
        }
    }
}

/// Distinguishes the response of a target from an error of the other entry host:
/// only entry hosts set the outcome header.
fn classify(response: Response<TargetBody>) -> Result<Response<TargetBody>, HopFailure> {
    let Some(outcome) = text(response.headers(), OUTCOME_HEADER) else {
        return Ok(response);
    };
    let code = text(response.headers(), ERROR_HEADER).unwrap_or_default();
    let detail: Box<str> = format!("the other entry host returned {code:?}").into();
    if outcome == Outcome::NotRun.as_str() {
        return Err(HopFailure::NotRun { detail });
    }
    let timed_out = code == ErrorKind::TargetTimeout.info().code;
    Err(HopFailure::Unknown(LostResponse { timed_out, detail }))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
