//! A group whose replicas can be started, crashed, stopped and wiped.

use super::{
    history::{History, List, Outcome},
    net::Network,
    wait_until,
};
use cyclamenloft_replication::{Config, Member, MemberKind, Replica, Role};
use cyclamenloft_types::{ErrorKind, ReplicaId, Result};
use std::{
    cell::RefCell,
    collections::BTreeMap,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};
use tempfile::TempDir;

type AdjustConfig = Rc<dyn Fn(Config) -> Config>;

#[derive(Clone)]
pub struct Cluster {
    pub network: Network,
    pub history: Rc<RefCell<History>>,
    members: Rc<Vec<Member>>,
    replicas: Rc<RefCell<BTreeMap<ReplicaId, Replica<List>>>>,
    folder: Rc<TempDir>,
    adjust_config: AdjustConfig,
}

pub fn voters(count: u64) -> Vec<Member> {
    (1..=count).map(|id| Member { id, kind: MemberKind::Voter }).collect()
}

pub fn fast_timeouts(cfg: Config) -> Config {
    cfg.heartbeat(Duration::from_millis(10)).election_timeout(Duration::from_millis(60))
}

/// Sets timeouts with which a leader stays leader on a busy machine, for tests
/// of a leader's responses.
pub fn stable_leader(cfg: Config) -> Config {
    cfg.heartbeat(Duration::from_millis(10)).election_timeout(Duration::from_secs(2))
}

impl Cluster {
    pub fn new(seed: u64, members: Vec<Member>) -> Self {
        Self::with_config(seed, members, fast_timeouts)
    }

    /// Creates a group. `adjust_config` changes the default settings of each
    /// replica.
    pub fn with_config(
        seed: u64,
        members: Vec<Member>,
        adjust_config: impl Fn(Config) -> Config + 'static,
    ) -> Self {
        Self {
            network: Network::new(seed),
            history: Rc::default(),
            members: Rc::new(members),
            replicas: Rc::default(),
            folder: Rc::new(TempDir::new().unwrap()),
            adjust_config: Rc::new(adjust_config),
        }
    }

    pub async fn start_all(self) -> Self {
        for id in self.members.iter().map(|m| m.id) {
            self.start(id).await;
        }
        self
    }

    pub fn path(&self, id: ReplicaId) -> PathBuf {
        self.folder.path().join(id.to_string())
    }

    pub async fn try_start(&self, id: ReplicaId) -> Result<()> {
        let mut members = (*self.members).clone();
        if !members.iter().any(|m| m.id == id) {
            members.push(Member { id, kind: MemberKind::Learner });
        }
        let cfg = (self.adjust_config)(Config::new("test", id, members, self.path(id)));
        let replica = Replica::open(cfg, List::default(), self.network.link(id)).await?;
        self.network.attach(id, replica.clone());
        self.replicas.borrow_mut().insert(id, replica);
        Ok(())
    }

    /// Starts a replica as soon as its folder is unlocked; after a crash, a
    /// write may still hold the lock.
    pub async fn start(&self, id: ReplicaId) {
        loop {
            match self.try_start(id).await {
                Ok(()) => return,
                Err(e) if e.kind == ErrorKind::FolderInUse => {
                    compio::time::sleep(Duration::from_millis(1)).await;
                }
                Err(e) => panic!("replica {id}: {e}"),
            }
        }
    }

    /// Ends a replica without telling the others.
    pub fn crash(&self, id: ReplicaId) {
        self.network.detach(id);
        let replica = self.replicas.borrow_mut().remove(&id);
        drop(replica);
    }

    /// Crashes a replica and removes its files.
    pub async fn wipe(&self, id: ReplicaId) {
        self.crash(id);
        // The start waits until the writes of the crashed replica have ended.
        self.start(id).await;
        self.get(id).unwrap().shut_down().await;
        self.crash(id);
        std::fs::remove_dir_all(self.path(id)).unwrap();
    }

    pub fn get(&self, id: ReplicaId) -> Option<Replica<List>> {
        self.replicas.borrow().get(&id).cloned()
    }

    pub fn ids(&self) -> Vec<ReplicaId> {
        self.replicas.borrow().keys().copied().collect()
    }

    /// Returns the replica that holds a valid leader lease, and checks that
    /// there is at most one.
    pub fn lease_holder(&self) -> Option<ReplicaId> {
        let now = Instant::now();
        let replicas = self.replicas.borrow();
        let leaders: Vec<_> = replicas.iter().filter(|(_, r)| r.leads(now)).collect();
        assert!(leaders.len() <= 1, "two replicas hold a leader lease");
        leaders.first().map(|(id, _)| **id)
    }

    /// Waits until one of `among` holds a valid leader lease.
    pub async fn leader_among(&self, among: &[ReplicaId]) -> ReplicaId {
        let mut leader = None;
        wait_until(|| {
            leader = self.lease_holder().filter(|id| among.contains(id));
            leader.is_some()
        })
        .await;
        leader.unwrap()
    }

    pub async fn leader(&self) -> ReplicaId {
        self.leader_among(&self.ids()).await
    }

    /// Returns a replica with the leader role, whether its lease is valid or
    /// not.
    pub fn claimed_leader(&self) -> Option<ReplicaId> {
        let replicas = self.replicas.borrow();
        let mut claims = replicas.iter().filter(|(_, r)| r.status().role == Role::Leader);
        claims.next().map(|(id, _)| *id)
    }

    /// Waits until a wiped replica has its vote back.
    pub async fn wait_for_vote_restored(&self, id: ReplicaId) {
        wait_until(|| {
            self.observe();
            let Some(status) = self.get(id).map(|r| r.status()) else { return false };
            let own = status.members.iter().find(|m| m.id == id);
            own.is_some_and(|m| {
                m.incarnation == status.incarnation && m.kind != MemberKind::Learner
            })
        })
        .await;
    }

    /// Proposes a new value at `id` and records the outcome.
    pub async fn propose(&self, id: ReplicaId) -> Outcome {
        self.propose_with_filler(id, 0).await
    }

    pub async fn propose_with_filler(&self, id: ReplicaId, filler: usize) -> Outcome {
        let Some(replica) = self.get(id) else { return Outcome::Refused };
        let proposal = self.history.borrow_mut().begin();
        let result = replica.propose((proposal.0, vec![7; filler])).await;
        let outcome = Outcome::of(&result);
        self.history.borrow_mut().end(proposal, outcome);
        outcome
    }

    /// Proposes at the leader until `count` more values are accepted.
    pub async fn commit_values(&self, count: usize) {
        let goal = self.history.borrow().accepted() + count;
        while self.history.borrow().accepted() < goal {
            let leader = self.leader().await;
            self.propose(leader).await;
            self.observe();
        }
    }

    /// Checks every replica's state against all states observed before.
    pub fn observe(&self) {
        self.lease_holder();
        for replica in self.replicas.borrow().values() {
            replica.state(|list| self.history.borrow_mut().observe(&list.values));
        }
    }

    /// Waits until all replicas have applied the same entries, and checks their
    /// states.
    pub async fn check_converged(&self) {
        self.commit_values(1).await;
        let leader = self.leader().await;
        let goal = self.get(leader).unwrap().status().committed;
        wait_until(|| self.replicas.borrow().values().all(|r| r.status().applied >= goal)).await;
        for replica in self.replicas.borrow().values() {
            replica.state(|list| self.history.borrow_mut().check(&list.values));
        }
    }

    /// Runs the group for `count` times 60 ms, the election timeout that
    /// `fast_timeouts` sets.
    pub async fn run_for_election_timeouts(&self, count: u32) {
        for _ in 0..count * 60 {
            compio::time::sleep(Duration::from_millis(1)).await;
            self.observe();
        }
    }

    /// Starts clients that propose at the claimed leader, or at another replica
    /// if there is none, until the returned handle is dropped.
    pub fn spawn_clients(&self, count: usize) -> Rc<()> {
        let stop = Rc::new(());
        for _ in 0..count {
            let (cluster, stop) = (self.clone(), Rc::downgrade(&stop));
            compio::runtime::spawn(async move {
                while stop.upgrade().is_some() {
                    let ids = cluster.ids();
                    let to = cluster.claimed_leader().or(ids.first().copied());
                    if let Some(to) = to {
                        cluster.propose(to).await;
                    }
                    cluster.observe();
                    compio::time::sleep(Duration::from_millis(1)).await;
                }
            })
            .detach();
        }
        stop
    }
}
