//! One log line for each decision on a request, and one for its end.

use crate::hop::Hop;
use cyclamenloft_routing::{Permit, Refusal};
use cyclamenloft_types::{CallerName, Outcome, RequestId, ServiceName};
use http::StatusCode;
use std::time::{Duration, Instant};

/// Target of these lines for log filters.
pub const LOG_TARGET: &str = "cyclamenloft::decision";

/// What the lines on one request have in common.
#[derive(Clone, Debug)]
pub(crate) struct Trail {
    pub(crate) request: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) caller: CallerName,
    pub(crate) arrived: Instant,
}

impl Trail {
    fn elapsed_us(&self) -> u64 {
        micros(self.arrived.elapsed())
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// An attempt at a target has ended, or its answer's head has come.
pub(crate) fn attempt(trail: &Trail, permit: &Permit, outcome: Outcome, detail: &str) {
    tracing::info!(
        target: LOG_TARGET,
        request = %trail.request,
        service = %trail.service,
        caller = %trail.caller,
        chosen = %permit.target,
        reason = permit.reason,
        in_flight = permit.estimates.in_flight,
        share = permit.estimates.share,
        wait_us = micros(permit.estimates.wait),
        ewma_us = micros(permit.estimates.ewma),
        outcome = outcome.as_str(),
        detail,
        elapsed_us = trail.elapsed_us(),
        "route"
    );
}

/// Another entry host has answered a request that was handed to it, or hasn't.
pub(crate) fn hop(trail: &Trail, hop: &Hop, outcome: Outcome, detail: &str) {
    tracing::info!(
        target: LOG_TARGET,
        request = %trail.request,
        service = %trail.service,
        caller = %trail.caller,
        host = %hop.host,
        outcome = outcome.as_str(),
        detail,
        elapsed_us = trail.elapsed_us(),
        "hop"
    );
}

/// A request was refused.
pub(crate) fn refused(request: &str, trail: Option<&Trail>, refusal: &Refusal) {
    let answer = refusal.kind.info();
    tracing::info!(
        target: LOG_TARGET,
        request,
        service = trail.map(|t| &*t.service),
        caller = trail.map(|t| &*t.caller),
        error = answer.code,
        reason = refusal.reason,
        in_flight = refusal.estimates.in_flight,
        share = refusal.estimates.share,
        wait_us = micros(refusal.estimates.wait),
        outcome = answer.outcome.as_str(),
        detail = %refusal.detail,
        elapsed_us = trail.map(Trail::elapsed_us),
        "refused"
    );
}

/// The answer to a request has ended: whole, or cut short.
pub(crate) fn answered(trail: &Trail, status: StatusCode, whole: bool) {
    tracing::info!(
        target: LOG_TARGET,
        request = %trail.request,
        service = %trail.service,
        caller = %trail.caller,
        status = status.as_u16(),
        whole,
        elapsed_us = trail.elapsed_us(),
        "answered"
    );
}
