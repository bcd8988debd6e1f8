//! The replicated state machine.

use cyclamenloft_types::{LogIndex, Result};
use serde::{Serialize, de::DeserializeOwned};

/// State that every replica of a group derives from the same log.
///
/// Implementations must be deterministic: no clock, no randomness, no input
/// but the command.
pub trait StateMachine: Sized + 'static {
    /// A command, as it is stored in the log.
    type Command: Clone + Serialize + DeserializeOwned + 'static;
    /// The result of applying a command, returned to the proposer.
    type Response: Clone + 'static;

    /// Applies the committed command at `index`.
    fn apply(&mut self, index: LogIndex, command: &Self::Command) -> Self::Response;

    /// Encodes the whole state for a snapshot.
    fn encode(&self) -> Vec<u8>;

    /// Decodes a state from a snapshot.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Corrupt`](cyclamenloft_types::ErrorKind::Corrupt) if the
    /// bytes are not a snapshot of this state.
    fn decode(bytes: &[u8]) -> Result<Self>;
}
