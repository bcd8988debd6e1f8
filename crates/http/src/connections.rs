//! The open connections of a listener. When there are as many as may be open, a new one takes the
//! place of the one that has waited longest for its client.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::poll_fn,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

/// Time between two checks for a place while all connections are busy.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of a connection of a listener.
pub(crate) type ConnectionId = u64;

/// Time without progress after which a response that its client doesn't read may be given up for
/// another connection.
const RESPONSE_STALL_TIME: Duration = Duration::from_secs(1);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for its client: for a request, or for the rest of a body.
    Client,
    /// A handler works on a request.
    Handler,
    /// It sends a response.
    Response,
}

/// The state of one open connection.
#[derive(Debug)]
pub(crate) struct Connection {
    phase: Cell<Phase>,
    /// When the phase began.
    since: Cell<Instant>,
    /// Since when the client hasn't read, if it doesn't.
    stalled: Cell<Option<Instant>>,
    closing: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Connection {
    pub fn new(now: Instant) -> Self {
        Self {
            phase: Cell::new(Phase::Client),
            since: Cell::new(now),
            stalled: Cell::default(),
            closing: Cell::default(),
            waker: RefCell::default(),
        }
    }

    /// Records that a handler works on a request.
    pub fn begin_handling(&self) {
        self.phase.set(Phase::Handler);
    }

    /// Records that a response is sent, until the connection waits for its client again.
    pub fn begin_response(&self) {
        self.phase.set(Phase::Response);
    }

    /// Records since when the client hasn't read what is written, or that it reads.
    pub fn set_stalled(&self, since: Option<Instant>) {
        self.stalled.set(since);
    }

    /// Returns since when the connection has waited for its client, if it does.
    fn waits_since(&self, now: Instant) -> Option<Instant> {
        let is_long =
            |since: &Instant| now.saturating_duration_since(*since) >= RESPONSE_STALL_TIME;
        match self.phase.get() {
            Phase::Client => Some(self.since.get()),
            Phase::Response => self.stalled.get().filter(is_long),
            Phase::Handler => None,
        }
    }

    /// Records that the connection waits for its client.
    pub fn await_client(&self, now: Instant) {
        self.phase.set(Phase::Client);
        self.since.set(now);
    }

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

/// The open connections of one listener.
#[derive(Debug)]
pub(crate) struct Connections {
    limit: usize,
    open: RefCell<BTreeMap<ConnectionId, Rc<Connection>>>,
    /// Number of connections that have not ended, with those that are being closed.
    count: Cell<usize>,
    last_id: Cell<ConnectionId>,
    /// Whether a new connection waits for a place.
    is_wanted: Cell<bool>,
    /// Woken when a connection ends.
    waker: RefCell<Option<Waker>>,
}

impl Connections {
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: RefCell::default(),
            count: Cell::default(),
            last_id: Cell::default(),
            is_wanted: Cell::default(),
            waker: RefCell::default(),
        }
    }

    /// Adds a connection, if need be in place of another one. Returns `None` if no other one waits
    /// for its client.
    pub fn add(&self, now: Instant) -> Option<(ConnectionId, Rc<Connection>)> {
        let mut open = self.open.borrow_mut();
        if open.len() >= self.limit {
            let waiting = open.iter().filter_map(|(id, c)| Some((c.waits_since(now)?, *id, c)));
            let (_, id, longest) = waiting.min_by_key(|(since, id, _)| (*since, *id))?;
            let longest = longest.clone();
            open.remove(&id);
            longest.close();
        }
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let connection = Rc::new(Connection::new(now));
        open.insert(id, connection.clone());
        self.count.set(self.count.get() + 1);
        Some((id, connection))
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, id: ConnectionId) {
        self.open.borrow_mut().remove(&id);
        self.count.set(self.count.get() - 1);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until a new connection finds a place, and until the connections have ended whose places
    /// others have taken. Until then, each takes a descriptor.
    pub async fn until_room(&self) {
        while !self.has_room(Instant::now()) {
            self.is_wanted.set(true);
            // A connection may also begin to wait for its client, without an end.
            let _ = compio::time::timeout(RECHECK_INTERVAL, self.until_one_ends()).await;
        }
        self.is_wanted.set(false);
    }

    async fn until_one_ends(&self) {
        let count = self.count.get();
        poll_fn(|cx| {
            if self.count.get() < count {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    fn has_room(&self, now: Instant) -> bool {
        let count = self.count.get();
        let waits = |c: &Rc<Connection>| c.waits_since(now).is_some();
        count < self.limit || (count == self.limit && self.open.borrow().values().any(waits))
    }

    /// Returns whether a connection whose request was handled is to be closed, since a new one waits
    /// for its place. A client that has sent its next requests already would keep it for itself.
    pub fn take_wanted(&self) -> bool {
        self.is_wanted.replace(false)
    }

    /// Returns the number of connections that have not ended.
    pub fn count(&self) -> usize {
        self.count.get()
    }
}

#[cfg(test)]
#[allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]
mod tests;
