//! Log entries and the other state that a replica keeps on disk.

use crate::membership::Membership;
use cyclamenloft_types::{LogIndex, ReplicaId, Term};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::{fmt, sync::Arc};

/// Random number that a replica draws when it starts with an empty folder. A
/// replica whose disk was wiped returns with another incarnation, so it isn't
/// taken for the replica that held the old data.
pub type DiskIncarnation = u64;

/// A replica together with the incarnation of its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub id: ReplicaId,
    pub incarnation: DiskIncarnation,
}

/// Bytes that are shared between clones.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct Blob(pub Arc<[u8]>);

impl fmt::Debug for Blob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Blob({} bytes)", self.0.len())
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Visitor;
        impl de::Visitor<'_> for Visitor {
            type Value = Blob;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("bytes")
            }

            fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Blob, E> {
                Ok(Blob(bytes.into()))
            }
        }
        deserializer.deserialize_bytes(Visitor)
    }
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Payload {
    /// No content: the first entry of a leader, which commits the entries
    /// before it.
    Noop,
    /// The members of the group from this entry on.
    Membership(Membership),
    /// An encoded command of the state machine.
    Command(Blob),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub index: LogIndex,
    pub term: Term,
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate encoded size of the entry in bytes.
    pub fn approx_bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 32;
        const MEMBER_BYTES: usize = 32;
        OVERHEAD_BYTES
            + match &self.payload {
                Payload::Noop => 0,
                Payload::Membership(m) => m.members().len() * MEMBER_BYTES,
                Payload::Command(blob) => blob.0.len(),
            }
    }
}

/// Term and vote, which must be durable before the replica sends a response
/// that depends on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HardState {
    pub term: Term,
    pub vote: Option<Identity>,
}

/// A snapshot of the state and its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub index: LogIndex,
    pub term: Term,
    pub membership: Membership,
    pub data: Blob,
}
