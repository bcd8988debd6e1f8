//! Membership of the group: replicas that start at a new address join as
//! learners, and the leader makes the changes that [`MembershipPolicy`] asks for.

use crate::{
    membership::{MembershipChange, MembershipPolicy},
    node::{Node, own_id},
    port::Port,
    protocol::{GroupStatus, PeerRequest, PeerResponse},
    transport::replica_id,
};
use cyclamenloft_replication::{MemberKind, MemberStatus, Role};
use cyclamenloft_types::ReplicaId;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Pause between two attempts to join.
const JOIN_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for an answer while joining.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for a member to report its failure domain; the next attempt
/// follows a second later.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two checks of the members by the leader.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks by a member whether it still is one.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a leader after which a member asks to be added: far longer than an election.
/// A replica that was removed while it was unreachable isn't told so.
const REJOIN_AFTER: Duration = Duration::from_secs(3);

/// Asks the seeds and the members to add this host whenever it isn't a member, or may have
/// been removed. A host that forms the group doesn't ask before the group exists.
pub(crate) async fn join<P: Port>(node: Rc<Node<P>>) {
    let me = own_id(&node);
    let seeds: Vec<ReplicaId> = node.settings.seeds.iter().map(|ip| replica_id(*ip)).collect();
    let forms_group = node.settings.first_start && seeds.contains(&me);
    let mut join_peers = JoinPeers::new(me, seeds);
    let started = Instant::now();
    loop {
        let status = node.replica.status();
        let is_member = status.members.iter().any(|m| m.id == me);
        let is_forming = forms_group && status.members.is_empty();
        let heard_at = status.leader_heard_at.unwrap_or(started);
        let is_led = status.role == Role::Leader || Instant::now() < heard_at + REJOIN_AFTER;
        if is_forming || (is_member && is_led) {
            compio::time::sleep(MEMBER_CHECK_INTERVAL).await;
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

/// Makes the membership changes that are due while this replica leads. Runs until the task
/// is cancelled.
pub(crate) async fn maintain<P: Port>(node: Rc<Node<P>>) {
    let mut policy =
        MembershipPolicy::new(node.settings.replacement_delay, node.settings.tolerated_losses);
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        if !node.leads() {
            policy.reset();
            continue;
        }
        fetch_domains(&node, &mut policy).await;
        let status = node.replica.status();
        let Some(change) = policy.next_change(&status, own_id(&node), Instant::now()) else {
            continue;
        };
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
}

/// Queries the failure domain of each responsive member for which it is unknown.
async fn fetch_domains<P: Port>(node: &Node<P>, policy: &mut MembershipPolicy) {
    let status = node.replica.status();
    let until = Instant::now() + DOMAIN_TIMEOUT;
    let is_unknown = |m: &&MemberStatus| m.responsive && !policy.knows_domain(m.id);
    let queries = status.members.iter().filter(is_unknown).map(|m| async {
        let is_self = m.id == own_id(node);
        let response = match is_self {
            true => Ok(PeerResponse::Standing(node.group_status())),
            false => node.peers.request(m.id, &PeerRequest::Where, until).await,
        };
        match response {
            Ok(PeerResponse::Standing(group_status)) => Some((m.id, group_status.domain)),
            _ => None,
        }
    });
    let answers: Vec<_> = futures_util::future::join_all(queries).await;
    for (id, domain) in answers.into_iter().flatten() {
        policy.record_domain(id, domain);
    }
}
