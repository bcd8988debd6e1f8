//! Waking tasks of one thread when something they wait for has changed.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    task::{Poll, Waker},
};

/// Wakes every task that waits for a change.
#[derive(Debug, Default)]
pub struct Notify {
    change_count: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl Notify {
    /// The number of changes so far; taken before looking at the state, so that
    /// no change between the look and the wait is missed.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.change_count.get()
    }

    /// Wakes every waiting task.
    pub fn notify(&self) {
        self.change_count.set(self.change_count.get() + 1);
        self.waiting.borrow_mut().drain(..).for_each(Waker::wake);
    }

    /// Waits for a change past `since`.
    pub async fn changed(&self, since: u64) {
        poll_fn(|cx| {
            if self.change_count.get() > since {
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
