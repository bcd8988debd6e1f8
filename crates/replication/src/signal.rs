//! A notification that tasks of one thread wait for.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    task::{Poll, Waker},
};

/// Counts notifications and wakes the tasks that wait for the next one.
#[derive(Default)]
pub(crate) struct Signal {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Returns the number of notifications so far. Read it before checking the
    /// state that the signal covers, and pass it to [`Signal::wait`].
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Wakes all waiting tasks.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        self.wakers.take().into_iter().for_each(Waker::wake);
    }

    /// Waits until there are more notifications than the `seen` ones.
    pub fn wait(&self, seen: u64) -> impl Future<Output = ()> + '_ {
        std::future::poll_fn(move |cx| {
            if self.count.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|w| w.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
    }
}
