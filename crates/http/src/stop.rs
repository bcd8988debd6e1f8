//! The signal for a planned stop, shared by all threads of a process.

use futures_channel::oneshot;
use futures_util::{FutureExt, future::Shared};
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// The handle that begins the planned stop. Dropping the handle also begins the stop.
#[derive(Debug)]
pub struct StopHandle {
    tx: Option<oneshot::Sender<()>>,
    begun: Arc<AtomicBool>,
}

/// The signal on which tasks wait for the stop.
#[derive(Clone, Debug)]
pub struct StopSignal {
    rx: Shared<oneshot::Receiver<()>>,
    /// Whether the stop has begun. Set before the receivers of the channel are woken.
    begun: Arc<AtomicBool>,
}

/// Creates a handle and the signal that it controls.
#[must_use]
pub fn stop_pair() -> (StopHandle, StopSignal) {
    let (tx, rx) = oneshot::channel();
    let begun = Arc::new(AtomicBool::new(false));
    (StopHandle { tx: Some(tx), begun: begun.clone() }, StopSignal { rx: rx.shared(), begun })
}

impl StopHandle {
    /// Begins the stop. Further calls have no effect.
    pub fn stop(&mut self) {
        self.begun.store(true, Ordering::Release);
        if let Some(tx) = self.tx.take() {
            // The receiver is gone if every task has already ended.
            let _ = tx.send(());
        }
    }
}

impl Drop for StopHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

impl StopSignal {
    /// Waits until the stop begins.
    pub async fn stopped(&self) {
        let _ = self.rx.clone().await;
    }

    /// Returns whether the stop has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.begun.load(Ordering::Acquire)
    }
}
