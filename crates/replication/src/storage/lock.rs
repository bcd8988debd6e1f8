//! The lock that prevents a second process from using a replica's folder.

use super::file::disk_failed;
use cyclamenloft_types::{Error, ErrorKind, Result};
use std::{
    fs::{File, TryLockError},
    path::Path,
};

/// A lock on a folder, which is released when it is dropped.
pub struct FolderLock {
    _file: File,
}

impl FolderLock {
    /// Locks `folder`.
    ///
    /// # Errors
    ///
    /// `FolderInUse` if the folder is locked already, `DiskFailed` if the lock
    /// file can't be used.
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
