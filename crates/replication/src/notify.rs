//! A notification that tasks of one thread wait for.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    task::{Poll, Waker},
};

/// Counts notifications and wakes the tasks that wait for the next one.
#[derive(Default)]
pub(crate) struct Notify {
    change_count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Returns the number of notifications so far. Read it before checking the
    /// state that the signal covers, and pass it to [`Signal::wait`].
    pub fn change_count(&self) -> u64 {
        self.change_count.get()
    }

    /// Wakes all waiting tasks.
    pub fn notify(&self) {
        self.change_count.set(self.change_count.get() + 1);
        self.wakers.take().into_iter().for_each(Waker::wake);
    }

    /// Waits until there are more notifications than the `seen` ones.
    pub fn changed(&self, since: u64) -> impl Future<Output = ()> + '_ {
        std::future::poll_fn(move |cx| {
            if self.change_count.get() != since {
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
