//! The state of an open connection.

use std::{
    cell::{Cell, RefCell},
    task::{Context, Poll, Waker},
};

/// The state of one open connection.
#[derive(Debug, Default)]
pub(crate) struct Connection {
    closing: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Connection {
    /// Closes the connection.
    pub fn close(&self) {
        self.closing.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Returns whether the connection is to be closed.
    #[cfg(test)]
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Returns `Ready` once the connection is to be closed.
    pub fn poll_closing(&self, cx: &Context<'_>) -> Poll<()> {
        if self.closing.get() {
            return Poll::Ready(());
        }
        let mut waker = self.waker.borrow_mut();
        if waker.as_ref().is_none_or(|known| !known.will_wake(cx.waker())) {
            *waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }
}
