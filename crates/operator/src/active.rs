//! The configuration that a process has in force: the highest it has seen.

use crate::{
    changes::{Base, ChangeTracker, Update},
    deployment::Deployment,
    folder::{CheckedConfig, ConfigDraft, ConfigFile, hash_files},
    report::ConfigReport,
};
use cyclamenloft_types::ConfigNumber;
use std::rc::Rc;

/// What became of an [`Update`] that was offered.
#[derive(Debug)]
pub enum UpdateOutcome {
    /// It is in force now.
    Applied,
    /// It is no newer than what is in force.
    Ignored,
    /// It is newer, but says too little: ask for the whole with
    /// `since(0)`, from another process where this one was whole already.
    NeedsWhole,
    /// It is newer and was accepted, but this process can't read it, for it
    /// is of an older version. What was in force stays.
    Unreadable(ConfigReport),
}

/// The configuration in force in a process. Its number never falls, in
/// whatever order updates come.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    number: ConfigNumber,
    hash: u64,
    checked: Rc<CheckedConfig>,
    changes: ChangeTracker,
}

impl Default for ActiveConfig {
    fn default() -> Self {
        let (checked, changes) = (Rc::default(), ChangeTracker::default());
        Self { number: 0, hash: hash_files(&[]), checked, changes }
    }
}

impl ActiveConfig {
    /// Number in force; 0 before the first.
    #[must_use]
    pub fn number(&self) -> ConfigNumber {
        self.number
    }

    /// Hash of the content in force.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// The content in force. A task that keeps the returned value isn't
    /// affected by later updates.
    #[must_use]
    pub fn checked(&self) -> Rc<CheckedConfig> {
        Rc::clone(&self.checked)
    }

    /// The typed content in force; all defaults before the first.
    #[must_use]
    pub fn deployment(&self) -> &Deployment {
        self.checked.deployment()
    }

    /// What a process that has `number` in force lacks, so that entry hosts
    /// and control replicas can pass the configuration on.
    #[must_use]
    pub fn since(&self, number: ConfigNumber) -> Update {
        self.changes.since(number, self.checked.files(), self.number, self.hash)
    }

    /// Takes `update` if its number is higher than the one in force. Files are
    /// parsed only then.
    pub fn apply_update(&mut self, update: &Update) -> UpdateOutcome {
        if update.number <= self.number {
            return UpdateOutcome::Ignored;
        }
        if matches!(update.base, Base::Since(base) if self.number < base) {
            return UpdateOutcome::NeedsWhole;
        }
        let files = update.applied_to(self.checked.files());
        if hash_files(&files) != update.hash {
            return UpdateOutcome::NeedsWhole;
        }
        match CheckedConfig::try_from(ConfigDraft::from_files(files)) {
            Ok(checked) => {
                self.record_changes(update, checked.files());
                self.checked = Rc::new(checked);
                (self.number, self.hash) = (update.number, update.hash);
                UpdateOutcome::Applied
            }
            Err(report) => UpdateOutcome::Unreadable(report),
        }
    }

    fn record_changes(&mut self, update: &Update, files: &[ConfigFile]) {
        match update.base {
            Base::Whole => self.changes = ChangeTracker::from_whole(files, update.number),
            Base::Since(_) => self.changes.record(&update.changed, &update.removed, update.number),
        }
    }
}
