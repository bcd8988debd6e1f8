//! A replica of one group.

use crate::{
    config::{Config, Member, MemberKind},
    core::{Core, Proposal, change_unknown_error},
    election,
    entry::{Blob, DiskIncarnation, Payload},
    membership::MemberRecord,
    membership_change::MembershipChange,
    peer::MAX_COMMAND_BYTES,
    shared::{Shared, shutting_down_error},
    state_machine::StateMachine,
    storage::Storage,
    transport::Transport,
    writer,
};
use compio::runtime::JoinHandle;
use cyclamenloft_types::{Error, ErrorKind, LogIndex, ReplicaId, Result, Term};
use futures_channel::oneshot;
use serde::Serialize;
use std::{future::Future, rc::Rc, time::Instant};

/// The current role of a replica in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes proposals and replicates the log.
    Leader,
    /// Follows a leader.
    Follower,
    /// Stands for election.
    Candidate,
}

/// The status of a replica, as shown to operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Random number that the replica drew when it started with an empty
    /// folder.
    pub incarnation: DiskIncarnation,
    /// The replica's role.
    pub role: Role,
    /// The current term.
    pub term: Term,
    /// The leader, if one is known.
    pub leader: Option<ReplicaId>,
    /// When this replica last heard from the leader; `None` before the first time and on the
    /// leader itself.
    #[serde(skip)]
    pub leader_heard_at: Option<Instant>,
    /// Last entry known to be committed.
    pub committed: LogIndex,
    /// Last entry applied to the state.
    pub applied: LogIndex,
    /// Last entry that is durable on this replica.
    pub durable: LogIndex,
    /// The group's members; empty before the group is formed.
    pub members: Vec<MemberStatus>,
}

/// The status of one member of a group, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberStatus {
    /// The member's id inside the group.
    pub id: ReplicaId,
    /// The incarnation whose votes and acknowledgements count; 0 if the leader
    /// hasn't heard from the member yet.
    pub incarnation: DiskIncarnation,
    /// The member's current role.
    pub kind: MemberKind,
    /// The role that a learner gets back once it has caught up; `None` if it
    /// stays a learner, and for other members.
    pub becomes: Option<MemberKind>,
    /// Last entry known to be durable on the member, or `None` if this replica
    /// isn't leader or hasn't heard from the member.
    pub matched: Option<LogIndex>,
    /// Whether the member has answered the leader within the last election timeout; false
    /// if this replica isn't leader.
    pub responsive: bool,
    /// When the newest message that the member has answered was sent; `None` if there is none
    /// or this replica isn't leader.
    #[serde(skip)]
    pub answered_at: Option<Instant>,
}

struct Inner<M: StateMachine> {
    shared: Rc<Shared<M>>,
    /// The tasks are cancelled when the last handle is dropped.
    _tasks: [JoinHandle<()>; 2],
}

/// A handle to a replica. Clones refer to the same replica, and all stay on one
/// thread. When the last handle is dropped, the replica ends as in a crash.
pub struct Replica<M: StateMachine>(Rc<Inner<M>>);

impl<M: StateMachine> Clone for Replica<M> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<M: StateMachine> Replica<M> {
    /// Opens the replica's folder, recovers its state and joins its group. If
    /// the replica is the only voter, it is leader when this returns.
    ///
    /// # Errors
    ///
    /// `BadSetting` for an invalid setting, `FolderInUse`, `Corrupt` for a
    /// damaged file, or `DiskFailed`.
    pub async fn open(cfg: Config, empty: M, transport: impl Transport) -> Result<Self> {
        cfg.check()?;
        let (folder, group) = (cfg.folder.clone(), cfg.group.clone());
        let (id, segment_bytes) = (cfg.id, cfg.segment_bytes);
        let (storage, recovered) = compio::runtime::spawn_blocking(move || {
            Storage::open(&folder, &group, id, segment_bytes)
        })
        .await
        .map_err(|_| Error::new(ErrorKind::Internal, "the thread that opens the log ended"))??;
        let core = Core::new(cfg, empty, recovered, Instant::now())?;
        let alone = core.can_lead_alone();
        let shared = Rc::new(Shared::new(core));
        let driver = election::run(shared.clone(), Rc::new(transport));
        let tasks = [
            compio::runtime::spawn(writer::run(shared.clone(), storage)),
            compio::runtime::spawn(driver),
        ];
        let replica = Self(Rc::new(Inner { shared, _tasks: tasks }));
        if alone {
            replica.wait_until_leads().await?;
        }
        Ok(replica)
    }

    async fn wait_until_leads(&self) -> Result<()> {
        let shared = &self.0.shared;
        loop {
            let seen = shared.applied.change_count();
            if let Some(error) = &shared.core().failed {
                return Err(error.clone());
            }
            if self.leads(Instant::now()) {
                return Ok(());
            }
            shared.applied.changed(seen).await;
        }
    }

    /// Handles a message that another replica's [`Transport`] delivered;
    /// returns the response.
    ///
    /// # Errors
    ///
    /// Fails if the message can't be decoded or isn't for this replica, or if
    /// the replica has failed or is shutting down.
    pub async fn handle(&self, message: &[u8]) -> Result<Vec<u8>> {
        self.0.shared.handle(message).await
    }

    /// Proposes a command and waits until it is committed and applied on this
    /// replica.
    ///
    /// # Errors
    ///
    /// `NotLeader` or `NoQuorum` if the command was definitely not accepted,
    /// `TooLarge` if it doesn't fit into a message, `ChangeUnknown` if it may
    /// have been accepted, `DiskFailed` if this replica's disk failed in the
    /// meantime.
    pub async fn propose(&self, command: M::Command) -> Result<M::Response> {
        let (index, rx) = self.0.shared.update(|core| core.propose(&command, Instant::now()))?;
        rx.await.unwrap_or_else(|_| Err(change_unknown_error(index)))
    }

    /// Waits until this replica holds a valid leader lease and has applied
    /// every entry that was committed when the call began. A read of the state
    /// after the call is linearizable.
    ///
    /// # Errors
    ///
    /// `NotLeader` or `NoQuorum` if the replica isn't leader or reaches no
    /// majority.
    pub async fn barrier(&self) -> Result<()> {
        let shared = &self.0.shared;
        loop {
            let (applied, responses) =
                (shared.applied.change_count(), shared.responses.change_count());
            let now = Instant::now();
            shared.core().check_leadership(now)?;
            if self.leads(now) {
                return Ok(());
            }
            let applied_wait = std::pin::pin!(shared.applied.changed(applied));
            let response_wait = std::pin::pin!(shared.responses.changed(responses));
            futures_util::future::select(applied_wait, response_wait).await;
        }
    }

    /// Reads the applied state of this replica, which may lag behind the
    /// leader's.
    pub fn state<R>(&self, read: impl FnOnce(&M) -> R) -> R {
        read(&self.0.shared.core().state_machine)
    }

    /// Reads the state with every entry of the leader's log applied, including
    /// those that are not durable yet. Nothing derived from it may leave the
    /// process before [`Replica::propose`] has returned for the entries that it
    /// depends on. Without early visibility, or if this replica isn't leader,
    /// this is the applied state.
    pub fn speculative_state<R>(&self, read: impl FnOnce(&M) -> R) -> R {
        let core = self.0.shared.core();
        read(core.speculative.as_ref().unwrap_or(&core.state_machine))
    }

    /// Whether this replica is leader at `now` with a valid lease, so that no
    /// other replica can have been elected, and has applied everything that
    /// earlier leaders acknowledged.
    #[must_use]
    pub fn leads(&self, now: Instant) -> bool {
        let core = self.0.shared.core();
        core.holds_lease(now) && core.has_committed_in_term()
    }

    /// Returns the replica's status.
    #[must_use]
    pub fn status(&self) -> Status {
        self.0.shared.core().status()
    }

    /// Waits until an entry after `seen` is applied on this replica or the
    /// role, term or leader changes; returns the last applied index.
    pub fn changed(&self, seen: LogIndex) -> impl Future<Output = LogIndex> + use<M> {
        let replica = self.clone();
        let leadership = self.0.shared.core().leadership();
        async move {
            let shared = &replica.0.shared;
            loop {
                let notified = shared.applied.change_count();
                {
                    let core = shared.core();
                    if core.applied > seen || core.leadership() != leadership {
                        return core.applied;
                    }
                }
                shared.applied.changed(notified).await;
            }
        }
    }

    /// Waits until this replica fails permanently, for example because of its
    /// disk; returns the error. The replica acknowledges nothing from then on,
    /// so the process should end.
    pub fn failed(&self) -> impl Future<Output = Error> + use<M> {
        let replica = self.clone();
        async move {
            let shared = &replica.0.shared;
            loop {
                let seen = shared.leadership.change_count();
                if let Some(error) = shared.core().failed.clone() {
                    return error;
                }
                shared.leadership.changed(seen).await;
            }
        }
    }

    /// Adds replica `id` as a learner, which receives the log but doesn't vote.
    ///
    /// # Errors
    ///
    /// `Conflict` if it is a member already, or an error of
    /// [`Replica::propose`].
    pub async fn add_learner(&self, id: ReplicaId) -> Result<()> {
        self.0.shared.change_membership(MembershipChange::AddLearner(id)).await
    }

    /// Gives the learner `id` a vote, as a voter or a witness.
    ///
    /// # Errors
    ///
    /// `Conflict` if it isn't a learner or hasn't caught up, `NoQuorum` if the
    /// changed group would have no majority, or an error of
    /// [`Replica::propose`].
    pub async fn promote(&self, id: ReplicaId, kind: MemberKind) -> Result<()> {
        if kind == MemberKind::Learner {
            return Err(Error::new(ErrorKind::BadRequest, "expected a voter or a witness"));
        }
        self.0.shared.change_membership(MembershipChange::Promote(id, kind)).await
    }

    /// Removes member `id`.
    ///
    /// # Errors
    ///
    /// `Conflict` if it isn't a member or is the leader, `NoQuorum` if the
    /// changed group would have no majority, or an error of
    /// [`Replica::propose`].
    pub async fn remove(&self, id: ReplicaId) -> Result<()> {
        self.0.shared.change_membership(MembershipChange::Remove(id)).await
    }

    /// Transfers leadership if this replica is leader, and shuts the replica
    /// down. The folder is released when this returns.
    pub async fn shut_down(&self) {
        let shared = &self.0.shared;
        shared.transfer_leadership().await;
        loop {
            let seen = shared.closed.change_count();
            if shared.update(Core::stop) {
                return;
            }
            shared.closed.changed(seen).await;
        }
    }
}

impl<M: StateMachine> Core<M> {
    fn leadership(&self) -> (Role, Term, Option<ReplicaId>) {
        (self.role, self.hard_state.term, self.leader)
    }

    /// Whether this replica is the only voter of its group, or will be once the
    /// group is formed.
    fn can_lead_alone(&self) -> bool {
        if self.membership().is_some() {
            return self.is_only_voter();
        }
        if !self.cfg.may_form {
            return false;
        }
        let mut voters = self.cfg.initial_members.iter().filter(|m| m.kind != MemberKind::Learner);
        let own = |m: &Member| m.id == self.me.id && m.kind == MemberKind::Voter;
        voters.next().is_some_and(own) && voters.next().is_none()
    }

    fn status(&self) -> Status {
        let members = self.membership().into_iter().flat_map(|m| m.members());
        let now = Instant::now();
        let leads = self.leader_state.is_some();
        let member = |m: &MemberRecord| MemberStatus {
            id: m.id,
            incarnation: m.incarnation,
            kind: m.kind,
            becomes: m.restore,
            matched: self.matched(m.identity()),
            responsive: leads && self.responded_recently(m.identity(), now),
            answered_at: self.answered_at(m.identity()),
        };
        Status {
            incarnation: self.me.incarnation,
            role: self.role,
            term: self.hard_state.term,
            leader: self.leader,
            leader_heard_at: self.leader_heard_at.filter(|_| self.leader_state.is_none()),
            committed: self.commit,
            applied: self.applied,
            durable: self.durable,
            members: members.map(member).collect(),
        }
    }

    /// Returns an error unless this replica is leader with a valid lease. For
    /// one election timeout after its election, a leader needs no lease, since
    /// it has yet to hear from its followers.
    pub fn check_leadership(&self, now: Instant) -> Result<()> {
        if let Some(error) = &self.failed {
            return Err(Error::new(ErrorKind::NotLeader, error.to_string()));
        }
        if self.stopping {
            return Err(Error::new(ErrorKind::NotLeader, shutting_down_error().detail));
        }
        let group = &self.cfg.group;
        let Some(leader_state) = self.leader_state.as_ref().filter(|l| !l.transferring) else {
            return Err(match self.leader.filter(|id| *id != self.me.id) {
                Some(id) => {
                    Error::new(ErrorKind::NotLeader, format!("replica {id} leads group {group}"))
                }
                None => {
                    Error::new(ErrorKind::NoQuorum, format!("group {group} has no known leader"))
                }
            });
        };
        let is_new = now < leader_state.since + self.cfg.election_timeout;
        if !is_new && !self.holds_lease(now) {
            let detail = format!("no majority of group {group} answers");
            return Err(Error::new(ErrorKind::NoQuorum, detail));
        }
        Ok(())
    }

    fn propose(
        &mut self,
        command: &M::Command,
        now: Instant,
    ) -> Result<(LogIndex, oneshot::Receiver<Result<M::Response>>)> {
        self.check_leadership(now)?;
        let bytes = postcard::to_stdvec(command)
            .map_err(|e| Error::new(ErrorKind::BadRequest, format!("encode command: {e}")))?;
        if bytes.len() > MAX_COMMAND_BYTES {
            let len = bytes.len();
            let detail = format!("command of {len} bytes: expected at most {MAX_COMMAND_BYTES}");
            return Err(Error::new(ErrorKind::TooLarge, detail));
        }
        let index = self.append_in_term(Payload::Command(Blob(bytes.into())));
        self.apply_speculatively(index);
        let (tx, rx) = oneshot::channel();
        self.proposals.insert(index, Proposal { term: self.hard_state.term, tx });
        Ok((index, rx))
    }

    /// Shuts the replica down. Returns whether the folder is released; if it
    /// isn't, this must be called again once the writer has ended.
    fn stop(&mut self) -> bool {
        let released = self.stopping && self.closed;
        self.stopping = true;
        self.leader_state = None;
        self.speculative = None;
        self.role = Role::Follower;
        self.leader = None;
        for (index, proposal) in std::mem::take(&mut self.proposals) {
            let _ = proposal.tx.send(Err(change_unknown_error(index)));
        }
        released
    }
}
