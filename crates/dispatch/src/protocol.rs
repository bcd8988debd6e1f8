//! Requests of entry hosts and replicas to a replica, and the responses, encoded with
//! postcard.

use crate::{
    refusals::RefusalStamp,
    relay::{RelayRequest, RelayedAnswer},
};
use cyclamenloft_placement::submission::{
    ReportStamp, RouteTable, Step, Submission, SubmissionId, WorkerReport,
    evacuation::EvacuationVersion, spec::MAX_STEPS, state::Phase, waves::Wave,
};
use cyclamenloft_types::{
    ConfigNumber, DomainName, Error, ErrorKind, LogIndex, ReplicaId, Result, Term, WorkerId,
    bounded_list,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::borrow::Cow;

/// Path on which a replica accepts requests.
pub const ASK_PATH: &str = "/ask";
/// Path on which a replica accepts messages of the replicated log.
pub const LOG_PATH: &str = "/log";
/// Largest request or response, in bytes: twice the largest configuration that an operator may
/// send, since it is forwarded as text and in its decoded form.
pub const MAX_REQUEST_BYTES: usize = 8 << 20;

/// A submission as a client sends it. Its queue and id are derived from the path of the
/// client's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draft {
    /// Text passed to each task.
    pub payload: Box<str>,
    /// The steps, in order.
    #[serde(deserialize_with = "bounded_list::<MAX_STEPS, _, _>")]
    pub steps: Vec<Step>,
    /// When the first occurrence, number 0, is due, in milliseconds since the Unix epoch; 0
    /// means immediately.
    pub first_due_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// How many times the steps run; 0 and 1 both mean once.
    pub occurrences: u32,
}

impl Draft {
    /// Returns the number of bytes that the submission takes in memory.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        let steps: usize = self.steps.iter().map(Step::held_bytes).sum();
        size_of::<Self>() + self.payload.len() + steps
    }

    /// Returns the submission with this id and queue.
    #[must_use]
    pub fn into_submission(self, id: SubmissionId, queue: impl Into<Box<str>>) -> Submission {
        Submission {
            id,
            queue: queue.into(),
            payload: self.payload,
            steps: self.steps,
            first_due_ms: self.first_due_ms,
            interval_ms: self.interval_ms,
            occurrences: self.occurrences.max(1),
        }
    }
}

/// A request to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for the status of the group: its leader and its members.
    Where,
    /// Asks to add a replica to the group. Only the leader adds it; other replicas only
    /// answer with the status.
    Join(ReplicaId),
    /// A worker's report about itself, forwarded by a replica that doesn't lead.
    Report(WorkerReport),
    /// A worker's notice that it is shutting down, forwarded by a replica that
    /// doesn't lead.
    Farewell(WorkerId),
    /// Makes a configuration active unless the active one is at least as new.
    Configure(RouteTable),
    /// Starts a maintenance wave unless it is known.
    StartWave(Wave),
    /// Asks for an index up to which every acknowledged change is in the log. A replica that
    /// has applied that entry can answer reads.
    ReadIndex,
    /// Submits to the queue that `host` and `path` select.
    Submit {
        /// Host that the client named.
        host: Box<str>,
        /// Path that the client named: the queue's prefix and the id.
        path: Box<str>,
        /// The submission.
        draft: Draft,
        /// The last refusal that the sender knows of.
        stamp: RefusalStamp,
    },
    /// Asks for the state of a submission, or for the number of pending
    /// submissions of a queue.
    Read {
        /// Host that the client named.
        host: Box<str>,
        /// Path that the client named.
        path: Box<str>,
    },
    /// Cancels a submission.
    Cancel {
        /// Host that the client named.
        host: Box<str>,
        /// Path that the client named.
        path: Box<str>,
    },
    /// Asks a replica that doesn't lead to call workers for the leader.
    Relay(RelayRequest),
    /// Evacuates a failure domain or withdraws the order, unless a later order for the domain
    /// than `expected` is committed.
    Evacuate {
        /// The domain.
        domain: DomainName,
        /// Whether the domain is evacuated from now on.
        on: bool,
        /// Number of the last order that the asking replica had applied when the operator's
        /// call arrived.
        expected: EvacuationVersion,
    },
    /// Tells the leader the newest reports of workers that a replica has received.
    Reported(Vec<ReportStamp>),
}

impl PeerRequest {
    /// Returns the request as it is sent now, by a sender that knows of the refusals up to `stamp`.
    #[must_use]
    pub fn stamped(&self, stamp: RefusalStamp) -> Cow<'_, Self> {
        match self {
            Self::Submit { host, path, draft, .. } => {
                let (host, path, draft) = (host.clone(), path.clone(), draft.clone());
                Cow::Owned(Self::Submit { host, path, draft, stamp })
            }
            _ => Cow::Borrowed(self),
        }
    }
}

/// The progress of a submission, as reported to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// The submission has ended.
    Over(Phase),
}

/// The status of the group, as a replica sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The leader, if one is known.
    pub leader: Option<ReplicaId>,
    /// Whether the replica is certain to be the leader.
    pub leads: bool,
    /// The current term.
    pub term: Term,
    /// All members.
    pub members: Vec<ReplicaId>,
    /// Failure domain of this replica's host.
    pub domain: DomainName,
    /// Number of the configuration that the replica has applied.
    pub configured: ConfigNumber,
}

/// A replica's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// Answers [`PeerRequest::Where`] and [`PeerRequest::Join`].
    Standing(GroupStatus),
    /// The request was carried out and its effect is durable.
    Done,
    /// Answers [`PeerRequest::ReadIndex`].
    ReadIndex(LogIndex),
    /// The state of a submission.
    Progress(Progress),
    /// The number of accepted submissions of a queue of which no task has started.
    Pending(u64),
    /// There is no such submission.
    Gone,
    /// The report is of an incarnation that a newer one has replaced, or the session isn't
    /// the newest one.
    Outdated,
    /// There is no such queue.
    NoQueue,
    /// The group has no configuration yet.
    Unconfigured,
    /// The request is invalid, or another submission already has its id.
    Invalid(Box<str>),
    /// The submission was not accepted and will never run, because it can't be served in
    /// time.
    Busy {
        /// Delay before a retry, in seconds.
        retry_after_s: u32,
        /// This refusal.
        stamp: RefusalStamp,
    },
    /// Nothing was done, because this replica doesn't lead. Contains the leader if it is
    /// known.
    NotLeader(Option<ReplicaId>),
    /// The request may or may not have been carried out.
    Unsure,
    /// Answers [`RelayRequest::Open`]. Contains the failure domain of the replica.
    RelayOpened(DomainName),
    /// Answers [`RelayRequest::Answers`].
    Answers(Vec<RelayedAnswer>),
    /// Nothing was done, because the submission may have been sent before the leader refused it. It
    /// may be sent again with this stamp.
    Stale(RefusalStamp),
}

/// Encodes a request or a response.
///
/// # Errors
///
/// `Internal` if postcard can't encode the value.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>> {
    postcard::to_stdvec(value)
        .map_err(|e| Error::new(ErrorKind::Internal, format!("encode message: {e}")))
}

/// Decodes a request or a response from untrusted bytes.
///
/// # Errors
///
/// `BadRequest` if the bytes are not a valid message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes)
        .map_err(|e| Error::new(ErrorKind::BadRequest, format!("message of a peer: {e}")))
}
