//! The configuration in force at this process, which is the one with the highest
//! number seen so far.

use cyclamenloft_dispatch::notify::Notify;
use cyclamenloft_operator::{
    ActiveConfig, CheckedConfig, Update, UpdateOutcome, messages::ShowResponse,
};
use cyclamenloft_peer::calls::WaitConfigParams;
use cyclamenloft_types::ConfigNumber;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// The configuration in force. Its number never decreases. Clones share one
/// configuration.
#[derive(Clone, Default)]
pub struct CurrentConfig {
    in_force: Rc<RefCell<ActiveConfig>>,
    notify: Rc<Notify>,
}

/// What to request from a source next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextFetch {
    /// The changes since the number in force.
    Changes,
    /// The full configuration, because the changes do not apply to the one in force.
    Full,
}

impl CurrentConfig {
    /// Returns the number in force, or 0 before the first configuration.
    #[must_use]
    pub fn number(&self) -> ConfigNumber {
        self.in_force.borrow().number()
    }

    /// Returns the content in force, or the defaults before the first configuration.
    #[must_use]
    pub fn checked(&self) -> Rc<CheckedConfig> {
        self.in_force.borrow().checked()
    }

    /// Returns the configuration in force in the form that operators are shown.
    #[must_use]
    pub fn show(&self) -> ShowResponse {
        ShowResponse::from(&*self.in_force.borrow())
    }

    /// Brings an update into force unless its number or a higher one already is.
    /// Returns what to request from its source next.
    pub fn offer(&self, update: &Update) -> NextFetch {
        let offered = self.in_force.borrow_mut().apply_update(update);
        match offered {
            UpdateOutcome::Applied => {
                tracing::info!(number = update.number, "configuration in force");
                self.notify.notify();
                NextFetch::Changes
            }
            UpdateOutcome::Ignored => NextFetch::Changes,
            UpdateOutcome::NeedsWhole => NextFetch::Full,
            UpdateOutcome::Unreadable(report) => {
                // The config group accepts only checked content, so a program of a
                // newer version checked this update.
                tracing::error!(number = update.number, %report, "configuration not understood");
                NextFetch::Changes
            }
        }
    }

    /// Waits until a number above `above` is in force and returns it.
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
        // After a timeout the peer gets whatever is in force.
        let _ = compio::time::timeout(wait, self.changed(params.above)).await;
        let since = if params.whole { 0 } else { params.above };
        self.in_force.borrow().since(since)
    }
}
