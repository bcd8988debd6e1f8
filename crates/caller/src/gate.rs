//! Waiting for decisions: the decisions of one service, shared by the threads
//! of an entry host.

use cyclamenloft_routing::{
    AttemptResult, Decision, Permit, Refusal, RequestFacts, RoutingPolicy, ServicePolicy,
    ServiceRouter, TargetRecord, Ticket,
};
use cyclamenloft_types::{ErrorKind, HostId, Outcome, TargetId};
use futures_channel::oneshot;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

struct State {
    router: ServiceRouter,
    waiting: HashMap<Ticket, oneshot::Sender<Decision>>,
    policy: ServicePolicy,
}

/// The decisions of one service at this entry host.
pub struct Gate {
    state: Mutex<State>,
}

impl Gate {
    /// A gate for a service without targets yet.
    #[must_use]
    pub fn new(
        host: HostId,
        roster: Vec<HostId>,
        routing: RoutingPolicy,
        policy: ServicePolicy,
    ) -> Arc<Self> {
        let router = ServiceRouter::new(host, roster, routing, policy.clone());
        Arc::new(Self { state: Mutex::new(State { router, waiting: HashMap::new(), policy }) })
    }

    /// Takes a changed policy into force.
    pub fn set_policy(&self, routing: RoutingPolicy, policy: ServicePolicy) {
        let mut state = self.lock();
        state.policy = policy.clone();
        state.router.set_policy(routing, policy);
    }

    /// The service's policy in force.
    #[must_use]
    pub fn policy(&self) -> ServicePolicy {
        self.lock().policy.clone()
    }

    /// Takes in a target's announcement.
    pub fn announce(&self, record: TargetRecord, now: Instant) {
        let mut state = self.lock();
        let decided = state.router.announce(record, now);
        deliver(&mut state, decided, now);
    }

    /// Drops what has expired.
    pub fn tick(&self, now: Instant) {
        let mut state = self.lock();
        let decided = state.router.tick(now);
        deliver(&mut state, decided, now);
    }

    /// Waits for the decision on a request.
    ///
    /// # Errors
    ///
    /// The refusal; the request has not run.
    pub async fn enter(
        self: &Arc<Self>,
        facts: RequestFacts,
        avoid: &[TargetId],
        now: Instant,
    ) -> Result<HeldPermit, Refusal> {
        let (ticket, rx) = {
            let mut state = self.lock();
            match state.router.admit(facts, avoid, now) {
                Decision::Dispatch(permit) => return Ok(self.hold(permit)),
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    state.waiting.insert(ticket, tx);
                    (ticket, rx)
                }
            }
        };
        // Dropped when the caller goes away before the decision.
        let _waiting = WaitingGuard { gate: self, ticket };
        match rx.await {
            Ok(Decision::Dispatch(permit)) => Ok(self.hold(permit)),
            Ok(Decision::Refuse(refusal)) => Err(refusal),
            Ok(Decision::Wait(_)) | Err(_) => Err(Refusal {
                kind: ErrorKind::Draining,
                detail: "the entry host stopped before the request's turn came".into(),
                retry_after: Duration::ZERO,
            }),
        }
    }

    fn hold(self: &Arc<Self>, permit: Permit) -> HeldPermit {
        HeldPermit { gate: self.clone(), permit: Some(permit) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Decisions don't panic half-way; a poisoned lock still holds a whole state.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn release(&self, permit: Permit, result: AttemptResult, now: Instant) {
        let mut state = self.lock();
        let decided = state.router.release(permit, result, now);
        deliver(&mut state, decided, now);
    }
}

/// Hands decisions to the requests that wait for them.
fn deliver(state: &mut State, decided: Vec<(Ticket, Decision)>, now: Instant) {
    let mut pending = decided;
    while let Some((ticket, decision)) = pending.pop() {
        let Some(tx) = state.waiting.remove(&ticket) else {
            continue;
        };
        // A request whose caller has gone gives its permit to the next.
        if let Err(Decision::Dispatch(permit)) = tx.send(decision) {
            pending.extend(state.router.release(permit, not_sent(), now));
        }
    }
}

/// The result of a permit that was given back unused.
fn not_sent() -> AttemptResult {
    AttemptResult {
        outcome: Outcome::NotRun,
        healthy: true,
        latency: Duration::ZERO,
        abandoned: false,
    }
}

struct WaitingGuard<'a> {
    gate: &'a Gate,
    ticket: Ticket,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.router.cancel(self.ticket);
        state.waiting.remove(&self.ticket);
    }
}

/// A permit that is surely given back: where it is dropped without a result,
/// the request counts as abandoned and may still occupy the target.
pub struct HeldPermit {
    gate: Arc<Gate>,
    permit: Option<Permit>,
}

impl HeldPermit {
    /// The permit.
    ///
    /// # Panics
    ///
    /// Never: the permit is taken only by `finish` and `drop`.
    pub fn permit(&self) -> &Permit {
        self.permit.as_ref().expect("a held permit is present until it is given back")
    }

    /// Gives the permit back with the result of the attempt.
    pub fn finish(mut self, result: AttemptResult, now: Instant) {
        if let Some(permit) = self.permit.take() {
            self.gate.release(permit, result, now);
        }
    }

    /// Gives the permit back after the request was surely not sent.
    pub fn finish_unsent(self, healthy: bool, now: Instant) {
        self.finish(AttemptResult { healthy, ..not_sent() }, now);
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            let now = Instant::now();
            let latency = now.saturating_duration_since(permit.since);
            let result = AttemptResult {
                outcome: Outcome::Unknown,
                healthy: true,
                latency,
                abandoned: true,
            };
            self.gate.release(permit, result, now);
        }
    }
}
