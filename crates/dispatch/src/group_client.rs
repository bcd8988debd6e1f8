//! An entry host's client of the group: it tracks the leader and forwards each
//! client request to the leader.

use crate::{
    metrics::Metrics,
    protocol::{GroupStatus, PeerRequest, PeerResponse},
    transport::{Peers, replica_id, replica_ip},
};
use cyclamenloft_types::{ErrorKind, ReplicaId};
use std::{
    cell::{Cell, RefCell},
    net::Ipv4Addr,
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
/// Longest wait for the leader's answer to one attempt, after which the host
/// searches for the leader again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause between two searches for the leader during an election.
const SEARCH_PAUSE: Duration = Duration::from_millis(60);

/// An entry host's client of the group.
pub struct GroupClient {
    peers: Peers,
    seeds: RefCell<Vec<ReplicaId>>,
    group_status: RefCell<Option<GroupStatus>>,
    /// The last known leader and the time of its last answer as leader; `None` until a
    /// leader has answered.
    leader: Cell<Option<(ReplicaId, Instant)>>,
    /// Counters and histograms.
    pub metrics: Rc<Metrics>,
}

/// The outcome of forwarding a client request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The leader has answered.
    Response(PeerResponse),
    /// The request reached no leader, so nothing was done.
    NotSent,
    /// The request may or may not have been carried out.
    Unsure,
}

impl GroupClient {
    /// Returns a client that knows only the seeds.
    #[must_use]
    pub fn new(peer_port: u16, seeds: &[Ipv4Addr], metrics: Rc<Metrics>) -> Rc<Self> {
        Rc::new(Self {
            peers: Peers::new(peer_port),
            seeds: RefCell::new(seeds.iter().map(|ip| replica_id(*ip)).collect()),
            group_status: RefCell::new(None),
            leader: Cell::new(None),
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

    /// Tracks the leader and logs when readiness changes; never returns.
    pub async fn track_leader(self: Rc<Self>) {
        let mut was_ready = false;
        loop {
            let now = Instant::now();
            let fresh = self.leader.get().is_some_and(|(_, at)| now < at + STATUS_PERIOD / 2);
            if !fresh {
                self.find_leader(now + STATUS_TIMEOUT).await;
            }
            let ready = self.is_ready(Instant::now());
            if ready != was_ready {
                let event = if ready { "group-regained" } else { "group-lost" };
                let leader = self.leader.get().and_then(|(id, _)| replica_ip(id));
                tracing::info!(event, ?leader);
                was_ready = ready;
            }
            let pause = if ready { STATUS_PERIOD } else { SEARCH_PAUSE };
            compio::time::sleep(pause).await;
        }
    }

    /// Queries the last known leader or, if it no longer leads, all known replicas. Returns
    /// one that reports that it leads; `None` if none does.
    async fn find_leader(&self, until: Instant) -> Option<ReplicaId> {
        if let Some((leader, _)) = self.leader.get()
            && self.query_status(leader, until).await
        {
            return Some(leader);
        }
        let mut known: Vec<ReplicaId> = self.seeds.borrow().clone();
        if let Some(group_status) = &*self.group_status.borrow() {
            known.extend(&group_status.members);
        }
        known.sort_unstable();
        known.dedup();
        let until = until.max(Instant::now() + STATUS_TIMEOUT / 2);
        let queries =
            known.iter().map(|id| async { self.query_status(*id, until).await.then_some(*id) });
        futures_util::future::join_all(queries).await.into_iter().flatten().next()
    }

    /// Queries the status of one replica; returns true if it leads.
    async fn query_status(&self, to: ReplicaId, until: Instant) -> bool {
        let group_status = match self.peers.request(to, &PeerRequest::Where, until).await {
            Ok(PeerResponse::Standing(group_status)) => group_status,
            Ok(_) => return false,
            Err(e) => {
                tracing::debug!(peer = to, error = %e, "no answer on who leads");
                return false;
            }
        };
        let leads = group_status.leads;
        if leads {
            self.record_leader(to);
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
        self.leader.set(Some((id, Instant::now())));
    }

    /// Forwards a request to the leader. The request must be idempotent: if an
    /// answer is lost, the request is sent again, possibly to the next leader.
    pub async fn forward(&self, req: &PeerRequest, until: Instant) -> ForwardOutcome {
        let mut unsure = false;
        let mut search = false;
        loop {
            let now = Instant::now();
            if now >= until {
                return if unsure { ForwardOutcome::Unsure } else { ForwardOutcome::NotSent };
            }
            let known = self.leader.get().filter(|_| !search).map(|(id, _)| id);
            let leader = match known {
                Some(id) => Some(id),
                None => self.find_leader(until.min(now + STATUS_TIMEOUT)).await,
            };
            let Some(leader) = leader else {
                compio::time::sleep(SEARCH_PAUSE).await;
                continue;
            };
            match self.peers.request(leader, req, until.min(Instant::now() + ATTEMPT_TIMEOUT)).await
            {
                Ok(PeerResponse::NotLeader(_)) => search = true,
                Ok(PeerResponse::Unsure) => {
                    unsure = true;
                    search = true;
                }
                Ok(reply) => {
                    self.record_leader(leader);
                    return ForwardOutcome::Response(reply);
                }
                Err(e) => {
                    unsure |= e.kind != ErrorKind::NotReached;
                    search = true;
                }
            }
            compio::time::sleep(SEARCH_PAUSE / 4).await;
        }
    }
}
