//! `Idempotency-Key`: a caller may send a request again after a lost answer.
//!
//! One entry host of the domain, the key's owner, remembers what became of the
//! request: [`memory`] decides, [`messages`] is what other entry hosts ask and
//! are told, [`keys`] finds the owner.

pub mod keys;
pub mod memory;
pub mod messages;

pub use keys::{KeyCall, KeyCalls, Keys};
pub use memory::{MemoryLimits, OutcomeMemory};
pub use messages::{
    BeginKey, Begun, Ending, FinishKey, KeyAnswer, KeyId, KeyQuestion, StoredAnswer,
};
