//! Membership of the group: replicas that start at a new address join as
//! learners, and the leader makes the changes that [`MembershipPolicy`] asks for.

use crate::{
    membership::{MembershipChange, MembershipPolicy},
    node::{Node, own_id},
    port::Port,
    protocol::{PeerRequest, PeerResponse},
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
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a member to report its failure domain; the next attempt
/// follows a second later.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two checks of the members.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a membership change that failed.
const CHANGE_RETRY_PAUSE: Duration = Duration::from_millis(500);
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
    let mut known_members: Vec<ReplicaId> = Vec::new();
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
        // The seeds are always asked, since a replica that answers before the group is formed
        // knows no members.
        let mut to: Vec<ReplicaId> = seeds.iter().chain(&known_members).copied().collect();
        to.sort_unstable();
        to.dedup();
        to.retain(|id| *id != me);
        if let Some(members) = ask_to_join(&node, &to).await {
            known_members = members;
        }
        compio::time::sleep(JOIN_PAUSE).await;
    }
}

/// Asks replicas to add this host to the group. They are asked at the same time, so that one that
/// doesn't answer delays none of the others. Returns the members that the replica with the highest
/// term knows.
async fn ask_to_join<P: Port>(node: &Node<P>, to: &[ReplicaId]) -> Option<Vec<ReplicaId>> {
    let until = Instant::now() + JOIN_TIMEOUT;
    let req = PeerRequest::Join(own_id(node));
    let calls = to.iter().map(|id| async {
        match node.peers.request(*id, &req, until).await {
            Ok(PeerResponse::Standing(group_status)) => Some(group_status),
            Ok(_) => None,
            Err(e) => {
                tracing::debug!(peer = *id, error = %e, "not asked to join");
                None
            }
        }
    });
    let answers = futures_util::future::join_all(calls).await;
    let formed = answers.into_iter().flatten().filter(|s| !s.members.is_empty());
    formed.max_by_key(|s| s.term).map(|s| s.members)
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

/// Makes the membership changes that are due while this replica leads. Those that replace a voter
/// follow each other at once, because the group tolerates no other loss between them. Runs until
/// the task is cancelled.
pub(crate) async fn maintain<P: Port>(node: Rc<Node<P>>) {
    let mut policy =
        MembershipPolicy::new(node.settings.replacement_delay, node.settings.tolerated_losses);
    let mut pause = CHECK_INTERVAL;
    loop {
        compio::time::sleep(pause).await;
        pause = CHECK_INTERVAL;
        if !node.leads() {
            policy.observe_as_follower(&node.replica.status());
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
            Ok(()) => {
                tracing::info!(decision = "members", change = ?change, outcome = "done");
                pause = Duration::ZERO;
            }
            Err(e) => {
                tracing::info!(decision = "members", change = ?change, outcome = "later", detail = %e);
                pause = CHANGE_RETRY_PAUSE;
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
