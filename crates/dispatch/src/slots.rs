//! A bound on what goes on at the same time. Whoever waits longest gets the next free slot.

use futures_channel::oneshot;
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Instant,
};

/// A number of slots.
pub(crate) struct Slots(Rc<State>);

struct State {
    free: Cell<usize>,
    waiting: RefCell<VecDeque<oneshot::Sender<Slot>>>,
}

impl Slots {
    pub fn new(count: usize) -> Self {
        Self(Rc::new(State { free: Cell::new(count), waiting: RefCell::default() }))
    }

    /// Waits for a slot until `until`.
    pub async fn acquire(&self, until: Instant) -> Option<Slot> {
        if let Some(free) = self.0.free.get().checked_sub(1) {
            self.0.free.set(free);
            return Some(Slot(Some(self.0.clone())));
        }
        let (tx, rx) = oneshot::channel();
        self.0.waiting.borrow_mut().push_back(tx);
        compio::time::timeout_at(until, rx).await.ok()?.ok()
    }
}

/// A slot in use, which is handed on when it is dropped.
pub(crate) struct Slot(Option<Rc<State>>);

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(state) = self.0.take() else { return };
        loop {
            let next = state.waiting.borrow_mut().pop_front();
            let Some(tx) = next else { break };
            let Err(mut unused) = tx.send(Slot(Some(state.clone()))) else { return };
            // The receiver has given up. Dropping the slot would hand it on a second time.
            unused.0 = None;
        }
        state.free.set(state.free.get() + 1);
    }
}
