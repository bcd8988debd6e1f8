//! The inputs and results of routing decisions.

use cyclamenloft_types::{
    CallerName, DomainName, ErrorKind, Outcome, Priority, RequestId, TargetId,
};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// A target as described by its latest announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// The target's name.
    pub id: TargetId,
    /// Address to which requests are sent.
    pub addr: SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Sequence number that increases with each announcement; older records
    /// are ignored.
    pub sequence: u64,
    /// Whether the target is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Number of requests in flight at the target from all hosts, as the target
    /// announced.
    pub in_flight: u16,
    /// Time at which the record expires unless a newer announcement arrives.
    pub expires: Instant,
}

/// The request metadata that routing decisions depend on.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// The request's ID.
    pub id: RequestId,
    /// The caller that sent the request.
    pub caller: CallerName,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Priority given by the caller.
    pub priority: Priority,
    /// Time after which the response is useless to the caller.
    pub deadline: Instant,
    /// Whether another entry host handed the request over to this one, which then
    /// must not hand it over again.
    pub hopped: bool,
}

/// Identifies a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub(crate) u64);

/// The estimates behind a decision, for the decision log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimates {
    /// Time for which the request waited for a slot or, if it got none, was
    /// expected to wait.
    pub wait: Duration,
    /// Requests in flight at the chosen target, or at all targets if none was
    /// chosen.
    pub in_flight: u32,
    /// Slots that this host may use at the chosen target, or at all targets if
    /// none was chosen.
    pub share: u32,
    /// Peak-sensitive EWMA of the chosen target's latency, or the service's mean
    /// slot hold time if no target was chosen.
    pub ewma: Duration,
}

/// Permission to send one request to one target. It occupies a slot until it is
/// returned with [`ServiceRouter::release`](crate::ServiceRouter::release).
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit occupies a slot until it is released"]
pub struct Permit {
    /// The chosen target.
    pub target: TargetId,
    /// Address on which the target listens.
    pub addr: SocketAddr,
    /// Reason for the choice of this target, for the decision log.
    pub reason: &'static str,
    /// Time at which the permit was issued.
    pub since: Instant,
    /// Time by which the attempt must end: the request's deadline, or an earlier
    /// time if the host may not hold a slot until then.
    pub deadline: Instant,
    /// The estimates behind the choice.
    pub estimates: Estimates,
    pub(crate) seq: u64,
    pub(crate) probe: bool,
    /// Whether the request may outlast a lease, and so must use a floor slot.
    pub(crate) floor_only: bool,
}

/// The refusal of a request, with the time after which a retry makes sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of error, which determines the response.
    pub kind: ErrorKind,
    /// Human-readable description of the cause.
    pub detail: Box<str>,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
    /// Reason for the refusal, for the decision log.
    pub reason: &'static str,
    /// The estimates behind the refusal.
    pub estimates: Estimates,
}

impl Refusal {
    /// Creates a refusal that is not based on estimates.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<Box<str>>, retry_after: Duration) -> Self {
        let reason = kind.info().code;
        let estimates = Estimates::default();
        Self { kind, detail: detail.into(), retry_after, reason, estimates }
    }
}

/// The decision about a request.
#[derive(Debug)]
pub enum Decision {
    /// The request is to be sent now.
    Dispatch(Permit),
    /// The request is queued; a later call returns the decision for the ticket.
    Wait(Ticket),
    /// The request is refused and has not run.
    Refuse(Refusal),
}

/// The result of an attempt to run a request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    /// Outcome of the attempt: whether the request ran.
    pub outcome: Outcome,
    /// Whether the attempt counts as a success for the target's health. An
    /// attempt that was cancelled through no fault of the target (the caller
    /// disconnected, or another attempt finished first) counts as healthy.
    pub healthy: bool,
    /// Time from dispatch to the end of the response head, or to the end of the
    /// attempt if no head arrived.
    pub latency: Duration,
    /// Whether the target may still be working on the request. If so, the slot
    /// stays occupied until the target announces fewer requests in flight.
    pub abandoned: bool,
}
