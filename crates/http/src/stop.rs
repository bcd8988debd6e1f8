//! A signal, shared by all threads of a process, that a planned stop has begun.

use futures_channel::oneshot;
use futures_util::{FutureExt, future::Shared};
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Begins the stop. Dropping it begins the stop too.
#[derive(Debug)]
pub struct StopHandle {
    tx: Option<oneshot::Sender<()>>,
    begun: Arc<AtomicBool>,
}

/// Tells each task that a stop has begun.
#[derive(Clone, Debug)]
pub struct StopSignal {
    rx: Shared<oneshot::Receiver<()>>,
    /// Set before the channel's receivers are woken.
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
    /// Begins the stop; a second call changes nothing.
    pub fn stop(&mut self) {
        self.begun.store(true, Ordering::Release);
        if let Some(tx) = self.tx.take() {
            // The receiver may be gone when every task has ended already.
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

    /// Whether the stop has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.begun.load(Ordering::Acquire)
    }
}
