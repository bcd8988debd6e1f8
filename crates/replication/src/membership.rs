//! The members of a group and its majorities.
//!
//! A membership lists each member with its incarnation. Votes and
//! acknowledgements count only from the listed incarnation, so a replica whose
//! disk was wiped doesn't count towards any majority until the leader has
//! readmitted it.

use crate::{
    config::{Member, MemberKind},
    entry::{DiskIncarnation, Identity},
};
use cyclamenloft_types::{LogIndex, ReplicaId};
use serde::{Deserialize, Serialize};

/// Incarnation of a member that the leader hasn't heard from yet.
pub(crate) const UNKNOWN_INCARNATION: DiskIncarnation = 0;

/// One member, as stored in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberRecord {
    pub id: ReplicaId,
    pub kind: MemberKind,
    pub incarnation: DiskIncarnation,
    /// The role that a learner gets back once it has caught up; `None` if it
    /// stays a learner, and for other members.
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
    /// Returns the first membership of a group, with the incarnations that
    /// `known` returns.
    pub fn initial(
        members: &[Member],
        known: impl Fn(ReplicaId) -> Option<DiskIncarnation>,
    ) -> Self {
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

    /// Whether `identity` is a voter: the member votes and its incarnation is
    /// the listed one.
    pub fn is_voter(&self, identity: Identity) -> bool {
        self.get(identity.id).is_some_and(|m| m.votes() && m.incarnation == identity.incarnation)
    }

    /// Whether `identity` may stay leader; a witness transfers leadership at
    /// once.
    pub fn may_lead(&self, identity: Identity) -> bool {
        self.is_voter(identity)
            && self.get(identity.id).is_some_and(|m| m.kind == MemberKind::Voter)
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters that `counts` accepts form a majority.
    pub fn has_quorum(&self, counts: impl Fn(Identity) -> bool) -> bool {
        self.voters().filter(|m| counts(m.identity())).count() >= self.quorum()
    }

    /// Returns the greatest value that a majority of the voters has reached. A
    /// voter without a value has reached none.
    pub fn quorum_value<T: Ord>(&self, value: impl Fn(Identity) -> Option<T>) -> Option<T> {
        let mut values: Vec<T> = self.voters().filter_map(|m| value(m.identity())).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.quorum() - 1)
    }

    /// Returns the membership with `record`, which replaces the record with the
    /// same id if there is one.
    pub fn with_member(&self, record: MemberRecord) -> Self {
        let mut members = self.0.clone();
        match members.iter_mut().find(|m| m.id == record.id) {
            Some(member) => *member = record,
            None => members.push(record),
        }
        Self(members)
    }

    /// Returns the membership without member `id`.
    pub fn without_member(&self, id: ReplicaId) -> Self {
        Self(self.0.iter().filter(|m| m.id != id).copied().collect())
    }
}

/// The memberships in the log. A membership takes effect when it is appended,
/// committed or not.
#[derive(Debug, Default)]
pub(crate) struct MembershipHistory(Vec<(LogIndex, Membership)>);

impl MembershipHistory {
    /// Returns the newest membership and its index, or `None` before the group
    /// is formed.
    pub fn latest(&self) -> Option<&(LogIndex, Membership)> {
        self.0.last()
    }

    /// Returns the membership in effect at `index`.
    pub fn at(&self, index: LogIndex) -> Option<&Membership> {
        self.0.iter().rev().find(|(i, _)| *i <= index).map(|(_, m)| m)
    }

    pub fn push(&mut self, index: LogIndex, membership: Membership) {
        self.0.push((index, membership));
    }

    /// Removes the memberships at `index` and after.
    pub fn truncate(&mut self, index: LogIndex) {
        self.0.retain(|(i, _)| *i < index);
    }

    /// Replaces the memberships up to `index` by the one of a snapshot at
    /// `index`.
    pub fn reset(&mut self, index: LogIndex, membership: Membership) {
        self.0.retain(|(i, _)| *i > index);
        self.0.insert(0, (index, membership));
    }
}
