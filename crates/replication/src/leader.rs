//! The leader's view of its followers, and the commit index and leader lease
//! that follow from it.

use crate::{
    core::Core,
    entry::{DiskIncarnation, Entry, Identity, Payload, Snapshot},
    membership::UNKNOWN_INCARNATION,
    peer::MAX_CONTENT_BYTES,
    replica::Role,
    state_machine::StateMachine,
};
use cyclamenloft_types::{LogIndex, ReplicaId};
use std::{collections::BTreeMap, time::Instant};

/// The leader's view of one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    pub incarnation: DiskIncarnation,
    /// Last entry known to be durable on the follower.
    pub matched: LogIndex,
    /// Index of the next entry to send.
    pub next: LogIndex,
    /// Whether the leader searches for the last entry that both logs have in
    /// common, with one message at a time.
    pub probing: bool,
    /// Number of times that sending was restarted. From a response to a message
    /// of an earlier epoch, only the acknowledgement is used.
    pub epoch: u64,
    /// Number of unanswered messages of the current epoch with entries or
    /// snapshot pieces.
    pub in_flight: usize,
    /// Time at which a message with entries or snapshot pieces was last
    /// answered or, if later, at which the first of the unanswered ones was
    /// sent.
    pub content_progress_at: Instant,
    /// Maximum size of the entries or the snapshot piece in a message, in
    /// bytes. It is reduced when such messages go unanswered while heartbeats
    /// are answered, so that a slow link still makes progress.
    pub content_bytes: usize,
    /// The snapshot that is being sent; it is sent completely even if a newer
    /// one is taken.
    pub sending_snapshot: Option<Snapshot>,
    /// Offset of the snapshot's next piece.
    pub piece_offset: u64,
    pub heartbeat_at: Instant,
    /// Time before which no entries or snapshot pieces are sent, after a
    /// message of the current epoch failed.
    pub retry_at: Instant,
    /// Time before which the follower isn't asked to take over again.
    pub take_over_at: Instant,
    /// Time at which the newest answered message of this term was sent, or
    /// `None` if none was answered.
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

    /// Restarts sending from `next`, one message at a time.
    pub fn restart(&mut self, next: LogIndex) {
        self.next = next.max(self.matched + 1);
        self.probing = true;
        self.epoch += 1;
        self.in_flight = 0;
    }
}

/// The state that a replica has only while it is leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub since: Instant,
    /// First entry of the leader's own term. Once it is committed, so are all
    /// entries before it.
    pub first_index: LogIndex,
    pub peers: BTreeMap<ReplicaId, Progress>,
    /// Whether leadership is being transferred: proposals are refused, and the
    /// lease is given up.
    pub transferring: bool,
    /// The replica that was asked to take over. Asking two would split the
    /// vote.
    pub successor: Option<ReplicaId>,
}

impl LeaderState {
    /// Returns the progress of `peer`; creates it if there is none.
    pub fn progress_or_insert(
        &mut self,
        peer: ReplicaId,
        last: LogIndex,
        now: Instant,
    ) -> &mut Progress {
        self.peers.entry(peer).or_insert_with(|| Progress::new(last + 1, now))
    }

    /// Returns the lowest index of the snapshots that are being sent. The
    /// follower that receives this snapshot will then need the entries after
    /// its index.
    pub fn oldest_sending_snapshot(&self) -> Option<LogIndex> {
        self.peers.values().filter_map(|p| p.sending_snapshot.as_ref()).map(|s| s.index).min()
    }

    fn progress_of(&self, identity: Identity) -> Option<&Progress> {
        self.peers.get(&identity.id).filter(|p| p.incarnation == identity.incarnation)
    }
}

impl<M: StateMachine> Core<M> {
    /// Becomes leader in the current term.
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
            transferring: !self.may_lead(),
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

    /// Whether this replica may stay leader; a witness transfers leadership at
    /// once.
    pub fn may_lead(&self) -> bool {
        self.membership().is_some_and(|m| m.may_lead(self.me))
    }

    /// Appends an entry of the current term; returns its index.
    pub fn append_in_term(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last_index() + 1;
        let term = self.hard_state.term;
        self.append(Entry { index, term, payload });
        index
    }

    /// Whether an entry of the leader's own term is committed and applied, so
    /// that this replica's state contains everything that earlier leaders
    /// acknowledged.
    pub fn has_committed_in_term(&self) -> bool {
        self.leader_state.as_ref().is_some_and(|l| self.applied >= l.first_index)
    }

    /// Returns the latest time such that a majority of the voters has answered
    /// a message that was sent at this time or later. This replica itself
    /// counts with `now`.
    fn quorum_acked_sent_at(&self, now: Instant) -> Option<Instant> {
        let leader_state = self.leader_state.as_ref()?;
        self.membership()?.quorum_value(|identity| {
            if identity == self.me {
                return Some(now);
            }
            leader_state.progress_of(identity)?.acked_sent_at
        })
    }

    /// Whether this replica is leader with a valid lease at `now`, so that no
    /// other replica can have been elected.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.leader_state.as_ref().is_some_and(|l| !l.transferring)
            && self.quorum_acked_sent_at(now).is_some_and(|at| now < at + self.cfg.lease())
    }

    /// Steps down if no majority has answered a message that was sent within
    /// the last two election timeouts.
    pub fn check_quorum(&mut self, now: Instant) {
        let Some(leader_state) = &self.leader_state else { return };
        let newest =
            self.quorum_acked_sent_at(now).unwrap_or(leader_state.since).max(leader_state.since);
        if now >= newest + self.cfg.election_timeout * 2 {
            self.become_follower(self.hard_state.term, None, now);
        }
    }

    /// Commits the entries that a majority has made durable. Only an entry of
    /// the leader's own term is committed by counting; the entries before it
    /// are committed with it.
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

    /// Whether `identity` has answered a message that was sent within the last
    /// election timeout. True for this replica itself.
    pub fn responded_recently(&self, identity: Identity, now: Instant) -> bool {
        let within = |at: Instant| now < at + self.cfg.election_timeout;
        identity == self.me || self.answered_at(identity).is_some_and(within)
    }

    /// Returns when the newest message that the follower `identity` has answered was sent.
    pub fn answered_at(&self, identity: Identity) -> Option<Instant> {
        self.leader_state.as_ref()?.progress_of(identity)?.acked_sent_at
    }

    /// Returns the last entry known to be durable on the follower `identity`.
    pub fn matched(&self, identity: Identity) -> Option<LogIndex> {
        self.leader_state.as_ref()?.progress_of(identity).map(|p| p.matched)
    }
}
