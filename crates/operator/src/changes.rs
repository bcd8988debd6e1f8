//! Which files of a configuration changed since which number, so that a
//! process that is a few numbers behind is sent only those.

use crate::folder::ConfigFile;
use cyclamenloft_types::ConfigNumber;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Most removed files that are remembered. Where more were removed, processes
/// that are behind the oldest forgotten one are sent the whole configuration.
pub const MAX_REMOVED: usize = 1024;

/// A configuration on its way to a process, whole or as what changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Number that the receiver has in force afterwards.
    pub number: ConfigNumber,
    /// Hash of the whole content under that number.
    pub hash: u64,
    /// What `changed` and `removed` are relative to.
    pub base: Base,
    /// The files that changed, or all.
    pub changed: Vec<ConfigFile>,
    /// Names of the files that were removed; none in a whole configuration.
    pub removed: Vec<Box<str>>,
}

/// What an [`Update`] is relative to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Base {
    /// Nothing: the update holds every file.
    Whole,
    /// The configuration with this number, or any between it and the update's:
    /// the update holds every file that changed after this number.
    Since(ConfigNumber),
}

impl Update {
    /// The content that follows from this update where `files` are in force;
    /// sorted by name.
    #[must_use]
    pub fn applied_to(&self, files: &[ConfigFile]) -> Vec<ConfigFile> {
        match self.base {
            Base::Whole => apply_changes(&[], &self.changed, &[]),
            Base::Since(_) => apply_changes(files, &self.changed, &self.removed),
        }
    }
}

/// `files` with `changed` put in or replaced and `removed` left out; sorted by
/// name.
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

/// The files that `new` gives or changes, and the names that it lacks.
pub(crate) fn diff_files(
    old: &[ConfigFile],
    new: &[ConfigFile],
) -> (Vec<ConfigFile>, Vec<Box<str>>) {
    let changed = new.iter().filter(|f| !old.contains(f)).cloned().collect();
    let is_missing = |name: &str| new.iter().all(|f| *f.name != *name);
    let removed = old.iter().filter(|f| is_missing(&f.name)).map(|f| f.name.clone()).collect();
    (changed, removed)
}

/// For each file the number under which it changed last.
///
/// A number that is too high is harmless: the file is sent once more than
/// needed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeTracker {
    changed_at: BTreeMap<Box<str>, ConfigNumber>,
    /// Oldest removal first; no name twice, none that exists.
    removed: VecDeque<RemovedFile>,
    /// Changes after this number are known; earlier ones may not be.
    known_from: ConfigNumber,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RemovedFile {
    name: Box<str>,
    at: ConfigNumber,
}

impl ChangeTracker {
    /// Starts anew with `files`, of which only the present number is known.
    pub(crate) fn from_whole(files: &[ConfigFile], number: ConfigNumber) -> Self {
        let changed_at = files.iter().map(|f| (f.name.clone(), number)).collect();
        Self { changed_at, removed: VecDeque::new(), known_from: number }
    }

    /// Notes what `number` changed and removed.
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

    /// What a process with the configuration `since` lacks of `files`, which
    /// are in force under `number`.
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

    /// Whether this can be what is known about `files` under `number`.
    pub(crate) fn is_consistent_with(&self, files: &[ConfigFile], number: ConfigNumber) -> bool {
        let names = files.iter().map(|f| &f.name);
        names.eq(self.changed_at.keys())
            && self.changed_at.values().all(|at| *at <= number)
            && self.removed.len() <= MAX_REMOVED
            && self.removed.iter().all(|r| r.at <= number)
            && self.known_from <= number
    }
}
