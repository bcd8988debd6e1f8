//! A replica of one group. This first version serves a group of one member
//! from memory.

use crate::{config::Config, machine::StateMachine, transport::Transport};
use cyclamenloft_types::{Error, ErrorKind, LogIndex, ReplicaId, Result, Term};
use serde::Serialize;
use std::{cell::RefCell, future::Future, rc::Rc, task::Waker, time::Instant};

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
}

struct Inner<M> {
    id: ReplicaId,
    machine: M,
    applied: LogIndex,
    waiting: Vec<Waker>,
}

/// A handle on a replica; clones share it. It stays on one thread.
pub struct Replica<M: StateMachine>(Rc<RefCell<Inner<M>>>);

impl<M: StateMachine> Clone for Replica<M> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<M: StateMachine> Replica<M> {
    /// Opens the replica's folder, recovers its state and joins its group.
    ///
    /// # Errors
    ///
    /// A bad setting, a folder in use, or a damaged file.
    pub async fn open(cfg: Config, empty: M, _transport: impl Transport) -> Result<Self> {
        cfg.check()?;
        std::fs::create_dir_all(&cfg.folder).map_err(|e| {
            Error::new(ErrorKind::DiskFailed, format!("{}: {e}", cfg.folder.display()))
        })?;
        let inner = Inner { id: cfg.id, machine: empty, applied: 0, waiting: Vec::new() };
        Ok(Self(Rc::new(RefCell::new(inner))))
    }

    /// Answers a message that another replica's [`Transport`] carried here.
    ///
    /// # Errors
    ///
    /// A message that can't be decoded.
    pub async fn handle(&self, _message: &[u8]) -> Result<Vec<u8>> {
        Ok(Vec::new())
    }

    /// Proposes a change and waits until it is committed and applied here.
    ///
    /// # Errors
    ///
    /// `NotLeader` or `NoQuorum` where the change was surely not accepted,
    /// `ChangeUnknown` where it may have been.
    pub async fn propose(&self, command: M::Command) -> Result<M::Answer> {
        let mut inner = self.0.borrow_mut();
        inner.applied += 1;
        let index = inner.applied;
        let answer = inner.machine.apply(index, &command);
        inner.waiting.drain(..).for_each(Waker::wake);
        Ok(answer)
    }

    /// Waits until this replica surely leads and has applied every entry that
    /// was committed when the call began.
    ///
    /// # Errors
    ///
    /// `NotLeader` or `NoQuorum`.
    pub async fn barrier(&self) -> Result<()> {
        Ok(())
    }

    /// Looks at the applied state of this replica, which may lag the leader's.
    pub fn state<R>(&self, look: impl FnOnce(&M) -> R) -> R {
        look(&self.0.borrow().machine)
    }

    /// Whether this replica surely leads at `now`: its leader lease has not run
    /// out, so no other replica can have been elected.
    #[must_use]
    pub fn leads(&self, _now: Instant) -> bool {
        true
    }

    /// The replica's standing.
    #[must_use]
    pub fn status(&self) -> Status {
        let inner = self.0.borrow();
        let applied = inner.applied;
        Status { role: Role::Leader, term: 1, leader: Some(inner.id), committed: applied, applied }
    }

    /// Waits until an entry past `seen` is applied here or the role changes.
    pub fn changed(&self, seen: LogIndex) -> impl Future<Output = LogIndex> + use<M> {
        let replica = self.clone();
        std::future::poll_fn(move |cx| {
            let mut inner = replica.0.borrow_mut();
            if inner.applied > seen {
                return std::task::Poll::Ready(inner.applied);
            }
            inner.waiting.push(cx.waker().clone());
            std::task::Poll::Pending
        })
    }

    /// Hands leadership over, where this replica holds it, and stops taking part.
    pub async fn shut_down(&self) {}
}
