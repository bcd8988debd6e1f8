//! The lock that keeps a second process out of a replica's folder.

use super::file::disk_failed;
use cyclamenloft_types::{Error, ErrorKind, Result};
use std::{
    fs::{File, TryLockError},
    path::Path,
};

/// Holds a folder until it is dropped.
pub struct FolderLock {
    _file: File,
}

impl FolderLock {
    /// Takes the lock of `folder`.
    ///
    /// # Errors
    ///
    /// `FolderInUse` where another holds it.
    pub fn acquire(folder: &Path) -> Result<Self> {
        let path = folder.join("lock");
        let file = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .map_err(|e| disk_failed(&path, "open", &e))?;
        match file.try_lock() {
            Ok(()) => Ok(Self { _file: file }),
            Err(TryLockError::WouldBlock) => Err(Error::new(
                ErrorKind::FolderInUse,
                format!("{}: another process holds the folder", folder.display()),
            )),
            Err(TryLockError::Error(e)) => Err(disk_failed(&path, "lock", &e)),
        }
    }
}
