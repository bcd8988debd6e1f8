//! Membership changes, one member at a time.

use crate::{
    config::MemberKind,
    core::{Core, change_unknown_error},
    entry::Payload,
    membership::{MemberRecord, Membership, UNKNOWN_INCARNATION},
    shared::Shared,
    state_machine::StateMachine,
};
use cyclamenloft_types::{Error, ErrorKind, LogIndex, ReplicaId, Result, Term};
use std::time::Instant;

/// Number of entries that a learner may lack and still count as caught up. The
/// learner receives them before its vote is needed, since the entry that
/// promotes it comes after them.
const MAX_LEARNER_LAG_ENTRIES: u64 = 64;

/// A membership change that an operator requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MembershipChange {
    AddLearner(ReplicaId),
    Promote(ReplicaId, MemberKind),
    Remove(ReplicaId),
}

impl<M: StateMachine> Core<M> {
    /// Returns the membership if it may be changed now: this replica is leader
    /// and not transferring leadership, and both the last membership change and
    /// the first entry of the leader's term are committed.
    fn changeable_membership(&self) -> Option<&Membership> {
        let (index, membership) = self.memberships.latest()?;
        let settled = self.has_committed_in_term() && *index <= self.commit;
        (settled && self.may_lead() && !self.leader_state.as_ref()?.transferring)
            .then_some(membership)
    }

    /// If the membership may be changed now, changes the record of the first
    /// member that needs a change: a member that returned with another
    /// incarnation becomes a learner, and a learner that has caught up gets its
    /// former role back.
    pub fn reconcile_members(&mut self, now: Instant) {
        let Some(membership) = self.changeable_membership() else { return };
        let changed = membership.members().iter().find_map(|m| self.reconciled_record(m, now));
        let Some(record) = changed else { return };
        let membership = membership.with_member(record);
        tracing::info!(
            group = %self.cfg.group, member = record.id, kind = ?record.kind, "member changes"
        );
        self.append_in_term(Payload::Membership(membership));
    }

    /// Returns the record that is to replace `member`, or `None` if it needs no
    /// change.
    fn reconciled_record(&self, member: &MemberRecord, now: Instant) -> Option<MemberRecord> {
        if member.id == self.me.id {
            return None;
        }
        let incarnation = self.leader_state.as_ref()?.peers.get(&member.id)?.incarnation;
        if incarnation != member.incarnation && incarnation != UNKNOWN_INCARNATION {
            let restore = if member.votes() { Some(member.kind) } else { member.restore };
            return Some(MemberRecord {
                id: member.id,
                kind: MemberKind::Learner,
                incarnation,
                restore,
            });
        }
        let kind = member.restore?;
        self.has_caught_up(member, now).then_some(MemberRecord { kind, restore: None, ..*member })
    }

    fn has_caught_up(&self, member: &MemberRecord, now: Instant) -> bool {
        let identity = member.identity();
        let Some(matched) = self.matched(identity) else { return false };
        let first = self.leader_state.as_ref().map_or(0, |l| l.first_index);
        self.responded_recently(identity, now)
            && matched >= first
            && matched.saturating_add(MAX_LEARNER_LAG_ENTRIES) >= self.log.last_index()
    }

    /// Appends the entry for `change`; returns its index and term.
    fn begin_membership_change(
        &mut self,
        change: MembershipChange,
        now: Instant,
    ) -> Result<(LogIndex, Term)> {
        self.check_leadership(now)?;
        let busy = || {
            let detail = "another membership change or the leader's first entry is not committed";
            Error::new(ErrorKind::NoQuorum, detail)
        };
        // Validates the change first, so that an invalid change is reported as
        // invalid even while another one is in progress.
        let membership = self.membership().ok_or_else(busy)?;
        let changed = match change {
            MembershipChange::AddLearner(id) => Self::add_learner(membership, id)?,
            MembershipChange::Promote(id, kind) => self.promote(membership, id, kind, now)?,
            MembershipChange::Remove(id) => self.remove(membership, id)?,
        };
        self.changeable_membership().ok_or_else(busy)?;
        if !changed.has_quorum(|identity| self.responded_recently(identity, now)) {
            let detail = format!("{change:?}: no majority of the changed group answers");
            return Err(Error::new(ErrorKind::NoQuorum, detail));
        }
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.retain_peers(|id| changed.get(id).is_some());
        }
        Ok((self.append_in_term(Payload::Membership(changed)), self.hard_state.term))
    }

    fn add_learner(membership: &Membership, id: ReplicaId) -> Result<Membership> {
        if membership.get(id).is_some() {
            return Err(conflict_error(format!("replica {id} is a member already")));
        }
        let kind = MemberKind::Learner;
        let incarnation = UNKNOWN_INCARNATION;
        Ok(membership.with_member(MemberRecord { id, kind, incarnation, restore: None }))
    }

    fn promote(
        &self,
        membership: &Membership,
        id: ReplicaId,
        kind: MemberKind,
        now: Instant,
    ) -> Result<Membership> {
        let Some(member) = membership.get(id).filter(|m| !m.votes()) else {
            return Err(conflict_error(format!("replica {id} is not a learner")));
        };
        if !self.has_caught_up(member, now) {
            return Err(conflict_error(format!("learner {id} has not caught up")));
        }
        Ok(membership.with_member(MemberRecord { kind, restore: None, ..*member }))
    }

    fn remove(&self, membership: &Membership, id: ReplicaId) -> Result<Membership> {
        if membership.get(id).is_none() {
            return Err(conflict_error(format!("replica {id} is not a member")));
        }
        if id == self.me.id {
            return Err(conflict_error(format!("replica {id} leads; transfer leadership first")));
        }
        Ok(membership.without_member(id))
    }
}

fn conflict_error(detail: String) -> Error {
    Error::new(ErrorKind::Conflict, detail)
}

impl<M: StateMachine> Shared<M> {
    /// Starts a membership change and waits until it is committed.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<()> {
        let (index, term) =
            self.update(|core| core.begin_membership_change(change, Instant::now()))?;
        loop {
            let seen = self.applied.change_count();
            {
                let core = self.core();
                if let Some(error) = &core.failed {
                    return Err(error.clone());
                }
                let leads = core.leader_state.is_some() && core.hard_state.term == term;
                if leads && core.applied >= index {
                    return Ok(());
                }
                if !leads || core.stopping {
                    return Err(change_unknown_error(index));
                }
            }
            self.applied.changed(seen).await;
        }
    }
}
