//! Forwards a request whose attributes have been read: admission, attempts and
//! response. Requests from callers and from other entry hosts take this path.

use crate::{
    attributes::{IdempotencyKey, RequestAttributes},
    decision_log::{self, RequestContext},
    exchange::{self, Exchange, Spill},
    gate::refusal,
    gates::Gates,
    hop::{HopClient, HopRule},
    idempotency::{BeginKey, KeyId, Keys},
    keyed,
    limits::CallerLimits,
    outgoing::OutgoingRequest,
    response::into_caller_response,
    upload::{CallerFault, Upload},
};
use cyclamenloft_http::{RequestBody, Response};
use cyclamenloft_routing::{Refusal, RequestMeta};
use cyclamenloft_target::Pool;
use http::request::Parts;
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
    /// Creates a forwarder that uses the thread's `pool`.
    #[must_use]
    pub fn new(gates: Gates, pool: Pool, keys: Keys, limits: CallerLimits) -> Self {
        Self { gates, pool, keys, limits, spill: None }
    }

    /// Allows requests that this host would refuse to be handed to the entry host that
    /// `rule` chooses. A request that came from another entry host is never handed on.
    #[must_use]
    pub fn with_hops(self, client: HopClient, rule: Rc<dyn HopRule>) -> Self {
        Self { spill: Some(Rc::new(Spill { client, rule })), ..self }
    }

    /// Returns the limits on requests.
    pub(crate) fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Forwards a request and returns the response. The result is always logged.
    ///
    /// # Errors
    ///
    /// Returns the refusal; its kind states whether the request may have run.
    pub(crate) async fn forward(
        &self,
        parts: Parts,
        body: RequestBody,
        attrs: RequestAttributes,
        from: &str,
        hopped: bool,
        arrived: Instant,
    ) -> Result<Response, Refusal> {
        let context = Rc::new(RequestContext {
            request: attrs.id.clone(),
            service: attrs.service.clone(),
            caller: attrs.caller.clone(),
            arrived,
        });
        let forwarded = self.forward_inner(parts, body, attrs, from, hopped, context.clone()).await;
        forwarded
            .inspect_err(|refusal| decision_log::refused(&context.request, Some(&context), refusal))
    }

    async fn forward_inner(
        &self,
        parts: Parts,
        body: RequestBody,
        attrs: RequestAttributes,
        from: &str,
        hopped: bool,
        context: Rc<RequestContext>,
    ) -> Result<Response, Refusal> {
        let gate = self.gates.get(&attrs.service).map_err(|e| refusal(e.kind, e.detail))?;
        let deadline = context.arrived + attrs.deadline.unwrap_or_else(|| gate.policy().deadline);
        let meta = RequestMeta {
            id: attrs.id.clone(),
            caller: attrs.caller.clone(),
            idempotent: attrs.idempotent,
            priority: attrs.priority,
            deadline,
            hopped,
        };
        let fault = CallerFault::default();
        let upload = Upload::receive(body, &parts.headers, &self.limits, deadline, &fault).await?;
        let outgoing = OutgoingRequest::new(parts, &attrs, upload, from, gate.host());
        let begin = attrs.key.as_ref().map(|key| begin(&attrs, key, &outgoing, deadline));
        let spill = self.spill.clone().filter(|_| !hopped);
        let pool = self.pool.clone();
        let exchange = Box::new(Exchange { gate, pool, meta, context, outgoing, fault, spill });
        match begin {
            Some(begin) => keyed::run(self.keys.clone(), begin, exchange, self.limits).await,
            None => {
                let answered = exchange::run(exchange).await?;
                Ok(into_caller_response(answered, self.limits.body_idle_timeout))
            }
        }
    }
}

/// Builds the message that asks whether a request with a key may run.
fn begin(
    attrs: &RequestAttributes,
    key: &IdempotencyKey,
    outgoing: &OutgoingRequest,
    deadline: Instant,
) -> BeginKey {
    let left = deadline.saturating_duration_since(Instant::now());
    BeginKey {
        id: KeyId {
            service: attrs.service.clone(),
            caller: attrs.named_caller.clone().unwrap_or_default(),
            key: key.key.clone(),
        },
        request: attrs.id.clone(),
        fingerprint: outgoing.fingerprint(),
        first: key.first,
        left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
    }
}
