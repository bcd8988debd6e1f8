//! Who belongs to the group: replicas that come at another address join as
//! learners, get a vote once they have caught up, and take the place of those
//! that are gone.

use crate::{
    ask::{Ask, Reply},
    node::{Node, own_id},
    port::WorkerPort,
    transport::replica_id,
};
use cyclamenloft_replication::{MemberKind, Status};
use cyclamenloft_types::ReplicaId;
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
/// Silence after which a voter may be replaced by a learner that is there; far
/// longer than a restart, a freeze or a cut of some seconds.
const REPLACE_AFTER: Duration = Duration::from_secs(15);

/// Asks the seeds and the members to be admitted, until this host is a member.
pub(crate) async fn join<P: WorkerPort>(node: Rc<Node<P>>) {
    let me = own_id(&node);
    let mut asked: Vec<ReplicaId> = node.settings.seeds.iter().map(|ip| replica_id(*ip)).collect();
    let mut next = 0;
    loop {
        let is_member = node.replica.status().members.iter().any(|m| m.id == me);
        let forms = node.settings.first_start && asked.contains(&me);
        if is_member || forms {
            compio::time::sleep(REPLACE_AFTER).await;
            continue;
        }
        asked.retain(|id| *id != me);
        if let Some(to) = asked.get(next % asked.len().max(1)).copied() {
            next += 1;
            let until = Instant::now() + JOIN_TIMEOUT;
            match node.peers.ask(to, &Ask::Join(me), until).await {
                Ok(Reply::Standing(standing)) => {
                    // The leader first, then everybody that the group knows.
                    asked = standing.leader.into_iter().chain(standing.members).collect();
                    next = 0;
                }
                Ok(_) => {}
                Err(e) => tracing::debug!(peer = to, error = %e, "not asked to join"),
            }
        }
        compio::time::sleep(JOIN_PAUSE).await;
    }
}

/// Takes a host in as a learner, where this replica leads.
pub(crate) async fn admit<P: WorkerPort>(node: &Node<P>, id: ReplicaId) -> Reply {
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
}

/// A change of the membership that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    Promote(ReplicaId),
    Remove(ReplicaId),
}

impl Watch {
    /// Gives votes to learners, and removes voters that others replace.
    pub(crate) async fn maintain<P: WorkerPort>(&mut self, node: &Node<P>, now: Instant) {
        let status = node.replica.status();
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
        match (gone, ready.first()) {
            (Some(gone), _) if voters.len() > 3 => Some(Due::Remove(gone.id)),
            (Some(_), Some(learner)) => Some(Due::Promote(learner.id)),
            (None, Some(learner)) if grows => Some(Due::Promote(learner.id)),
            _ => None,
        }
    }
}
