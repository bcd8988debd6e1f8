//! The active configuration of this process, which is the one with the highest number
//! that the process has seen.

use cyclamenloft_dispatch::notify::Notify;
use cyclamenloft_operator::{
    ActiveConfig, CheckedConfig, Update, UpdateOutcome, messages::ShowResponse,
};
use cyclamenloft_peer::calls::WaitConfigParams;
use cyclamenloft_types::ConfigNumber;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// The active configuration, shared by all clones of this value. Its number never
/// decreases.
#[derive(Clone, Default)]
pub struct SharedActiveConfig {
    active: Rc<RefCell<ActiveConfig>>,
    notify: Rc<Notify>,
}

/// What to request from a source next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextFetch {
    /// The changes since the active configuration.
    Changes,
    /// The full configuration, because the changes do not apply to the active one.
    Full,
}

impl SharedActiveConfig {
    /// Returns the number of the active configuration, or 0 before the first one.
    #[must_use]
    pub fn number(&self) -> ConfigNumber {
        self.active.borrow().number()
    }

    /// Returns the content of the active configuration, or the defaults before the first
    /// one.
    #[must_use]
    pub fn checked(&self) -> Rc<CheckedConfig> {
        self.active.borrow().checked()
    }

    /// Returns the active configuration in the form that is shown to operators.
    #[must_use]
    pub fn show(&self) -> ShowResponse {
        ShowResponse::from(&*self.active.borrow())
    }

    /// Applies an update unless the active configuration has the same or a higher number.
    /// Returns what to request next from the source of the update.
    pub fn offer(&self, update: &Update) -> NextFetch {
        let offered = self.active.borrow_mut().apply_update(update);
        match offered {
            UpdateOutcome::Applied => {
                tracing::info!(number = update.number, "configuration in force");
                self.notify.notify();
                NextFetch::Changes
            }
            UpdateOutcome::Ignored => NextFetch::Changes,
            UpdateOutcome::NeedsWhole => NextFetch::Full,
            UpdateOutcome::Unreadable(report) => {
                // The config group accepts only checked content, so this update was
                // checked by a newer version of the program.
                tracing::error!(number = update.number, %report, "configuration not understood");
                NextFetch::Changes
            }
        }
    }

    /// Waits until the active configuration has a number above `above`, and returns the
    /// number.
    pub async fn changed(&self, above: ConfigNumber) -> ConfigNumber {
        loop {
            let seen = self.notify.change_count();
            let number = self.number();
            if number > above {
                return number;
            }
            self.notify.changed(seen).await;
        }
    }

    /// Answers a peer's long poll for a newer configuration.
    pub async fn wait_for_update(&self, params: WaitConfigParams) -> Update {
        let wait = Duration::from_millis(params.wait_ms);
        // After a timeout the peer gets the active configuration, even if it is not
        // newer.
        let _ = compio::time::timeout(wait, self.changed(params.above)).await;
        let since = if params.whole { 0 } else { params.above };
        self.active.borrow().since(since)
    }
}
