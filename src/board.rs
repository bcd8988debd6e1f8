//! The configuration in force at this process: the highest number seen so far.

use cyclamenloft_dispatch::notify::Notify;
use cyclamenloft_operator::{
    ActiveConfig, CheckedConfig, Update, UpdateOutcome, messages::ShowResponse,
};
use cyclamenloft_peer::calls::WaitConfigParams;
use cyclamenloft_types::ConfigNumber;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// The configuration in force; clones share it. Its number never falls.
#[derive(Clone, Default)]
pub struct ConfigBoard {
    in_force: Rc<RefCell<ActiveConfig>>,
    notify: Rc<Notify>,
}

/// What a source should be asked next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// For changes past the number in force.
    Changes,
    /// For the whole, since the changes did not fit.
    Whole,
}

impl ConfigBoard {
    /// The number in force; 0 before the first.
    #[must_use]
    pub fn number(&self) -> ConfigNumber {
        self.in_force.borrow().number()
    }

    /// The content in force; the defaults before the first.
    #[must_use]
    pub fn checked(&self) -> Rc<CheckedConfig> {
        self.in_force.borrow().checked()
    }

    /// What operators are shown.
    #[must_use]
    pub fn show(&self) -> ShowResponse {
        ShowResponse::from(&*self.in_force.borrow())
    }

    /// Takes an update into force unless the same or a higher number is.
    pub fn offer(&self, update: &Update) -> Next {
        let offered = self.in_force.borrow_mut().apply_update(update);
        match offered {
            UpdateOutcome::Applied => {
                tracing::info!(number = update.number, "configuration in force");
                self.notify.notify();
                Next::Changes
            }
            UpdateOutcome::Ignored => Next::Changes,
            UpdateOutcome::NeedsWhole => Next::Whole,
            UpdateOutcome::Unreadable(report) => {
                // The group accepts checked content only; this version of the
                // program is older than the one that checked it.
                tracing::error!(number = update.number, %report, "configuration not understood");
                Next::Changes
            }
        }
    }

    /// Waits until a number above `above` is in force.
    pub async fn changed(&self, above: ConfigNumber) -> ConfigNumber {
        loop {
            let seen = self.notify.seen();
            let number = self.number();
            if number > above {
                return number;
            }
            self.notify.changed(seen).await;
        }
    }

    /// Answers a peer that waits for a newer configuration.
    pub async fn answer_wait(&self, params: WaitConfigParams) -> Update {
        let wait = Duration::from_millis(params.wait_ms);
        // Whether the time ran out or not, the answer is what is in force.
        let _ = compio::time::timeout(wait, self.changed(params.above)).await;
        let since = if params.whole { 0 } else { params.above };
        self.in_force.borrow().since(since)
    }
}
