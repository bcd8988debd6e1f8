//! Carrying a request whose marks are known: admission, the attempts, the
//! answer. Callers' requests and those that other entry hosts hand over take
//! this one path.

use crate::{
    attributes::{KeyMark, Marks},
    decision_log::{self, Trail},
    exchange::{self, Exchange, Spill},
    gate::refusal,
    gates::Gates,
    hop::{HopClient, HopRule},
    idempotency::{BeginKey, KeyId, Keys},
    keyed,
    limits::CallerLimits,
    outgoing::Outgoing,
    response::pass_back,
    upload::{CallerFault, Upload},
};
use cyclamenloft_http::Response;
use cyclamenloft_routing::{Refusal, RequestMeta};
use cyclamenloft_target::Pool;
use http::request::Parts;
use hyper::body::Incoming;
use std::{rc::Rc, time::Instant};

/// Forwards requests on one thread.
#[derive(Clone)]
pub struct Forwarder {
    gates: Gates,
    pool: Pool,
    keys: Keys,
    limits: CallerLimits,
    spill: Option<Rc<Spill>>,
}

impl Forwarder {
    /// A forwarder that uses the thread's `pool`.
    #[must_use]
    pub fn new(gates: Gates, pool: Pool, keys: Keys, limits: CallerLimits) -> Self {
        Self { gates, pool, keys, limits, spill: None }
    }

    /// Hands requests that this host would refuse to other entry hosts, as `rule`
    /// says. A request that was handed over itself is never handed on.
    #[must_use]
    pub fn with_hops(self, client: HopClient, rule: Rc<dyn HopRule>) -> Self {
        Self { spill: Some(Rc::new(Spill { client, rule })), ..self }
    }

    /// The bounds on requests.
    pub(crate) fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Forwards a request and gives the answer back. Every end is logged.
    ///
    /// # Errors
    ///
    /// The refusal, whose kind says truly whether the request may have run.
    pub(crate) async fn forward(
        &self,
        parts: Parts,
        body: Incoming,
        marks: Marks,
        from: &str,
        hopped: bool,
        arrived: Instant,
    ) -> Result<Response, Refusal> {
        let trail = Rc::new(Trail {
            request: marks.id.clone(),
            service: marks.service.clone(),
            caller: marks.caller.clone(),
            arrived,
        });
        let forwarded = self.forward_inner(parts, body, marks, from, hopped, trail.clone()).await;
        forwarded
            .inspect_err(|refusal| decision_log::refused(&trail.request, Some(&trail), refusal))
    }

    async fn forward_inner(
        &self,
        parts: Parts,
        body: Incoming,
        marks: Marks,
        from: &str,
        hopped: bool,
        trail: Rc<Trail>,
    ) -> Result<Response, Refusal> {
        let gate = self.gates.get(&marks.service).map_err(|e| refusal(e.kind, e.detail))?;
        let deadline = trail.arrived + marks.deadline.unwrap_or_else(|| gate.policy().deadline);
        let facts = RequestMeta {
            id: marks.id.clone(),
            caller: marks.caller.clone(),
            idempotent: marks.idempotent,
            priority: marks.priority,
            deadline,
            hopped,
        };
        let fault = CallerFault::default();
        let upload = Upload::receive(body, &parts.headers, &self.limits, deadline, &fault).await?;
        let outgoing = Outgoing::new(parts, &marks, upload, from, gate.host());
        let begin = marks.key.as_ref().map(|key| begin(&marks, key, &outgoing, deadline));
        let spill = self.spill.clone().filter(|_| !hopped);
        let pool = self.pool.clone();
        let exchange = Box::new(Exchange { gate, pool, facts, trail, outgoing, fault, spill });
        match begin {
            Some(begin) => keyed::run(self.keys.clone(), begin, exchange, self.limits).await,
            None => {
                let answered = exchange::run(exchange).await?;
                Ok(pass_back(answered, self.limits.body_pause))
            }
        }
    }
}

/// The question whether a request with a key may run.
fn begin(marks: &Marks, key: &KeyMark, outgoing: &Outgoing, deadline: Instant) -> BeginKey {
    let left = deadline.saturating_duration_since(Instant::now());
    BeginKey {
        id: KeyId {
            service: marks.service.clone(),
            caller: marks.named_caller.clone().unwrap_or_default(),
            key: key.key.clone(),
        },
        request: marks.id.clone(),
        fingerprint: outgoing.fingerprint(),
        first: key.first,
        left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
    }
}
