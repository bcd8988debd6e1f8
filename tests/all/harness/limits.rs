//! How many processes run at once over all tests of a run.

use std::sync::{Condvar, Mutex, PoisonError};

/// Most processes at once, stand-ins included.
const MOST: usize = 40;

static FREE: Mutex<usize> = Mutex::new(MOST);
static RETURNED: Condvar = Condvar::new();

/// The right to run some processes. Given back when dropped.
pub struct Permit(usize);

impl Permit {
    /// Waits until `count` more processes may run.
    pub fn take(count: usize) -> Self {
        let count = count.min(MOST);
        let free = FREE.lock().unwrap_or_else(PoisonError::into_inner);
        let mut free =
            RETURNED.wait_while(free, |free| *free < count).unwrap_or_else(PoisonError::into_inner);
        *free -= count;
        Self(count)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *FREE.lock().unwrap_or_else(PoisonError::into_inner) += self.0;
        RETURNED.notify_all();
    }
}
