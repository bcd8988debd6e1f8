//! The life of a request as types: [`Queued`], [`Dispatched`], [`Answered`].
//!
//! A request that is still queued owns its message. Dispatching it hands the
//! message out, to be given to a connection, and from then on the outcome
//! `not-run` can't be reached, except by giving the very message back. Messages
//! must not be `Clone` for this to be worth anything.
//!
//! A queued request ends as not run:
//!
//! ```
//! # use cyclamenloft_routing::lifecycle::{example_facts, Request};
//! # use cyclamenloft_types::Outcome;
//! struct Message;
//! let request = Request::new(example_facts(), Message);
//! assert_eq!(request.refuse().outcome(), Outcome::NotRun);
//! ```
//!
//! A dispatched one can't be refused:
//!
//! ```compile_fail,E0599
//! # use cyclamenloft_routing::{Permit, lifecycle::{example_facts, Request}};
//! # struct Message;
//! # fn check(permit: Permit) {
//! let request = Request::new(example_facts(), Message);
//! let (request, _message) = request.dispatch(permit);
//! request.refuse();
//! # }
//! ```
//!
//! The queued request is gone once it is dispatched:
//!
//! ```compile_fail,E0382
//! # use cyclamenloft_routing::{Permit, lifecycle::{example_facts, Request}};
//! # struct Message;
//! # fn check(permit: Permit) {
//! let request = Request::new(example_facts(), Message);
//! let (_dispatched, _message) = request.dispatch(permit);
//! request.refuse();
//! # }
//! ```
//!
//! A message that a connection has taken can't be taken back:
//!
//! ```compile_fail,E0382
//! # use cyclamenloft_routing::{Permit, lifecycle::{example_facts, Request}};
//! # struct Message;
//! # fn send(message: Message) {}
//! # fn check(permit: Permit) {
//! let request = Request::new(example_facts(), Message);
//! let (request, message) = request.dispatch(permit);
//! send(message);
//! request.take_back(message);
//! # }
//! ```
//!
//! An answered request can't be made up:
//!
//! ```compile_fail,E0451
//! # use cyclamenloft_routing::lifecycle::{example_facts, Answered, Request};
//! # use cyclamenloft_types::Outcome;
//! let request: Request<Answered> =
//!     Request { facts: example_facts(), state: Answered { outcome: Outcome::NotRun } };
//! ```

use crate::decision::{AttemptResult, Permit, RequestFacts};
use cyclamenloft_types::{Outcome, Priority, TargetId};
use std::time::{Duration, Instant};

/// A request in state `S`.
#[derive(Debug)]
#[must_use = "a request has to be answered"]
pub struct Request<S> {
    facts: RequestFacts,
    state: S,
}

/// Nothing of the present attempt has reached a connection.
#[derive(Debug)]
pub struct Queued<M> {
    message: M,
    failed: Vec<TargetId>,
    may_have_run: bool,
}

/// The message may have reached a target.
#[derive(Debug)]
pub struct Dispatched {
    permit: Permit,
    failed: Vec<TargetId>,
    may_have_run: bool,
}

/// The caller's answer is known.
#[derive(Debug)]
pub struct Answered {
    outcome: Outcome,
}

/// A permit and what its attempt came to, for
/// [`ServiceRouter::release`](crate::ServiceRouter::release).
#[derive(Debug)]
#[must_use = "a permit occupies a slot until it is released"]
pub struct Attempt {
    /// The permit to release.
    pub permit: Permit,
    /// How the attempt ended.
    pub result: AttemptResult,
}

impl<S> Request<S> {
    /// What is known of the request.
    pub fn facts(&self) -> &RequestFacts {
        &self.facts
    }
}

impl<M> Request<Queued<M>> {
    /// A request that has just come in.
    pub fn new(facts: RequestFacts, message: M) -> Self {
        Self { facts, state: Queued { message, failed: Vec::new(), may_have_run: false } }
    }

    /// Targets that have failed this request.
    pub fn failed(&self) -> &[TargetId] {
        &self.state.failed
    }

    /// The least favourable outcome of all attempts so far, for
    /// [`ServiceRouter::retry`](crate::ServiceRouter::retry).
    pub fn outcome_so_far(&self) -> Outcome {
        if self.state.may_have_run { Outcome::Unknown } else { Outcome::NotRun }
    }

    /// Notes that the target could not be reached: nothing was sent to it.
    pub fn note_unreachable(&mut self, target: TargetId) {
        self.state.failed.push(target);
    }

    /// Hands the message out, to be given to a connection to the permit's target.
    pub fn dispatch(self, permit: Permit) -> (Request<Dispatched>, M) {
        let Queued { message, failed, may_have_run } = self.state;
        let state = Dispatched { permit, failed, may_have_run };
        (Request { facts: self.facts, state }, message)
    }

    /// Ends the request without a further attempt: it has not run, unless an
    /// earlier attempt may have.
    pub fn refuse(self) -> Request<Answered> {
        let outcome = self.outcome_so_far();
        Request { facts: self.facts, state: Answered { outcome } }
    }
}

impl Request<Dispatched> {
    /// The target that the request went to, and since when.
    pub fn permit(&self) -> &Permit {
        &self.state.permit
    }

    /// Goes back to the queue with the message that the connection gave back
    /// unsent.
    pub fn take_back<M>(self, message: M) -> (Request<Queued<M>>, Permit) {
        let Dispatched { permit, mut failed, may_have_run } = self.state;
        failed.push(permit.target.clone());
        let state = Queued { message, failed, may_have_run };
        (Request { facts: self.facts, state }, permit)
    }

    /// Ends the request with the target's whole answer.
    pub fn complete(self, latency: Duration) -> (Request<Answered>, Attempt) {
        let result =
            AttemptResult { outcome: Outcome::Done, healthy: true, latency, abandoned: false };
        let state = Answered { outcome: Outcome::Done };
        (Request { facts: self.facts, state }, Attempt { permit: self.state.permit, result })
    }

    /// Ends the request without a whole answer. `abandoned` says that the target
    /// may still be working on it.
    pub fn fail(self, latency: Duration, abandoned: bool) -> (Request<Answered>, Attempt) {
        let result =
            AttemptResult { outcome: Outcome::Unknown, healthy: false, latency, abandoned };
        let state = Answered { outcome: Outcome::Unknown };
        (Request { facts: self.facts, state }, Attempt { permit: self.state.permit, result })
    }

    /// Goes back to the queue after a failed attempt that may have run, with a
    /// message of the same content. Only idempotent requests do.
    ///
    /// # Errors
    ///
    /// The request itself, where it must not run twice.
    pub fn try_again<M>(
        self,
        message: M,
        latency: Duration,
        abandoned: bool,
    ) -> Result<(Request<Queued<M>>, Attempt), Box<Self>> {
        if !self.facts.idempotent {
            return Err(Box::new(self));
        }
        let Dispatched { permit, mut failed, .. } = self.state;
        failed.push(permit.target.clone());
        let result =
            AttemptResult { outcome: Outcome::Unknown, healthy: false, latency, abandoned };
        let state = Queued { message, failed, may_have_run: true };
        Ok((Request { facts: self.facts, state }, Attempt { permit, result }))
    }
}

impl Request<Answered> {
    /// Whether the request ran.
    pub fn outcome(&self) -> Outcome {
        self.state.outcome
    }
}

/// Facts for the examples of this page.
#[doc(hidden)]
#[must_use]
pub fn example_facts() -> RequestFacts {
    RequestFacts {
        id: "r1".into(),
        caller: "renters".into(),
        idempotent: false,
        priority: Priority::Service,
        deadline: Instant::now() + Duration::from_secs(1),
        hopped: false,
    }
}
