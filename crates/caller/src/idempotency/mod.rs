//! `Idempotency-Key`: a caller may send a request again after a lost response.
//!
//! One entry host of the domain, the owner of the key, stores the outcome of the
//! request. [`store`] decides whether a request runs, [`messages`] defines the
//! messages between the hosts, and [`keys`] finds the owner.

pub mod keys;
pub mod messages;
pub mod store;

pub use keys::{KeyCall, KeyCalls, Keys};
pub use messages::{
    BeginDecision, BeginKey, Ending, FinishKey, KeyId, KeyRequest, KeyResponse, StoredResponse,
};
pub use store::{OutcomeStore, OutcomeStoreLimits};
