//! Formation of a group: the bootstrap that creates its first membership.
//!
//! One initial member, the coordinator, asks every initial voter whether it
//! knows a membership of the group. Only if none of them does, the coordinator
//! stores the first membership with the incarnations that they reported. A
//! member whose disk is wiped later returns with another incarnation, which no
//! membership lists: it can't vote, nor be taken for the replica that held the
//! old data, until the leader has admitted it as a learner and it has caught
//! up. The other members take no step of their own: their votes count because
//! their incarnations are listed, and they learn the membership from the first
//! entry of the log.

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
    /// Returns the other initial voters if this replica is the coordinator.
    fn formation_voters(&self) -> Option<Vec<ReplicaId>> {
        let members = &self.cfg.initial_members;
        let coordinator =
            members.iter().filter(|m| m.kind == MemberKind::Voter).map(|m| m.id).min();
        let others = members.iter().filter(|m| m.kind != MemberKind::Learner).map(|m| m.id);
        (self.cfg.may_form && coordinator == Some(self.me.id))
            .then(|| others.filter(|id| *id != self.me.id).collect())
    }

    /// Queues a write of the first membership; returns the number of the write.
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

/// Forms the group, or waits one heartbeat interval for another replica to do
/// it.
pub(crate) async fn form<M: StateMachine>(shared: &Shared<M>, transport: &impl Transport) {
    let seen = shared.applied.change_count();
    let voters = shared.core().formation_voters();
    if let Some(voters) = voters
        && let Some(others) = probe_voters(shared, transport, &voters).await
    {
        let after_write = shared.update(|core| {
            // An entry of a leader may have arrived during the probe.
            (core.membership().is_none() && core.log.last_index() == 0 && !core.is_stopped())
                .then(|| core.form_group(&others, Instant::now()))
        });
        if let Some(after_write) = after_write {
            let _ = shared.wait_durable(after_write).await;
            return;
        }
    }
    let heartbeat = shared.core().cfg.heartbeat;
    let _ = compio::time::timeout(heartbeat, shared.applied.changed(seen)).await;
}

/// Returns the identities of all `voters` if every one of them responds and
/// knows no membership.
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
