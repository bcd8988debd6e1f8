//! The life of one request: queued, dispatched, answered.
//!
//! A [`Queued`] request has been handed to no connection, so it alone ends in
//! refusals that say `not-run`. A [`Dispatched`] request comes back to the queue
//! only with the request itself as the proof that nothing was written, or
//! where it may run more than once.

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

/// What stays with a request through its life.
pub(crate) struct Exchange {
    pub(crate) gate: Arc<Gate>,
    pub(crate) pool: Pool,
    pub(crate) meta: RequestMeta,
    pub(crate) context: Rc<RequestContext>,
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) fault: CallerFault,
    /// How the request may go to another entry host.
    pub(crate) spill: Option<Rc<Spill>>,
}

/// How requests go to other entry hosts.
pub(crate) struct Spill {
    pub(crate) client: HopClient,
    pub(crate) rule: Rc<dyn HopRule>,
}

/// What the attempts so far have come to.
#[derive(Default)]
struct AttemptHistory {
    failed: Vec<TargetId>,
    /// The attempt that may have run, where there is one. From then on the
    /// request as a whole can't be said not to have run.
    lost: Option<LostResponse>,
}

impl AttemptHistory {
    fn outcome(&self) -> Outcome {
        if self.lost.is_some() { Outcome::Unknown } else { Outcome::NotRun }
    }
}

/// A request that waits for its turn; no connection has it.
pub(crate) struct Queued {
    exchange: Box<Exchange>,
    history: AttemptHistory,
    /// The request where it came back from a connection.
    unsent: Option<Request<Body>>,
    /// The slot that it still has.
    reserved: Option<ReservedSlot>,
}

/// A request whose turn has come, with the connection that is to carry it.
pub(crate) struct Dispatched {
    exchange: Box<Exchange>,
    history: AttemptHistory,
    req: Request<Body>,
    slot: InFlightSlot,
    connection: Acquired,
}

/// A request of which a target has answered the head.
pub(crate) struct Answered {
    pub(crate) response: Response<TargetBody>,
    /// The slot; `None` where another entry host holds it.
    pub(crate) slot: Option<InFlightSlot>,
    pub(crate) context: Rc<RequestContext>,
}

/// A request that this host refuses; another one may take it.
struct Refused {
    queued: Queued,
    refusal: Refusal,
}

/// How an attempt ended without an answer.
enum Unanswered {
    /// It may be tried again.
    Retry(Box<Queued>),
    /// It is over.
    Final(Refusal),
}

/// Carries a request through its life.
///
/// # Errors
///
/// The refusal, whose kind says truly whether the request may have run.
pub(crate) async fn run(exchange: Box<Exchange>) -> Result<Answered, Refusal> {
    let mut queued = Queued::new(exchange, AttemptHistory::default());
    loop {
        let ended = match queued.dispatch().await {
            Ok(dispatched) => dispatched.answer().await,
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

    /// The request as it is sent next; `None` where it can't be sent again.
    fn next_request(&mut self) -> Option<Request<Body>> {
        let (now, deadline) = (Instant::now(), self.exchange.meta.deadline);
        let Some(mut req) = self.unsent.take() else {
            return self.exchange.outgoing.next(deadline, now);
        };
        set_deadline(req.headers_mut(), deadline.saturating_duration_since(now));
        Some(req)
    }

    /// Gives a slot back because its target could not be reached.
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

    /// Waits as long as the retry rule says, or ends the request.
    async fn wait_before_retry(&self, detail: Box<str>) -> Result<(), Refusal> {
        let Exchange { gate, meta, .. } = &*self.exchange;
        let AttemptHistory { failed, .. } = &self.history;
        match gate.retry(meta, failed, self.history.outcome(), Instant::now()) {
            Ok(delay) if delay.is_zero() => Ok(()),
            Ok(delay) => {
                compio::time::sleep(delay).await;
                Ok(())
            }
            Err(why) => {
                let detail = format!("{detail} ({why})");
                Err(self.refuse(refusal(ErrorKind::NoTarget, detail)))
            }
        }
    }

    /// The refusal that ends the request. Where an attempt may have run, it
    /// says so whatever stopped the last one.
    fn refuse(&self, last: Refusal) -> Refusal {
        match &self.history.lost {
            Some(lost) => lost_refusal(lost),
            None => last,
        }
    }
}

impl Refused {
    /// Hands the request to another entry host where there is one to take it;
    /// otherwise the refusal stands. Where the other host did not run it, it
    /// comes back to wait here.
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

    /// The request may be dispatched here after all, and takes no other hop.
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
    /// Sends the request and waits for the answer's head, which may come from a
    /// second target.
    async fn answer(self) -> Result<Answered, Unanswered> {
        let Self { mut exchange, history, req, slot, connection } = self;
        let fresh = connection.is_fresh();
        let sending = connection.send(req, exchange.meta.deadline);
        let target = slot.permit().target.clone();
        match hedge::race(&mut exchange, &target, sending).await {
            RaceResult::First(Ok(response)) => Ok(answered(&exchange, response, slot)),
            RaceResult::Second(response, second) => {
                let slow = "a second target answered first";
                decision_log::attempt(&exchange.context, slot.permit(), Outcome::Unknown, slow);
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

/// The request came back unsent: it goes to the same target by another
/// connection where this one had been idle, else to another target.
async fn handle_unsent(
    exchange: Box<Exchange>,
    history: AttemptHistory,
    slot: InFlightSlot,
    unsent: UnsentRequest,
    fresh: bool,
) -> Result<Answered, Unanswered> {
    let detail = "the connection was closed before the request was written";
    decision_log::attempt(&exchange.context, slot.permit(), Outcome::NotRun, detail);
    let reserved = slot.reclaim(&unsent);
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

/// The answer was lost: the request may have run, so it is sent again only
/// where it may run more than once.
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

/// The retry rule lets only repeatable requests pass, so this is a fault.
fn unrepeatable() -> Refusal {
    refusal(ErrorKind::Internal, "the request can't be sent again")
}

fn lost_refusal(lost: &LostResponse) -> Refusal {
    let kind = if lost.timed_out { ErrorKind::TargetTimeout } else { ErrorKind::TargetFailed };
    refusal(kind, lost.detail.clone())
}
