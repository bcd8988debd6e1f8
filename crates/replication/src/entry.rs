//! Entries of the log and the state that a replica must never forget.

use crate::membership::Membership;
use cyclamenloft_types::{LogIndex, ReplicaId, Term};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::{fmt, sync::Arc};

/// Number that a replica draws when it finds its folder empty. A wiped replica
/// comes back under another incarnation, so it can't pass for its former self.
pub type Incarnation = u64;

/// A replica in one life of its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub id: ReplicaId,
    pub incarnation: Incarnation,
}

/// Bytes that clones share.
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

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Payload {
    /// Nothing: a leader's first entry, which commits those before it.
    Noop,
    /// The group's members from this entry on.
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
    /// About how many bytes the entry takes in a message.
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

/// Term and vote, which must be durable before any answer that relies on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HardState {
    pub term: Term,
    pub vote: Option<Identity>,
}

/// A snapshot of the state, and where in the log it was taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub index: LogIndex,
    pub term: Term,
    pub membership: Membership,
    pub data: Blob,
}
