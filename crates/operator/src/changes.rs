//! Tracks which files of a configuration changed at which number, so that a
//! process that is a few numbers behind receives only the changed files.

use crate::folder::ConfigFile;
use cyclamenloft_types::ConfigNumber;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of removed files that are tracked. Once older removals are
/// dropped, processes that have missed one of them receive the whole
/// configuration.
pub const MAX_REMOVED: usize = 1024;

/// A configuration sent to a process, either whole or as a delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Number of the receiver's active configuration after the update.
    pub number: ConfigNumber,
    /// Hash of the whole content under that number.
    pub hash: u64,
    /// The configuration that `changed` and `removed` are relative to.
    pub base: Base,
    /// The changed files, or all files of a whole configuration.
    pub changed: Vec<ConfigFile>,
    /// Names of the removed files; empty in a whole configuration.
    pub removed: Vec<Box<str>>,
}

/// The configuration that an [`Update`] is relative to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Base {
    /// The update contains every file.
    Whole,
    /// The update contains every file that changed after this number, and
    /// applies to any configuration from this number up to the update's.
    Since(ConfigNumber),
}

impl Update {
    /// Returns the content after this update is applied to `files`, sorted by
    /// name.
    #[must_use]
    pub fn applied_to(&self, files: &[ConfigFile]) -> Vec<ConfigFile> {
        match self.base {
            Base::Whole => apply_changes(&[], &self.changed, &[]),
            Base::Since(_) => apply_changes(files, &self.changed, &self.removed),
        }
    }
}

/// Returns `files` with `changed` added or replaced and `removed` left out,
/// sorted by name.
pub(crate) fn apply_changes(
    files: &[ConfigFile],
    changed: &[ConfigFile],
    removed: &[Box<str>],
) -> Vec<ConfigFile> {
    let mut by_name: BTreeMap<&str, &ConfigFile> = files.iter().map(|f| (&*f.name, f)).collect();
    for name in removed {
        by_name.remove(&**name);
    }
    by_name.extend(changed.iter().map(|f| (&*f.name, f)));
    by_name.into_values().cloned().collect()
}

/// Returns the files that `new` adds or changes, and the names that it removes.
pub(crate) fn diff_files(
    old: &[ConfigFile],
    new: &[ConfigFile],
) -> (Vec<ConfigFile>, Vec<Box<str>>) {
    let changed = new.iter().filter(|f| !old.contains(f)).cloned().collect();
    let is_missing = |name: &str| new.iter().all(|f| *f.name != *name);
    let removed = old.iter().filter(|f| is_missing(&f.name)).map(|f| f.name.clone()).collect();
    (changed, removed)
}

/// Tracks the number at which each file last changed.
///
/// A tracked number that is too high is harmless: the file is sent once more than needed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeTracker {
    changed_at: BTreeMap<Box<str>, ConfigNumber>,
    /// Removed files, oldest removal first. Names are unique, and none is an
    /// existing file.
    removed: VecDeque<RemovedFile>,
    /// Every change after this number is tracked; changes up to it may be missing.
    known_from: ConfigNumber,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RemovedFile {
    name: Box<str>,
    at: ConfigNumber,
}

impl ChangeTracker {
    /// Creates a tracker for `files`, whose earlier changes aren't known: each file
    /// counts as changed at `number`.
    pub(crate) fn from_whole(files: &[ConfigFile], number: ConfigNumber) -> Self {
        let changed_at = files.iter().map(|f| (f.name.clone(), number)).collect();
        Self { changed_at, removed: VecDeque::new(), known_from: number }
    }

    /// Records the files that the configuration `number` changed and removed.
    pub(crate) fn record(
        &mut self,
        changed: &[ConfigFile],
        removed: &[Box<str>],
        number: ConfigNumber,
    ) {
        self.removed.retain(|r| changed.iter().all(|f| f.name != r.name));
        for file in changed {
            self.changed_at.insert(file.name.clone(), number);
        }
        self.removed.retain(|r| !removed.contains(&r.name));
        for name in removed {
            self.changed_at.remove(name);
            self.removed.push_back(RemovedFile { name: name.clone(), at: number });
        }
        while self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.pop_front();
            self.known_from = self.known_from.max(oldest.map_or(0, |r| r.at));
        }
    }

    /// Returns the update from the configuration `since` to `files`, which are
    /// the content of `number`.
    pub(crate) fn since(
        &self,
        since: ConfigNumber,
        files: &[ConfigFile],
        number: ConfigNumber,
        hash: u64,
    ) -> Update {
        if since == 0 || since < self.known_from {
            let changed = files.to_vec();
            return Update { number, hash, base: Base::Whole, changed, removed: Vec::new() };
        }
        let changed_later = |name: &str| self.changed_at.get(name).is_none_or(|at| *at > since);
        let removed = self.removed.iter().filter(|r| r.at > since);
        Update {
            number,
            hash,
            base: Base::Since(since.min(number)),
            changed: files.iter().filter(|f| changed_later(&f.name)).cloned().collect(),
            removed: removed.map(|r| r.name.clone()).collect(),
        }
    }

    /// Returns whether the tracked changes are consistent with `files` as the
    /// content of `number`.
    pub(crate) fn is_consistent_with(&self, files: &[ConfigFile], number: ConfigNumber) -> bool {
        let names = files.iter().map(|f| &f.name);
        names.eq(self.changed_at.keys())
            && self.changed_at.values().all(|at| *at <= number)
            && self.removed.len() <= MAX_REMOVED
            && self.removed.iter().all(|r| r.at <= number)
            && self.known_from <= number
    }
}
