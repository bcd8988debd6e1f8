//! Stable storage of one replica: a folder with the identity, the segments of
//! the log, a sync point that records how far the log was synced, and a
//! snapshot.
//!
//! All operations block: the writer task runs [`Storage::write`] on a separate
//! thread and awaits it. The storage owns the lock of the folder, so a write
//! that outlives its replica keeps the folder locked until the write ends.

mod file;
mod frame;
mod identity;
mod lock;
mod recovery;
mod segment;
mod snapshot;
mod sync_point;
#[cfg(test)]
mod tests;

use crate::entry::{DiskIncarnation, Entry, HardState, Snapshot};
use cyclamenloft_types::{LogIndex, ReplicaId, Result, Term};
use segment::Segment;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use sync_point::{SyncPoint, SyncPointFile};

/// Format version of every file in the folder.
const FORMAT_VERSION: u32 = 1;

/// One record of a log segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// The first record of each segment.
    Header(Header),
    /// An entry. It replaces the entry at its index and all entries after it.
    Entry(Entry),
    /// A new term or vote.
    Hard(HardState),
    /// The log is emptied and continues after `index`, which a snapshot covers.
    Reset { index: LogIndex, term: Term },
}

/// The expected result of reading all earlier segments, so that a lost or
/// shortened segment is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    version: u32,
    segment: u64,
    hard: HardState,
    /// The log's last index before this segment.
    last_index: LogIndex,
    /// Size of the previous segment in bytes.
    previous_bytes: u64,
}

/// A write to the storage. Writes become durable in the order given.
#[derive(Debug)]
pub(crate) enum DiskWrite {
    Record(Record),
    Snapshot(Snapshot),
}

/// The contents of a folder when it was opened.
#[derive(Debug)]
pub(crate) struct Recovered {
    pub incarnation: DiskIncarnation,
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// The open files of one replica.
pub(crate) struct Storage {
    folder: PathBuf,
    _lock: lock::FolderLock,
    sync_point_file: SyncPointFile,
    /// The segments from the oldest to the newest; records are appended to the
    /// last one.
    segments: Vec<Segment>,
    hard_state: HardState,
    last_index: LogIndex,
    segment_bytes: u64,
}

impl Storage {
    /// Opens or creates the files of replica `id` of `group` in `folder`.
    ///
    /// # Errors
    ///
    /// `FolderInUse`, `Corrupt` with file and offset, `DiskFailed`, or
    /// `BadSetting` if the folder belongs to another replica.
    pub fn open(
        folder: &Path,
        group: &str,
        id: ReplicaId,
        segment_bytes: u64,
    ) -> Result<(Self, Recovered)> {
        recovery::open(folder, group, id, segment_bytes)
    }

    /// Makes `writes` durable, with one sync of the log for consecutive
    /// records.
    ///
    /// # Errors
    ///
    /// `DiskFailed`. The state on disk is then unknown, so nothing more may be
    /// written or acknowledged.
    pub fn write(&mut self, writes: Vec<DiskWrite>) -> Result<()> {
        let mut records = Vec::with_capacity(writes.len());
        for write in writes {
            match write {
                DiskWrite::Record(record) => records.push(record),
                DiskWrite::Snapshot(snapshot) => {
                    self.append(&std::mem::take(&mut records))?;
                    snapshot::write(&self.folder, &snapshot)?;
                    self.remove_covered_segments(snapshot.index)?;
                }
            }
        }
        self.append(&records)
    }

    fn append(&mut self, records: &[Record]) -> Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        if self.active().size() >= self.segment_bytes {
            self.rotate()?;
        }
        self.active().append(records)?;
        for record in records {
            match record {
                Record::Hard(hard_state) => self.hard_state = *hard_state,
                Record::Entry(entry) => self.last_index = entry.index,
                Record::Reset { index, .. } => self.last_index = *index,
                Record::Header(_) => {}
            }
        }
        let sync_point =
            SyncPoint { segment: self.active().number(), offset: self.active().size() };
        self.sync_point_file.write(sync_point)
    }

    fn active(&mut self) -> &mut Segment {
        self.segments.last_mut().expect("storage must have at least one segment")
    }

    fn rotate(&mut self) -> Result<()> {
        let header = Header {
            version: FORMAT_VERSION,
            segment: self.active().number() + 1,
            hard: self.hard_state,
            last_index: self.last_index,
            previous_bytes: self.active().size(),
        };
        self.segments.push(Segment::create(&self.folder, header)?);
        Ok(())
    }

    /// Removes the segments that have no entries after `index`.
    fn remove_covered_segments(&mut self, index: LogIndex) -> Result<()> {
        while self.segments.len() > 1 && self.segments[0].last_index() <= index {
            file::remove(self.segments[0].path())?;
            self.segments.remove(0);
        }
        file::sync_folder(&self.folder)
    }
}
