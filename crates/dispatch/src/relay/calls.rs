//! Calls to one incarnation of a worker, by whichever replica holds it.

use super::{
    WorkerCall, WorkerEndpoint,
    holders::Holder,
    session::{Relays, Session},
};
use crate::port::{OrderCall, OrderResponse, PollCall, Port};
use cyclamenloft_placement::submission::{Observation, WorkerInfo, fleet::OrderAnswer};
use cyclamenloft_types::{DomainName, Result, Term};
use std::{cell::RefCell, rc::Rc};

/// How calls reach the worker.
enum Path<P: Port> {
    Direct(Rc<P::Connection>),
    Relayed(Rc<Session>),
}

/// The present holder of a worker, and how it makes calls.
pub(crate) struct Route<P: Port> {
    holder: Holder,
    path: Path<P>,
}

impl<P: Port> Route<P> {
    /// Returns the fencing token of all calls over this route.
    pub fn token(&self) -> Term {
        self.holder.token
    }

    /// Returns whether the replica that made the calls doesn't make them any more.
    pub fn is_closed(&self) -> bool {
        matches!(&self.path, Path::Relayed(session) if session.is_closed())
    }
}

/// Calls one incarnation of a worker.
pub(crate) struct WorkerCaller<P: Port> {
    endpoint: WorkerEndpoint,
    domain: DomainName,
    route: RefCell<Option<Rc<Route<P>>>>,
}

impl<P: Port> WorkerCaller<P> {
    pub fn new(worker: &WorkerInfo) -> Self {
        let domain = worker.domain.clone();
        Self { endpoint: worker.into(), domain, route: RefCell::new(None) }
    }

    /// Returns the worker's failure domain.
    pub fn domain(&self) -> &str {
        &self.domain
    }

    /// Returns the present route, or `None` before the first poll.
    pub fn route(&self) -> Option<Rc<Route<P>>> {
        self.route.borrow().clone()
    }

    /// Returns the route for the next poll, and whether its holder is another one than before.
    pub fn choose_route(&self, port: &P, relays: &Relays) -> (Rc<Route<P>>, bool) {
        let known = self.route();
        let (holder, session) = relays.next_holder(&self.domain, &self.endpoint);
        if let Some(route) = known.filter(|r| r.holder == holder) {
            return (route, false);
        }
        let path = match session {
            Some(session) => Path::Relayed(session),
            None => Path::Direct(Rc::new(port.connection(&self.endpoint))),
        };
        let route = Rc::new(Route { holder, path });
        self.route.replace(Some(route.clone()));
        (route, true)
    }

    /// Polls the worker.
    ///
    /// # Errors
    ///
    /// Those of [`crate::WorkerPort::poll`], and `NotReached` if the route has closed.
    pub async fn poll(
        &self,
        port: &P,
        route: &Route<P>,
        call: PollCall,
    ) -> Result<(Observation, u64)> {
        match &route.path {
            Path::Direct(connection) => port.poll(connection, call).await,
            Path::Relayed(session) => {
                let token = call.token;
                let call = WorkerCall::Poll {
                    lease_end_ms: call.lease_end_ms,
                    acknowledged: call.acknowledged,
                    wait_ms: u32::try_from(call.wait.as_millis()).unwrap_or(u32::MAX),
                };
                session.call(self.endpoint.clone(), token, call).await?.into_polled()
            }
        }
    }

    /// Sends an order.
    pub async fn order(&self, port: &P, route: &Route<P>, call: OrderCall) -> OrderResponse {
        let session = match &route.path {
            Path::Direct(connection) => return port.order(connection, &call).await,
            Path::Relayed(session) => session,
        };
        let OrderCall { order, token, payload, checkpoint, ticket, lease_end_ms } = call;
        let call = WorkerCall::Order { order, payload, checkpoint, ticket, lease_end_ms };
        match session.call(self.endpoint.clone(), token, call).await {
            Ok(super::CallAnswer::Ordered(answer, detail)) => OrderResponse { answer, detail },
            Ok(_) => OrderResponse {
                answer: OrderAnswer::Unanswered,
                detail: "an order got a poll's answer".into(),
            },
            Err(e) if e.kind.is_not_sent() => {
                OrderResponse { answer: OrderAnswer::NotSent, detail: e.detail }
            }
            Err(e) => OrderResponse { answer: OrderAnswer::Unanswered, detail: e.detail },
        }
    }
}
