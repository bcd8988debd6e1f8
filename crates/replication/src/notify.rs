//! Change notification between the tasks of one thread.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    task::{Poll, Waker},
};

/// Counts changes and wakes all tasks that wait for one.
#[derive(Default)]
pub(crate) struct Notify {
    change_count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Returns the number of changes so far. Read it before the state and pass
    /// it to [`Notify::changed`], so that no change between the two is missed.
    pub fn change_count(&self) -> u64 {
        self.change_count.get()
    }

    /// Counts a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.change_count.set(self.change_count.get() + 1);
        self.wakers.take().into_iter().for_each(Waker::wake);
    }

    /// Waits until the number of changes differs from `since`.
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
