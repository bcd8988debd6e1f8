//! The active configuration of a process: of the configurations that the process has
//! received, the one with the highest number.

use crate::{
    changes::{Base, ChangeTracker, Update},
    deployment::Deployment,
    folder::{CheckedConfig, ConfigDraft, ConfigFile, hash_files},
    report::ConfigReport,
};
use cyclamenloft_types::ConfigNumber;
use std::rc::Rc;

/// The result of applying an [`Update`].
#[derive(Debug)]
pub enum UpdateOutcome {
    /// The update is now active.
    Applied,
    /// The update is not newer than the active configuration.
    Ignored,
    /// The update is newer, but can't be applied to the active configuration. The whole
    /// configuration must be requested with `since(0)`; if this update already contained
    /// the whole configuration, it must be requested from another process.
    NeedsWhole,
    /// The update is newer and was accepted by the config group, but this process
    /// runs an older version that can't read it. The active configuration is
    /// unchanged.
    Unreadable(ConfigReport),
}

/// The active configuration of a process. Its number never decreases,
/// regardless of the order in which updates arrive.
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
    /// Returns the number of the active configuration; 0 before the first.
    #[must_use]
    pub fn number(&self) -> ConfigNumber {
        self.number
    }

    /// Returns the hash of the active content.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the active content. Later updates don't change the returned value.
    #[must_use]
    pub fn checked(&self) -> Rc<CheckedConfig> {
        Rc::clone(&self.checked)
    }

    /// Returns the typed active content; all defaults before the first
    /// configuration.
    #[must_use]
    pub fn deployment(&self) -> &Deployment {
        self.checked.deployment()
    }

    /// Returns the update for a process whose active configuration is `number`,
    /// so that entry hosts and control replicas can forward the configuration.
    #[must_use]
    pub fn since(&self, number: ConfigNumber) -> Update {
        self.changes.since(number, self.checked.files(), self.number, self.hash)
    }

    /// Applies `update` if its number is higher than the active one. Files are
    /// parsed only in that case.
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
