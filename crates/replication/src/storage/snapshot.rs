//! Snapshot files.
//!
//! A file consists of a CRC over the rest of the file, the format version, and
//! the snapshot, encoded with postcard.

use super::{
    FORMAT_VERSION,
    file::{corrupt, disk_failed, remove, write_atomically},
};
use crate::entry::Snapshot;
use cyclamenloft_types::{Error, ErrorKind, LogIndex, Result};
use std::{fs, path::Path};

const HEADER_BYTES: usize = 8;

fn file_name(index: LogIndex) -> String {
    format!("snapshot-{index:016x}")
}

/// Returns the index of the snapshot with file name `name`, or `None` if it
/// isn't a snapshot.
pub fn parse_index(name: &str) -> Option<LogIndex> {
    let digits = name.strip_prefix("snapshot-")?;
    (digits.len() == 16).then(|| u64::from_str_radix(digits, 16).ok())?
}

fn checksum(version: &[u8], body: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(version);
    hasher.update(body);
    hasher.finalize().to_le_bytes()
}

/// Makes `snapshot` durable and then removes older ones.
pub fn write(folder: &Path, snapshot: &Snapshot) -> Result<()> {
    let body = postcard::to_stdvec(snapshot)
        .map_err(|e| Error::new(ErrorKind::Internal, format!("encode snapshot: {e}")))?;
    let version = FORMAT_VERSION.to_le_bytes();
    let crc = checksum(&version, &body);
    write_atomically(folder, &file_name(snapshot.index), &[&crc, &version, &body])?;
    for old in list(folder)?.into_iter().filter(|i| *i < snapshot.index) {
        remove(&folder.join(file_name(old)))?;
    }
    Ok(())
}

/// Reads the newest snapshot in `folder`, if there is one.
pub fn read_newest(folder: &Path) -> Result<Option<Snapshot>> {
    let Some(newest) = list(folder)?.into_iter().max() else { return Ok(None) };
    let path = folder.join(file_name(newest));
    let bytes = fs::read(&path).map_err(|e| disk_failed(&path, "read", &e))?;
    let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(corrupt(&path, bytes.len() as u64, "file is cut short"));
    };
    let (crc, version) = header.split_at(4);
    if checksum(version, body) != crc {
        return Err(corrupt(&path, 0, "CRC does not match"));
    }
    if version != FORMAT_VERSION.to_le_bytes() {
        return Err(corrupt(&path, 4, "unknown format version"));
    }
    let snapshot: Snapshot = postcard::from_bytes(body)
        .map_err(|e| corrupt(&path, HEADER_BYTES as u64, e.to_string()))?;
    if snapshot.index != newest {
        return Err(corrupt(&path, HEADER_BYTES as u64, "file name and index differ"));
    }
    Ok(Some(snapshot))
}

fn list(folder: &Path) -> Result<Vec<LogIndex>> {
    let failed = |e| disk_failed(folder, "list", &e);
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        let name = entry.map_err(failed)?.file_name();
        found.extend(name.to_str().and_then(parse_index));
    }
    Ok(found)
}
