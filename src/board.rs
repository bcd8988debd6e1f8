//! The configuration in force at this process: the highest number seen so far.

use crate::notify::Notify;
use cyclamenloft_operator::{Checked, ConfigFile, Deployment, Draft};
use cyclamenloft_peer::calls::{ConfigUpdate, WaitConfigParams};
use cyclamenloft_types::{ConfigNumber, Result};
use std::{cell::RefCell, rc::Rc, time::Duration};

#[derive(Default)]
struct InForce {
    number: ConfigNumber,
    checked: Option<Checked>,
}

/// The configuration in force; clones share it. Its number never falls.
#[derive(Clone, Default)]
pub struct ConfigBoard {
    in_force: Rc<RefCell<InForce>>,
    notify: Rc<Notify>,
}

impl ConfigBoard {
    /// The number in force; 0 before the first.
    #[must_use]
    pub fn number(&self) -> ConfigNumber {
        self.in_force.borrow().number
    }

    /// The content in force; the defaults before the first.
    #[must_use]
    pub fn deployment(&self) -> Deployment {
        let in_force = self.in_force.borrow();
        in_force.checked.as_ref().map(|c| c.deployment().clone()).unwrap_or_default()
    }

    /// Takes `files` into force unless a configuration with the same or a
    /// higher number is. Returns whether it changed anything.
    ///
    /// # Errors
    ///
    /// The content has errors; what was in force stays.
    pub fn offer(&self, number: ConfigNumber, files: &[ConfigFile]) -> Result<bool> {
        if number <= self.number() {
            return Ok(false);
        }
        let checked = Draft::from_files(files.to_vec()).check()?;
        let mut in_force = self.in_force.borrow_mut();
        in_force.number = number;
        in_force.checked = Some(checked);
        drop(in_force);
        tracing::info!(number, "configuration in force");
        self.notify.notify();
        Ok(true)
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
    pub async fn answer_wait(&self, params: WaitConfigParams) -> ConfigUpdate {
        let wait = Duration::from_millis(params.wait_ms);
        // Whether the time ran out or not, the answer is what is in force.
        let _ = compio::time::timeout(wait, self.changed(params.above)).await;
        let in_force = self.in_force.borrow();
        let newer = in_force.number > params.above;
        let files = in_force.checked.as_ref().filter(|_| newer).map(|c| c.files().to_vec());
        ConfigUpdate { number: in_force.number, files }
    }
}
