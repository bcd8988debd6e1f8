//! What an entry host asks of a replica, in postcard form.

use cyclamenloft_placement::submission::{
    Step, Submission, SubmissionId, WorkerInfo, state::Phase,
};
use cyclamenloft_types::{
    ConfigNumber, DomainName, Error, ErrorKind, ReplicaId, Result, Term, WorkerId,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Path on which a replica takes questions.
pub const ASK_PATH: &str = "/ask";
/// Path on which a replica takes messages of the log.
pub const LOG_PATH: &str = "/log";
/// Largest question or answer, in bytes: a submission's steps and text.
pub const MAX_REQUEST_BYTES: usize = 512 << 10;

/// A submission as a client hands it in; its queue and id follow from the path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draft {
    /// Text handed to each task.
    pub payload: Box<str>,
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// When occurrence 0 is due, in milliseconds since 1970; 0 is at once.
    pub first_due_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// How often the steps run; 0 and 1 are once.
    pub occurrences: u32,
}

impl Draft {
    /// The submission with its id and queue.
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

/// A question to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Who leads, and who belongs to the group?
    Where,
    /// A replica that isn't a member asks to become one.
    Join(ReplicaId),
    /// What a worker says of itself, taken by a replica that doesn't lead.
    Report(WorkerInfo),
    /// The farewell of a worker, taken by a replica that doesn't lead.
    Farewell(WorkerId),
    /// A submission for the queue that host and path select.
    Submit {
        /// Host that the client named.
        host: Box<str>,
        /// Path that the client named: the queue's prefix and the id.
        path: Box<str>,
        /// What is submitted.
        draft: Draft,
    },
    /// The state of a submission, or the pending ones of a queue.
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
}

/// How far a submission is, as a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// It is over.
    Over(Phase),
}

/// Where the group stands, as a replica sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The leader, if one is known.
    pub leader: Option<ReplicaId>,
    /// The replica surely leads now.
    pub leads: bool,
    /// The present term.
    pub term: Term,
    /// All members.
    pub members: Vec<ReplicaId>,
    /// Failure domain of this replica's host.
    pub domain: DomainName,
    /// Number of the configuration that the replica has applied.
    pub configured: ConfigNumber,
}

/// A replica's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Answers [`PeerRequest::Where`] and [`PeerRequest::Join`].
    Standing(GroupStatus),
    /// Durable: accepted, or cancelled.
    Done,
    /// The state of a submission.
    Progress(Progress),
    /// Accepted submissions of a queue of which no task has started.
    Pending(u64),
    /// No such submission.
    Gone,
    /// A report of a life that a newer one has replaced.
    Outdated,
    /// No such queue.
    NoQueue,
    /// The group has no configuration yet.
    Unconfigured,
    /// The question makes no sense, or the id is taken by another submission.
    Invalid(Box<str>),
    /// Not accepted, and it will never run: it can't be served in time.
    Busy {
        /// When another try makes sense, in seconds.
        retry_after_s: u32,
    },
    /// Nothing was done: this replica doesn't lead.
    NotLeader(Option<ReplicaId>),
    /// It may have been accepted, or not.
    Unsure,
}

/// Encodes a question or an answer.
///
/// # Errors
///
/// `Internal` where postcard refuses it.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>> {
    postcard::to_stdvec(value)
        .map_err(|e| Error::new(ErrorKind::Internal, format!("encode question: {e}")))
}

/// Decodes a question or an answer from bytes that may be anything.
///
/// # Errors
///
/// `BadRequest`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes)
        .map_err(|e| Error::new(ErrorKind::BadRequest, format!("question of a peer: {e}")))
}
