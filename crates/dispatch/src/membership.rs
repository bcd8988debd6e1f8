//! Decides which learners become voters and which voters are removed. No network; the
//! present time is an argument.

use cyclamenloft_replication::{MemberKind, MemberStatus, Status};
use cyclamenloft_types::{DomainName, ReplicaId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Maximum number of voters: five tolerate the loss of two hosts, or of a failure
/// domain that holds two.
const MAX_VOTERS: usize = 5;
/// Smallest number of voters that a removal may leave.
const MIN_VOTERS: usize = 3;
/// How long a voter without a replacement may be unresponsive before it is removed. It is far
/// longer than a restart, a suspension or a network partition of a few seconds.
const REMOVAL_DELAY: Duration = Duration::from_secs(15);
/// How long a new leader has been sending to a member before the member may count as unresponsive:
/// two heartbeats. The member was silent towards this replica before, but may answer it now.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// A membership change that should be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Removes a member.
    Remove(ReplicaId),
}

/// The leader's policy on the group's members.
#[derive(Debug)]
pub struct MembershipPolicy {
    replacement_delay: Duration,
    /// Number of voters that a removal must leave, so that a majority of them is more than the
    /// disks that may be lost at once.
    min_voters: usize,
    /// Match index of each member, and the last time at which the member was responsive and
    /// the index had changed or had reached the commit index.
    progress: BTreeMap<ReplicaId, (u64, Instant)>,
    /// The leader that this replica followed last, and when it was last heard.
    former_leader: Option<(ReplicaId, Instant)>,
    /// When this replica was first seen to lead.
    leads_since: Option<Instant>,
    /// Failure domains of the members that have reported theirs.
    domains: BTreeMap<ReplicaId, DomainName>,
}

impl MembershipPolicy {
    /// Creates a policy by which a learner that has caught up replaces a voter that has been
    /// unresponsive for `replacement_delay`. The group must keep its state if
    /// `tolerated_losses` disks are lost at once.
    #[must_use]
    pub fn new(replacement_delay: Duration, tolerated_losses: usize) -> Self {
        let min_voters = MIN_VOTERS.max(tolerated_losses * 2).min(MAX_VOTERS);
        Self {
            replacement_delay,
            min_voters,
            progress: BTreeMap::new(),
            former_leader: None,
            leads_since: None,
            domains: BTreeMap::new(),
        }
    }

    /// Forgets the members' progress, which only a leader observes.
    pub fn reset(&mut self) {
        self.progress.clear();
        self.leads_since = None;
    }

    /// Records the status of this replica while it follows. If it is elected next, the silence of
    /// its leader counts from the last message of that leader.
    pub fn observe_as_follower(&mut self, status: &Status) {
        self.reset();
        let Some(heard_at) = status.leader_heard_at else { return };
        let id = status.leader.or(self.former_leader.map(|(id, _)| id));
        self.former_leader = id.map(|id| (id, heard_at));
    }

    /// Returns whether the failure domain of a member is known.
    #[must_use]
    pub fn knows_domain(&self, id: ReplicaId) -> bool {
        self.domains.contains_key(&id)
    }

    /// Records the failure domain of a member.
    pub fn record_domain(&mut self, id: ReplicaId, domain: DomainName) {
        self.domains.insert(id, domain);
    }

    /// Returns the change that should be made now, if any. `me` is the leader.
    pub fn next_change(
        &mut self,
        status: &Status,
        me: ReplicaId,
        now: Instant,
    ) -> Option<MembershipChange> {
        self.observe(status, now);
        let observed_enough = self.leads_since.is_some_and(|at| now >= at + FIRST_ANSWER_TIMEOUT);
        let silent_for = |id: ReplicaId, delay: Duration| {
            let is_silent = |(_, at): &(u64, Instant)| now >= *at + delay;
            id != me && observed_enough && self.progress.get(&id).is_some_and(is_silent)
        };
        let is_voter = |m: &&MemberStatus| m.kind != MemberKind::Learner;
        let voters: Vec<_> = status.members.iter().filter(is_voter).collect();
        let is_ready = |m: &&MemberStatus| {
            m.kind == MemberKind::Learner
                && m.becomes.is_none()
                && m.responsive
                && !silent_for(m.id, self.replacement_delay)
        };
        let ready: Vec<_> = status.members.iter().filter(is_ready).collect();
        let replaceable = voters.iter().find(|m| silent_for(m.id, self.replacement_delay));
        let removable = voters.iter().find(|m| silent_for(m.id, REMOVAL_DELAY));
        // An even number of voters tolerates no more losses than one voter less.
        let is_even = voters.len() % 2 == 0;
        let can_grow = voters.len() < MAX_VOTERS && (ready.len() >= 2 || is_even);
        let can_shrink = voters.len() > self.min_voters;
        let remaining = voters.iter().filter(|m| replaceable.is_none_or(|r| r.id != m.id));
        let remaining: Vec<_> = remaining.map(|m| m.id).collect();
        let candidate = ready.iter().min_by_key(|m| (self.in_same_domain(&remaining, m.id), m.id));
        match (replaceable, candidate) {
            (Some(voter), learner) if can_shrink && (is_even || learner.is_some()) => {
                Some(MembershipChange::Remove(voter.id))
            }
            (Some(_), Some(learner)) => Some(MembershipChange::Promote(learner.id)),
            (None, Some(learner)) if can_grow => Some(MembershipChange::Promote(learner.id)),
            _ => removable.filter(|_| can_shrink).map(|voter| MembershipChange::Remove(voter.id)),
        }
    }

    fn observe(&mut self, status: &Status, now: Instant) {
        self.leads_since.get_or_insert(now);
        let former_leader = self.former_leader.take();
        for m in &status.members {
            let matched = m.matched.unwrap_or(0);
            let heard_at = former_leader.filter(|(id, _)| *id == m.id).map_or(now, |(_, at)| at);
            let last_progress = self.progress.entry(m.id).or_insert((matched, heard_at));
            let is_current = m.responsive && matched >= status.committed;
            if last_progress.0 != matched || is_current {
                let answered_at = m.answered_at.unwrap_or(now);
                *last_progress = (matched, answered_at.max(last_progress.1));
            }
        }
        self.progress.retain(|id, _| status.members.iter().any(|m| m.id == *id));
    }

    /// Returns how many of `voters` are in the failure domain of a learner. Membership changes
    /// keep this number low, so that no domain holds more voters than the group can lose.
    fn in_same_domain(&self, voters: &[ReplicaId], learner: ReplicaId) -> usize {
        let Some(domain) = self.domains.get(&learner) else { return 0 };
        voters.iter().filter(|id| self.domains.get(id) == Some(domain)).count()
    }
}
