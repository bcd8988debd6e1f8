//! Segments: the files to which the records of the log are appended.

use super::{
    Header, Record,
    file::{disk_failed, fail_point, sync_folder},
    frame,
};
use cyclamenloft_types::{Error, ErrorKind, LogIndex, Result};
use std::{
    fs::File,
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

/// One segment, open for appending.
pub struct Segment {
    number: u64,
    path: PathBuf,
    file: File,
    size: u64,
    last_index: LogIndex,
}

/// Returns the path of segment `number`.
pub fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("log-{number:016x}"))
}

/// Returns the number of the segment with file name `name`, or `None` if it
/// isn't a segment.
pub fn parse_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("log-")?;
    (digits.len() == 16).then(|| u64::from_str_radix(digits, 16).ok())?
}

impl Segment {
    /// Creates the segment with `header` as its first record; both are durable
    /// when this returns.
    pub fn create(folder: &Path, header: Header) -> Result<Self> {
        let number = header.segment;
        let path = path(folder, number);
        let file = fail_point("segment-create")
            .and_then(|()| File::create(&path))
            .map_err(|e| disk_failed(&path, "create", &e))?;
        let mut segment = Self { number, path, file, size: 0, last_index: 0 };
        segment.append(&[Record::Header(header)])?;
        sync_folder(folder)?;
        Ok(segment)
    }

    /// Opens segment `number`, truncates it to `size` bytes, its valid part,
    /// and syncs it.
    pub fn reopen(folder: &Path, number: u64, size: u64, last_index: LogIndex) -> Result<Self> {
        let path = path(folder, number);
        let open = || {
            let file = File::options().write(true).open(&path)?;
            if file.metadata()?.len() != size {
                file.set_len(size)?;
            }
            file.sync_all()?;
            Ok(file)
        };
        let file = open().map_err(|e| disk_failed(&path, "reopen", &e))?;
        Ok(Self { number, path, file, size, last_index })
    }

    /// Appends `records` and syncs them.
    pub fn append(&mut self, records: &[Record]) -> Result<()> {
        let mut buf = Vec::new();
        for record in records {
            frame::encode(&mut buf, self.number, self.size, record)
                .map_err(|e| Error::new(ErrorKind::Internal, format!("encode record: {e}")))?;
            match record {
                Record::Entry(entry) => self.last_index = self.last_index.max(entry.index),
                Record::Reset { index, .. } => self.last_index = self.last_index.max(*index),
                Record::Header(_) | Record::Hard(_) => {}
            }
        }
        let write = || {
            fail_point("log-write")?;
            self.file.write_all_at(&buf, self.size)?;
            fail_point("log-sync")?;
            self.file.sync_data()
        };
        write().map_err(|e| disk_failed(&self.path, "append", &e))?;
        self.size += buf.len() as u64;
        Ok(())
    }

    pub fn number(&self) -> u64 {
        self.number
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the number of bytes that are written and synced.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Returns the greatest index in a record of this segment.
    pub fn last_index(&self) -> LogIndex {
        self.last_index
    }
}
