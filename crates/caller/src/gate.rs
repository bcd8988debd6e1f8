//! Admission for one service: requests wait here for a routing decision. The
//! threads of an entry host share the gate.

use crate::permit::ReservedSlot;
use cyclamenloft_routing::{
    AttemptResult, Decision, NoRetry, Permit, Refusal, RequestMeta, RoutingPolicy, ServicePolicy,
    ServiceRouter, TargetRecord, Ticket, slots::base_share, spill::SpillChoice,
};
use cyclamenloft_target::Endpoint;
use cyclamenloft_types::{ErrorKind, HostId, Outcome, RequestId, TargetId};
use futures_channel::oneshot;
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// The retry delay that a refusal advises if no better estimate is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The decision on a request that waited.
type AdmissionResult = Result<ReservedSlot, Refusal>;
/// The channel that delivers the decision to a waiting request.
type Waiter = oneshot::Sender<AdmissionResult>;

pub(crate) struct State {
    pub(crate) router: ServiceRouter,
    waiting: HashMap<Ticket, Waiter>,
    policy: ServicePolicy,
    /// Requests taken out of the queue to be handed to an entry host of another domain,
    /// each with the chosen host.
    pub(crate) spilled: HashMap<RequestId, SpillChoice>,
    /// The time until which the newest announcement of each address is valid.
    live_until: HashMap<SocketAddr, Instant>,
}

impl State {
    fn waiters_of(&mut self, decided: Vec<(Ticket, Decision)>) -> Vec<(Option<Waiter>, Decision)> {
        let waiting = &mut self.waiting;
        decided.into_iter().map(|(t, decision)| (waiting.remove(&t), decision)).collect()
    }

    fn take_displaced(&mut self) -> Vec<(Option<Waiter>, Decision)> {
        let decided = self.router.take_decided();
        self.waiters_of(decided)
    }
}

/// The admission gate of one service at this entry host.
pub struct Gate {
    host: HostId,
    roster: Vec<HostId>,
    state: Mutex<State>,
}

impl Gate {
    /// Creates a gate for a service that has no targets yet.
    #[must_use]
    pub fn new(
        host: HostId,
        roster: Vec<HostId>,
        routing: RoutingPolicy,
        policy: ServicePolicy,
    ) -> Arc<Self> {
        let router = ServiceRouter::new(host.clone(), roster.clone(), routing, policy.clone());
        let state = State {
            router,
            waiting: HashMap::new(),
            policy,
            spilled: HashMap::new(),
            live_until: HashMap::new(),
        };
        Arc::new(Self { host, roster, state: Mutex::new(state) })
    }

    /// Replaces the routing policy and the policy of the service.
    pub fn set_policy(&self, routing: RoutingPolicy, policy: ServicePolicy) {
        let mut state = self.lock();
        state.policy = policy.clone();
        state.router.set_policy(routing, policy);
    }

    /// Returns the name of this entry host.
    pub(crate) fn host(&self) -> &str {
        &self.host
    }

    /// Returns the active policy of the service.
    #[must_use]
    pub fn policy(&self) -> ServicePolicy {
        self.lock().policy.clone()
    }

    /// Applies a target's announcement.
    pub fn announce(self: &Arc<Self>, record: TargetRecord, now: Instant) {
        self.decide(|state| {
            let until = if record.leaving { now } else { record.expires };
            state.live_until.insert(record.addr, until);
            state.router.announce(record, now)
        });
    }

    /// Removes targets whose announcement has expired and requests whose deadline has
    /// passed.
    pub fn tick(self: &Arc<Self>, now: Instant) {
        self.decide(|state| {
            state.live_until.retain(|_, until| *until > now);
            state.router.tick(now)
        });
    }

    /// Adds to `all` the addresses of the targets that accept requests.
    pub fn add_live(&self, now: Instant, all: &mut HashSet<SocketAddr>) {
        let state = self.lock();
        all.extend(
            state.live_until.iter().filter(|(_, until)| **until > now).map(|(addr, _)| *addr),
        );
    }

    /// Returns the address of the target of `permit`, and the number of connections that
    /// this host may open to that target.
    #[must_use]
    pub fn endpoint(&self, permit: &Permit) -> Endpoint {
        let all = self.lock().policy.connections;
        let share = base_share(all, &permit.target, &self.roster, &self.host);
        Endpoint { addr: permit.addr, connections: share }
    }

    /// Waits for the decision on a request, at most until its deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal; the request has not run.
    pub async fn enter(
        self: &Arc<Self>,
        meta: RequestMeta,
        avoid: &[TargetId],
        now: Instant,
    ) -> Result<ReservedSlot, Refusal> {
        let deadline = meta.deadline;
        let displaced;
        let (ticket, rx) = {
            let mut state = self.lock();
            match state.router.admit(meta.clone(), avoid, now) {
                Decision::Dispatch(permit) => return Ok(ReservedSlot::new(self.clone(), permit)),
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait(ticket) => {
                    if let Some(choice) = state.router.consider_spill(&meta, now) {
                        state.router.cancel(ticket);
                        let detail = format!("domain {} answers sooner", choice.domain);
                        state.spilled.insert(meta.id, choice);
                        return Err(refusal(ErrorKind::Overloaded, detail));
                    }
                    let (tx, rx) = oneshot::channel();
                    state.waiting.insert(ticket, tx);
                    // The queue may have been full, so that this request took the place
                    // of another one, which is refused below.
                    displaced = state.take_displaced();
                    (ticket, rx)
                }
            }
        };
        self.notify(displaced);
        // Removes the request from the queue if the caller disconnects or the
        // deadline passes before the decision.
        let _waiting = WaitingGuard { gate: self, ticket };
        match compio::time::timeout_at(deadline, rx).await {
            Ok(Ok(admission)) => admission,
            Ok(Err(_)) => {
                let detail = "the entry host stopped before the request was admitted";
                Err(refusal(ErrorKind::Draining, detail))
            }
            Err(_) => Err(refusal(ErrorKind::DeadlinePassed, "the deadline passed in the queue")),
        }
    }

    /// Returns the delay after which a request may be retried on another target. `failed`
    /// lists the targets of its failed attempts. `outcome` is `Unknown` if any attempt so
    /// far may have run.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request must not be retried, for the log.
    pub fn retry(
        &self,
        meta: &RequestMeta,
        failed: &[TargetId],
        outcome: Outcome,
        now: Instant,
    ) -> Result<Duration, &'static str> {
        let mut state = self.lock();
        state.router.retry(meta, failed, outcome, now).map_err(NoRetry::as_str)
    }

    /// Returns how long to wait for a response before a second attempt is made; `None` if
    /// the request must not be hedged.
    pub(crate) fn hedge_after(&self, meta: &RequestMeta, now: Instant) -> Option<Duration> {
        self.lock().router.hedge_after(meta, now)
    }

    /// Reserves a slot for a second attempt while `first` works on the request.
    pub(crate) fn hedge(
        self: &Arc<Self>,
        meta: &RequestMeta,
        first: &TargetId,
        now: Instant,
    ) -> Option<ReservedSlot> {
        let permit = self.lock().router.hedge(meta, first, now)?;
        Some(ReservedSlot::new(self.clone(), permit))
    }

    pub(crate) fn release(self: &Arc<Self>, permit: Permit, result: AttemptResult, now: Instant) {
        self.decide(|state| state.router.release(permit, result, now));
    }

    /// Runs `f` under the lock, and after unlocking sends the decisions that `f` returned
    /// to the waiting requests. Sending under the lock could deadlock: if the receiver of
    /// a decision is gone, the slot in the decision is dropped, and dropping it takes the
    /// lock again.
    pub(crate) fn decide(self: &Arc<Self>, f: impl FnOnce(&mut State) -> Vec<(Ticket, Decision)>) {
        let decided = {
            let mut state = self.lock();
            let decided = f(&mut state);
            state.waiters_of(decided)
        };
        self.notify(decided);
    }

    fn notify(self: &Arc<Self>, decided: Vec<(Option<Waiter>, Decision)>) {
        for (tx, decision) in decided {
            let admission = match decision {
                Decision::Dispatch(permit) => Ok(ReservedSlot::new(self.clone(), permit)),
                Decision::Refuse(refusal) => Err(refusal),
                Decision::Wait(_) => continue,
            };
            if let Some(tx) = tx {
                // If the receiver is gone, the slot is dropped, which frees it.
                let _ = tx.send(admission);
            }
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        // No panic can occur between two updates that belong together, so the state
        // behind a poisoned lock is consistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a refusal that advises a retry after [`RETRY_AFTER`].
pub(crate) fn refusal(kind: ErrorKind, detail: impl Into<Box<str>>) -> Refusal {
    Refusal::new(kind, detail, RETRY_AFTER)
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
