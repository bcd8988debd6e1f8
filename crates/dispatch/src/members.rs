//! Membership of the group: replicas that start at a new address join as
//! learners, become voters once they have caught up, and replace unresponsive
//! voters.

use crate::{
    node::{Node, own_id},
    port::Port,
    protocol::{GroupStatus, PeerRequest, PeerResponse},
    transport::replica_id,
};
use cyclamenloft_replication::{MemberKind, MemberStatus, Status};
use cyclamenloft_types::{DomainName, ReplicaId};
use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

/// Maximum number of voters: five tolerate the loss of two hosts, or of a failure
/// domain that holds two.
const MAX_VOTERS: usize = 5;
/// Pause between two attempts to join.
const JOIN_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for an answer while joining.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for a member to report its failure domain; the next attempt
/// follows a second later.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without progress after which a member counts as unresponsive: a learner
/// is no longer promoted, and a voter may be removed. It is far longer than a
/// restart, a suspension or a network partition of a few seconds.
const REPLACE_AFTER: Duration = Duration::from_secs(15);

/// Asks the seeds and the members to add this host whenever it isn't a member, unless it is
/// one of the hosts that form the group.
pub(crate) async fn join<P: Port>(node: Rc<Node<P>>) {
    let me = own_id(&node);
    let seeds: Vec<ReplicaId> = node.settings.seeds.iter().map(|ip| replica_id(*ip)).collect();
    let forms_group = node.settings.first_start && seeds.contains(&me);
    let mut join_peers = JoinPeers::new(me, seeds);
    loop {
        let is_member = node.replica.status().members.iter().any(|m| m.id == me);
        if is_member || forms_group {
            compio::time::sleep(REPLACE_AFTER).await;
            continue;
        }
        if let Some(to) = join_peers.next() {
            let until = Instant::now() + JOIN_TIMEOUT;
            match node.peers.request(to, &PeerRequest::Join(me), until).await {
                Ok(PeerResponse::Standing(group_status)) => join_peers.update(&group_status),
                Ok(_) => {}
                Err(e) => tracing::debug!(peer = to, error = %e, "not asked to join"),
            }
        }
        compio::time::sleep(JOIN_PAUSE).await;
    }
}

/// The replicas that a host asks to add it to the group: the last known leader
/// first, then members and seeds in turn. The seeds are never dropped, since a
/// replica that answers before the group is formed knows no members.
struct JoinPeers {
    me: ReplicaId,
    seeds: Vec<ReplicaId>,
    leader: Option<ReplicaId>,
    members: Vec<ReplicaId>,
    next_index: usize,
}

impl JoinPeers {
    fn new(me: ReplicaId, seeds: Vec<ReplicaId>) -> Self {
        Self { me, seeds, leader: None, members: Vec::new(), next_index: 0 }
    }

    fn next(&mut self) -> Option<ReplicaId> {
        if let Some(leader) = self.leader.take() {
            return Some(leader);
        }
        let known = self.members.iter().chain(&self.seeds).filter(|id| **id != self.me);
        let known: Vec<ReplicaId> = known.copied().collect();
        let next = known.get(self.next_index % known.len().max(1)).copied();
        self.next_index += 1;
        next
    }

    fn update(&mut self, group_status: &GroupStatus) {
        self.leader = group_status.leader.filter(|id| *id != self.me);
        if !group_status.members.is_empty() {
            self.members.clone_from(&group_status.members);
        }
    }
}

/// Adds a host as a learner if this replica leads.
pub(crate) async fn add_learner<P: Port>(node: &Node<P>, id: ReplicaId) -> PeerResponse {
    let known = node.replica.status().members.iter().any(|m| m.id == id);
    if node.leads() && !known {
        let admitted = node.replica.add_learner(id).await;
        let outcome = if admitted.is_ok() { "learner" } else { "not-now" };
        let detail = admitted.err().map(|e| e.to_string()).unwrap_or_default();
        tracing::info!(decision = "admit", replica = id, outcome, detail);
    }
    PeerResponse::Standing(node.group_status())
}

/// The leader's record of the members' progress and failure domains.
#[derive(Default)]
pub(crate) struct MemberMonitor {
    /// Match index of each member, and the last time at which it changed or had reached the
    /// commit index.
    progress: BTreeMap<ReplicaId, (u64, Instant)>,
    /// Failure domains of the members that have reported theirs.
    domains: BTreeMap<ReplicaId, DomainName>,
}

/// A membership change that should be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MembershipChange {
    Promote(ReplicaId),
    Remove(ReplicaId),
}

impl MemberMonitor {
    /// Promotes learners to voters, and removes unresponsive voters while there
    /// are more than three voters.
    pub(crate) async fn maintain<P: Port>(&mut self, node: &Node<P>, now: Instant) {
        let status = node.replica.status();
        self.fetch_domains(node, &status, now).await;
        let Some(change) = self.next_change(&status, own_id(node), now) else { return };
        let result = match change {
            MembershipChange::Promote(id) => node.replica.promote(id, MemberKind::Voter).await,
            MembershipChange::Remove(id) => node.replica.remove(id).await,
        };
        match result {
            Ok(()) => tracing::info!(decision = "members", change = ?change, outcome = "done"),
            Err(e) => {
                tracing::info!(decision = "members", change = ?change, outcome = "later", detail = %e)
            }
        }
    }

    /// Queries the failure domain of each member for which it is unknown.
    async fn fetch_domains<P: Port>(&mut self, node: &Node<P>, status: &Status, now: Instant) {
        let unknown = status.members.iter().filter(|m| !self.domains.contains_key(&m.id));
        let queries = unknown.map(|m| async {
            let is_self = m.id == own_id(node);
            let response = match is_self {
                true => Ok(PeerResponse::Standing(node.group_status())),
                false => node.peers.request(m.id, &PeerRequest::Where, now + DOMAIN_TIMEOUT).await,
            };
            match response {
                Ok(PeerResponse::Standing(group_status)) => Some((m.id, group_status.domain)),
                _ => None,
            }
        });
        let answers: Vec<_> = futures_util::future::join_all(queries).await;
        self.domains.extend(answers.into_iter().flatten());
    }

    /// Returns the number of other voters in the failure domain of a member. Membership
    /// changes keep this number low, so that no domain holds more voters than the group can
    /// lose.
    fn voters_in_same_domain(&self, status: &Status, id: ReplicaId) -> usize {
        let domain = self.domains.get(&id);
        let is_other_voter = |m: &&MemberStatus| m.kind != MemberKind::Learner && m.id != id;
        let others = status.members.iter().filter(is_other_voter);
        others.filter(|m| domain.is_some() && self.domains.get(&m.id) == domain).count()
    }

    fn next_change(
        &mut self,
        status: &Status,
        me: ReplicaId,
        now: Instant,
    ) -> Option<MembershipChange> {
        for m in &status.members {
            let matched = m.matched.unwrap_or(0);
            let last_progress = self.progress.entry(m.id).or_insert((matched, now));
            if last_progress.0 != matched || matched >= status.committed {
                *last_progress = (matched, now);
            }
        }
        self.progress.retain(|id, _| status.members.iter().any(|m| m.id == *id));
        let is_unresponsive = |id: ReplicaId| {
            id != me && self.progress.get(&id).is_some_and(|(_, at)| now >= *at + REPLACE_AFTER)
        };
        let voters: Vec<_> =
            status.members.iter().filter(|m| m.kind != MemberKind::Learner).collect();
        let ready: Vec<_> = status
            .members
            .iter()
            .filter(|m| {
                m.kind == MemberKind::Learner && m.becomes.is_none() && !is_unresponsive(m.id)
            })
            .collect();
        let unresponsive_voter = voters.iter().find(|m| is_unresponsive(m.id));
        let can_grow = voters.len() < MAX_VOTERS && (ready.len() >= 2 || voters.len() % 2 == 0);
        let candidate =
            ready.iter().min_by_key(|m| (self.voters_in_same_domain(status, m.id), m.id));
        match (unresponsive_voter, candidate) {
            (Some(unresponsive_voter), _) if voters.len() > 3 => {
                Some(MembershipChange::Remove(unresponsive_voter.id))
            }
            (Some(_), Some(learner)) => Some(MembershipChange::Promote(learner.id)),
            (None, Some(learner)) if can_grow => Some(MembershipChange::Promote(learner.id)),
            _ => None,
        }
    }
}
