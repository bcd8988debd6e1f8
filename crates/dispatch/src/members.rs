//! Who belongs to the group: replicas that come at another address join as
//! learners, get a vote once they have caught up, and take the place of those
//! that are gone.

use crate::{
    node::{Node, own_id},
    port::Port,
    protocol::{Ask, Reply, Standing},
    transport::replica_id,
};
use cyclamenloft_replication::{MemberKind, MemberStatus, Status};
use cyclamenloft_types::{DomainName, ReplicaId};
use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

/// Most voters: five bear the loss of two hosts or of a domain with two.
const MAX_VOTERS: usize = 5;
/// Pause between two tries to join.
const JOIN_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for an answer while joining.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for a member's failure domain; it is asked again next second.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Silence after which a voter may be replaced by a learner that is there; far
/// longer than a restart, a freeze or a cut of some seconds.
const REPLACE_AFTER: Duration = Duration::from_secs(15);

/// Asks the seeds and the members to be admitted, until this host is a member.
pub(crate) async fn join<P: Port>(node: Rc<Node<P>>) {
    let me = own_id(&node);
    let seeds: Vec<ReplicaId> = node.settings.seeds.iter().map(|ip| replica_id(*ip)).collect();
    let forms = node.settings.first_start && seeds.contains(&me);
    let mut sponsors = Sponsors::new(me, seeds);
    loop {
        let is_member = node.replica.status().members.iter().any(|m| m.id == me);
        if is_member || forms {
            compio::time::sleep(REPLACE_AFTER).await;
            continue;
        }
        if let Some(to) = sponsors.next() {
            let until = Instant::now() + JOIN_TIMEOUT;
            match node.peers.ask(to, &Ask::Join(me), until).await {
                Ok(Reply::Standing(standing)) => sponsors.note(&standing),
                Ok(_) => {}
                Err(e) => tracing::debug!(peer = to, error = %e, "not asked to join"),
            }
        }
        compio::time::sleep(JOIN_PAUSE).await;
    }
}

/// Whom a host asks to be admitted: the leader as last heard of, then members
/// and seeds in turn. The seeds are never dropped, since a replica that answers
/// before the group is formed knows of nobody.
struct Sponsors {
    me: ReplicaId,
    seeds: Vec<ReplicaId>,
    leader: Option<ReplicaId>,
    members: Vec<ReplicaId>,
    turn: usize,
}

impl Sponsors {
    fn new(me: ReplicaId, seeds: Vec<ReplicaId>) -> Self {
        Self { me, seeds, leader: None, members: Vec::new(), turn: 0 }
    }

    fn next(&mut self) -> Option<ReplicaId> {
        if let Some(leader) = self.leader.take() {
            return Some(leader);
        }
        let known = self.members.iter().chain(&self.seeds).filter(|id| **id != self.me);
        let known: Vec<ReplicaId> = known.copied().collect();
        let next = known.get(self.turn % known.len().max(1)).copied();
        self.turn += 1;
        next
    }

    fn note(&mut self, standing: &Standing) {
        self.leader = standing.leader.filter(|id| *id != self.me);
        if !standing.members.is_empty() {
            self.members.clone_from(&standing.members);
        }
    }
}

/// Takes a host in as a learner, where this replica leads.
pub(crate) async fn admit<P: Port>(node: &Node<P>, id: ReplicaId) -> Reply {
    let known = node.replica.status().members.iter().any(|m| m.id == id);
    if node.leads() && !known {
        let admitted = node.replica.add_learner(id).await;
        let outcome = if admitted.is_ok() { "learner" } else { "not-now" };
        let detail = admitted.err().map(|e| e.to_string()).unwrap_or_default();
        tracing::info!(decision = "admit", replica = id, outcome, detail);
    }
    Reply::Standing(node.standing())
}

/// What the leader remembers of the members' answers.
#[derive(Default)]
pub(crate) struct Watch {
    matched: BTreeMap<ReplicaId, (u64, Instant)>,
    /// Failure domains of the members that have told.
    domains: BTreeMap<ReplicaId, DomainName>,
}

/// A change of the membership that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    Promote(ReplicaId),
    Remove(ReplicaId),
}

impl Watch {
    /// Gives votes to learners, and removes voters that others replace.
    pub(crate) async fn maintain<P: Port>(&mut self, node: &Node<P>, now: Instant) {
        let status = node.replica.status();
        self.learn_domains(node, &status, now).await;
        let Some(due) = self.due(&status, own_id(node), now) else { return };
        let changed = match due {
            Due::Promote(id) => node.replica.promote(id, MemberKind::Voter).await,
            Due::Remove(id) => node.replica.remove(id).await,
        };
        match changed {
            Ok(()) => tracing::info!(decision = "members", change = ?due, outcome = "done"),
            Err(e) => {
                tracing::info!(decision = "members", change = ?due, outcome = "later", detail = %e)
            }
        }
    }

    /// Asks members where they stand, once each.
    async fn learn_domains<P: Port>(&mut self, node: &Node<P>, status: &Status, now: Instant) {
        let unknown = status.members.iter().filter(|m| !self.domains.contains_key(&m.id));
        let asked = unknown.map(|m| async {
            let own = m.id == own_id(node);
            let standing = match own {
                true => Ok(Reply::Standing(node.standing())),
                false => node.peers.ask(m.id, &Ask::Where, now + DOMAIN_TIMEOUT).await,
            };
            match standing {
                Ok(Reply::Standing(standing)) => Some((m.id, standing.domain)),
                _ => None,
            }
        });
        let told: Vec<_> = futures_util::future::join_all(asked).await;
        self.domains.extend(told.into_iter().flatten());
    }

    /// Voters in the domain of a member, so that no domain holds more of them
    /// than the group can lose.
    fn neighbours(&self, status: &Status, id: ReplicaId) -> usize {
        let domain = self.domains.get(&id);
        let voter = |m: &&MemberStatus| m.kind != MemberKind::Learner && m.id != id;
        let beside = status.members.iter().filter(voter);
        beside.filter(|m| domain.is_some() && self.domains.get(&m.id) == domain).count()
    }

    fn due(&mut self, status: &Status, me: ReplicaId, now: Instant) -> Option<Due> {
        for m in &status.members {
            let matched = m.matched.unwrap_or(0);
            let seen = self.matched.entry(m.id).or_insert((matched, now));
            if seen.0 != matched || matched >= status.committed {
                *seen = (matched, now);
            }
        }
        self.matched.retain(|id, _| status.members.iter().any(|m| m.id == *id));
        let silent = |id: ReplicaId| {
            id != me && self.matched.get(&id).is_some_and(|(_, at)| now >= *at + REPLACE_AFTER)
        };
        let voters: Vec<_> =
            status.members.iter().filter(|m| m.kind != MemberKind::Learner).collect();
        let ready: Vec<_> = status
            .members
            .iter()
            .filter(|m| m.kind == MemberKind::Learner && m.becomes.is_none() && !silent(m.id))
            .collect();
        let gone = voters.iter().find(|m| silent(m.id));
        let grows = voters.len() < MAX_VOTERS && (ready.len() >= 2 || voters.len() % 2 == 0);
        let best = ready.iter().min_by_key(|m| (self.neighbours(status, m.id), m.id));
        match (gone, best) {
            (Some(gone), _) if voters.len() > 3 => Some(Due::Remove(gone.id)),
            (Some(_), Some(learner)) => Some(Due::Promote(learner.id)),
            (None, Some(learner)) if grows => Some(Due::Promote(learner.id)),
            _ => None,
        }
    }
}
