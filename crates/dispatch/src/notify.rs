//! Waking tasks of one thread when something they wait for has changed.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    task::{Poll, Waker},
};

/// Wakes every task that waits for a change.
#[derive(Debug, Default)]
pub struct Notify {
    changes: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl Notify {
    /// The number of changes so far; taken before looking at the state, so that
    /// no change between the look and the wait is missed.
    #[must_use]
    pub fn seen(&self) -> u64 {
        self.changes.get()
    }

    /// Wakes every waiting task.
    pub fn notify(&self) {
        self.changes.set(self.changes.get() + 1);
        self.waiting.borrow_mut().drain(..).for_each(Waker::wake);
    }

    /// Waits for a change past `seen`.
    pub async fn changed(&self, seen: u64) {
        poll_fn(|cx| {
            if self.changes.get() > seen {
                return Poll::Ready(());
            }
            let mut waiting = self.waiting.borrow_mut();
            if !waiting.iter().any(|w| w.will_wake(cx.waker())) {
                waiting.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
