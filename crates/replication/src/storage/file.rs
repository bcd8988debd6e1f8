//! File operations of the storage. Errors name the file, and writes and syncs
//! have fail points for tests.

use cyclamenloft_types::{Error, ErrorKind, Result};
use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
};

/// Returns the error for a damaged file.
pub fn corrupt(path: &Path, offset: u64, problem: impl AsRef<str>) -> Error {
    let detail = format!("{} at offset {offset}: {}", path.display(), problem.as_ref());
    Error::new(ErrorKind::Corrupt, detail)
}

/// Returns the error for a failed file operation.
pub fn disk_failed(path: &Path, operation: &str, e: &io::Error) -> Error {
    Error::new(ErrorKind::DiskFailed, format!("{}: {operation}: {e}", path.display()))
}

/// Returns an error if a test has activated the fail point `name`.
pub fn fail_point(name: &str) -> io::Result<()> {
    let _ = name;
    fail::fail_point!(name, |message| Err(io::Error::other(message.unwrap_or_default())));
    Ok(())
}

/// Syncs the directory entries of `folder`.
pub fn sync_folder(folder: &Path) -> Result<()> {
    fail_point("folder-sync")
        .and_then(|()| File::open(folder))
        .and_then(|f| f.sync_all())
        .map_err(|e| disk_failed(folder, "sync folder", &e))
}

/// Removes a file.
pub fn remove(path: &Path) -> Result<()> {
    fs::remove_file(path).map_err(|e| disk_failed(path, "remove", &e))
}

/// Writes a file so that it exists completely or not at all: writes and syncs
/// it under a temporary name, renames it and syncs the folder.
pub fn write_atomically(folder: &Path, name: &str, parts: &[&[u8]]) -> Result<PathBuf> {
    let path = folder.join(name);
    let temp_path = folder.join(format!("{name}.tmp"));
    let write = || -> io::Result<()> {
        fail_point("file-write")?;
        let mut f = File::create(&temp_path)?;
        for part in parts {
            f.write_all(part)?;
        }
        fail_point("file-sync")?;
        f.sync_all()?;
        fs::rename(&temp_path, &path)
    };
    write().map_err(|e| disk_failed(&path, "write", &e))?;
    sync_folder(folder)?;
    Ok(path)
}
