//! A replica of one group.

use crate::{
    config::{Config, Member, MemberKind},
    core::{Core, Proposal, change_unknown_error},
    election,
    entry::{Blob, Incarnation, Payload},
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

/// What a replica is in its group at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Decides and answers.
    Leader,
    /// Follows a leader.
    Follower,
    /// Seeks election.
    Candidate,
}

/// What an operator is shown of a replica.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Number that the replica drew when it found its folder empty.
    pub incarnation: Incarnation,
    /// The replica's role.
    pub role: Role,
    /// The current term.
    pub term: Term,
    /// The leader, if one is known.
    pub leader: Option<ReplicaId>,
    /// Last entry known to be committed.
    pub committed: LogIndex,
    /// Last entry applied to the state.
    pub applied: LogIndex,
    /// Last entry that is durable on this replica.
    pub durable: LogIndex,
    /// The group's members; none before the group is formed.
    pub members: Vec<MemberStatus>,
}

/// What an operator is shown of one member of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberStatus {
    /// The member's id inside the group.
    pub id: ReplicaId,
    /// The incarnation whose votes and acknowledgements count; 0 before the
    /// member was heard of.
    pub incarnation: Incarnation,
    /// What the member does now.
    pub kind: MemberKind,
    /// What the member becomes once it has caught up.
    pub becomes: Option<MemberKind>,
    /// Last entry known to be durable there; only a leader knows.
    pub matched: Option<LogIndex>,
}

struct Inner<M: StateMachine> {
    shared: Rc<Shared<M>>,
    /// Dropped, and thereby ended, with the last handle.
    _tasks: [JoinHandle<()>; 2],
}

/// A handle on a replica; clones share it. It stays on one thread. The replica
/// ends, as in a crash, when its last handle is dropped.
pub struct Replica<M: StateMachine>(Rc<Inner<M>>);

impl<M: StateMachine> Clone for Replica<M> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<M: StateMachine> Replica<M> {
    /// Opens the replica's folder, recovers its state and joins its group. A
    /// replica that decides alone leads when this returns.
    ///
    /// # Errors
    ///
    /// A bad setting, a folder in use, or a damaged file.
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
            let seen = shared.applied.count();
            if let Some(error) = &shared.core().failed {
                return Err(error.clone());
            }
            if self.leads(Instant::now()) {
                return Ok(());
            }
            shared.applied.wait(seen).await;
        }
    }

    /// Answers a message that another replica's [`Transport`] carried here.
    ///
    /// # Errors
    ///
    /// A message that can't be decoded or isn't for this replica, or a replica
    /// that has failed or shuts down.
    pub async fn handle(&self, message: &[u8]) -> Result<Vec<u8>> {
        self.0.shared.handle(message).await
    }

    /// Proposes a change and waits until it is committed and applied here.
    ///
    /// # Errors
    ///
    /// `NotLeader` or `NoQuorum` where the change was surely not accepted,
    /// `TooLarge` where it doesn't fit into a message, `ChangeUnknown` where it
    /// may have been accepted, `DiskFailed` where this replica's disk failed
    /// in between.
    pub async fn propose(&self, command: M::Command) -> Result<M::Response> {
        let (index, rx) = self.0.shared.update(|core| core.propose(&command, Instant::now()))?;
        rx.await.unwrap_or_else(|_| Err(change_unknown_error(index)))
    }

    /// Waits until this replica surely leads and has applied every entry that
    /// was committed when the call began.
    ///
    /// # Errors
    ///
    /// `NotLeader` or `NoQuorum`.
    pub async fn barrier(&self) -> Result<()> {
        let shared = &self.0.shared;
        loop {
            let (applied, responses) = (shared.applied.count(), shared.responses.count());
            let now = Instant::now();
            shared.core().check_leadership(now)?;
            if self.leads(now) {
                return Ok(());
            }
            let wait = std::pin::pin!(shared.applied.wait(applied));
            let response = std::pin::pin!(shared.responses.wait(responses));
            futures_util::future::select(wait, response).await;
        }
    }

    /// Looks at the applied state of this replica, which may lag the leader's.
    pub fn state<R>(&self, read: impl FnOnce(&M) -> R) -> R {
        read(&self.0.shared.core().state_machine)
    }

    /// Looks at the state with every entry of the leader's log applied, also
    /// those that are not durable yet. Nothing that follows from it may leave
    /// the process before [`Replica::propose`] has answered for the entries it
    /// follows from. Without early visibility, or where this replica doesn't
    /// lead, it is the applied state.
    pub fn speculative_state<R>(&self, read: impl FnOnce(&M) -> R) -> R {
        let core = self.0.shared.core();
        read(core.speculative.as_ref().unwrap_or(&core.state_machine))
    }

    /// Whether this replica surely leads at `now`: its leader lease has not run
    /// out, so no other replica can have been elected, and its state has all
    /// that earlier leaders acknowledged.
    #[must_use]
    pub fn leads(&self, now: Instant) -> bool {
        let core = self.0.shared.core();
        core.holds_lease(now) && core.has_committed_in_term()
    }

    /// The replica's standing.
    #[must_use]
    pub fn status(&self) -> Status {
        self.0.shared.core().status()
    }

    /// Waits until an entry past `seen` is applied here or the role, term or
    /// leader changes.
    pub fn changed(&self, seen: LogIndex) -> impl Future<Output = LogIndex> + use<M> {
        let replica = self.clone();
        let leadership = self.0.shared.core().leadership();
        async move {
            let shared = &replica.0.shared;
            loop {
                let notified = shared.applied.count();
                {
                    let core = shared.core();
                    if core.applied > seen || core.leadership() != leadership {
                        return core.applied;
                    }
                }
                shared.applied.wait(notified).await;
            }
        }
    }

    /// Waits until this replica fails for good, as when its disk does. It
    /// acknowledges nothing from then on, so the process should end.
    pub fn failed(&self) -> impl Future<Output = Error> + use<M> {
        let replica = self.clone();
        async move {
            let shared = &replica.0.shared;
            loop {
                let seen = shared.leadership.count();
                if let Some(error) = shared.core().failed.clone() {
                    return error;
                }
                shared.leadership.wait(seen).await;
            }
        }
    }

    /// Adds replica `id` as a learner, which gets the log but doesn't vote.
    ///
    /// # Errors
    ///
    /// `Conflict` where it is a member already; those of a proposal.
    pub async fn add_learner(&self, id: ReplicaId) -> Result<()> {
        self.0.shared.change_membership(MembershipChange::AddLearner(id)).await
    }

    /// Gives the learner `id` a vote, as a voter or a witness.
    ///
    /// # Errors
    ///
    /// `Conflict` where it is no learner or has not caught up, `NoQuorum` where
    /// the group would lose its majority; those of a proposal.
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
    /// `Conflict` where it is no member or leads, `NoQuorum` where the group
    /// would lose its majority; those of a proposal.
    pub async fn remove(&self, id: ReplicaId) -> Result<()> {
        self.0.shared.change_membership(MembershipChange::Remove(id)).await
    }

    /// Hands leadership over, where this replica holds it, and stops taking
    /// part. The folder is free when this returns.
    pub async fn shut_down(&self) {
        let shared = &self.0.shared;
        shared.hand_over().await;
        loop {
            let seen = shared.closed.count();
            if shared.update(Core::stop) {
                return;
            }
            shared.closed.wait(seen).await;
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
        let member = |m: &MemberRecord| MemberStatus {
            id: m.id,
            incarnation: m.incarnation,
            kind: m.kind,
            becomes: m.restore,
            matched: self.matched(m.identity()),
        };
        Status {
            incarnation: self.me.incarnation,
            role: self.role,
            term: self.hard_state.term,
            leader: self.leader,
            committed: self.commit,
            applied: self.applied,
            durable: self.durable,
            members: members.map(member).collect(),
        }
    }

    /// Refuses what only a leader with a majority may do. A leader new in
    /// office has a moment to hear from its followers.
    pub fn check_leadership(&self, now: Instant) -> Result<()> {
        if let Some(error) = &self.failed {
            return Err(Error::new(ErrorKind::NotLeader, error.to_string()));
        }
        if self.stopping {
            return Err(Error::new(ErrorKind::NotLeader, shutting_down_error().detail));
        }
        let group = &self.cfg.group;
        let Some(leader_state) = self.leader_state.as_ref().filter(|l| !l.handing_over) else {
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

    /// Stops taking part; true once the folder is released.
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
