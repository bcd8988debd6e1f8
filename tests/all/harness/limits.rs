//! Limits the number of processes that the tests of a run have at once.

use std::sync::{Condvar, Mutex, PoisonError};

/// The maximum number of processes at once, stand-ins included.
const MAX_PROCESSES: usize = 40;

static FREE: Mutex<usize> = Mutex::new(MAX_PROCESSES);
static RELEASED: Condvar = Condvar::new();

/// A permit to run a number of processes, which is released on drop.
pub struct Permit(usize);

impl Permit {
    /// Waits until `count` more processes may run.
    pub fn acquire(count: usize) -> Self {
        let count = count.min(MAX_PROCESSES);
        let free = FREE.lock().unwrap_or_else(PoisonError::into_inner);
        let mut free =
            RELEASED.wait_while(free, |free| *free < count).unwrap_or_else(PoisonError::into_inner);
        *free -= count;
        Self(count)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *FREE.lock().unwrap_or_else(PoisonError::into_inner) += self.0;
        RELEASED.notify_all();
    }
}
