//! Sending a request to another entry host.

use super::marks;
use cyclamenloft_http::{
    Body, Token,
    answer::{ERROR_HEADER, OUTCOME_HEADER},
};
use cyclamenloft_routing::{Refusal, RequestMeta};
use cyclamenloft_target::{Endpoint, Lost, Pool, SendFailure, TargetBody};
use cyclamenloft_types::{ErrorKind, HostId, Outcome, ServiceName};
use http::{HeaderMap, Request, Response};
use std::{net::SocketAddr, time::Instant};

/// Another entry host that may take a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// The host.
    pub host: HostId,
    /// Its peers' listener.
    pub addr: SocketAddr,
}

/// Decides whether a request that this host would refuse goes to another one.
pub trait HopRule {
    /// The host to hand the request to; `None` where the refusal stands.
    fn choose(
        &self,
        service: &ServiceName,
        facts: &RequestMeta,
        refusal: &Refusal,
        now: Instant,
    ) -> Option<Hop>;
}

/// Why another entry host gave no answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HopFailure {
    /// The request surely did not run.
    NotRun {
        /// What failed there.
        detail: Box<str>,
    },
    /// The request may have run.
    Unknown(Lost),
}

/// Sends requests to other entry hosts over one thread's connections to them.
#[derive(Clone)]
pub struct HopClient {
    host: HostId,
    token: Token,
    pool: Pool,
    connections: u16,
}

impl HopClient {
    /// A client of `host` that keeps at most `connections` to each other host.
    #[must_use]
    pub fn new(host: HostId, token: Token, pool: Pool, connections: u16) -> Self {
        Self { host, token, pool, connections }
    }

    /// Hands a request over and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// [`HopFailure::NotRun`] where no byte was written or the other host says
    /// so, [`HopFailure::Unknown`] in every other case without an answer.
    pub(crate) async fn send(
        &self,
        hop: &Hop,
        mut req: Request<Body>,
        service: &ServiceName,
        facts: &RequestMeta,
    ) -> Result<Response<TargetBody>, HopFailure> {
        let not_run = |detail: &str| HopFailure::NotRun { detail: detail.into() };
        let to = Endpoint { addr: hop.addr, connections: self.connections };
        loop {
            let now = Instant::now();
            let acquired = self.pool.acquire(to, facts.deadline, now).await;
            let connection = acquired.map_err(|e| not_run(&e.detail))?;
            let fresh = connection.is_fresh();
            if !req.uri().path().starts_with(marks::HOP_PATH) {
                marks::write(&mut req, &self.host, &self.token, service, facts, now)
                    .map_err(|e| not_run(&e.detail))?;
            }
            match connection.send(req, facts.deadline).await {
                Ok(response) => return judge(response),
                Err(SendFailure::Lost(lost)) => return Err(HopFailure::Unknown(lost)),
                Err(SendFailure::Returned(_)) if fresh => {
                    return Err(not_run(
                        "the connection was closed before the request was written",
                    ));
                }
                Err(SendFailure::Returned(returned)) => req = returned.into_request(),
            }
        }
    }
}

/// Tells a target's answer from the other entry host's own: only entry hosts
/// set the outcome header.
fn judge(response: Response<TargetBody>) -> Result<Response<TargetBody>, HopFailure> {
    let Some(outcome) = text(response.headers(), OUTCOME_HEADER) else {
        return Ok(response);
    };
    let code = text(response.headers(), ERROR_HEADER).unwrap_or_default();
    let detail: Box<str> = format!("the other entry host answered {code:?}").into();
    if outcome == Outcome::NotRun.as_str() {
        return Err(HopFailure::NotRun { detail });
    }
    let timed_out = code == ErrorKind::TargetTimeout.info().code;
    Err(HopFailure::Unknown(Lost { timed_out, detail }))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
