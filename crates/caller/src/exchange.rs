//! The states of one request: queued, dispatched, answered.
//!
//! A [`Queued`] request has not been handed to a connection, so only this state
//! can end in a refusal that says `not-run`. A [`Dispatched`] request returns to the
//! queue only if the connection hands the request back, which proves that
//! nothing was written, or if the request may run more than once.

use crate::{
    decision_log::{self, RequestContext},
    gate::{Gate, refusal},
    hedge::{self, RaceResult},
    hop::{HopClient, HopFailure, HopRule},
    outgoing::{OutgoingRequest, set_deadline},
    permit::{InFlightSlot, ReservedSlot},
    upload::CallerFault,
};
use cyclamenloft_http::Body;
use cyclamenloft_routing::{Refusal, RequestMeta};
use cyclamenloft_target::{
    Acquired, LostResponse, NoConnection, NoConnectionCause, Pool, SendFailure, TargetBody,
    UnsentRequest,
};
use cyclamenloft_types::{ErrorKind, Outcome, TargetId};
use http::{Request, Response};
use std::{rc::Rc, sync::Arc, time::Instant};

/// The data that a request keeps in all states.
pub(crate) struct Exchange {
    pub(crate) gate: Arc<Gate>,
    pub(crate) pool: Pool,
    pub(crate) meta: RequestMeta,
    pub(crate) context: Rc<RequestContext>,
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) fault: CallerFault,
    /// Hop client and hop rule for this request; `None` if it must not be handed to
    /// another entry host.
    pub(crate) spill: Option<Rc<Spill>>,
}

/// The client and the rule with which requests are handed to other entry hosts.
pub(crate) struct Spill {
    pub(crate) client: HopClient,
    pub(crate) rule: Rc<dyn HopRule>,
}

/// The outcome of the attempts so far.
#[derive(Default)]
struct AttemptHistory {
    failed: Vec<TargetId>,
    /// The latest attempt that may have run, or `None` if there is none. Once this is
    /// set, the request must not be reported as not run.
    lost: Option<LostResponse>,
}

impl AttemptHistory {
    fn outcome(&self) -> Outcome {
        if self.lost.is_some() { Outcome::Unknown } else { Outcome::NotRun }
    }
}

/// A request that waits for a slot and has not been handed to a connection.
pub(crate) struct Queued {
    exchange: Box<Exchange>,
    history: AttemptHistory,
    /// The request that a connection handed back unsent; `None` if the next attempt
    /// needs a new copy.
    unsent: Option<Request<Body>>,
    /// The slot that the request kept from the previous attempt; `None` if it has to
    /// wait for one.
    reserved: Option<ReservedSlot>,
}

/// A request with a slot and the connection that will carry it.
pub(crate) struct Dispatched {
    exchange: Box<Exchange>,
    history: AttemptHistory,
    req: Request<Body>,
    slot: InFlightSlot,
    connection: Acquired,
}

/// A request for which the response head has arrived.
pub(crate) struct Answered {
    pub(crate) response: Response<TargetBody>,
    /// The slot of this host; `None` if the request was handed to another entry host,
    /// which holds the slot.
    pub(crate) slot: Option<InFlightSlot>,
    pub(crate) context: Rc<RequestContext>,
}

/// A request that this host refuses; another entry host may accept it.
struct Refused {
    queued: Queued,
    refusal: Refusal,
}

/// The result of an attempt that got no response.
enum Unanswered {
    /// The request may be tried again.
    Retry(Box<Queued>),
    /// The request ends with this refusal.
    Final(Refusal),
}

/// Runs a request until a response head arrives or the request is refused.
///
/// # Errors
///
/// Returns the refusal; its kind states whether the request may have run.
pub(crate) async fn run(exchange: Box<Exchange>) -> Result<Answered, Refusal> {
    let mut queued = Queued::new(exchange, AttemptHistory::default());
    loop {
        let ended = match queued.dispatch().await {
            Ok(dispatched) => dispatched.send().await,
            Err(refused) => refused.hand_over().await,
        };
        match ended {
            Ok(answered) => return Ok(answered),
            Err(Unanswered::Retry(retry)) => queued = *retry,
            Err(Unanswered::Final(refusal)) => return Err(refusal),
        }
    }
}

impl Queued {
    fn new(exchange: Box<Exchange>, history: AttemptHistory) -> Self {
        Self { exchange, history, unsent: None, reserved: None }
    }

    /// Waits for a slot and a connection.
    async fn dispatch(mut self) -> Result<Dispatched, Box<Refused>> {
        loop {
            let ended = match self.reserve().await {
                Ok(reserved) => match self.connect(&reserved).await {
                    Ok(connection) => return self.into_dispatched(reserved, connection),
                    Err(e) => self.handle_no_connection(reserved, e).await,
                },
                Err(refusal) => Err(refusal),
            };
            if let Err(refusal) = ended {
                return Err(Box::new(Refused { queued: self, refusal }));
            }
        }
    }

    async fn reserve(&mut self) -> Result<ReservedSlot, Refusal> {
        if let Some(reserved) = self.reserved.take() {
            return Ok(reserved);
        }
        let Exchange { gate, meta, .. } = &*self.exchange;
        let entered = gate.enter(meta.clone(), &self.history.failed, Instant::now()).await;
        entered.map_err(|refusal| self.refuse(refusal))
    }

    async fn connect(&self, reserved: &ReservedSlot) -> Result<Acquired, NoConnection> {
        let Exchange { gate, pool, meta, .. } = &*self.exchange;
        let to = gate.endpoint(reserved.permit());
        pool.acquire(to, meta.deadline, Instant::now()).await
    }

    fn into_dispatched(
        mut self,
        reserved: ReservedSlot,
        connection: Acquired,
    ) -> Result<Dispatched, Box<Refused>> {
        let Some(req) = self.next_request() else {
            return Err(Box::new(Refused { queued: self, refusal: unrepeatable() }));
        };
        let Self { exchange, history, .. } = self;
        Ok(Dispatched { exchange, history, req, slot: reserved.dispatch(), connection })
    }

    /// Returns the request for the next attempt, or `None` if it can't be sent
    /// again.
    fn next_request(&mut self) -> Option<Request<Body>> {
        let (now, deadline) = (Instant::now(), self.exchange.meta.deadline);
        let Some(mut req) = self.unsent.take() else {
            return self.exchange.outgoing.next(deadline, now);
        };
        set_deadline(req.headers_mut(), deadline.saturating_duration_since(now));
        Some(req)
    }

    /// Releases a slot for which there was no connection, then waits until the request
    /// may be retried, or refuses it.
    async fn handle_no_connection(
        &mut self,
        reserved: ReservedSlot,
        e: NoConnection,
    ) -> Result<(), Refusal> {
        let target = reserved.permit().target.clone();
        decision_log::attempt(
            &self.exchange.context,
            reserved.permit(),
            Outcome::NotRun,
            &e.detail,
        );
        reserved.finish(e.cause != NoConnectionCause::Connect, Instant::now());
        if e.cause == NoConnectionCause::Deadline {
            return Err(self.refuse(refusal(ErrorKind::DeadlinePassed, e.detail)));
        }
        self.history.failed.push(target);
        self.wait_before_retry(e.detail).await
    }

    /// Waits for the delay that the retry policy sets, or refuses the request.
    async fn wait_before_retry(&self, detail: Box<str>) -> Result<(), Refusal> {
        let Exchange { gate, meta, .. } = &*self.exchange;
        let AttemptHistory { failed, .. } = &self.history;
        match gate.retry(meta, failed, self.history.outcome(), Instant::now()) {
            Ok(delay) if delay.is_zero() => Ok(()),
            Ok(delay) => {
                compio::time::sleep(delay).await;
                Ok(())
            }
            Err(reason) => {
                let detail = format!("{detail} ({reason})");
                Err(self.refuse(refusal(ErrorKind::NoTarget, detail)))
            }
        }
    }

    /// Returns the refusal that ends the request. If an earlier attempt may have
    /// run, the refusal says so, regardless of `last`.
    fn refuse(&self, last: Refusal) -> Refusal {
        match &self.history.lost {
            Some(lost) => lost_refusal(lost),
            None => last,
        }
    }
}

impl Refused {
    /// Hands the request to another entry host if the hop rule names one; otherwise
    /// returns the refusal. A request that the other host did not run is queued on this
    /// host again.
    async fn hand_over(mut self: Box<Self>) -> Result<Answered, Unanswered> {
        let Exchange { meta, context, spill, .. } = &*self.queued.exchange;
        let (context, spill) = (context.clone(), spill.clone());
        let chosen = spill.and_then(|spill| {
            let hop = spill.rule.choose(&context.service, meta, &self.refusal, Instant::now());
            hop.map(|hop| (spill, hop))
        });
        let Some((spill, hop)) = chosen else {
            return Err(self.into_final());
        };
        let Some(req) = self.queued.next_request() else {
            return Err(self.into_final());
        };
        let meta = &self.queued.exchange.meta;
        match spill.client.send(&hop, req, &context.service, meta).await {
            Ok(response) => {
                decision_log::hop(&context, &hop, Outcome::Done, "");
                Ok(Answered { response, slot: None, context })
            }
            Err(HopFailure::NotRun { detail }) => {
                decision_log::hop(&context, &hop, Outcome::NotRun, &detail);
                Err(self.requeue_locally())
            }
            Err(HopFailure::Unknown(lost)) => {
                decision_log::hop(&context, &hop, Outcome::Unknown, &lost.detail);
                self.queued.history.lost = Some(lost);
                Err(self.into_final())
            }
        }
    }

    /// Queues the request on this host again, and prevents that it is handed over once
    /// more.
    fn requeue_locally(self: Box<Self>) -> Unanswered {
        if !self.queued.exchange.outgoing.is_repeatable() {
            return self.into_final();
        }
        let mut queued = self.queued;
        queued.exchange.spill = None;
        queued.exchange.meta.hopped = true;
        Unanswered::Retry(Box::new(queued))
    }

    fn into_final(self: Box<Self>) -> Unanswered {
        Unanswered::Final(self.queued.refuse(self.refusal))
    }
}

impl Dispatched {
    /// Sends the request and waits for the response head, which may come from a
    /// hedged attempt at a second target.
    async fn send(self) -> Result<Answered, Unanswered> {
        let Self { mut exchange, history, req, slot, connection } = self;
        let fresh = connection.is_fresh();
        let sending = connection.send(req, exchange.meta.deadline);
        let target = slot.permit().target.clone();
        match hedge::race(&mut exchange, &target, sending).await {
            RaceResult::First(Ok(response)) => Ok(answered(&exchange, response, slot)),
            RaceResult::Second(response, second) => {
                let detail = "a second target responded first";
                decision_log::attempt(&exchange.context, slot.permit(), Outcome::Unknown, detail);
                Ok(answered(&exchange, response, second))
            }
            RaceResult::First(Err(SendFailure::Unsent(unsent))) => {
                handle_unsent(exchange, history, slot, unsent, fresh).await
            }
            RaceResult::First(Err(SendFailure::Lost(lost))) => {
                handle_lost(exchange, history, slot, lost).await
            }
        }
    }
}

fn answered(exchange: &Exchange, response: Response<TargetBody>, slot: InFlightSlot) -> Answered {
    let context = exchange.context.clone();
    decision_log::attempt(&context, slot.permit(), Outcome::Done, "");
    Answered { response, slot: Some(slot), context }
}

/// Handles a request that was handed back unsent. If the connection had carried
/// earlier requests, the request goes to the same target over another connection;
/// otherwise it goes to another target.
async fn handle_unsent(
    exchange: Box<Exchange>,
    history: AttemptHistory,
    slot: InFlightSlot,
    unsent: UnsentRequest,
    fresh: bool,
) -> Result<Answered, Unanswered> {
    let detail = "the connection was closed before the request was written";
    decision_log::attempt(&exchange.context, slot.permit(), Outcome::NotRun, detail);
    let reserved = slot.into_reserved(&unsent);
    let mut queued = Queued::new(exchange, history);
    queued.unsent = Some(unsent.into_request());
    if fresh {
        queued.history.failed.push(reserved.permit().target.clone());
        reserved.finish(false, Instant::now());
        queued.wait_before_retry(detail.into()).await.map_err(Unanswered::Final)?;
    } else {
        queued.reserved = Some(reserved);
    }
    Err(Unanswered::Retry(Box::new(queued)))
}

/// Handles a lost response. The request may have run, so it is sent again only
/// if it may run more than once.
async fn handle_lost(
    exchange: Box<Exchange>,
    mut history: AttemptHistory,
    slot: InFlightSlot,
    lost: LostResponse,
) -> Result<Answered, Unanswered> {
    decision_log::attempt(&exchange.context, slot.permit(), Outcome::Unknown, &lost.detail);
    let caller_failed = exchange.fault.happened();
    let target = slot.permit().target.clone();
    slot.finish_lost(caller_failed, Instant::now());
    let detail = lost.detail.clone();
    let repeatable = exchange.outgoing.is_repeatable() && !caller_failed;
    history.failed.push(target);
    history.lost = Some(lost);
    let queued = Queued::new(exchange, history);
    if !repeatable {
        let last = refusal(ErrorKind::TargetFailed, detail);
        return Err(Unanswered::Final(queued.refuse(last)));
    }
    queued.wait_before_retry(detail).await.map_err(Unanswered::Final)?;
    Err(Unanswered::Retry(Box::new(queued)))
}

/// Returns the refusal for a retry of a request that can't be sent again. This indicates
/// a bug, because the retry policy admits only repeatable requests.
fn unrepeatable() -> Refusal {
    refusal(ErrorKind::Internal, "the request can't be sent again")
}

fn lost_refusal(lost: &LostResponse) -> Refusal {
    let kind = if lost.timed_out { ErrorKind::TargetTimeout } else { ErrorKind::TargetFailed };
    refusal(kind, lost.detail.clone())
}
