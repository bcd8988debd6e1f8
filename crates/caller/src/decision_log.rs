//! Logs one line for each decision on a request and one for its end.

use crate::hop::Hop;
use cyclamenloft_routing::{Permit, Refusal};
use cyclamenloft_types::{CallerName, Outcome, RequestId, ServiceName};
use http::StatusCode;
use std::time::{Duration, Instant};

/// The `tracing` target of the log lines about decisions, for log filters.
pub const LOG_TARGET: &str = "cyclamenloft::decision";

/// The fields that all log lines of one request share.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    pub(crate) request: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) caller: CallerName,
    pub(crate) arrived: Instant,
}

impl RequestContext {
    fn elapsed_us(&self) -> u64 {
        micros(self.arrived.elapsed())
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Logs that an attempt at a target failed or that its response head arrived.
pub(crate) fn attempt(context: &RequestContext, permit: &Permit, outcome: Outcome, detail: &str) {
    tracing::info!(
        target: LOG_TARGET,
        request = %context.request,
        service = %context.service,
        caller = %context.caller,
        chosen = %permit.target,
        reason = permit.reason,
        in_flight = permit.estimates.in_flight,
        share = permit.estimates.share,
        wait_us = micros(permit.estimates.wait),
        ewma_us = micros(permit.estimates.ewma),
        outcome = outcome.as_str(),
        detail,
        elapsed_us = context.elapsed_us(),
        "route"
    );
}

/// Logs the result of a request that was handed to another entry host.
pub(crate) fn hop(context: &RequestContext, hop: &Hop, outcome: Outcome, detail: &str) {
    tracing::info!(
        target: LOG_TARGET,
        request = %context.request,
        service = %context.service,
        caller = %context.caller,
        host = %hop.host,
        outcome = outcome.as_str(),
        detail,
        elapsed_us = context.elapsed_us(),
        "hop"
    );
}

/// Logs that a request was refused.
pub(crate) fn refused(request: &str, context: Option<&RequestContext>, refusal: &Refusal) {
    let answer = refusal.kind.info();
    tracing::info!(
        target: LOG_TARGET,
        request,
        service = context.map(|c| &*c.service),
        caller = context.map(|c| &*c.caller),
        error = answer.code,
        reason = refusal.reason,
        in_flight = refusal.estimates.in_flight,
        share = refusal.estimates.share,
        wait_us = micros(refusal.estimates.wait),
        outcome = answer.outcome.as_str(),
        detail = %refusal.detail,
        elapsed_us = context.map(RequestContext::elapsed_us),
        "refused"
    );
}

/// Logs that the response has ended. `whole` is false if the response was cut short.
pub(crate) fn answered(context: &RequestContext, status: StatusCode, whole: bool) {
    tracing::info!(
        target: LOG_TARGET,
        request = %context.request,
        service = %context.service,
        caller = %context.caller,
        status = status.as_u16(),
        whole,
        elapsed_us = context.elapsed_us(),
        "answered"
    );
}
