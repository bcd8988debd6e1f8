//! Bounds on what one request may cost an entry host.

use std::time::Duration;

/// Bounds on requests and answers.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Most headers of a request.
    pub headers: usize,
    /// Most bytes of a request's body.
    pub body_bytes: u64,
    /// Most bytes of a body that is read whole before the request is sent, so
    /// that it can be sent again. Longer bodies are streamed once.
    pub replay_bytes: u64,
    /// Longest pause between two pieces of a body, from a caller or a target.
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
