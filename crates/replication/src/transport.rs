//! The transport of messages between replicas.

use cyclamenloft_types::{ReplicaId, Result};

/// Carries a message to another replica and returns its response. The transport
/// may lose, delay or duplicate messages, but must not alter them.
pub trait Transport: 'static {
    /// Sends `message` to replica `to` and waits for the response.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::PeerUnreachable`](cyclamenloft_types::ErrorKind::PeerUnreachable)
    /// if no response arrived.
    fn call(&self, to: ReplicaId, message: Vec<u8>) -> impl Future<Output = Result<Vec<u8>>>;
}
