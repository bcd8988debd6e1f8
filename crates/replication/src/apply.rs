//! Applies committed entries, answers proposals and takes snapshots.

use crate::{
    core::Core,
    entry::{Blob, Entry, Payload, Snapshot},
    state_machine::StateMachine,
    storage::DiskWrite,
};
use cyclamenloft_types::{Error, ErrorKind, LogIndex, Result};

/// The number of entries that stay in memory after a snapshot is the snapshot
/// interval divided by this. They let a follower that is slightly behind catch
/// up without a snapshot.
const RETAINED_FRACTION_DIVISOR: u64 = 4;
/// The same for the size of the entries that stay in memory.
const RETAINED_BYTES_DIVISOR: usize = 4;

/// Upper bound, in snapshot intervals, of the entries that stay in memory for a
/// follower that is receiving an older snapshot over a slow link.
const MAX_RETAINED_SNAPSHOT_INTERVALS: u64 = 8;

/// Decodes the command of a log entry.
fn decode_command<M: StateMachine>(entry: &Entry, blob: &Blob) -> Result<M::Command> {
    postcard::from_bytes(&blob.0).map_err(|e| {
        Error::new(ErrorKind::Corrupt, format!("command of entry {}: {e}", entry.index))
    })
}

impl<M: StateMachine> Core<M> {
    /// Applies every committed entry that hasn't been applied yet.
    pub fn apply_committed(&mut self) {
        while self.applied < self.commit {
            if let Err(error) = self.apply_next() {
                self.fail(error);
                return;
            }
        }
        self.snapshot_if_due();
    }

    fn apply_next(&mut self) -> Result<()> {
        let index = self.applied + 1;
        let Some(entry) = self.log.get(index) else {
            let detail = format!("entry {index} is committed but not in the log");
            return Err(Error::new(ErrorKind::Internal, detail));
        };
        let term = entry.term;
        let response = match &entry.payload {
            Payload::Command(blob) => {
                let command = decode_command::<M>(entry, blob)?;
                Some(self.state_machine.apply(index, &command))
            }
            Payload::Noop | Payload::Membership(_) => None,
        };
        let bytes = entry.approx_bytes();
        self.applied = index;
        self.unsnapshotted_bytes += bytes;
        let Some(proposal) = self.proposals.remove(&index) else { return Ok(()) };
        let result = match response {
            Some(response) if proposal.term == term => Ok(response),
            _ => Err(overwritten_error(index)),
        };
        let _ = proposal.tx.send(result);
        Ok(())
    }

    fn snapshot_if_due(&mut self) {
        let last = self.snapshot.as_ref().map_or(0, |s| s.index);
        let is_due = self.applied >= last + self.cfg.snapshot_entries
            || self.unsnapshotted_bytes >= self.cfg.snapshot_bytes;
        if !is_due {
            return;
        }
        let term = self.log.term(self.applied);
        let membership = self.memberships.at(self.applied).cloned();
        let (Some(term), Some(membership)) = (term, membership) else { return };
        let data = Blob(self.state_machine.encode().into());
        let snapshot = Snapshot { index: self.applied, term, membership, data };
        self.queue_write(DiskWrite::Snapshot(snapshot.clone()));
        self.memberships.reset(snapshot.index, snapshot.membership.clone());
        self.snapshot = Some(snapshot);
        self.unsnapshotted_bytes = 0;
        let retained = self.cfg.snapshot_entries / RETAINED_FRACTION_DIVISOR;
        let max_retained =
            self.cfg.snapshot_entries.saturating_mul(MAX_RETAINED_SNAPSHOT_INTERVALS);
        let sending_index = self.leader_state.as_ref().and_then(|l| l.oldest_sending_snapshot());
        let first = self.first_retained(retained, self.cfg.snapshot_bytes / RETAINED_BYTES_DIVISOR);
        let first = first.min(sending_index.unwrap_or(LogIndex::MAX));
        // Entries for a follower that receives an older snapshot are bounded, too.
        let first = first.max(self.first_retained(max_retained, self.cfg.snapshot_bytes));
        self.log.compact(first.max(self.log.base()));
    }

    /// Returns the index before the last applied entries of which at most `count`, of at most `bytes`
    /// in all, stay in memory.
    fn first_retained(&self, count: u64, bytes: usize) -> LogIndex {
        let least = self.applied.saturating_sub(count).max(self.log.base());
        let (mut first, mut size) = (self.applied, 0);
        while first > least {
            size += self.log.get(first).map_or(0, Entry::approx_bytes);
            if size > bytes {
                break;
            }
            first -= 1;
        }
        first
    }

    /// Builds the speculative state from the applied state and the rest of the
    /// log.
    pub fn init_speculative_state(&mut self) {
        match M::decode(&self.state_machine.encode()) {
            Ok(state_machine) => self.speculative = Some(state_machine),
            Err(error) => return self.fail(error),
        }
        for index in self.applied + 1..=self.log.last_index() {
            self.apply_speculatively(index);
        }
    }

    /// Applies the entry at `index` to the speculative state.
    pub fn apply_speculatively(&mut self, index: LogIndex) {
        let Some(state_machine) = &mut self.speculative else { return };
        let Some(entry) = self.log.get(index) else { return };
        let Payload::Command(blob) = &entry.payload else { return };
        match decode_command::<M>(entry, blob) {
            Ok(command) => drop(state_machine.apply(index, &command)),
            Err(error) => self.fail(error),
        }
    }
}

/// Returns the error for a proposal whose entry was replaced by an entry of
/// another leader.
pub(crate) fn overwritten_error(index: LogIndex) -> Error {
    Error::new(
        ErrorKind::NotLeader,
        format!("another leader's entry took the place of entry {index}"),
    )
}
