//! Connections to targets: each thread keeps its own idle ones.

use crate::connection::{Connection, SendFailure, TargetBody, connect, send};
use cyclamenloft_http::Body;
use cyclamenloft_types::TargetId;
use http::{Request, Response};
use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Bounds on the connections of one thread.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Most idle connections that this thread keeps to one target.
    pub idle_per_target: usize,
    /// How long an idle connection is kept.
    pub idle_time: Duration,
    /// Longest time for a connection to be made.
    pub connect_timeout: Duration,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            idle_per_target: 8,
            idle_time: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
        }
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
}

#[derive(Default)]
struct Inner {
    idle: HashMap<(TargetId, SocketAddr), Vec<Idle>>,
}

/// The connections of one thread; clones share them.
#[derive(Clone)]
pub struct Pool {
    limits: PoolLimits,
    inner: Rc<RefCell<Inner>>,
}

impl Pool {
    /// A pool without connections.
    #[must_use]
    pub fn new(limits: PoolLimits) -> Self {
        Self { limits, inner: Rc::default() }
    }

    /// Sends `req` to the target at `addr` and waits for the answer's head. The
    /// connection comes back to the pool once the answer's body has ended.
    ///
    /// # Errors
    ///
    /// [`SendFailure::NotRun`] where no byte of the request was written,
    /// [`SendFailure::Unknown`] where the target may have received it.
    pub async fn send(
        &self,
        target: &TargetId,
        addr: SocketAddr,
        req: Request<Body>,
        now: Instant,
    ) -> Result<Response<TargetBody>, SendFailure> {
        let mut req = req;
        // An idle connection may have been closed by the target; a fresh one
        // decides then.
        while let Some(connection) = self.take_idle(target, addr, now) {
            match send(connection, req).await {
                Err(SendFailure::NotRun { req: Some(back), .. }) => req = *back,
                Ok((response, connection)) => {
                    return Ok(self.keep(target, addr, response, connection));
                }
                Err(failure) => return Err(failure),
            }
        }
        let connection = match connect(addr, self.limits.connect_timeout).await {
            Ok(connection) => connection,
            Err(detail) => {
                return Err(SendFailure::NotRun { req: Some(Box::new(req)), detail });
            }
        };
        let (response, connection) = send(connection, req).await?;
        Ok(self.keep(target, addr, response, connection))
    }

    /// Drops connections that have been idle for too long.
    pub fn trim(&self, now: Instant) {
        let mut inner = self.inner.borrow_mut();
        inner.idle.retain(|_, idle| {
            idle.retain(|i| now < i.since + self.limits.idle_time && i.connection.is_usable());
            !idle.is_empty()
        });
    }

    fn take_idle(&self, target: &TargetId, addr: SocketAddr, now: Instant) -> Option<Connection> {
        let mut inner = self.inner.borrow_mut();
        let idle = inner.idle.get_mut(&(target.clone(), addr))?;
        while let Some(candidate) = idle.pop() {
            let fresh = now < candidate.since + self.limits.idle_time;
            if fresh && candidate.connection.is_usable() {
                return Some(candidate.connection);
            }
        }
        None
    }

    fn keep(
        &self,
        target: &TargetId,
        addr: SocketAddr,
        response: Response<hyper::body::Incoming>,
        connection: Connection,
    ) -> Response<TargetBody> {
        let (pool, target) = (self.clone(), target.clone());
        let give_back = move |connection| pool.put_idle(target, addr, connection);
        response.map(|body| TargetBody::new(body, connection, Box::new(give_back)))
    }

    fn put_idle(&self, target: TargetId, addr: SocketAddr, connection: Connection) {
        let mut inner = self.inner.borrow_mut();
        let idle = inner.idle.entry((target, addr)).or_default();
        if idle.len() < self.limits.idle_per_target {
            idle.push(Idle { connection, since: Instant::now() });
        }
    }
}
