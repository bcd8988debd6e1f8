//! The first formation of a group.
//!
//! One initial member, the coordinator, asks every initial voter whether it
//! knows of a group. Only when all of them say no, each under the incarnation
//! it has now, does it write down the first membership with these
//! incarnations. A member whose disk is wiped later comes back under another
//! incarnation, which no membership names: it can't vote, nor pass for its
//! former self, until the leader has admitted it as a learner and it has caught
//! up. The other members need no step of their own: their votes count because
//! their incarnations are on record, and they learn the membership from the
//! first entry of the log.

use crate::{
    config::MemberKind,
    core::Core,
    entry::{Blob, Identity, Snapshot},
    membership::Membership,
    message::{self, Request, RequestBody, Response},
    shared::Shared,
    state_machine::StateMachine,
    storage::DiskWrite,
    transport::Transport,
};
use cyclamenloft_types::{ReplicaId, Result};
use futures_util::future;
use std::time::Instant;

impl<M: StateMachine> Core<M> {
    /// The other initial voters, if this replica is the one that asks them.
    fn formation_voters(&self) -> Option<Vec<ReplicaId>> {
        let members = &self.cfg.initial_members;
        let coordinator =
            members.iter().filter(|m| m.kind == MemberKind::Voter).map(|m| m.id).min();
        let others = members.iter().filter(|m| m.kind != MemberKind::Learner).map(|m| m.id);
        (self.cfg.may_form && coordinator == Some(self.me.id))
            .then(|| others.filter(|id| *id != self.me.id).collect())
    }

    /// Writes down the first membership; gives the number of the write.
    fn form_group(&mut self, others: &[Identity], now: Instant) -> u64 {
        let known = |id| {
            let mut all = others.iter().chain([&self.me]);
            all.find(|identity| identity.id == id).map(|identity| identity.incarnation)
        };
        let membership = Membership::initial(&self.cfg.initial_members, known);
        let data = Blob(self.state_machine.encode().into());
        let snapshot = Snapshot { index: 0, term: 0, membership, data };
        self.queue_write(DiskWrite::Snapshot(snapshot.clone()));
        self.memberships.reset(0, snapshot.membership.clone());
        self.snapshot = Some(snapshot);
        self.election_at = now;
        self.disk.last_queued
    }
}

/// Forms the group, or waits a while for others to do so.
pub(crate) async fn form<M: StateMachine>(shared: &Shared<M>, transport: &impl Transport) {
    let seen = shared.applied.count();
    let voters = shared.core().formation_voters();
    if let Some(voters) = voters
        && let Some(others) = probe_voters(shared, transport, &voters).await
    {
        let after_write = shared.update(|core| {
            // An entry of another leader may have come while the answers did.
            (core.membership().is_none() && core.log.last_index() == 0 && !core.is_stopped())
                .then(|| core.form_group(&others, Instant::now()))
        });
        if let Some(after_write) = after_write {
            let _ = shared.wait_durable(after_write).await;
            return;
        }
    }
    let heartbeat = shared.core().cfg.heartbeat;
    let _ = compio::time::timeout(heartbeat, shared.applied.wait(seen)).await;
}

/// The identities of all `voters`, if every one of them answers and knows of no
/// group.
async fn probe_voters<M: StateMachine>(
    shared: &Shared<M>,
    transport: &impl Transport,
    voters: &[ReplicaId],
) -> Option<Vec<Identity>> {
    let (req, timeout) = {
        let core = shared.core();
        let (group, from, term) = (core.cfg.group.clone(), core.me, core.hard_state.term);
        (Request { group, from, term, body: RequestBody::Probe }, core.cfg.election_timeout)
    };
    let request = message::encode(&req).ok()?;
    let calls = voters.iter().map(|id| transport.call(*id, request.clone()));
    let responses = compio::time::timeout(timeout, future::join_all(calls)).await.ok()?;
    responses
        .into_iter()
        .zip(voters)
        .map(|(response, id)| unformed_identity(response, *id))
        .collect()
}

fn unformed_identity(response: Result<Vec<u8>>, id: ReplicaId) -> Option<Identity> {
    let response = Response::decode(&response.ok()?).ok()?;
    (!response.formed && response.from.id == id).then_some(response.from)
}
