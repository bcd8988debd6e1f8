//! Messages between replicas: one request and one response, encoded with
//! postcard.

#[cfg(test)]
mod tests;

use crate::{
    entry::{Blob, DiskIncarnation, Entry, Identity},
    membership::Membership,
};
use cyclamenloft_types::{Error, ErrorKind, LogIndex, Result, Term};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A request and its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Request {
    pub group: Box<str>,
    pub from: Identity,
    pub term: Term,
    pub body: RequestBody,
}

/// The content of a request. The sender's term is in [`Request::term`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RequestBody {
    /// Asks whether the receiver belongs to a group that has been formed.
    Probe,
    /// Asks for a vote in the request's term.
    Vote(VoteRequest),
    /// Tells the receiver that the leader is alive.
    Heartbeat { to: DiskIncarnation, commit: LogIndex },
    /// Entries that follow the one at `prev_index`.
    Append(AppendRequest),
    /// A piece of a snapshot.
    Piece(PieceRequest),
    /// Asks the receiver to start an election now, so that it replaces the
    /// sender as leader.
    TakeOver,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoteRequest {
    /// Whether this is a pre-vote, which only asks whether the vote would be
    /// granted.
    pub pre_vote: bool,
    /// Whether the leader asked the candidate to take over. The leader has
    /// given up its lease, so the lease doesn't prevent the vote.
    pub handed_over: bool,
    pub last_index: LogIndex,
    pub last_term: Term,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AppendRequest {
    pub prev_index: LogIndex,
    pub prev_term: Term,
    pub commit: LogIndex,
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PieceRequest {
    pub index: LogIndex,
    pub index_term: Term,
    pub membership: Membership,
    /// CRC of the whole snapshot.
    pub crc: u32,
    pub total_bytes: u64,
    pub offset: u64,
    pub bytes: Blob,
}

/// A response and its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Response {
    pub from: Identity,
    pub term: Term,
    /// Whether the sender knows the group's membership.
    pub formed: bool,
    pub body: ResponseBody,
}

/// The content of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ResponseBody {
    /// The request was received; there is nothing to report.
    Ok,
    /// The term of the request is older than the receiver's.
    StaleTerm,
    /// Result of a vote request.
    Vote { granted: bool },
    /// All entries up to this index equal the leader's log and are durable.
    Matches(LogIndex),
    /// The entry at `prev_index` is missing or has another term; the leader
    /// retries from index `next`.
    Conflict { next: LogIndex },
    /// Asks for the snapshot piece at this offset, in bytes.
    NextPiece(u64),
}

/// Greatest term and index that a message may contain. No group reaches it, and
/// additions to it don't overflow.
const MAX_TERM_OR_INDEX: u64 = 1 << 62;

impl Request {
    /// Decodes a request and checks its term and index.
    ///
    /// # Errors
    ///
    /// `BadRequest` if the bytes are not a valid request or a number is too
    /// large.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let req: Self = decode(bytes)?;
        let index = match &req.body {
            RequestBody::Piece(piece) => piece.index,
            RequestBody::Append(append) => append.prev_index,
            _ => 0,
        };
        check_term_or_index(req.term.max(index))?;
        Ok(req)
    }
}

impl Response {
    /// Decodes a response and checks its term.
    ///
    /// # Errors
    ///
    /// `BadRequest` if the bytes are not a valid response or the term is too
    /// large.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let response: Self = decode(bytes)?;
        check_term_or_index(response.term)?;
        Ok(response)
    }
}

fn check_term_or_index(number: u64) -> Result<()> {
    if number > MAX_TERM_OR_INDEX {
        let detail = format!("term or index: expected at most {MAX_TERM_OR_INDEX}, found {number}");
        return Err(Error::new(ErrorKind::BadRequest, detail));
    }
    Ok(())
}

/// Encodes a message.
///
/// # Errors
///
/// `Internal` if postcard can't encode the message.
pub(crate) fn encode(message: &impl Serialize) -> Result<Vec<u8>> {
    postcard::to_stdvec(message)
        .map_err(|e| Error::new(ErrorKind::Internal, format!("encode message: {e}")))
}

/// Decodes a message from untrusted bytes.
///
/// # Errors
///
/// `BadRequest` if the bytes are not a valid message.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes)
        .map_err(|e| Error::new(ErrorKind::BadRequest, format!("replication message: {e}")))
}
