//! Waiting for decisions: the decisions of one service, shared by the threads
//! of an entry host.

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

/// When a refused request may be sent again, where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What became of a request that waited.
type AdmissionResult = Result<ReservedSlot, Refusal>;
/// Where a waiting request hears of its turn.
type Waiter = oneshot::Sender<AdmissionResult>;

pub(crate) struct State {
    pub(crate) router: ServiceRouter,
    waiting: HashMap<Ticket, Waiter>,
    policy: ServicePolicy,
    /// Requests that are to go to another domain instead of waiting here.
    pub(crate) spilled: HashMap<RequestId, SpillChoice>,
    /// Until when the newest announcement at an address holds.
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

/// The decisions of one service at this entry host.
pub struct Gate {
    host: HostId,
    roster: Vec<HostId>,
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

    /// Takes a changed policy into force.
    pub fn set_policy(&self, routing: RoutingPolicy, policy: ServicePolicy) {
        let mut state = self.lock();
        state.policy = policy.clone();
        state.router.set_policy(routing, policy);
    }

    /// This entry host.
    pub(crate) fn host(&self) -> &str {
        &self.host
    }

    /// The service's policy in force.
    #[must_use]
    pub fn policy(&self) -> ServicePolicy {
        self.lock().policy.clone()
    }

    /// Takes in a target's announcement.
    pub fn announce(self: &Arc<Self>, record: TargetRecord, now: Instant) {
        self.decide(|state| {
            let until = if record.leaving { now } else { record.expires };
            state.live_until.insert(record.addr, until);
            state.router.announce(record, now)
        });
    }

    /// Drops what has expired.
    pub fn tick(self: &Arc<Self>, now: Instant) {
        self.decide(|state| {
            state.live_until.retain(|_, until| *until > now);
            state.router.tick(now)
        });
    }

    /// Adds the addresses of the targets that take requests.
    pub fn add_live(&self, now: Instant, all: &mut HashSet<SocketAddr>) {
        let state = self.lock();
        all.extend(
            state.live_until.iter().filter(|(_, until)| **until > now).map(|(addr, _)| *addr),
        );
    }

    /// Where the holder of `permit` sends its request.
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
    /// The refusal; the request has not run.
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
                    // This request may have taken the place of another.
                    displaced = state.take_displaced();
                    (ticket, rx)
                }
            }
        };
        self.notify(displaced);
        // Dropped when the caller goes away, or the deadline passes, before the
        // decision.
        let _waiting = WaitingGuard { gate: self, ticket };
        match compio::time::timeout_at(deadline, rx).await {
            Ok(Ok(admission)) => admission,
            Ok(Err(_)) => {
                let detail = "the entry host stopped before the request's turn came";
                Err(refusal(ErrorKind::Draining, detail))
            }
            Err(_) => Err(refusal(ErrorKind::DeadlinePassed, "the deadline passed in the queue")),
        }
    }

    /// Whether a request that the targets `failed` have failed may go to
    /// another one, and after what pause. `outcome` is the least favourable of
    /// its attempts so far.
    ///
    /// # Errors
    ///
    /// Why not, for the log.
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

    /// After what time without an answer a second attempt is worth asking for.
    pub(crate) fn hedge_after(&self, meta: &RequestMeta, now: Instant) -> Option<Duration> {
        self.lock().router.hedge_after(meta, now)
    }

    /// A slot for a second attempt while `first` works on the request.
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

    /// Lets `f` decide, and hands the decisions to the requests that wait for
    /// them. Nothing is sent under the lock, because a receiver that is gone
    /// gives its slot back.
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
                // A receiver that is gone drops the slot, which frees it.
                let _ = tx.send(admission);
            }
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        // Decisions don't panic half-way; a poisoned lock still holds a whole state.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A refusal that may be sent again soon.
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
