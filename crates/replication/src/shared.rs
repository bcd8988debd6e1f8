//! State that the tasks of one replica share, and the notifications of its
//! changes.

use crate::{core::Core, notify::Notify, replica::Role, state_machine::StateMachine};
use cyclamenloft_types::{Error, ErrorKind, LogIndex, ReplicaId, Result, Term};
use std::cell::{Ref, RefCell};

/// The parts of the state whose changes tasks wait for.
#[derive(PartialEq, Eq)]
struct Summary {
    last_queued: u64,
    last_done: u64,
    last_index: LogIndex,
    applied: LogIndex,
    role: Role,
    term: Term,
    leader: Option<ReplicaId>,
    take_over_requested: bool,
    stopped: bool,
}

impl Summary {
    fn of<M: StateMachine>(core: &Core<M>) -> Self {
        Self {
            last_queued: core.disk.last_queued,
            last_done: core.disk.last_done,
            last_index: core.log.last_index(),
            applied: core.applied,
            role: core.role,
            term: core.hard_state.term,
            leader: core.leader,
            take_over_requested: core.take_over_requested,
            stopped: core.is_stopped(),
        }
    }

    fn leadership(&self) -> (Role, Term, Option<ReplicaId>, bool, bool) {
        (self.role, self.term, self.leader, self.take_over_requested, self.stopped)
    }
}

/// The state of one replica and the notifications of its changes.
pub(crate) struct Shared<M: StateMachine> {
    core: RefCell<Core<M>>,
    /// Notified when writes are queued for the disk.
    pub writes: Notify,
    /// Notified when writes became durable or the replica stopped.
    pub durable: Notify,
    /// Notified when there is more to send to the followers.
    pub log: Notify,
    /// Notified when the role, term or leader changed or the replica stopped.
    pub leadership: Notify,
    /// Notified when entries were applied or the role, term or leader changed.
    pub applied: Notify,
    /// Notified when a follower responded or the role, term or leader changed.
    pub responses: Notify,
    /// Notified when the writer task has ended and released the folder.
    pub closed: Notify,
}

impl<M: StateMachine> Shared<M> {
    pub fn new(core: Core<M>) -> Self {
        Self {
            core: RefCell::new(core),
            writes: Notify::default(),
            durable: Notify::default(),
            log: Notify::default(),
            leadership: Notify::default(),
            applied: Notify::default(),
            responses: Notify::default(),
            closed: Notify::default(),
        }
    }

    /// Borrows the state for reading.
    pub fn core(&self) -> Ref<'_, Core<M>> {
        self.core.borrow()
    }

    /// Changes the state and wakes the tasks that wait for the change.
    pub fn update<R>(&self, change: impl FnOnce(&mut Core<M>) -> R) -> R {
        let mut core = self.core.borrow_mut();
        let before = Summary::of(&core);
        let result = change(&mut core);
        let after = Summary::of(&core);
        drop(core);
        if before != after {
            self.notify(&before, &after);
        }
        result
    }

    fn notify(&self, before: &Summary, after: &Summary) {
        let leadership = before.leadership() != after.leadership();
        if before.last_queued != after.last_queued || after.stopped {
            self.writes.notify();
        }
        if before.last_done != after.last_done || after.stopped {
            self.durable.notify();
        }
        if before.last_index != after.last_index || leadership {
            self.log.notify();
        }
        if before.applied != after.applied || leadership {
            self.applied.notify();
        }
        if leadership {
            self.leadership.notify();
            self.responses.notify();
        }
    }

    /// Waits until the write with this number is durable.
    ///
    /// # Errors
    ///
    /// The error that ended the replica, or `Draining` if it was shut down
    /// before the write.
    pub async fn wait_durable(&self, number: u64) -> Result<()> {
        loop {
            let seen = self.durable.change_count();
            {
                let core = self.core();
                if let Some(error) = &core.failed {
                    return Err(error.clone());
                }
                if core.disk.last_done >= number {
                    return Ok(());
                }
                if core.closed {
                    return Err(shutting_down_error());
                }
            }
            self.durable.changed(seen).await;
        }
    }
}

/// Returns the error for calls to a replica that is shutting down.
pub(crate) fn shutting_down_error() -> Error {
    Error::new(ErrorKind::Draining, "replica is shutting down")
}
