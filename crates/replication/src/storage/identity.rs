//! The identity file, which records the replica that a folder belongs to.

use super::{
    FORMAT_VERSION,
    file::{corrupt, disk_failed, write_atomically},
};
use crate::entry::DiskIncarnation;
use cyclamenloft_types::{Error, ErrorKind, ReplicaId, Result};
use serde::{Deserialize, Serialize};
use std::{fs, io, path::Path};

const NAME: &str = "identity";
const CRC_BYTES: usize = 4;

/// The replica that a folder belongs to. The file is written last when a folder
/// is created, so a folder with an identity file is complete.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdentityFile {
    pub version: u32,
    pub group: Box<str>,
    pub id: ReplicaId,
    pub incarnation: DiskIncarnation,
}

impl IdentityFile {
    /// Reads the identity file in `folder`, if there is one.
    pub fn read(folder: &Path) -> Result<Option<Self>> {
        let path = folder.join(NAME);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(disk_failed(&path, "read", &e)),
        };
        let Some((crc, body)) = bytes.split_at_checked(CRC_BYTES) else {
            return Err(corrupt(&path, bytes.len() as u64, "file is cut short"));
        };
        if crc != crc32fast::hash(body).to_le_bytes() {
            return Err(corrupt(&path, 0, "CRC does not match"));
        }
        let identity: Self = postcard::from_bytes(body)
            .map_err(|e| corrupt(&path, CRC_BYTES as u64, e.to_string()))?;
        Ok(Some(identity))
    }

    /// Writes the identity file into `folder`.
    pub fn write(&self, folder: &Path) -> Result<()> {
        let body = postcard::to_stdvec(self)
            .map_err(|e| Error::new(ErrorKind::Internal, format!("encode identity: {e}")))?;
        let crc = crc32fast::hash(&body).to_le_bytes();
        write_atomically(folder, NAME, &[&crc, &body]).map(drop)
    }

    /// Checks that the folder belongs to replica `id` of `group`.
    pub fn check(&self, folder: &Path, group: &str, id: ReplicaId) -> Result<()> {
        let bad = |problem: String| {
            Err(Error::new(ErrorKind::BadSetting, format!("{}: {problem}", folder.display())))
        };
        if self.version != FORMAT_VERSION {
            let found = self.version;
            return bad(format!("expected format version {FORMAT_VERSION}, found {found}"));
        }
        if *self.group != *group || self.id != id {
            let (found_id, found_group) = (self.id, &self.group);
            return bad(format!(
                "expected replica {id} of group {group}, found replica {found_id} of {found_group}"
            ));
        }
        Ok(())
    }
}
