//! A signal, shared by all threads of a process, that a planned stop has begun.

use futures_channel::oneshot;
use futures_util::{
    FutureExt,
    future::{FusedFuture, Shared},
};

/// Begins the stop. Dropping it begins the stop too.
#[derive(Debug)]
pub struct StopHandle(Option<oneshot::Sender<()>>);

/// Tells each task that a stop has begun.
#[derive(Clone, Debug)]
pub struct StopSignal(Shared<oneshot::Receiver<()>>);

/// Creates a handle and the signal that it controls.
#[must_use]
pub fn stop_pair() -> (StopHandle, StopSignal) {
    let (tx, rx) = oneshot::channel();
    (StopHandle(Some(tx)), StopSignal(rx.shared()))
}

impl StopHandle {
    /// Begins the stop; a second call changes nothing.
    pub fn stop(&mut self) {
        if let Some(tx) = self.0.take() {
            // The receiver may be gone when every task has ended already.
            let _ = tx.send(());
        }
    }
}

impl StopSignal {
    /// Waits until the stop begins.
    pub async fn stopped(&self) {
        let _ = self.0.clone().await;
    }

    /// Whether the stop has begun.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.0.is_terminated() || self.0.clone().now_or_never().is_some()
    }
}
