//! Transfer of leadership, at a planned stop and from a witness that was
//! elected only because no other replica had the newest entries.

use crate::{
    core::Core, entry::Identity, membership::MemberRecord, shared::Shared,
    state_machine::StateMachine,
};
use cyclamenloft_types::ReplicaId;
use std::time::Instant;

impl<M: StateMachine> Core<M> {
    /// If this replica is leader, stops accepting proposals and gives up the
    /// lease. Returns whether it is leader.
    fn begin_transfer(&mut self) -> bool {
        let Some(leader_state) = &mut self.leader_state else { return false };
        leader_state.transferring = true;
        true
    }

    /// Returns the replica to transfer leadership to: a voter that may stay
    /// leader, has the whole log and responds. The choice stays the same for as
    /// long as that replica meets these conditions. Returns `None` if no
    /// transfer is in progress or no replica meets them.
    pub fn choose_successor(&mut self, now: Instant) -> Option<ReplicaId> {
        if !self.leader_state.as_ref()?.transferring {
            return None;
        }
        let membership = self.membership()?;
        let is_eligible = |identity: &Identity| {
            *identity != self.me
                && membership.may_lead(*identity)
                && self.responded_recently(*identity, now)
                && self.matched(*identity) == Some(self.log.last_index())
        };
        let eligible: Vec<_> = membership
            .voters()
            .map(MemberRecord::identity)
            .filter(is_eligible)
            .map(|i| i.id)
            .collect();
        let leader_state = self.leader_state.as_mut()?;
        leader_state.successor =
            leader_state.successor.filter(|id| eligible.contains(id)).or(eligible.first().copied());
        leader_state.successor
    }
}

impl<M: StateMachine> Shared<M> {
    /// If this replica is leader and not the only voter, transfers leadership
    /// and waits until another replica is leader, for at most two election
    /// timeouts. The peer tasks bring a successor up to date and ask it to take
    /// over.
    pub async fn transfer_leadership(&self) {
        let alone = self.core().is_only_voter();
        if alone || !self.update(Core::begin_transfer) {
            return;
        }
        self.log.notify();
        let deadline = Instant::now() + self.core().cfg.election_timeout * 2;
        loop {
            let seen = self.leadership.change_count();
            // This replica keeps running during the wait, since its vote may be
            // needed.
            if self.core().leader.is_some_and(|id| id != self.core().me.id) {
                return;
            }
            if compio::time::timeout_at(deadline, self.leadership.changed(seen)).await.is_err() {
                return;
            }
        }
    }
}
