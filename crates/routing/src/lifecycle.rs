//! The states of a request as types: [`Queued`], [`Dispatched`], [`Answered`].
//!
//! A queued request owns its message. Dispatching the request moves the message
//! out, to be passed to a connection. After that, the outcome `not-run` can be
//! reached only by moving the same message back. This guarantee holds only if the
//! message type is not `Clone`.
//!
//! A queued request that is refused has not run:
//!
//! ```
//! # use cyclamenloft_routing::lifecycle::{example_meta, Request};
//! # use cyclamenloft_types::Outcome;
//! struct Message;
//! let request = Request::new(example_meta(), Message);
//! assert_eq!(request.refuse().outcome(), Outcome::NotRun);
//! ```
//!
//! A dispatched request can't be refused:
//!
//! ```compile_fail,E0599
//! # use cyclamenloft_routing::{Permit, lifecycle::{example_meta, Request}};
//! # struct Message;
//! # fn check(permit: Permit) {
//! let request = Request::new(example_meta(), Message);
//! let (request, _message) = request.dispatch(permit);
//! request.refuse();
//! # }
//! ```
//!
//! Dispatching a queued request consumes it:
//!
//! ```compile_fail,E0382
//! # use cyclamenloft_routing::{Permit, lifecycle::{example_meta, Request}};
//! # struct Message;
//! # fn check(permit: Permit) {
//! let request = Request::new(example_meta(), Message);
//! let (_dispatched, _message) = request.dispatch(permit);
//! request.refuse();
//! # }
//! ```
//!
//! A message that was moved into a connection can't be taken back:
//!
//! ```compile_fail,E0382
//! # use cyclamenloft_routing::{Permit, lifecycle::{example_meta, Request}};
//! # struct Message;
//! # fn send(message: Message) {}
//! # fn check(permit: Permit) {
//! let request = Request::new(example_meta(), Message);
//! let (request, message) = request.dispatch(permit);
//! send(message);
//! request.requeue_unsent(message);
//! # }
//! ```
//!
//! An answered request can't be constructed directly:
//!
//! ```compile_fail,E0451
//! # use cyclamenloft_routing::lifecycle::{example_meta, Answered, Request};
//! # use cyclamenloft_types::Outcome;
//! let request: Request<Answered> =
//!     Request { meta: example_meta(), state: Answered { outcome: Outcome::NotRun } };
//! ```

use crate::decision::{AttemptResult, Permit, RequestMeta};
use cyclamenloft_types::{Outcome, Priority, TargetId};
use std::time::{Duration, Instant};

/// A request in state `S`.
#[derive(Debug)]
#[must_use = "a request must be answered"]
pub struct Request<S> {
    meta: RequestMeta,
    state: S,
}

/// State of a request of which no part has been passed to a connection in the
/// current attempt.
#[derive(Debug)]
pub struct Queued<M> {
    message: M,
    failed: Vec<TargetId>,
    may_have_run: bool,
}

/// State of a request whose message may have reached a target.
#[derive(Debug)]
pub struct Dispatched {
    permit: Permit,
    failed: Vec<TargetId>,
    may_have_run: bool,
}

/// State of a request whose outcome is known.
#[derive(Debug)]
pub struct Answered {
    outcome: Outcome,
}

/// A permit and the result of its attempt, to be passed to
/// [`ServiceRouter::release`](crate::ServiceRouter::release).
#[derive(Debug)]
#[must_use = "a permit occupies a slot until it is released"]
pub struct Attempt {
    /// The permit to release.
    pub permit: Permit,
    /// The result of the attempt.
    pub result: AttemptResult,
}

impl<S> Request<S> {
    /// Returns the request's metadata.
    pub fn meta(&self) -> &RequestMeta {
        &self.meta
    }
}

impl<M> Request<Queued<M>> {
    /// Creates a request that has just arrived.
    pub fn new(meta: RequestMeta, message: M) -> Self {
        Self { meta, state: Queued { message, failed: Vec::new(), may_have_run: false } }
    }

    /// Returns the targets at which this request has failed.
    pub fn failed(&self) -> &[TargetId] {
        &self.state.failed
    }

    /// Returns the least favorable outcome of all attempts so far, to be passed to
    /// [`ServiceRouter::retry`](crate::ServiceRouter::retry).
    pub fn outcome_so_far(&self) -> Outcome {
        if self.state.may_have_run { Outcome::Unknown } else { Outcome::NotRun }
    }

    /// Records that `target` could not be reached and that nothing was sent to it.
    pub fn record_unreachable(&mut self, target: TargetId) {
        self.state.failed.push(target);
    }

    /// Moves the message out, to be passed to a connection to the permit's target.
    pub fn dispatch(self, permit: Permit) -> (Request<Dispatched>, M) {
        let Queued { message, failed, may_have_run } = self.state;
        let state = Dispatched { permit, failed, may_have_run };
        (Request { meta: self.meta, state }, message)
    }

    /// Ends the request without a further attempt. Its outcome is `NotRun` unless
    /// an earlier attempt may have run.
    pub fn refuse(self) -> Request<Answered> {
        let outcome = self.outcome_so_far();
        Request { meta: self.meta, state: Answered { outcome } }
    }
}

impl Request<Dispatched> {
    /// Returns the permit under which the request was sent.
    pub fn permit(&self) -> &Permit {
        &self.state.permit
    }

    /// Returns the request to the queue, with the message that the connection
    /// returned unsent.
    pub fn requeue_unsent<M>(self, message: M) -> (Request<Queued<M>>, Permit) {
        let Dispatched { permit, mut failed, may_have_run } = self.state;
        failed.push(permit.target.clone());
        let state = Queued { message, failed, may_have_run };
        (Request { meta: self.meta, state }, permit)
    }

    /// Ends the request after the target's complete response.
    pub fn complete(self, latency: Duration) -> (Request<Answered>, Attempt) {
        let result =
            AttemptResult { outcome: Outcome::Done, healthy: true, latency, abandoned: false };
        let state = Answered { outcome: Outcome::Done };
        (Request { meta: self.meta, state }, Attempt { permit: self.state.permit, result })
    }

    /// Ends the request without a complete response. `abandoned` is whether the
    /// target may still be working on it.
    pub fn fail(self, latency: Duration, abandoned: bool) -> (Request<Answered>, Attempt) {
        let result =
            AttemptResult { outcome: Outcome::Unknown, healthy: false, latency, abandoned };
        let state = Answered { outcome: Outcome::Unknown };
        (Request { meta: self.meta, state }, Attempt { permit: self.state.permit, result })
    }

    /// Returns an idempotent request to the queue after a failed attempt that may
    /// have run, with a new message of the same content.
    ///
    /// # Errors
    ///
    /// Returns the request itself if it is not idempotent and so must not run
    /// twice.
    pub fn try_again<M>(
        self,
        message: M,
        latency: Duration,
        abandoned: bool,
    ) -> Result<(Request<Queued<M>>, Attempt), Box<Self>> {
        if !self.meta.idempotent {
            return Err(Box::new(self));
        }
        let Dispatched { permit, mut failed, .. } = self.state;
        failed.push(permit.target.clone());
        let result =
            AttemptResult { outcome: Outcome::Unknown, healthy: false, latency, abandoned };
        let state = Queued { message, failed, may_have_run: true };
        Ok((Request { meta: self.meta, state }, Attempt { permit, result }))
    }
}

impl Request<Answered> {
    /// Returns the outcome of the request.
    pub fn outcome(&self) -> Outcome {
        self.state.outcome
    }
}

/// Metadata for the examples of this module.
#[doc(hidden)]
#[must_use]
pub fn example_meta() -> RequestMeta {
    RequestMeta {
        id: "r1".into(),
        caller: "renters".into(),
        idempotent: false,
        priority: Priority::Service,
        deadline: Instant::now() + Duration::from_secs(1),
        hopped: false,
    }
}
