//! A bound on the pauses of a body.

use compio::time::sleep;
use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

/// Runs out where a body gives nothing for too long. The timer exists only
/// while the body is waited for.
pub(crate) struct IdleTimeout {
    limit: Duration,
    timer: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl IdleTimeout {
    /// A limit that is not running.
    pub(crate) fn new(limit: Duration) -> Self {
        Self { limit, timer: None }
    }

    /// The longest pause.
    pub(crate) fn limit(&self) -> Duration {
        self.limit
    }

    /// Starts the timer unless it runs. Ready where it has run out.
    pub(crate) fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        timer.as_mut().poll(cx)
    }

    /// Stops the timer, because something came.
    pub(crate) fn reset(&mut self) {
        self.timer = None;
    }
}
