//! The configuration in force at this process: the highest number seen so far.

use cyclamenloft_dispatch::notify::Notify;
use cyclamenloft_operator::{Checked, InForce, Offered, Update, messages::ShowAnswer};
use cyclamenloft_peer::calls::WaitConfigParams;
use cyclamenloft_types::ConfigNumber;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// The configuration in force; clones share it. Its number never falls.
#[derive(Clone, Default)]
pub struct CurrentConfig {
    in_force: Rc<RefCell<InForce>>,
    notify: Rc<Notify>,
}

/// What a source should be asked next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextFetch {
    /// For changes past the number in force.
    Changes,
    /// For the whole, since the changes did not fit.
    Full,
}

impl CurrentConfig {
    /// The number in force; 0 before the first.
    #[must_use]
    pub fn number(&self) -> ConfigNumber {
        self.in_force.borrow().number()
    }

    /// The content in force; the defaults before the first.
    #[must_use]
    pub fn checked(&self) -> Rc<Checked> {
        self.in_force.borrow().checked()
    }

    /// What operators are shown.
    #[must_use]
    pub fn show(&self) -> ShowAnswer {
        ShowAnswer::from(&*self.in_force.borrow())
    }

    /// Takes an update into force unless the same or a higher number is.
    pub fn offer(&self, update: &Update) -> NextFetch {
        let offered = self.in_force.borrow_mut().offer(update);
        match offered {
            Offered::Applied => {
                tracing::info!(number = update.number, "configuration in force");
                self.notify.notify();
                NextFetch::Changes
            }
            Offered::Ignored => NextFetch::Changes,
            Offered::NeedsWhole => NextFetch::Full,
            Offered::Unreadable(report) => {
                // The group accepts checked content only; this version of the
                // program is older than the one that checked it.
                tracing::error!(number = update.number, %report, "configuration not understood");
                NextFetch::Changes
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
    pub async fn wait_for_update(&self, params: WaitConfigParams) -> Update {
        let wait = Duration::from_millis(params.wait_ms);
        // Whether the time ran out or not, the answer is what is in force.
        let _ = compio::time::timeout(wait, self.changed(params.above)).await;
        let since = if params.whole { 0 } else { params.above };
        self.in_force.borrow().since(since)
    }
}
