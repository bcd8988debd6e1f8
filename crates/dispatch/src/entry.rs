//! The side of an entry host: it finds the leader and hands it each question of
//! a client.

use crate::{
    metrics::Metrics,
    protocol::{Ask, Reply, Standing},
    transport::{Peers, replica_id, replica_ip},
};
use cyclamenloft_types::{ErrorKind, ReplicaId};
use std::{
    cell::{Cell, RefCell},
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Time between two looks at the group where nothing else tells of it.
const LOOK_PERIOD: Duration = Duration::from_millis(700);
/// Longest wait for an answer on who leads.
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a leader's last answer for which this host counts as able to
/// serve: two looks, so that one lost answer changes nothing.
const READY_FOR: Duration = Duration::from_millis(1_600);
/// Longest wait for one answer of the leader, after which it is sought anew.
const ATTEMPT: Duration = Duration::from_millis(1_200);
/// Pause before the leader is sought again during an election.
const SEEK_PAUSE: Duration = Duration::from_millis(60);

/// What an entry host knows of the group.
pub struct Entry {
    peers: Peers,
    seeds: RefCell<Vec<ReplicaId>>,
    standing: RefCell<Option<Standing>>,
    /// The leader and when it last answered as such.
    leader: Cell<Option<(ReplicaId, Instant)>>,
    /// Counters and histograms.
    pub metrics: Rc<Metrics>,
}

/// How a question ended for the client's side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answered {
    /// The leader has answered.
    Reply(Reply),
    /// Nobody could be asked; surely nothing was done.
    NotAsked,
    /// It may have been done.
    Unsure,
}

impl Entry {
    /// An entry host that knows only the seeds.
    #[must_use]
    pub fn new(peer_port: u16, seeds: &[Ipv4Addr], metrics: Rc<Metrics>) -> Rc<Self> {
        Rc::new(Self {
            peers: Peers::new(peer_port),
            seeds: RefCell::new(seeds.iter().map(|ip| replica_id(*ip)).collect()),
            standing: RefCell::new(None),
            leader: Cell::new(None),
            metrics,
        })
    }

    /// Replaces the seeds, as after a reload of the settings.
    pub fn set_seeds(&self, seeds: &[Ipv4Addr]) {
        self.seeds.replace(seeds.iter().map(|ip| replica_id(*ip)).collect());
    }

    /// Whether a leader with a configuration has answered lately.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        let configured = self.standing.borrow().as_ref().is_some_and(|s| s.configured > 0);
        configured && self.leader.get().is_some_and(|(_, at)| now < at + READY_FOR)
    }

    /// Keeps looking for the leader.
    pub async fn follow(self: Rc<Self>) {
        let mut was_ready = false;
        loop {
            let now = Instant::now();
            let fresh = self.leader.get().is_some_and(|(_, at)| now < at + LOOK_PERIOD / 2);
            if !fresh {
                self.seek(now + LOOK_TIMEOUT).await;
            }
            let ready = self.is_ready(Instant::now());
            if ready != was_ready {
                let event = if ready { "group-regained" } else { "group-lost" };
                let leader = self.leader.get().and_then(|(id, _)| replica_ip(id));
                tracing::info!(event, ?leader);
                was_ready = ready;
            }
            let pause = if ready { LOOK_PERIOD } else { SEEK_PAUSE };
            compio::time::sleep(pause).await;
        }
    }

    /// Asks everybody known who leads; gives a replica that says it does.
    async fn seek(&self, until: Instant) -> Option<ReplicaId> {
        if let Some((leader, _)) = self.leader.get()
            && self.look(leader, until).await
        {
            return Some(leader);
        }
        let mut known: Vec<ReplicaId> = self.seeds.borrow().clone();
        if let Some(standing) = &*self.standing.borrow() {
            known.extend(&standing.members);
        }
        known.sort_unstable();
        known.dedup();
        let until = until.max(Instant::now() + LOOK_TIMEOUT / 2);
        let looks = known.iter().map(|id| async { self.look(*id, until).await.then_some(*id) });
        futures_util::future::join_all(looks).await.into_iter().flatten().next()
    }

    /// Asks one replica; true where it leads.
    async fn look(&self, to: ReplicaId, until: Instant) -> bool {
        let standing = match self.peers.ask(to, &Ask::Where, until).await {
            Ok(Reply::Standing(standing)) => standing,
            Ok(_) => return false,
            Err(e) => {
                tracing::debug!(peer = to, error = %e, "no answer on who leads");
                return false;
            }
        };
        let leads = standing.leads;
        if leads {
            self.note_leader(to);
        }
        let newer = self
            .standing
            .borrow()
            .as_ref()
            .is_none_or(|s| (s.term, s.configured) <= (standing.term, standing.configured));
        if newer || leads {
            self.standing.replace(Some(standing));
        }
        leads
    }

    fn note_leader(&self, id: ReplicaId) {
        self.leader.set(Some((id, Instant::now())));
    }

    /// Hands a question to the leader. The question must be idempotent: after a
    /// lost answer the next leader is asked the same.
    pub async fn hand_over(&self, ask: &Ask, until: Instant) -> Answered {
        let mut unsure = false;
        let mut seek = false;
        loop {
            let now = Instant::now();
            if now >= until {
                return if unsure { Answered::Unsure } else { Answered::NotAsked };
            }
            let known = self.leader.get().filter(|_| !seek).map(|(id, _)| id);
            let leader = match known {
                Some(id) => Some(id),
                None => self.seek(until.min(now + LOOK_TIMEOUT)).await,
            };
            let Some(leader) = leader else {
                compio::time::sleep(SEEK_PAUSE).await;
                continue;
            };
            match self.peers.ask(leader, ask, until.min(Instant::now() + ATTEMPT)).await {
                Ok(Reply::NotLeader(_)) => seek = true,
                Ok(Reply::Unsure) => {
                    unsure = true;
                    seek = true;
                }
                Ok(reply) => {
                    self.note_leader(leader);
                    return Answered::Reply(reply);
                }
                Err(e) => {
                    unsure |= e.kind != ErrorKind::NotReached;
                    seek = true;
                }
            }
            compio::time::sleep(SEEK_PAUSE / 4).await;
        }
    }
}
