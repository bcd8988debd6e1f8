//! The writer task: makes all queued writes durable with one sync.

use crate::{
    core::Core,
    shared::Shared,
    state_machine::StateMachine,
    storage::{DiskWrite, Record, Storage},
};
use cyclamenloft_types::{Error, ErrorKind, LogIndex, Result, Term};
use std::rc::Rc;

/// Writes that are made durable together.
struct Batch {
    writes: Vec<DiskWrite>,
    /// Number of the last write.
    number: u64,
    /// Index and term of the last entry among the writes, if they contain any.
    last: Option<(LogIndex, Term)>,
}

impl<M: StateMachine> Core<M> {
    fn take_batch(&mut self) -> Option<Batch> {
        if self.disk.pending.is_empty() || self.failed.is_some() {
            return None;
        }
        let writes = std::mem::take(&mut self.disk.pending);
        let last = writes.iter().rev().find_map(|w| match w {
            DiskWrite::Record(Record::Entry(entry)) => Some((entry.index, entry.term)),
            DiskWrite::Record(Record::Reset { index, term }) => Some((*index, *term)),
            _ => None,
        });
        Some(Batch { writes, number: self.disk.last_queued, last })
    }

    fn batch_done(&mut self, number: u64, last: Option<(LogIndex, Term)>) {
        self.disk.last_done = number;
        // If the entry was replaced in the meantime, its write doesn't make the
        // present entry at that index durable.
        if let Some((index, term)) = last
            && self.log.term(index) == Some(term)
        {
            self.durable = self.durable.max(index);
        }
        self.advance_commit();
    }
}

async fn write(mut storage: Storage, writes: Vec<DiskWrite>) -> (Option<Storage>, Result<()>) {
    let task = compio::runtime::spawn_blocking(move || {
        let result = storage.write(writes);
        (storage, result)
    });
    match task.await {
        Ok((storage, result)) => (Some(storage), result),
        Err(_) => {
            let error = Error::new(ErrorKind::Internal, "the thread that writes the log ended");
            (None, Err(error))
        }
    }
}

/// Runs the writer task until the replica stops or a write fails, and then
/// releases the folder.
pub(crate) async fn run<M: StateMachine>(shared: Rc<Shared<M>>, storage: Storage) {
    let mut open = Some(storage);
    while let Some(storage) = open.take() {
        let seen = shared.writes.change_count();
        let Some(batch) = shared.update(Core::take_batch) else {
            if shared.core().is_stopped() {
                break;
            }
            shared.writes.changed(seen).await;
            open = Some(storage);
            continue;
        };
        let (storage, result) = write(storage, batch.writes).await;
        open = storage;
        shared.update(|core| match result {
            Ok(()) => core.batch_done(batch.number, batch.last),
            Err(error) => core.fail(error),
        });
    }
    shared.update(|core| core.closed = true);
    shared.durable.notify();
    shared.closed.notify();
}
