//! Calls to workers through replicas of the workers' failure domains.
//!
//! The leader decides everything, but the exchange with each worker costs processor time for
//! each start and each end, which grows with the number of workers. So the leader hands the
//! calls to a replica of the worker's own failure domain, in batches, and that replica makes
//! the calls and returns the answers, also in batches. A replica that makes calls decides
//! nothing: leases, tokens and orders are stated in the calls.
//!
//! Every time another replica begins to call a worker, the fencing token rises, and no two
//! replicas ever use the same token ([`holders`]). So a replica that is suspended or cut off
//! with calls in hand can no longer carry them out once the worker has been called by the next
//! one. The leader's view of the worker is read anew before it orders anything there.

pub mod holders;

mod agent;
mod calls;
mod session;

pub(crate) use agent::{Agent, handle};
pub(crate) use calls::WorkerCaller;
pub(crate) use session::{Relays, maintain};

use cyclamenloft_placement::submission::{
    Observation, WorkerInfo,
    fleet::{Order, OrderAnswer},
};
use cyclamenloft_types::{Error, ErrorKind, Result, Term, WorkerId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Number of a call within a session.
pub type CallNumber = u64;
/// Number of an answer within a session, counted from 1.
pub type AnswerNumber = u64;

/// Where an incarnation of a worker accepts calls.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkerEndpoint {
    /// Name of the worker.
    pub id: WorkerId,
    /// Start time of the incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Address on which the worker accepts calls.
    pub addr: SocketAddr,
}

impl From<&WorkerInfo> for WorkerEndpoint {
    fn from(worker: &WorkerInfo) -> Self {
        Self { id: worker.id.clone(), started_ms: worker.started_ms, addr: worker.addr }
    }
}

/// A call to a worker. Each field is as in [`crate::PollCall`] or [`crate::OrderCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerCall {
    /// A poll.
    Poll {
        /// End of the lease on the worker's clock, in milliseconds.
        lease_end_ms: Option<u64>,
        /// Number of the last end of a run that the poll acknowledges; 0 if there is none.
        acknowledged: u64,
        /// How long the worker may wait for the end of a run, in milliseconds.
        wait_ms: u32,
    },
    /// An order.
    Order {
        /// The order.
        order: Order,
        /// Text passed to the task.
        payload: Box<str>,
        /// Checkpoint to resume from.
        checkpoint: Box<str>,
        /// The advisor's ticket.
        ticket: Box<str>,
        /// End of the lease on the worker's clock, in milliseconds.
        lease_end_ms: u64,
    },
}

/// A call that a replica is to make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedCall {
    /// Number of the call, unique in its session.
    pub number: CallNumber,
    /// The worker to call.
    pub worker: WorkerEndpoint,
    /// Fencing token of the call.
    pub token: Term,
    /// The call.
    pub call: WorkerCall,
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallAnswer {
    /// Answers [`WorkerCall::Poll`]: the worker's answer and the number of its last listed end.
    Polled(Observation, u64),
    /// Answers [`WorkerCall::Poll`]: the worker has given no valid answer.
    PollFailed(Box<str>),
    /// Answers [`WorkerCall::Order`].
    Ordered(OrderAnswer, Box<str>),
    /// Answers [`WorkerCall::Poll`]: the poll failed in a way that tells something of the worker.
    Failed(ErrorKind, Box<str>),
    /// Answers [`WorkerCall::Poll`]: like [`Self::Polled`], with further ends to come.
    PolledInPart(Observation, u64),
}

impl CallAnswer {
    /// Returns the answer to a poll.
    ///
    /// # Errors
    ///
    /// `ConnectionRefused` or `StaleAttempt` if the incarnation has ended, `PeerUnreachable` if the
    /// worker has given no valid answer.
    pub(crate) fn into_polled(self) -> Result<(Observation, u64)> {
        match self {
            Self::Polled(observation, last_end) => Ok((observation, last_end)),
            Self::PollFailed(detail) => Err(Error::new(ErrorKind::PeerUnreachable, detail)),
            Self::PolledInPart(observation, last_end) => {
                Ok((Observation { is_partial: true, ..observation }, last_end))
            }
            Self::Failed(kind, detail) => Err(Error::new(kind, detail)),
            Self::Ordered(..) => {
                Err(Error::new(ErrorKind::Internal, "a poll got an order's answer"))
            }
        }
    }
}

/// An answer as it is sent to the leader. It is encoded once, when it arrives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedAnswer {
    /// Number of the answer, which rises by one from answer to answer.
    pub number: AnswerNumber,
    /// The call that is answered.
    pub call: CallNumber,
    /// The [`CallAnswer`], encoded.
    pub encoded: Vec<u8>,
}

/// A request of the leader about a session, in which a replica makes calls for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayRequest {
    /// Opens a session; a session with a lower token ends.
    Open {
        /// Token of the session. Those of its calls differ only in the number of the worker's life.
        token: Term,
    },
    /// Hands over calls.
    Calls {
        /// The session.
        token: Term,
        /// The calls.
        calls: Vec<RelayedCall>,
    },
    /// Asks for the answers after `received`. The replica waits for a short time if there are
    /// none.
    Answers {
        /// The session.
        token: Term,
        /// Number of the last answer that the leader has.
        received: AnswerNumber,
    },
}
