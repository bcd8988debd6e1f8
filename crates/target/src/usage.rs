//! Counts the open connections from an entry host to targets, over all its threads.

use std::{
    cell::Cell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

/// Totals of the connections of a host since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionTotals {
    /// Connections that were opened.
    pub made: u64,
    /// Connections that could not be opened.
    pub failed: u64,
    /// Attempts to get a connection that found all permitted connections in use.
    pub busy: u64,
}

#[derive(Default)]
struct Shared {
    targets: Mutex<HashMap<SocketAddr, Arc<AtomicUsize>>>,
    made: AtomicU64,
    failed: AtomicU64,
    busy: AtomicU64,
}

/// The count of connections from an entry host to targets, over all its threads.
#[derive(Clone)]
pub struct HostConnections {
    threads: usize,
    shared: Arc<Shared>,
}

impl HostConnections {
    /// Creates the count for a host on which `threads` pools share the targets.
    ///
    /// # Panics
    ///
    /// Panics if `threads` is 0.
    #[must_use]
    pub fn new(threads: usize) -> Self {
        assert!(threads > 0, "a host serves on at least one thread");
        Self { threads, shared: Arc::default() }
    }

    /// Returns the totals so far.
    #[must_use]
    pub fn totals(&self) -> ConnectionTotals {
        let read = |n: &AtomicU64| n.load(Ordering::Relaxed);
        let shared = &*self.shared;
        ConnectionTotals {
            made: read(&shared.made),
            failed: read(&shared.failed),
            busy: read(&shared.busy),
        }
    }

    /// Returns the number of open connections to the target at `addr`, over all
    /// threads.
    #[must_use]
    pub fn open(&self, addr: SocketAddr) -> usize {
        let targets = self.shared.targets.lock().unwrap_or_else(PoisonError::into_inner);
        targets.get(&addr).map_or(0, |n| n.load(Ordering::Relaxed))
    }

    /// Removes the counts of targets without open connections.
    pub fn remove_closed(&self) {
        let mut targets = self.shared.targets.lock().unwrap_or_else(PoisonError::into_inner);
        // A count that a thread still references may grow again, so it is kept.
        targets.retain(|_, n| Arc::strong_count(n) > 1 || n.load(Ordering::Relaxed) > 0);
    }

    pub(crate) fn count_made(&self) {
        self.shared.made.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_failed(&self) {
        self.shared.failed.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_busy(&self) {
        self.shared.busy.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a new connection counter of one thread for the target at `addr`. The
    /// count of the host is shared by all threads.
    pub(crate) fn target(&self, addr: SocketAddr) -> TargetUsage {
        let mut targets = self.shared.targets.lock().unwrap_or_else(PoisonError::into_inner);
        let host = targets.entry(addr).or_default().clone();
        TargetUsage { threads: self.threads, host, thread: Rc::default() }
    }
}

/// Counts the connections to one target, those of one thread and those of the whole host.
#[derive(Clone)]
pub(crate) struct TargetUsage {
    threads: usize,
    host: Arc<AtomicUsize>,
    thread: Rc<Cell<usize>>,
}

impl TargetUsage {
    /// Reserves one more connection. Returns `None` if the host would exceed `share`, or
    /// if the thread would exceed its equal part of `share`, which is at least one.
    pub(crate) fn reserve(&self, share: usize) -> Option<ConnectionGuard> {
        let thread_share = (share / self.threads).max(1);
        if self.thread.get() >= thread_share {
            return None;
        }
        let increment = |n| (n < share).then_some(n + 1);
        self.host.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment).ok()?;
        self.thread.set(self.thread.get() + 1);
        Some(ConnectionGuard(self.clone()))
    }

    /// Returns the number of connections of this thread.
    pub(crate) fn open(&self) -> usize {
        self.thread.get()
    }
}

/// Permission to have one connection open. Dropping it releases the permission.
pub(crate) struct ConnectionGuard(TargetUsage);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.host.fetch_sub(1, Ordering::Relaxed);
        self.0.thread.set(self.0.thread.get() - 1);
    }
}
