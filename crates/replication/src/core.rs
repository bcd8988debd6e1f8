//! The state of one replica, and the transitions between its roles.

use crate::{
    config::Config,
    entry::{Entry, HardState, Identity, Payload, Snapshot},
    install::IncomingSnapshot,
    leader::LeaderState,
    log::Log,
    membership::{Membership, MembershipHistory},
    replica::Role,
    state_machine::StateMachine,
    storage::{DiskWrite, Record, Recovered},
};
use cyclamenloft_types::{Error, ErrorKind, LogIndex, ReplicaId, Result, Term};
use futures_channel::oneshot;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A proposal that waits for its entry to be committed.
pub(crate) struct Proposal<A> {
    pub term: Term,
    pub tx: oneshot::Sender<Result<A>>,
}

/// Queue of writes for the disk. Writes are numbered and completed in order.
#[derive(Default)]
pub(crate) struct DiskQueue {
    pub pending: Vec<DiskWrite>,
    pub last_queued: u64,
    pub last_done: u64,
    /// Number of the last write that changed the term or vote.
    pub last_hard_state: u64,
}

/// The state of one replica.
pub(crate) struct Core<M: StateMachine> {
    pub cfg: Config,
    pub me: Identity,
    pub hard_state: HardState,
    pub role: Role,
    pub leader: Option<ReplicaId>,
    pub log: Log,
    pub memberships: MembershipHistory,
    /// The newest snapshot, sent to followers that need entries which the log
    /// no longer holds.
    pub snapshot: Option<Snapshot>,
    pub incoming_snapshot: Option<IncomingSnapshot>,
    pub state_machine: M,
    /// The state with all entries of the log applied, on a leader with early
    /// visibility.
    pub speculative: Option<M>,
    pub commit: LogIndex,
    pub applied: LogIndex,
    /// Size of the entries that were applied after the last snapshot, in bytes.
    pub unsnapshotted_bytes: usize,
    /// Index of the last entry that is durable on this replica.
    pub durable: LogIndex,
    pub disk: DiskQueue,
    pub leader_state: Option<LeaderState>,
    pub proposals: BTreeMap<LogIndex, Proposal<M::Response>>,
    /// Time at which the proposals that were open when this replica stepped
    /// down as leader fail, or `None` if there is no such time limit.
    pub proposals_expire_at: Option<Instant>,
    pub leader_heard_at: Option<Instant>,
    pub election_at: Instant,
    /// Whether the leader has asked this replica to start an election at once.
    pub take_over_requested: bool,
    pub failed: Option<Error>,
    pub stopping: bool,
    /// Whether the writer task has ended and released the folder.
    pub closed: bool,
    rng: SmallRng,
}

impl<M: StateMachine> Core<M> {
    /// Builds the state of a replica from the contents of its folder.
    pub fn new(cfg: Config, empty: M, recovered: Recovered, now: Instant) -> Result<Self> {
        let me = Identity { id: cfg.id, incarnation: recovered.incarnation };
        let mut memberships = MembershipHistory::default();
        let mut state_machine = empty;
        let mut base = (0, 0);
        if let Some(snapshot) = &recovered.snapshot {
            state_machine = M::decode(&snapshot.data.0)?;
            memberships.reset(snapshot.index, snapshot.membership.clone());
            base = (snapshot.index, snapshot.term);
        }
        for entry in &recovered.entries {
            if let Payload::Membership(membership) = &entry.payload {
                memberships.push(entry.index, membership.clone());
            }
        }
        let log = Log::new(base.0, base.1, recovered.entries);
        let durable = log.last_index();
        let mut core = Self {
            me,
            hard_state: recovered.hard_state,
            role: Role::Follower,
            leader: None,
            log,
            memberships,
            snapshot: recovered.snapshot,
            incoming_snapshot: None,
            state_machine,
            speculative: None,
            commit: base.0,
            applied: base.0,
            unsnapshotted_bytes: 0,
            durable,
            disk: DiskQueue::default(),
            leader_state: None,
            proposals: BTreeMap::new(),
            proposals_expire_at: None,
            // Before the restart, this replica may have acknowledged a message
            // of a leader, and that leader relies on this replica not to vote
            // for one election timeout.
            leader_heard_at: (recovered.hard_state.term > 0).then_some(now),
            election_at: now,
            take_over_requested: false,
            failed: None,
            stopping: false,
            closed: false,
            rng: SmallRng::from_os_rng(),
            cfg,
        };
        if core.is_only_voter() {
            core.leader_heard_at = None;
        } else {
            core.reset_election_timer(now);
        }
        Ok(core)
    }

    pub fn membership(&self) -> Option<&Membership> {
        self.memberships.latest().map(|(_, m)| m)
    }

    /// Whether this replica is the only voter of its group.
    pub fn is_only_voter(&self) -> bool {
        self.membership().is_some_and(|m| m.is_voter(self.me) && m.voters().count() == 1)
    }

    /// Whether the replica has failed or is shutting down.
    pub fn is_stopped(&self) -> bool {
        self.stopping || self.failed.is_some()
    }

    /// Schedules the next election at a random time, so that replicas seldom
    /// start one simultaneously.
    pub fn reset_election_timer(&mut self, now: Instant) {
        let timeout = self.cfg.election_timeout;
        let jitter = self.rng.random_range(0.0..1.0);
        self.election_at = now + timeout + timeout.mul_f64(jitter) + self.witness_delay();
    }

    /// Schedules the next pre-vote after a failed one. The retry may come soon:
    /// a pre-vote has no effect on the other replicas, and those that refused
    /// may have heard from the former leader only slightly later than this one.
    pub fn schedule_pre_vote_retry(&mut self, now: Instant) {
        if !self.has_live_leader(now) {
            let jitter = self.rng.random_range(1.0..2.0);
            self.election_at = now + self.cfg.heartbeat.mul_f64(jitter) + self.witness_delay();
        }
    }

    /// Schedules the next election after one without a winner. There is no
    /// leader to wait for, so a random delay of up to half an election timeout
    /// is enough to keep the candidates apart.
    pub fn schedule_election_retry(&mut self, now: Instant) {
        if !self.has_live_leader(now) {
            let jitter = self.rng.random_range(0.0..0.5);
            self.election_at =
                now + self.cfg.election_timeout.mul_f64(jitter) + self.witness_delay();
        }
    }

    /// Returns the extra delay of a witness, which leaves elections to the
    /// voters that may stay leader.
    fn witness_delay(&self) -> Duration {
        match self.membership() {
            Some(m) if !m.may_lead(self.me) => self.cfg.election_timeout * 2,
            _ => Duration::ZERO,
        }
    }

    /// Queues a write for the disk.
    pub fn queue_write(&mut self, write: DiskWrite) {
        self.disk.last_queued += 1;
        if matches!(write, DiskWrite::Record(Record::Hard(_))) {
            self.disk.last_hard_state = self.disk.last_queued;
        }
        self.disk.pending.push(write);
    }

    /// Changes term and vote; the change is durable once the write queued here
    /// is done.
    pub fn set_hard_state(&mut self, hard_state: HardState) {
        if self.hard_state != hard_state {
            self.hard_state = hard_state;
            self.queue_write(DiskWrite::Record(Record::Hard(hard_state)));
        }
    }

    /// Appends an entry to the log in memory and queues it for the disk.
    pub fn append(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push(entry.index, membership.clone());
        }
        self.queue_write(DiskWrite::Record(Record::Entry(entry.clone())));
        self.log.push(entry);
    }

    /// Removes the entries at `index` and after, which another leader's log
    /// replaces.
    pub fn truncate(&mut self, index: LogIndex) -> Result<()> {
        if index <= self.commit {
            return Err(Error::new(
                ErrorKind::Internal,
                format!("entry {index} is committed and may not be replaced"),
            ));
        }
        self.log.truncate(index);
        self.memberships.truncate(index);
        self.durable = self.durable.min(index - 1);
        Ok(())
    }

    /// Becomes a follower in `term`, which must not be less than the current
    /// term. `leader` is `None` if the leader isn't known.
    pub fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>, now: Instant) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
            self.incoming_snapshot = None;
        }
        if self.leader_state.take().is_some() {
            self.speculative = None;
            self.proposals_expire_at = Some(now + self.cfg.election_timeout * 2);
            self.reset_election_timer(now);
            tracing::info!(group = %self.cfg.group, replica = self.me.id, term, "stepped down");
        }
        self.role = Role::Follower;
        self.leader = leader;
        if leader.is_some() {
            self.leader_heard_at = Some(now);
            self.reset_election_timer(now);
        }
    }

    /// Whether this replica refuses its vote because it leads with a valid
    /// lease or heard from a leader within the last election timeout.
    pub fn has_live_leader(&self, now: Instant) -> bool {
        if self.leader_state.is_some() {
            return self.holds_lease(now);
        }
        self.leader_heard_at.is_some_and(|at| now < at + self.cfg.election_timeout)
    }

    /// Ends the replica with `error`; it acknowledges nothing from then on.
    pub fn fail(&mut self, error: Error) {
        if self.failed.is_some() {
            return;
        }
        tracing::error!(group = %self.cfg.group, replica = self.me.id, %error, "replica failed");
        self.leader_state = None;
        self.speculative = None;
        self.role = Role::Follower;
        self.leader = None;
        for (_, proposal) in std::mem::take(&mut self.proposals) {
            let _ = proposal.tx.send(Err(error.clone()));
        }
        self.failed = Some(error);
    }

    /// Fails the proposals that were open when this replica stepped down as
    /// leader, once their time limit is over. Their outcome is unknown.
    pub fn expire_proposals(&mut self, now: Instant) {
        if self.leader_state.is_some() || self.proposals_expire_at.is_none_or(|at| now < at) {
            return;
        }
        self.proposals_expire_at = None;
        for (index, proposal) in std::mem::take(&mut self.proposals) {
            let _ = proposal.tx.send(Err(change_unknown_error(index)));
        }
    }
}

/// Returns the error for a proposal whose entry may or may not be committed
/// later.
pub(crate) fn change_unknown_error(index: LogIndex) -> Error {
    Error::new(
        ErrorKind::ChangeUnknown,
        format!("entry {index} was appended, but leadership ended before it was committed"),
    )
}
