//! `Idempotency-Key`: a caller may send a request again after a lost answer.
//!
//! One entry host of the domain, the key's owner, remembers what became of the
//! request: [`store`] decides, [`messages`] is what other entry hosts ask and
//! are told, [`keys`] finds the owner.

pub mod keys;
pub mod messages;
pub mod store;

pub use keys::{KeyCall, KeyCalls, Keys};
pub use messages::{
    BeginDecision, BeginKey, Ending, FinishKey, KeyId, KeyRequest, KeyResponse, StoredAnswer,
};
pub use store::{OutcomeStore, OutcomeStoreLimits};
