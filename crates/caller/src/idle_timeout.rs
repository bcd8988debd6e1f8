//! A timeout for a body that yields no data.

use compio::time::sleep;
use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

/// Expires if a body yields nothing for too long. The timer exists only while a
/// task waits for the body.
pub(crate) struct IdleTimeout {
    limit: Duration,
    timer: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl IdleTimeout {
    /// Creates a timeout that is not running.
    pub(crate) fn new(limit: Duration) -> Self {
        Self { limit, timer: None }
    }

    /// Returns the duration of the timeout.
    pub(crate) fn limit(&self) -> Duration {
        self.limit
    }

    /// Starts the timer unless it is running. Returns `Ready` once it has expired.
    pub(crate) fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        timer.as_mut().poll(cx)
    }

    /// Stops the timer, because data arrived.
    pub(crate) fn reset(&mut self) {
        self.timer = None;
    }
}
