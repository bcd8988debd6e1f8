//! The life of one request: queued, dispatched, answered.
//!
//! A [`Queued`] request has been handed to no connection, so it alone ends in
//! refusals that say `not-run`. A [`Dispatched`] request comes back to the queue
//! only with the request itself as the proof that nothing was written, or
//! where it may run more than once.

use crate::{
    decision_log::{self, Trail},
    gate::{Gate, refusal},
    hedge::{self, Raced},
    hop::{HopClient, HopFailure, HopRule},
    outgoing::{Outgoing, set_deadline},
    permit::{InFlight, Reserved},
    upload::CallerFault,
};
use cyclamenloft_http::Body;
use cyclamenloft_routing::{Refusal, RequestMeta};
use cyclamenloft_target::{
    Acquired, Lost, NoConnection, NoConnectionCause, Pool, Returned, SendFailure, TargetBody,
};
use cyclamenloft_types::{ErrorKind, Outcome, TargetId};
use http::{Request, Response};
use std::{rc::Rc, sync::Arc, time::Instant};

/// What stays with a request through its life.
pub(crate) struct Exchange {
    pub(crate) gate: Arc<Gate>,
    pub(crate) pool: Pool,
    pub(crate) facts: RequestMeta,
    pub(crate) trail: Rc<Trail>,
    pub(crate) outgoing: Outgoing,
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
struct History {
    failed: Vec<TargetId>,
    /// The attempt that may have run, where there is one. From then on the
    /// request as a whole can't be said not to have run.
    lost: Option<Lost>,
}

impl History {
    fn outcome(&self) -> Outcome {
        if self.lost.is_some() { Outcome::Unknown } else { Outcome::NotRun }
    }
}

/// A request that waits for its turn; no connection has it.
pub(crate) struct Queued {
    exchange: Box<Exchange>,
    history: History,
    /// The request where it came back from a connection.
    returned: Option<Request<Body>>,
    /// The slot that it still has.
    reserved: Option<Reserved>,
}

/// A request whose turn has come, with the connection that is to carry it.
pub(crate) struct Dispatched {
    exchange: Box<Exchange>,
    history: History,
    req: Request<Body>,
    held: InFlight,
    connection: Acquired,
}

/// A request of which a target has answered the head.
pub(crate) struct Answered {
    pub(crate) response: Response<TargetBody>,
    /// The slot; `None` where another entry host holds it.
    pub(crate) held: Option<InFlight>,
    pub(crate) trail: Rc<Trail>,
}

/// A request that this host refuses; another one may take it.
struct Refused {
    queued: Queued,
    refusal: Refusal,
}

/// How an attempt ended without an answer.
enum Unanswered {
    /// It may be tried again.
    Again(Box<Queued>),
    /// It is over.
    Over(Refusal),
}

/// Carries a request through its life.
///
/// # Errors
///
/// The refusal, whose kind says truly whether the request may have run.
pub(crate) async fn run(exchange: Box<Exchange>) -> Result<Answered, Refusal> {
    let mut queued = Queued::new(exchange, History::default());
    loop {
        let ended = match queued.dispatch().await {
            Ok(dispatched) => dispatched.answer().await,
            Err(refused) => refused.hand_over().await,
        };
        match ended {
            Ok(answered) => return Ok(answered),
            Err(Unanswered::Again(again)) => queued = *again,
            Err(Unanswered::Over(refusal)) => return Err(refusal),
        }
    }
}

impl Queued {
    fn new(exchange: Box<Exchange>, history: History) -> Self {
        Self { exchange, history, returned: None, reserved: None }
    }

    /// Waits for a slot and a connection.
    async fn dispatch(mut self) -> Result<Dispatched, Box<Refused>> {
        loop {
            let ended = match self.reserve().await {
                Ok(reserved) => match self.connect(&reserved).await {
                    Ok(connection) => return self.take_off(reserved, connection),
                    Err(e) => self.next_target(reserved, e).await,
                },
                Err(refusal) => Err(refusal),
            };
            if let Err(refusal) = ended {
                return Err(Box::new(Refused { queued: self, refusal }));
            }
        }
    }

    async fn reserve(&mut self) -> Result<Reserved, Refusal> {
        if let Some(reserved) = self.reserved.take() {
            return Ok(reserved);
        }
        let Exchange { gate, facts, .. } = &*self.exchange;
        let entered = gate.enter(facts.clone(), &self.history.failed, Instant::now()).await;
        entered.map_err(|refusal| self.refuse(refusal))
    }

    async fn connect(&self, reserved: &Reserved) -> Result<Acquired, NoConnection> {
        let Exchange { gate, pool, facts, .. } = &*self.exchange;
        let to = gate.endpoint(reserved.permit());
        pool.acquire(to, facts.deadline, Instant::now()).await
    }

    fn take_off(
        mut self,
        reserved: Reserved,
        connection: Acquired,
    ) -> Result<Dispatched, Box<Refused>> {
        let Some(req) = self.next_request() else {
            return Err(Box::new(Refused { queued: self, refusal: unrepeatable() }));
        };
        let Self { exchange, history, .. } = self;
        Ok(Dispatched { exchange, history, req, held: reserved.dispatch(), connection })
    }

    /// The request as it is sent next; `None` where it can't be sent again.
    fn next_request(&mut self) -> Option<Request<Body>> {
        let (now, deadline) = (Instant::now(), self.exchange.facts.deadline);
        let Some(mut req) = self.returned.take() else {
            return self.exchange.outgoing.next(deadline, now);
        };
        set_deadline(req.headers_mut(), deadline.saturating_duration_since(now));
        Some(req)
    }

    /// Gives a slot back because its target could not be reached.
    async fn next_target(&mut self, reserved: Reserved, e: NoConnection) -> Result<(), Refusal> {
        let target = reserved.permit().target.clone();
        decision_log::attempt(&self.exchange.trail, reserved.permit(), Outcome::NotRun, &e.detail);
        reserved.finish(e.cause != NoConnectionCause::Connect, Instant::now());
        if e.cause == NoConnectionCause::Deadline {
            return Err(self.refuse(refusal(ErrorKind::DeadlinePassed, e.detail)));
        }
        self.history.failed.push(target);
        self.pause_before_retry(e.detail).await
    }

    /// Waits as long as the retry rule says, or ends the request.
    async fn pause_before_retry(&self, detail: Box<str>) -> Result<(), Refusal> {
        let Exchange { gate, facts, .. } = &*self.exchange;
        let History { failed, .. } = &self.history;
        match gate.retry(facts, failed, self.history.outcome(), Instant::now()) {
            Ok(pause) if pause.is_zero() => Ok(()),
            Ok(pause) => {
                compio::time::sleep(pause).await;
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
        let Exchange { facts, trail, spill, .. } = &*self.queued.exchange;
        let (trail, spill) = (trail.clone(), spill.clone());
        let chosen = spill.and_then(|spill| {
            let hop = spill.rule.choose(&trail.service, facts, &self.refusal, Instant::now());
            hop.map(|hop| (spill, hop))
        });
        let Some((spill, hop)) = chosen else {
            return Err(self.over());
        };
        let Some(req) = self.queued.next_request() else {
            return Err(self.over());
        };
        let facts = &self.queued.exchange.facts;
        match spill.client.send(&hop, req, &trail.service, facts).await {
            Ok(response) => {
                decision_log::hop(&trail, &hop, Outcome::Done, "");
                Ok(Answered { response, held: None, trail })
            }
            Err(HopFailure::NotRun { detail }) => {
                decision_log::hop(&trail, &hop, Outcome::NotRun, &detail);
                Err(self.stay())
            }
            Err(HopFailure::Unknown(lost)) => {
                decision_log::hop(&trail, &hop, Outcome::Unknown, &lost.detail);
                self.queued.history.lost = Some(lost);
                Err(self.over())
            }
        }
    }

    /// The request may be dispatched here after all, and takes no other hop.
    fn stay(self: Box<Self>) -> Unanswered {
        if !self.queued.exchange.outgoing.is_repeatable() {
            return self.over();
        }
        let mut queued = self.queued;
        queued.exchange.spill = None;
        queued.exchange.facts.hopped = true;
        Unanswered::Again(Box::new(queued))
    }

    fn over(self: Box<Self>) -> Unanswered {
        Unanswered::Over(self.queued.refuse(self.refusal))
    }
}

impl Dispatched {
    /// Sends the request and waits for the answer's head, which may come from a
    /// second target.
    async fn answer(self) -> Result<Answered, Unanswered> {
        let Self { mut exchange, history, req, held, connection } = self;
        let fresh = connection.is_fresh();
        let sending = connection.send(req, exchange.facts.deadline);
        let target = held.permit().target.clone();
        match hedge::race(&mut exchange, &target, sending).await {
            Raced::First(Ok(response)) => Ok(answered(&exchange, response, held)),
            Raced::Second(response, second) => {
                let slow = "a second target answered first";
                decision_log::attempt(&exchange.trail, held.permit(), Outcome::Unknown, slow);
                Ok(answered(&exchange, response, second))
            }
            Raced::First(Err(SendFailure::Returned(returned))) => {
                send_back(exchange, history, held, returned, fresh).await
            }
            Raced::First(Err(SendFailure::Lost(lost))) => {
                give_up(exchange, history, held, lost).await
            }
        }
    }
}

fn answered(exchange: &Exchange, response: Response<TargetBody>, held: InFlight) -> Answered {
    let trail = exchange.trail.clone();
    decision_log::attempt(&trail, held.permit(), Outcome::Done, "");
    Answered { response, held: Some(held), trail }
}

/// The request came back unsent: it goes to the same target by another
/// connection where this one had been idle, else to another target.
async fn send_back(
    exchange: Box<Exchange>,
    history: History,
    held: InFlight,
    returned: Returned,
    fresh: bool,
) -> Result<Answered, Unanswered> {
    let detail = "the connection was closed before the request was written";
    decision_log::attempt(&exchange.trail, held.permit(), Outcome::NotRun, detail);
    let reserved = held.take_back(&returned);
    let mut queued = Queued::new(exchange, history);
    queued.returned = Some(returned.into_request());
    if fresh {
        queued.history.failed.push(reserved.permit().target.clone());
        reserved.finish(false, Instant::now());
        queued.pause_before_retry(detail.into()).await.map_err(Unanswered::Over)?;
    } else {
        queued.reserved = Some(reserved);
    }
    Err(Unanswered::Again(Box::new(queued)))
}

/// The answer was lost: the request may have run, so it is sent again only
/// where it may run more than once.
async fn give_up(
    exchange: Box<Exchange>,
    mut history: History,
    held: InFlight,
    lost: Lost,
) -> Result<Answered, Unanswered> {
    decision_log::attempt(&exchange.trail, held.permit(), Outcome::Unknown, &lost.detail);
    let callers_fault = exchange.fault.happened();
    let target = held.permit().target.clone();
    held.finish_lost(callers_fault, Instant::now());
    let detail = lost.detail.clone();
    let repeatable = exchange.outgoing.is_repeatable() && !callers_fault;
    history.failed.push(target);
    history.lost = Some(lost);
    let queued = Queued::new(exchange, history);
    if !repeatable {
        let last = refusal(ErrorKind::TargetFailed, detail);
        return Err(Unanswered::Over(queued.refuse(last)));
    }
    queued.pause_before_retry(detail).await.map_err(Unanswered::Over)?;
    Err(Unanswered::Again(Box::new(queued)))
}

/// The retry rule lets only repeatable requests pass, so this is a fault.
fn unrepeatable() -> Refusal {
    refusal(ErrorKind::Internal, "the request can't be sent again")
}

fn lost_refusal(lost: &Lost) -> Refusal {
    let kind = if lost.timed_out { ErrorKind::TargetTimeout } else { ErrorKind::TargetFailed };
    refusal(kind, lost.detail.clone())
}
