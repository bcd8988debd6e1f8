//! Who belongs to a group, and what makes a majority of it.
//!
//! A membership names each member with its incarnation. Votes and
//! acknowledgements count only from the incarnation named, so a replica whose
//! disk was wiped takes no part in any majority until the leader has admitted
//! it again.

use crate::{
    config::{Member, MemberKind},
    entry::{Identity, Incarnation},
};
use cyclamenloft_types::{LogIndex, ReplicaId};
use serde::{Deserialize, Serialize};

/// Incarnation of a member that has not been heard of.
pub(crate) const UNKNOWN_INCARNATION: Incarnation = 0;

/// One member as the log has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberRecord {
    pub id: ReplicaId,
    pub kind: MemberKind,
    pub incarnation: Incarnation,
    /// What a learner becomes once it has caught up.
    pub restore: Option<MemberKind>,
}

impl MemberRecord {
    pub fn identity(&self) -> Identity {
        Identity { id: self.id, incarnation: self.incarnation }
    }

    pub fn votes(&self) -> bool {
        self.kind != MemberKind::Learner
    }
}

/// The members of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Membership(Vec<MemberRecord>);

impl Membership {
    /// The first membership of a group, with the incarnations that `known`
    /// gives.
    pub fn initial(members: &[Member], known: impl Fn(ReplicaId) -> Option<Incarnation>) -> Self {
        let record = |m: &Member| MemberRecord {
            id: m.id,
            kind: m.kind,
            incarnation: known(m.id).unwrap_or(UNKNOWN_INCARNATION),
            restore: None,
        };
        Self(members.iter().map(record).collect())
    }

    pub fn members(&self) -> &[MemberRecord] {
        &self.0
    }

    pub fn get(&self, id: ReplicaId) -> Option<&MemberRecord> {
        self.0.iter().find(|m| m.id == id)
    }

    pub fn voters(&self) -> impl Iterator<Item = &MemberRecord> {
        self.0.iter().filter(|m| m.votes())
    }

    /// Whether `identity` votes: its id and its incarnation are on record.
    pub fn is_voter(&self, identity: Identity) -> bool {
        self.get(identity.id).is_some_and(|m| m.votes() && m.incarnation == identity.incarnation)
    }

    /// Whether `identity` may lead for longer than it takes to hand over.
    pub fn may_lead(&self, identity: Identity) -> bool {
        self.is_voter(identity)
            && self.get(identity.id).is_some_and(|m| m.kind == MemberKind::Voter)
    }

    /// Voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters that `counts` accepts are a majority.
    pub fn has_quorum(&self, counts: impl Fn(Identity) -> bool) -> bool {
        self.voters().filter(|m| counts(m.identity())).count() >= self.quorum()
    }

    /// The greatest value that a majority of the voters has reached; a voter
    /// without a value has reached none.
    pub fn quorum_value<T: Ord>(&self, value: impl Fn(Identity) -> Option<T>) -> Option<T> {
        let mut values: Vec<T> = self.voters().filter_map(|m| value(m.identity())).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.quorum() - 1)
    }

    /// The membership with `record` in place of, or besides, its namesake.
    pub fn with_member(&self, record: MemberRecord) -> Self {
        let mut members = self.0.clone();
        match members.iter_mut().find(|m| m.id == record.id) {
            Some(member) => *member = record,
            None => members.push(record),
        }
        Self(members)
    }

    /// The membership without member `id`.
    pub fn without_member(&self, id: ReplicaId) -> Self {
        Self(self.0.iter().filter(|m| m.id != id).copied().collect())
    }
}

/// The memberships that the log names. A membership counts from the moment it
/// is in the log, committed or not.
#[derive(Debug, Default)]
pub(crate) struct MembershipHistory(Vec<(LogIndex, Membership)>);

impl MembershipHistory {
    /// The newest membership and its index; nothing before the group formed.
    pub fn latest(&self) -> Option<&(LogIndex, Membership)> {
        self.0.last()
    }

    /// The membership that holds at `index`.
    pub fn at(&self, index: LogIndex) -> Option<&Membership> {
        self.0.iter().rev().find(|(i, _)| *i <= index).map(|(_, m)| m)
    }

    pub fn push(&mut self, index: LogIndex, membership: Membership) {
        self.0.push((index, membership));
    }

    /// Forgets the memberships at `index` and after.
    pub fn truncate(&mut self, index: LogIndex) {
        self.0.retain(|(i, _)| *i < index);
    }

    /// Begins again with the membership of a snapshot at `index`.
    pub fn reset(&mut self, index: LogIndex, membership: Membership) {
        self.0.retain(|(i, _)| *i > index);
        self.0.insert(0, (index, membership));
    }
}
