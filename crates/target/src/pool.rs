//! The pool of connections to targets. Each thread has its own pool; the limit on
//! connections to one target applies to the whole host.

use crate::{
    connection::{Acquired, Connection, connect},
    failure::{NoConnection, NoConnectionCause},
    usage::{ConnectionGuard, HostConnections, TargetUsage},
};
use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Limits on the connections of one thread.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Maximum number of open connections to all targets.
    pub connections: usize,
    /// How long an idle connection is kept.
    pub idle_timeout: Duration,
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            connections: 8192,
            idle_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
        }
    }
}

/// The address of a target and how many connections the host may open to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The address of the target.
    pub addr: SocketAddr,
    /// Maximum number of connections that this host may open to the target: its share
    /// of the target's limit.
    pub connections: u16,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

struct TargetConnections {
    usage: TargetUsage,
    /// Idle connections, the most recently used last. The last one is reused first, so
    /// that unneeded connections reach the idle timeout.
    idle: Vec<Idle>,
}

struct Inner {
    targets: HashMap<SocketAddr, TargetConnections>,
}

enum Choice {
    Connection(Connection),
    Open(ConnectionGuard),
    Busy,
}

/// The connection pool of one thread. Clones share the connections.
#[derive(Clone)]
pub struct Pool {
    limits: PoolLimits,
    host: HostConnections,
    inner: Rc<RefCell<Inner>>,
}

impl Pool {
    /// Creates an empty pool whose connections are counted in `host`.
    #[must_use]
    pub fn new(limits: PoolLimits, host: HostConnections) -> Self {
        let inner = Inner { targets: HashMap::new() };
        Self { limits, host, inner: Rc::new(RefCell::new(inner)) }
    }

    /// Returns an idle or new connection to the target at `to`.
    ///
    /// # Errors
    ///
    /// Returns the reason why no connection is available; nothing has been sent.
    pub async fn acquire(
        &self,
        to: Endpoint,
        deadline: Instant,
        now: Instant,
    ) -> Result<Acquired, NoConnection> {
        loop {
            let (connection, fresh) = match self.choose(to, now) {
                Choice::Open(guard) => (self.open(to.addr, guard, deadline, now).await?, true),
                Choice::Busy => {
                    self.host.count_busy();
                    return Err(NoConnection {
                        cause: NoConnectionCause::Busy,
                        detail: format!(
                            "all {} connections to {} are in use",
                            to.connections, to.addr
                        )
                        .into(),
                    });
                }
                Choice::Connection(mut connection) => {
                    let until = deadline.min(now + self.limits.connect_timeout);
                    if !connection.is_ready() && !becomes_ready(&mut connection, until).await {
                        continue;
                    }
                    (connection, false)
                }
            };
            return Ok(Acquired { connection, addr: to.addr, pool: self.clone(), fresh });
        }
    }

    /// Closes connections that have been idle for too long or whose target is no
    /// longer `live`.
    pub fn trim(&self, now: Instant, live: impl Fn(SocketAddr) -> bool) {
        let idle_timeout = self.limits.idle_timeout;
        let mut closed: Vec<Idle> = Vec::new();
        self.inner.borrow_mut().targets.retain(|addr, target| {
            let live = live(*addr);
            let keeps =
                |i: &mut Idle| live && now < i.since + idle_timeout && !i.connection.is_closed();
            closed.extend(target.idle.extract_if(.., |i| !keeps(i)));
            !target.idle.is_empty() || target.usage.open() > 0
        });
        self.host.remove_closed();
    }

    /// Returns the number of idle connections of this thread.
    #[must_use]
    pub fn idle(&self) -> usize {
        self.inner.borrow().targets.values().map(|t| t.idle.len()).sum()
    }

    /// Chooses, in this order, an idle connection that is ready, permission to open a new
    /// one, or an idle connection that will be ready soon. If there is none of these, the
    /// choice is `Busy`.
    fn choose(&self, to: Endpoint, now: Instant) -> Choice {
        let mut inner = self.inner.borrow_mut();
        let host = &self.host;
        let target = inner
            .targets
            .entry(to.addr)
            .or_insert_with(|| TargetConnections { usage: host.target(to.addr), idle: Vec::new() });
        let idle_timeout = self.limits.idle_timeout;
        target.idle.retain(|i| now < i.since + idle_timeout && !i.connection.is_closed());
        if let Some(at) = target.idle.iter().rposition(|i| i.connection.is_ready()) {
            return Choice::Connection(target.idle.remove(at).connection);
        }
        let reserved = target.usage.reserve(to.connections.into());
        match reserved {
            Some(guard) => {
                self.make_room(&mut inner).map_or(Choice::Busy, |()| Choice::Open(guard))
            }
            None => target.idle.pop().map_or(Choice::Busy, |i| Choice::Connection(i.connection)),
        }
    }

    /// Closes the connection that has been idle the longest if the thread exceeds its
    /// limit, with the connection about to be opened counted. Returns `None` if the
    /// thread exceeds its limit and has no idle connection.
    fn make_room(&self, inner: &mut Inner) -> Option<()> {
        let open: usize = inner.targets.values().map(|t| t.usage.open()).sum();
        if open <= self.limits.connections {
            return Some(());
        }
        let oldest = inner
            .targets
            .values_mut()
            .filter(|t| !t.idle.is_empty())
            .min_by_key(|t| t.idle.first().map(|i| i.since))?;
        oldest.idle.remove(0);
        Some(())
    }

    async fn open(
        &self,
        addr: SocketAddr,
        guard: ConnectionGuard,
        deadline: Instant,
        now: Instant,
    ) -> Result<Connection, NoConnection> {
        let limit = now + self.limits.connect_timeout;
        match connect(addr, guard, deadline.min(limit)).await {
            Ok(connection) => {
                self.host.count_made();
                Ok(connection)
            }
            Err(mut e) => {
                self.host.count_failed();
                // A timeout counts as a failure of the target only if it was the
                // connect timeout of the pool, not the deadline of the request.
                if limit <= deadline {
                    e.cause = NoConnectionCause::Connect;
                }
                Err(e)
            }
        }
    }

    /// Returns a connection to the pool after its response is complete.
    pub(crate) fn put_idle(&self, addr: SocketAddr, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut inner = self.inner.borrow_mut();
        if let Some(target) = inner.targets.get_mut(&addr) {
            target.idle.push(Idle { connection, since: Instant::now() });
        }
    }
}

/// Waits for a connection whose last request is about to end. Returns whether the
/// connection can carry a request; false if it closed or `until` passed.
async fn becomes_ready(connection: &mut Connection, until: Instant) -> bool {
    compio::time::timeout_at(until, connection.ready()).await.unwrap_or(false)
}
