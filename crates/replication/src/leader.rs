//! What a leader knows of its followers, and what follows from it: the commit
//! index and the leader lease.

use crate::{
    core::Core,
    entry::{Entry, Identity, Incarnation, Payload, Snapshot},
    membership::UNKNOWN_INCARNATION,
    peer::MAX_CONTENT_BYTES,
    replica::Role,
    state_machine::StateMachine,
};
use cyclamenloft_types::{LogIndex, ReplicaId};
use std::{collections::BTreeMap, time::Instant};

/// What the leader knows of one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    pub incarnation: Incarnation,
    /// Last entry known to be durable there.
    pub matched: LogIndex,
    /// Entry to send next.
    pub next: LogIndex,
    /// Whether the follower's log is being searched for the last common entry:
    /// one message at a time.
    pub probing: bool,
    /// Counts the times that sending began anew; answers to older messages
    /// move nothing but `matched`.
    pub epoch: u64,
    /// Messages with entries or pieces of the present epoch without an answer.
    pub in_flight: usize,
    /// When the oldest of these was sent or answered last.
    pub content_progress_at: Instant,
    /// How much a message may carry: less after messages went unanswered while
    /// heartbeats did not, so that a slow link still moves on.
    pub content_bytes: usize,
    /// The snapshot that is being sent, to its end even if a newer one is made.
    pub sending_snapshot: Option<Snapshot>,
    /// Offset of the snapshot's next piece.
    pub piece_offset: u64,
    pub heartbeat_at: Instant,
    /// Before this time no entries are sent.
    pub retry_at: Instant,
    /// Before this time the follower isn't asked to take over.
    pub take_over_at: Instant,
    /// When the newest answered message of this term was sent.
    pub acked_sent_at: Option<Instant>,
}

impl Progress {
    fn new(next: LogIndex, now: Instant) -> Self {
        Self {
            incarnation: UNKNOWN_INCARNATION,
            matched: 0,
            next,
            probing: true,
            epoch: 0,
            in_flight: 0,
            content_progress_at: now,
            content_bytes: MAX_CONTENT_BYTES,
            sending_snapshot: None,
            piece_offset: 0,
            heartbeat_at: now,
            retry_at: now,
            take_over_at: now,
            acked_sent_at: None,
        }
    }

    /// Begins to send anew from `next`, one message at a time.
    pub fn restart(&mut self, next: LogIndex) {
        self.next = next.max(self.matched + 1);
        self.probing = true;
        self.epoch += 1;
        self.in_flight = 0;
    }
}

/// What a replica knows while it leads.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub since: Instant,
    /// First entry of the leader's own term; once it is committed, so is all
    /// before it.
    pub first_index: LogIndex,
    pub peers: BTreeMap<ReplicaId, Progress>,
    /// No proposal is taken any more, and the lease is given up.
    pub handing_over: bool,
    /// The replica that was asked to take over; two would split the vote.
    pub successor: Option<ReplicaId>,
}

impl LeaderState {
    /// The progress of `peer`, made where there is none.
    pub fn progress_or_insert(
        &mut self,
        peer: ReplicaId,
        last: LogIndex,
        now: Instant,
    ) -> &mut Progress {
        self.peers.entry(peer).or_insert_with(|| Progress::new(last + 1, now))
    }

    /// First index of a snapshot that is being sent; the follower will need
    /// the entries after it.
    pub fn oldest_sending_snapshot(&self) -> Option<LogIndex> {
        self.peers.values().filter_map(|p| p.sending_snapshot.as_ref()).map(|s| s.index).min()
    }

    fn progress_of(&self, identity: Identity) -> Option<&Progress> {
        self.peers.get(&identity.id).filter(|p| p.incarnation == identity.incarnation)
    }
}

impl<M: StateMachine> Core<M> {
    /// Takes office in the present term.
    pub fn become_leader(&mut self, now: Instant) {
        tracing::info!(
            group = %self.cfg.group, replica = self.me.id, term = self.hard_state.term, "leads"
        );
        self.role = Role::Leader;
        self.leader = Some(self.me.id);
        self.leader_state = Some(LeaderState {
            since: now,
            first_index: self.log.last_index() + 1,
            peers: BTreeMap::new(),
            handing_over: !self.may_lead(),
            successor: None,
        });
        if self.cfg.early_visibility {
            self.init_speculative_state();
        }
        if self.may_lead() {
            let payload = match self.membership() {
                Some(membership) if self.log.last_index() == 0 => {
                    Payload::Membership(membership.clone())
                }
                _ => Payload::Noop,
            };
            self.append_in_term(payload);
        }
    }

    /// Whether this replica may lead for longer than it takes to hand over.
    pub fn may_lead(&self) -> bool {
        self.membership().is_some_and(|m| m.may_lead(self.me))
    }

    /// Appends an entry of the present term; gives its index.
    pub fn append_in_term(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last_index() + 1;
        let term = self.hard_state.term;
        self.append(Entry { index, term, payload });
        index
    }

    /// Whether an entry of the leader's own term is committed, so that its
    /// state has all that earlier leaders acknowledged.
    pub fn has_committed_in_term(&self) -> bool {
        self.leader_state.as_ref().is_some_and(|l| self.applied >= l.first_index)
    }

    /// When the newest message was sent that a majority has answered.
    fn quorum_acked_sent_at(&self, now: Instant) -> Option<Instant> {
        let leader_state = self.leader_state.as_ref()?;
        self.membership()?.quorum_value(|identity| {
            if identity == self.me {
                return Some(now);
            }
            leader_state.progress_of(identity)?.acked_sent_at
        })
    }

    /// Whether no other replica can have been elected at `now`.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.leader_state.as_ref().is_some_and(|l| !l.handing_over)
            && self.quorum_acked_sent_at(now).is_some_and(|at| now < at + self.cfg.lease())
    }

    /// Steps down where no majority has answered for long.
    pub fn check_quorum(&mut self, now: Instant) {
        let Some(leader_state) = &self.leader_state else { return };
        let newest =
            self.quorum_acked_sent_at(now).unwrap_or(leader_state.since).max(leader_state.since);
        if now >= newest + self.cfg.election_timeout * 2 {
            self.become_follower(self.hard_state.term, None, now);
        }
    }

    /// Commits what a majority has made durable. Only an entry of the leader's
    /// own term is committed by counting; those before it follow.
    pub fn advance_commit(&mut self) {
        let Some(leader_state) = &self.leader_state else { return };
        let Some(membership) = self.membership() else { return };
        let durable = membership.quorum_value(|identity| {
            if identity == self.me {
                return Some(self.durable);
            }
            leader_state.progress_of(identity).map(|p| p.matched)
        });
        let Some(index) = durable.filter(|i| *i > self.commit) else { return };
        if self.log.term(index) == Some(self.hard_state.term) {
            self.commit = index;
            self.apply_committed();
        }
    }

    /// Voters that answered within the last election timeout, this one
    /// included.
    pub fn responded_recently(&self, identity: Identity, now: Instant) -> bool {
        let within = |at: Instant| now < at + self.cfg.election_timeout;
        identity == self.me
            || self
                .leader_state
                .as_ref()
                .and_then(|l| l.progress_of(identity))
                .and_then(|p| p.acked_sent_at)
                .is_some_and(within)
    }

    /// Last entry known to be durable on the follower `identity`.
    pub fn matched(&self, identity: Identity) -> Option<LogIndex> {
        self.leader_state.as_ref()?.progress_of(identity).map(|p| p.matched)
    }
}
