//! Opens a folder: creates its files, or recovers the state from them.

use super::{
    FORMAT_VERSION, Header, Record, Recovered, Storage,
    file::{corrupt, disk_failed, remove, sync_folder},
    frame,
    identity::IdentityFile,
    lock::FolderLock,
    segment::{self, Segment},
    snapshot,
    sync_point::{self, SyncPoint, SyncPointFile},
};
use crate::{
    entry::{Entry, HardState, Snapshot},
    membership::UNKNOWN_INCARNATION,
};
use cyclamenloft_types::{LogIndex, ReplicaId, Result, Term};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{fs, path::Path};

pub fn open(
    folder: &Path,
    group: &str,
    id: ReplicaId,
    segment_bytes: u64,
) -> Result<(Storage, Recovered)> {
    fs::create_dir_all(folder).map_err(|e| disk_failed(folder, "create", &e))?;
    let lock = FolderLock::acquire(folder)?;
    remove_temporary_files(folder)?;
    match IdentityFile::read(folder)? {
        Some(identity) => {
            identity.check(folder, group, id)?;
            recover(folder, lock, &identity, segment_bytes)
        }
        None => create(folder, lock, group, id, segment_bytes),
    }
}

/// Creates the files of an empty folder. The identity file is written last: a
/// folder without it was never used.
fn create(
    folder: &Path,
    lock: FolderLock,
    group: &str,
    id: ReplicaId,
    segment_bytes: u64,
) -> Result<(Storage, Recovered)> {
    remove_incomplete_files(folder)?;
    let hard_state = HardState::default();
    let (version, segment) = (FORMAT_VERSION, 1);
    let header = Header { version, segment, hard: hard_state, last_index: 0, previous_bytes: 0 };
    let segment = Segment::create(folder, header)?;
    let sync_point_file =
        SyncPointFile::create(folder, SyncPoint { segment: 1, offset: segment.size() })?;
    let incarnation = SmallRng::from_os_rng().random_range(UNKNOWN_INCARNATION + 1..=u64::MAX);
    let identity = IdentityFile { version: FORMAT_VERSION, group: group.into(), id, incarnation };
    identity.write(folder)?;
    if let Some(parent) = folder.parent().filter(|p| !p.as_os_str().is_empty()) {
        sync_folder(parent)?;
    }
    let storage = Storage {
        folder: folder.into(),
        _lock: lock,
        sync_point_file,
        segments: vec![segment],
        hard_state,
        last_index: 0,
        segment_bytes,
    };
    Ok((storage, Recovered { incarnation, hard_state, snapshot: None, entries: Vec::new() }))
}

fn file_names(folder: &Path) -> Result<Vec<String>> {
    let failed = |e| disk_failed(folder, "list", &e);
    let mut names = Vec::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        names.extend(entry.map_err(failed)?.file_name().into_string().ok());
    }
    names.sort();
    Ok(names)
}

fn remove_temporary_files(folder: &Path) -> Result<()> {
    for name in file_names(folder)?.iter().filter(|n| n.ends_with(".tmp")) {
        remove(&folder.join(name))?;
    }
    Ok(())
}

/// Removes the files of a creation that ended before the identity file was
/// written. Files that only a used folder can contain are reported as damage.
fn remove_incomplete_files(folder: &Path) -> Result<()> {
    for name in file_names(folder)? {
        let path = folder.join(&name);
        if snapshot::parse_index(&name).is_some() {
            return Err(corrupt(&path, 0, "snapshot without an identity file"));
        }
        if let Some(number) = segment::parse_number(&name) {
            let bytes = fs::read(&path).map_err(|e| disk_failed(&path, "read", &e))?;
            let header = frame::decode(&bytes, number, 0);
            if number != 1 || header.is_some_and(|(_, end)| end < bytes.len()) {
                return Err(corrupt(&path, 0, "log segment without an identity file"));
            }
            remove(&path)?;
        }
        if name == sync_point::NAME {
            remove(&path)?;
        }
    }
    Ok(())
}

fn recover(
    folder: &Path,
    lock: FolderLock,
    identity: &IdentityFile,
    segment_bytes: u64,
) -> Result<(Storage, Recovered)> {
    let (mut sync_point_file, sync_point) = SyncPointFile::open(folder)?;
    let snapshot = snapshot::read_newest(folder)?;
    let mut scan = Scan::default();
    let mut segments = Vec::new();
    for (number, is_last) in list_segments(folder, sync_point)? {
        let size = scan.read(folder, number, is_last, sync_point)?;
        segments.push(Segment::reopen(folder, number, size, scan.segment_last_index)?);
    }
    let newest =
        segments.last().expect("list_segments must return at least the segment of the sync point");
    sync_point_file.write(SyncPoint { segment: newest.number(), offset: newest.size() })?;
    let hard_state = scan.hard_state;
    let reset =
        scan.join_snapshot(&segment::path(folder, segments[0].number()), snapshot.as_ref())?;
    let mut storage = Storage {
        folder: folder.into(),
        _lock: lock,
        sync_point_file,
        segments,
        hard_state,
        last_index: scan.next_index.map_or(0, |next_index| next_index - 1),
        segment_bytes,
    };
    storage.append(&reset.into_iter().collect::<Vec<_>>())?;
    let incarnation = identity.incarnation;
    Ok((storage, Recovered { incarnation, hard_state, snapshot, entries: scan.entries }))
}

/// Returns the numbers of the segments in ascending order, each paired with
/// whether it is the last one. Removes a last segment whose header was never
/// synced.
fn list_segments(folder: &Path, sync_point: SyncPoint) -> Result<Vec<(u64, bool)>> {
    let mut numbers: Vec<u64> =
        file_names(folder)?.iter().filter_map(|n| segment::parse_number(n)).collect();
    if let Some(last) = numbers.last().copied().filter(|n| *n > sync_point.segment) {
        let path = segment::path(folder, last);
        let bytes = fs::read(&path).map_err(|e| disk_failed(&path, "read", &e))?;
        if frame::decode(&bytes, last, 0).is_none() {
            remove(&path)?;
            sync_folder(folder)?;
            numbers.pop();
        }
    }
    for pair in numbers.windows(2) {
        if pair[1] != pair[0] + 1 {
            return Err(corrupt(&segment::path(folder, pair[0] + 1), 0, "segment is missing"));
        }
    }
    if numbers.last().is_none_or(|last| *last < sync_point.segment) {
        return Err(corrupt(&segment::path(folder, sync_point.segment), 0, "segment is missing"));
    }
    let last = numbers.last().copied();
    Ok(numbers.into_iter().map(|n| (n, Some(n) == last)).collect())
}

/// The result of reading the segments in order.
#[derive(Default)]
struct Scan {
    hard_state: HardState,
    entries: Vec<Entry>,
    /// Index of the next entry, unless that entry replaces an earlier one.
    /// `None` before the first record is read.
    next_index: Option<LogIndex>,
    /// Greatest index in the current segment.
    segment_last_index: LogIndex,
    /// Size of the previous segment in bytes.
    previous_bytes: Option<u64>,
}

impl Scan {
    /// Reads one segment; returns the size of its valid part in bytes.
    fn read(
        &mut self,
        folder: &Path,
        number: u64,
        is_last: bool,
        sync_point: SyncPoint,
    ) -> Result<u64> {
        let path = segment::path(folder, number);
        let bytes = fs::read(&path).map_err(|e| disk_failed(&path, "read", &e))?;
        self.segment_last_index = 0;
        let mut offset = 0;
        while let Some((record, end)) = frame::decode(&bytes, number, offset) {
            let is_header = matches!(record, Record::Header(_));
            if is_header != (offset == 0) {
                return Err(corrupt(
                    &path,
                    offset as u64,
                    "segment must have exactly one header record, at its start",
                ));
            }
            self.apply_record(record).map_err(|problem| corrupt(&path, offset as u64, problem))?;
            offset = end;
        }
        let valid_end = SyncPoint { segment: number, offset: offset as u64 };
        let is_complete = offset == bytes.len() && offset > 0;
        if valid_end < sync_point && (number == sync_point.segment || !is_complete) {
            return Err(corrupt(
                &path,
                valid_end.offset,
                "CRC does not match or file is cut short",
            ));
        }
        if !is_complete && (!is_last || offset == 0) {
            return Err(corrupt(&path, valid_end.offset, "CRC does not match"));
        }
        self.previous_bytes = Some(valid_end.offset);
        Ok(valid_end.offset)
    }

    fn apply_record(&mut self, record: Record) -> Result<(), &'static str> {
        match record {
            Record::Header(header) => self.apply_header(header)?,
            Record::Hard(hard_state) => self.hard_state = hard_state,
            Record::Reset { index, .. } => {
                self.entries.clear();
                self.next_index = Some(index + 1);
                self.segment_last_index = self.segment_last_index.max(index);
            }
            Record::Entry(entry) => self.apply_entry(entry)?,
        }
        Ok(())
    }

    fn apply_header(&mut self, header: Header) -> Result<(), &'static str> {
        if header.version != FORMAT_VERSION {
            return Err("unknown format version");
        }
        let follows = self.previous_bytes.is_none_or(|bytes| bytes == header.previous_bytes)
            && self.next_index.is_none_or(|next_index| next_index == header.last_index + 1);
        if !follows {
            return Err("segment doesn't continue the previous one");
        }
        self.hard_state = header.hard;
        self.next_index = Some(header.last_index + 1);
        Ok(())
    }

    fn apply_entry(&mut self, entry: Entry) -> Result<(), &'static str> {
        let next_index = self.next_index.unwrap_or(entry.index);
        let first = self.entries.first().map_or(next_index, |e| e.index);
        if entry.index > next_index {
            return Err("entry out of order");
        }
        // An entry before the first one read replaces entries of segments that
        // were removed because a snapshot covered them.
        self.entries.truncate(entry.index.saturating_sub(first) as usize);
        self.segment_last_index = self.segment_last_index.max(entry.index);
        self.next_index = Some(entry.index + 1);
        self.entries.push(entry);
        Ok(())
    }

    fn term(&self, index: LogIndex) -> Option<Term> {
        self.entries.iter().find(|e| e.index == index).map(|e| e.term)
    }

    /// Drops the entries that the snapshot covers. If the remaining entries
    /// don't continue from the snapshot, drops them too and returns the record
    /// that resets the log.
    fn join_snapshot(
        &mut self,
        path: &Path,
        snapshot: Option<&Snapshot>,
    ) -> Result<Option<Record>> {
        let base = snapshot.map_or(0, |s| s.index);
        let first = self.entries.first().map(|e| e.index).or(self.next_index).unwrap_or(base + 1);
        if first > base + 1 {
            let problem = format!("log begins at entry {first}, snapshot ends at {base}");
            return Err(corrupt(path, 0, problem));
        }
        let Some(snapshot) = snapshot else { return Ok(None) };
        let continues = match self.entries.last() {
            Some(last) if last.index >= base && first <= base => {
                self.term(base) == Some(snapshot.term)
            }
            _ => first == base + 1,
        };
        if continues {
            self.entries.retain(|e| e.index > base);
            return Ok(None);
        }
        self.entries.clear();
        Ok(Some(Record::Reset { index: base, term: snapshot.term }))
    }
}
