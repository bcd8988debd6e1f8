//! What replicas say to each other: one request, one answer, in postcard form.

#[cfg(test)]
mod tests;

use crate::{
    entry::{Blob, Entry, Identity, Incarnation},
    membership::Membership,
};
use cyclamenloft_types::{Error, ErrorKind, LogIndex, Result, Term};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A request and who sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Request {
    pub group: Box<str>,
    pub from: Identity,
    pub term: Term,
    pub body: RequestBody,
}

/// What is asked. Terms are the sender's, in [`Request::term`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RequestBody {
    /// Asks whether the receiver belongs to a formed group.
    Probe,
    /// Asks for a vote in the request's term.
    Vote(VoteRequest),
    /// Says that the leader is there.
    Heartbeat { to: Incarnation, commit: LogIndex },
    /// Entries that follow the one at `prev_index`.
    Append(AppendRequest),
    /// A piece of a snapshot.
    Piece(PieceRequest),
    /// Asks the receiver to seek election now, in place of the sender.
    TakeOver,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoteRequest {
    /// Only asks whether a vote would be granted.
    pub pre_vote: bool,
    /// The leader has handed over, so its lease doesn't stand in the way.
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

/// An answer and who gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Response {
    pub from: Identity,
    pub term: Term,
    /// Whether the sender knows a membership of the group.
    pub formed: bool,
    pub body: ResponseBody,
}

/// What is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ResponseBody {
    /// Heard; nothing more to say.
    Ok,
    /// The sender's term is over.
    StaleTerm,
    /// Answers a vote request.
    Vote { granted: bool },
    /// All up to this index equals the leader's log and is durable.
    Matches(LogIndex),
    /// The previous entry is missing or another; try from this index.
    Conflict { next: LogIndex },
    /// Send the piece at this offset next.
    NextPiece(u64),
}

/// Greatest term and index that a message may name. No group comes near it in
/// its life, and sums with it don't overflow.
const MAX_TERM_OR_INDEX: u64 = 1 << 62;

impl Request {
    /// Decodes a request and checks its numbers.
    ///
    /// # Errors
    ///
    /// `BadRequest`.
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
    /// Decodes an answer and checks its term.
    ///
    /// # Errors
    ///
    /// `BadRequest`.
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
/// `Internal` where postcard refuses it.
pub(crate) fn encode(message: &impl Serialize) -> Result<Vec<u8>> {
    postcard::to_stdvec(message)
        .map_err(|e| Error::new(ErrorKind::Internal, format!("encode message: {e}")))
}

/// Decodes a message from bytes that may be anything.
///
/// # Errors
///
/// `BadRequest`.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes)
        .map_err(|e| Error::new(ErrorKind::BadRequest, format!("replication message: {e}")))
}
