//! Limits on the resources that one request may use.

use std::time::Duration;

/// Limits on requests and responses.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Maximum number of request headers.
    pub headers: usize,
    /// Maximum bytes of a request body.
    pub body_bytes: u64,
    /// Maximum bytes of a body that is buffered before the request is sent, so that it
    /// can be sent again. Longer bodies and bodies of unknown length are streamed and
    /// sent once.
    pub replay_bytes: u64,
    /// Maximum time between two frames of a body, from a caller or a target.
    pub body_idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            headers: 64,
            body_bytes: 1024 * 1024 * 1024,
            replay_bytes: 64 * 1024,
            body_idle_timeout: Duration::from_secs(10),
        }
    }
}
