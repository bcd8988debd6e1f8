//! Change notification between the tasks of one thread.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    task::{Poll, Waker},
};

/// Counts changes and wakes all tasks that wait for one.
#[derive(Debug, Default)]
pub struct Notify {
    change_count: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Returns the number of changes so far. Read it before the state, so that no
    /// change between reading the state and [`Self::changed`] is missed.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.change_count.get()
    }

    /// Counts a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.change_count.set(self.change_count.get() + 1);
        self.waiting.borrow_mut().drain(..).for_each(Waker::wake);
    }

    /// Waits until the number of changes exceeds `since`.
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
