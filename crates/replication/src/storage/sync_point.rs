//! The sync point: the position up to which the log was synced when a write was
//! last acknowledged.
//!
//! Damage before the sync point is corruption. Damage after it is a torn tail
//! of writes that were never acknowledged. The sync point is written after each
//! sync of the log and isn't synced itself: it survives the end of the process,
//! and the older sync point that a loss of power may leave is still valid,
//! since everything before it is synced. Two slots are written alternately, so
//! a torn write leaves the other one intact.

use super::file::{corrupt, disk_failed, fail_point, write_atomically};
use cyclamenloft_types::Result;
use std::{
    fs::{self, File},
    io,
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

pub const NAME: &str = "synced";
const SLOT_BYTES: usize = 28;
/// Offsets of the slots in bytes. The slots are on different pages, so that a
/// torn write can damage only one of them.
const SLOT_OFFSETS: [u64; 2] = [0, 4096];
const FILE_BYTES: usize = SLOT_OFFSETS[1] as usize + SLOT_BYTES;

/// A position in the log up to which everything was synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SyncPoint {
    pub segment: u64,
    pub offset: u64,
}

/// The file with the two slots.
pub struct SyncPointFile {
    file: File,
    path: PathBuf,
    sequence: u64,
}

fn encode_slot(sequence: u64, sync_point: SyncPoint) -> [u8; SLOT_BYTES] {
    let mut slot = [0; SLOT_BYTES];
    slot[..8].copy_from_slice(&sequence.to_le_bytes());
    slot[8..16].copy_from_slice(&sync_point.segment.to_le_bytes());
    slot[16..24].copy_from_slice(&sync_point.offset.to_le_bytes());
    let crc = crc32fast::hash(&slot[..24]);
    slot[24..].copy_from_slice(&crc.to_le_bytes());
    slot
}

fn decode_slot(slot: &[u8]) -> Option<(u64, SyncPoint)> {
    let number = |at: usize| Some(u64::from_le_bytes(slot.get(at..at + 8)?.try_into().ok()?));
    let crc = u32::from_le_bytes(slot.get(24..SLOT_BYTES)?.try_into().ok()?);
    if crc32fast::hash(&slot[..24]) != crc {
        return None;
    }
    Some((number(0)?, SyncPoint { segment: number(8)?, offset: number(16)? }))
}

impl SyncPointFile {
    /// Creates the file with `sync_point` in both slots.
    pub fn create(folder: &Path, sync_point: SyncPoint) -> Result<Self> {
        let mut bytes = vec![0; FILE_BYTES];
        for (slot, sequence) in SLOT_OFFSETS.iter().zip(0..) {
            let at = *slot as usize;
            bytes[at..at + SLOT_BYTES].copy_from_slice(&encode_slot(sequence, sync_point));
        }
        write_atomically(folder, NAME, &[&bytes])?;
        Self::open(folder).map(|(sync_point_file, _)| sync_point_file)
    }

    /// Opens the file and reads the newer sync point.
    pub fn open(folder: &Path) -> Result<(Self, SyncPoint)> {
        let path = folder.join(NAME);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                return Err(corrupt(&path, 0, "file is missing"));
            }
            Err(e) => return Err(disk_failed(&path, "read", &e)),
        };
        if bytes.len() != FILE_BYTES {
            let problem = format!("expected {FILE_BYTES} bytes, found {}", bytes.len());
            return Err(corrupt(&path, bytes.len().min(FILE_BYTES) as u64, problem));
        }
        let slots = SLOT_OFFSETS.iter().filter_map(|at| decode_slot(&bytes[*at as usize..]));
        let Some((sequence, sync_point)) = slots.max_by_key(|(sequence, _)| *sequence) else {
            return Err(corrupt(&path, 0, "CRC does not match"));
        };
        let file =
            File::options().write(true).open(&path).map_err(|e| disk_failed(&path, "open", &e))?;
        Ok((Self { file, path, sequence }, sync_point))
    }

    /// Records that everything before `sync_point` is synced.
    pub fn write(&mut self, sync_point: SyncPoint) -> Result<()> {
        self.sequence += 1;
        let at = SLOT_OFFSETS[(self.sequence % 2) as usize];
        fail_point("sync-point-write")
            .and_then(|()| self.file.write_all_at(&encode_slot(self.sequence, sync_point), at))
            .map_err(|e| disk_failed(&self.path, "write", &e))
    }
}
