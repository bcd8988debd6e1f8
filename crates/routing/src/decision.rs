//! What a decision is told and what it answers.

use cyclamenloft_types::{
    CallerName, DomainName, ErrorKind, Outcome, Priority, RequestId, TargetId,
};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// A target as its newest announcement describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// The target's name.
    pub id: TargetId,
    /// Where requests are sent.
    pub addr: SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Grows with each announcement; older records are ignored.
    pub sequence: u64,
    /// Whether the target wants no new requests.
    pub leaving: bool,
    /// Requests that the target says it is working on.
    pub in_flight: u16,
    /// When the record stops being valid without a newer announcement.
    pub expires: Instant,
}

/// What is known of a request when it is decided on.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// The request's id.
    pub id: RequestId,
    /// Who sent it.
    pub caller: CallerName,
    /// Whether it may safely run more than once.
    pub idempotent: bool,
    /// How urgent the caller says it is.
    pub priority: Priority,
    /// When its answer becomes useless.
    pub deadline: Instant,
    /// Whether it came from another entry host and must not be passed on again.
    pub hopped: bool,
}

/// Names a request that waits in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub(crate) u64);

/// The figures behind a decision, for its log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimates {
    /// How long the request was expected to wait for a slot, or did wait.
    pub wait: Duration,
    /// Requests in flight: at the chosen target, or at all targets where none
    /// was chosen.
    pub in_flight: u32,
    /// Slots that this host may use: at the chosen target, or at all targets
    /// where none was chosen.
    pub share: u32,
    /// Latency: peak-weighted of the chosen target, or the service's mean time
    /// in a slot where none was chosen.
    pub ewma: Duration,
}

/// The right to send one request to one target. It occupies a slot until it is
/// given back with [`ServiceRouter::release`](crate::ServiceRouter::release).
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit occupies a slot until it is released"]
pub struct Permit {
    /// The chosen target.
    pub target: TargetId,
    /// Where the target listens.
    pub addr: SocketAddr,
    /// Why this target, for the decision log.
    pub reason: &'static str,
    /// When the permit was given.
    pub since: Instant,
    /// When the attempt has to end: the request's deadline, or earlier where
    /// the host may not hold a slot for so long.
    pub deadline: Instant,
    /// The figures behind the choice.
    pub estimates: Estimates,
    pub(crate) seq: u64,
    pub(crate) probe: bool,
    pub(crate) long: bool,
}

/// A refusal and the time after which asking again makes sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The kind, which decides the answer.
    pub kind: ErrorKind,
    /// What was at fault.
    pub detail: Box<str>,
    /// When to ask again.
    pub retry_after: Duration,
    /// Why, for the decision log.
    pub reason: &'static str,
    /// The figures behind the refusal.
    pub estimates: Estimates,
}

impl Refusal {
    /// A refusal that no figures led to.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<Box<str>>, retry_after: Duration) -> Self {
        let reason = kind.answer().code;
        let estimates = Estimates::default();
        Self { kind, detail: detail.into(), retry_after, reason, estimates }
    }
}

/// What is decided on a request.
#[derive(Debug)]
pub enum Decision {
    /// Send it now.
    Dispatch(Permit),
    /// It waits; the ticket's decision comes from a later call.
    Wait(Ticket),
    /// It is refused, and has not run.
    Refuse(Refusal),
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Whether the target answered in a way that speaks for its health. An
    /// attempt that was cancelled without the target's fault (the caller has
    /// gone, another attempt won) counts as healthy.
    pub healthy: bool,
    /// Time from dispatch to the end of the answer's head, or to the end of the
    /// attempt where no head came.
    pub latency: Duration,
    /// Whether the target may still be working on the request: the slot stays
    /// occupied until the target announces fewer requests in flight.
    pub abandoned: bool,
}
