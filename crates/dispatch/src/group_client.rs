//! An entry host's client of the group: it tracks the leader and forwards each
//! client request to the leader. What it does while no leader answers is decided by
//! [`leader_loss`](crate::leader_loss).

use crate::{
    leader_loss::{
        Admission, Decision, Delivery, HeldId, HeldRequests, LeaderLoss, PendingRequest,
    },
    metrics::Metrics,
    notify::Notify,
    protocol::{GroupStatus, PeerRequest, PeerResponse, encode},
    refusals::RefusalStamp,
    slots::Slots,
    transport::{Peers, replica_id, replica_ip},
};
use cyclamenloft_types::{Error, ErrorKind, ReplicaId, Result};
use futures_channel::oneshot;
use futures_util::future::{Either, join3, select, select_all};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    hash::{BuildHasher, RandomState},
    net::Ipv4Addr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

/// Time between two status queries when no client request shows that the leader
/// answers.
const STATUS_PERIOD: Duration = Duration::from_millis(700);
/// Longest wait for the answer to a status query.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the leader's last answer for which this host counts as ready: two
/// status periods, so that one lost answer doesn't make the host unready.
const READY_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Maximum number of attempts at the same time. Those of ten entry hosts fit within the connections
/// that a replica accepts from other processes.
pub const MAX_ATTEMPTS: usize = 32;
/// Longest wait for the leader's answer to one attempt, after which the host
/// searches for the leader again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause between two status queries to the same replica during an election.
const SEARCH_PAUSE: Duration = Duration::from_millis(60);
/// Time after which a search begins anew with the replicas that are known then.
const SEARCH_PERIOD: Duration = Duration::from_secs(2);
/// Time without an answer to a request after which the leader's status is queried, so that
/// further requests aren't sent to a leader that is lost. A commit takes a tenth of it.
const PROBE_DELAY: Duration = Duration::from_millis(200);
/// Longest time between two checks whether this host is ready.
const READINESS_PERIOD: Duration = Duration::from_millis(200);

/// An entry host's client of the group.
pub struct GroupClient {
    peers: Peers,
    seeds: RefCell<Vec<ReplicaId>>,
    group_status: RefCell<Option<GroupStatus>>,
    /// The last known leader and the time of its last answer as leader; `None` until a
    /// leader has answered.
    leader: Cell<Option<(ReplicaId, Instant)>>,
    loss: RefCell<LeaderLoss>,
    /// The last refusal of a leader that is known.
    refusals: Cell<RefusalStamp>,
    held: RefCell<HeldRequests>,
    /// Tells each held request that it may be sent. Without the sender it is dropped.
    released: RefCell<BTreeMap<HeldId, oneshot::Sender<()>>>,
    /// Notified when a request is held, or a leader answers after a failure.
    hold_changed: Notify,
    /// Notified when the leader's status is to be queried at once.
    probe_due: Notify,
    /// Bounds the attempts at the same time, each of which takes a connection.
    attempts: Slots,
    random: RandomState,
    request_count: Cell<u64>,
    /// Counters and histograms.
    pub metrics: Rc<Metrics>,
}

/// The outcome of forwarding a client request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The leader has answered.
    Response(PeerResponse),
    /// The request reached no leader, so nothing was done.
    NotSent {
        /// Delay before a retry, in seconds.
        retry_after_s: u32,
    },
    /// The request may or may not have been carried out.
    Unsure,
}

/// The end of the wait of a held request.
enum Held {
    /// It is to be sent now.
    Released,
    /// What to do with it is to be decided again.
    Waited,
    /// It is given up for requests with earlier deadlines.
    Dropped,
}

impl GroupClient {
    /// Returns a client that knows only the seeds.
    #[must_use]
    pub fn new(peer_port: u16, seeds: &[Ipv4Addr], metrics: Rc<Metrics>) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            peers: Peers::new(peer_port),
            seeds: RefCell::new(seeds.iter().map(|ip| replica_id(*ip)).collect()),
            group_status: RefCell::new(None),
            leader: Cell::new(None),
            loss: RefCell::new(LeaderLoss::new(now)),
            refusals: Cell::default(),
            held: RefCell::new(HeldRequests::new(now)),
            released: RefCell::default(),
            hold_changed: Notify::default(),
            probe_due: Notify::default(),
            attempts: Slots::new(MAX_ATTEMPTS),
            random: RandomState::new(),
            request_count: Cell::new(0),
            metrics,
        })
    }

    /// Replaces the seeds after a reload of the settings.
    pub fn set_seeds(&self, seeds: &[Ipv4Addr]) {
        self.seeds.replace(seeds.iter().map(|ip| replica_id(*ip)).collect());
    }

    /// Returns whether the group has a configuration and the leader has answered
    /// recently.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        let configured = self.group_status.borrow().as_ref().is_some_and(|s| s.configured > 0);
        configured && self.leader.get().is_some_and(|(_, at)| now < at + READY_TIMEOUT)
    }

    /// Tracks the leader, releases held requests when it is back, and logs when readiness
    /// changes; never returns.
    pub async fn track_leader(self: Rc<Self>) {
        join3(self.query_leader(), self.release_held(), self.log_readiness()).await;
    }

    async fn query_leader(&self) {
        let mut max_age = STATUS_PERIOD / 2;
        loop {
            let seen = self.probe_due.change_count();
            let known = self.leader.get().filter(|_| self.loss.borrow().has_leader());
            let Some((leader, at)) = known else {
                let _ = compio::time::timeout(SEARCH_PERIOD, self.search()).await;
                continue;
            };
            let now = Instant::now();
            if now >= at + max_age && !self.query_status(leader).await {
                self.record_failure(leader, now);
                continue;
            }
            let probe = compio::time::timeout(STATUS_PERIOD, self.probe_due.changed(seen)).await;
            max_age = if probe.is_ok() { PROBE_DELAY } else { STATUS_PERIOD / 2 };
        }
    }

    async fn log_readiness(&self) {
        let mut was_ready = false;
        loop {
            let seen = self.hold_changed.change_count();
            let ready = self.is_ready(Instant::now());
            if ready != was_ready {
                let event = if ready { "group-regained" } else { "group-lost" };
                let leader = self.leader.get().and_then(|(id, _)| replica_ip(id));
                tracing::info!(event, ?leader);
                was_ready = ready;
            }
            let changed = self.hold_changed.changed(seen);
            let _ = compio::time::timeout(READINESS_PERIOD, changed).await;
        }
    }

    /// Queries all known replicas, each again after a pause, until one leads. A replica that
    /// doesn't answer delays none of the others.
    async fn search(&self) {
        let mut known: Vec<ReplicaId> = self.seeds.borrow().clone();
        if let Some(group_status) = &*self.group_status.borrow() {
            known.extend(&group_status.members);
        }
        known.sort_unstable();
        known.dedup();
        if known.is_empty() {
            return compio::time::sleep(SEARCH_PAUSE).await;
        }
        let queries = known.into_iter().map(|id| {
            Box::pin(async move {
                while !self.query_status(id).await {
                    compio::time::sleep(SEARCH_PAUSE).await;
                }
            })
        });
        select_all(queries).await;
    }

    /// Queries the status of one replica; returns true if it leads.
    async fn query_status(&self, to: ReplicaId) -> bool {
        let until = Instant::now() + STATUS_TIMEOUT;
        let group_status = match self.peers.request(to, &PeerRequest::Where, until).await {
            Ok(PeerResponse::Standing(group_status)) => group_status,
            Ok(_) => return false,
            Err(e) => {
                tracing::debug!(peer = to, error = %e, "no answer on who leads");
                return false;
            }
        };
        let leads = group_status.leads;
        self.loss.borrow_mut().set_member_count(group_status.members.len());
        if leads {
            self.record_refusal(RefusalStamp { term: group_status.term, number: 0 });
            self.record_leader(to);
        } else {
            self.loss.borrow_mut().record_answer(to, Instant::now());
        }
        let newer =
            self.group_status.borrow().as_ref().is_none_or(|s| {
                (s.term, s.configured) <= (group_status.term, group_status.configured)
            });
        if newer || leads {
            self.group_status.replace(Some(group_status));
        }
        leads
    }

    fn record_leader(&self, id: ReplicaId) {
        let now = Instant::now();
        self.leader.set(Some((id, now)));
        let mut loss = self.loss.borrow_mut();
        let was_lost = !loss.has_leader();
        loss.record_leader(now);
        if was_lost {
            self.hold_changed.notify();
        }
    }

    /// Records a refusal of a leader. Returns whether it is a later one than those known.
    fn record_refusal(&self, stamp: RefusalStamp) -> bool {
        let known = self.refusals.get();
        self.refusals.set(known.max(stamp));
        known < stamp
    }

    /// Records that a call to `leader` failed, unless a leader has answered after it was sent.
    fn record_failure(&self, leader: ReplicaId, sent: Instant) {
        if self.leader.get().is_some_and(|(id, at)| id == leader && at <= sent) {
            self.loss.borrow_mut().record_failure(Instant::now());
            self.probe_due.notify();
        }
    }

    /// Forwards a request to the leader. The request must be idempotent: if an
    /// answer is lost, the request is sent again, possibly to the next leader.
    pub async fn forward(&self, req: &PeerRequest, until: Instant) -> ForwardOutcome {
        self.request_count.set(self.request_count.get() + 1);
        let mut pending = PendingRequest {
            deadline: until,
            delivery: Delivery::NotSent,
            held: false,
            choice: self.random.hash_one(self.request_count.get()),
        };
        let began = Instant::now();
        loop {
            let now = Instant::now();
            if now >= until {
                return self.give_up(&pending, began, "deadline");
            }
            let decision = self.loss.borrow().decide(&pending, now);
            let leader = self.leader.get().filter(|_| decision == Decision::Forward);
            let wait_until = match decision {
                Decision::Refuse { .. } => return self.give_up(&pending, began, "no-replica"),
                Decision::Hold { until } => until,
                Decision::Forward => until,
            };
            if let Some((leader, _)) = leader {
                match self.attempt(leader, req, until).await {
                    Ok(PeerResponse::Stale(stamp)) if self.record_refusal(stamp) => {
                        self.record_leader(leader);
                        continue;
                    }
                    Ok(
                        response @ (PeerResponse::NotLeader(_)
                        | PeerResponse::Unsure
                        | PeerResponse::Stale(_)),
                    ) => {
                        if response == PeerResponse::Unsure {
                            pending.delivery = Delivery::MayHaveArrived;
                        }
                        // It answered, but doesn't lead.
                        self.record_failure(leader, Instant::now());
                    }
                    Ok(response) => {
                        if let PeerResponse::Busy { stamp, .. } = response {
                            self.record_refusal(stamp);
                        }
                        self.record_leader(leader);
                        return ForwardOutcome::Response(response);
                    }
                    Err(e) if e.kind.is_not_sent() => {}
                    Err(_) => pending.delivery = Delivery::MayHaveArrived,
                }
                self.record_failure(leader, now);
                // Requests that were held go to a new leader at once. One that arrived before them
                // and had been sent to the former leader must not come after them.
                if self.leader.get().is_none_or(|(id, _)| id == leader) {
                    compio::time::sleep(SEARCH_PAUSE / 4).await;
                }
                continue;
            }
            pending.held = true;
            match self.hold(&pending, wait_until).await {
                Held::Released => {
                    let waited_ms = as_ms(began.elapsed());
                    tracing::debug!(decision = "hold", waited_ms, outcome = "released");
                    self.metrics.count("hold", "released");
                }
                Held::Waited => {}
                Held::Dropped => return self.give_up(&pending, began, "full"),
            }
        }
    }

    /// Sends a request to the leader. Ends early if another replica leads meanwhile.
    async fn attempt(
        &self,
        leader: ReplicaId,
        req: &PeerRequest,
        until: Instant,
    ) -> Result<PeerResponse> {
        let Some(_slot) = self.attempts.acquire(until).await else {
            return Err(Error::new(ErrorKind::NotReached, "others wait for the leader's answer"));
        };
        let until = until.min(Instant::now() + ATTEMPT_TIMEOUT);
        // The stamped request is dropped before the wait for the answer.
        let req = encode(&*req.stamped(self.refusals.get()))?;
        let response = pin!(self.peers.request_encoded(leader, req, until));
        let superseded = pin!(self.until_superseded(leader));
        match select(response, superseded).await {
            Either::Left((response, _)) => response,
            Either::Right(_) => {
                Err(Error::new(ErrorKind::PeerUnreachable, "another replica leads"))
            }
        }
    }

    /// Waits until another replica than `leader` leads, and has the status of `leader` queried
    /// if the wait is long.
    async fn until_superseded(&self, leader: ReplicaId) {
        compio::time::sleep(PROBE_DELAY).await;
        self.probe_due.notify();
        loop {
            let seen = self.hold_changed.change_count();
            if self.leader.get().is_some_and(|(id, _)| id != leader) {
                return;
            }
            self.hold_changed.changed(seen).await;
        }
    }

    async fn hold(&self, pending: &PendingRequest, until: Instant) -> Held {
        let id = match self.held.borrow_mut().hold(pending) {
            Admission::Held(id) => id,
            Admission::Replaced { held, dropped } => {
                self.released.borrow_mut().remove(&dropped);
                held
            }
            Admission::Full => return Held::Dropped,
        };
        let (tx, rx) = oneshot::channel();
        self.released.borrow_mut().insert(id, tx);
        let _guard = HeldGuard { client: self, id };
        self.metrics.level("held", self.held.borrow().count());
        self.hold_changed.notify();
        match compio::time::timeout_at(until, rx).await {
            Ok(Ok(())) => Held::Released,
            Ok(Err(_)) => Held::Dropped,
            Err(_) => Held::Waited,
        }
    }

    /// Sends the held requests to the leader while there is one, at a limited rate; never
    /// returns.
    async fn release_held(&self) {
        loop {
            let seen = self.hold_changed.change_count();
            if !self.loss.borrow().has_leader() || self.held.borrow().count() == 0 {
                self.hold_changed.changed(seen).await;
                continue;
            }
            let interval = self.loss.borrow().release_interval();
            let next = self.held.borrow_mut().release(interval, Instant::now());
            let Some(id) = next else {
                let at = self.held.borrow().next_release();
                compio::time::sleep_until(at).await;
                continue;
            };
            if let Some(tx) = self.released.borrow_mut().remove(&id) {
                // The request may have ended meanwhile.
                let _ = tx.send(());
            }
        }
    }

    /// Ends a request that no leader has answered.
    fn give_up(
        &self,
        pending: &PendingRequest,
        began: Instant,
        reason: &'static str,
    ) -> ForwardOutcome {
        let now = Instant::now();
        let loss = self.loss.borrow();
        let retry_after_s = loss.retry_after_s(pending.choice, now);
        let outcome = match pending.delivery {
            Delivery::NotSent => ForwardOutcome::NotSent { retry_after_s },
            Delivery::MayHaveArrived => ForwardOutcome::Unsure,
        };
        let (waited_ms, lost_ms) = (as_ms(now - began), as_ms(loss.lost_for(now)));
        let answering = loss.answering_count(now);
        let held = self.held.borrow().count();
        tracing::info!(
            decision = "hold", reason, outcome = ?pending.delivery, waited_ms, lost_ms, answering,
            held, retry_after_s
        );
        self.metrics.count("hold", reason);
        outcome
    }
}

fn as_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Removes a held request when its wait ends.
struct HeldGuard<'a> {
    client: &'a GroupClient,
    id: HeldId,
}

impl Drop for HeldGuard<'_> {
    fn drop(&mut self) {
        self.client.held.borrow_mut().remove(self.id);
        self.client.released.borrow_mut().remove(&self.id);
        self.client.metrics.level("held", self.client.held.borrow().count());
    }
}
