//! How a replica reaches the others of its group.

use cyclamenloft_types::{ReplicaId, Result};

/// Carries one message to another replica and its answer back. The transport
/// may lose, delay or repeat messages; it must not change them.
pub trait Transport: 'static {
    /// Sends `message` to replica `to` and waits for the answer.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::PeerUnreachable`](cyclamenloft_types::ErrorKind::PeerUnreachable)
    /// where no answer came.
    fn call(&self, to: ReplicaId, message: Vec<u8>) -> impl Future<Output = Result<Vec<u8>>>;
}
