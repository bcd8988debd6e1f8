//! Finds the entry host that owns an idempotency key, and sends requests to this owner.

use super::{
    messages::{BeginDecision, KeyId, KeyRequest, KeyResponse},
    store::OutcomeStore,
};
use cyclamenloft_types::{Error, ErrorKind, HostId, Result};
use futures_channel::{mpsc, oneshot};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};
use xxhash_rust::xxh3::Xxh3;

/// A request to another entry host that owns an idempotency key.
pub struct KeyCall {
    /// The owner of the key.
    pub owner: HostId,
    /// The request.
    pub request: KeyRequest,
    /// The channel on which the response is returned.
    pub reply: oneshot::Sender<Result<KeyResponse>>,
}

/// The receiver of the requests that go to other entry hosts.
pub type KeyCalls = mpsc::UnboundedReceiver<KeyCall>;

/// Calls the owners of keys. Clones share the store of the keys owned here.
#[derive(Clone)]
pub struct Keys {
    host: HostId,
    roster: Arc<[HostId]>,
    store: Arc<Mutex<OutcomeStore>>,
    calls_tx: mpsc::UnboundedSender<KeyCall>,
}

impl Keys {
    /// Creates the handle of `host`, which is part of `roster`. Requests to other
    /// hosts arrive at the returned receiver.
    #[must_use]
    pub fn new(
        host: HostId,
        roster: impl Into<Arc<[HostId]>>,
        store: OutcomeStore,
    ) -> (Self, KeyCalls) {
        let (calls_tx, calls) = mpsc::unbounded();
        let store = Arc::new(Mutex::new(store));
        (Self { host, roster: roster.into(), store, calls_tx }, calls)
    }

    /// Handles a request about a key that this host owns.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Conflict`] if this host is not the owner, which means
    /// that the rosters of the two hosts differ.
    pub fn handle(&self, request: KeyRequest, now: Instant) -> Result<KeyResponse> {
        let id = match &request {
            KeyRequest::Begin(begin) => &begin.id,
            KeyRequest::Finish(finish) => &finish.id,
        };
        let owner = owner(id, &self.roster);
        if owner != Some(&self.host) {
            let detail = format!("key {:?}: host {:?} is not its owner", id.key, self.host);
            return Err(Error::new(ErrorKind::Conflict, detail));
        }
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(match request {
            KeyRequest::Begin(begin) => KeyResponse::Begun(store.begin(&begin, now)),
            KeyRequest::Finish(finish) => {
                store.finish(finish, now);
                KeyResponse::Noted
            }
        })
    }

    /// Removes expired keys from the store of the keys that this host owns.
    pub fn tick(&self, now: Instant) {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).remove_expired(now);
    }

    /// Sends a request to the owner of the key, which may be this host.
    ///
    /// # Errors
    ///
    /// Returns the error of the owner, or [`ErrorKind::PeerUnreachable`] if it does
    /// not respond.
    pub(crate) async fn ask(&self, request: KeyRequest) -> Result<KeyResponse> {
        let id = match &request {
            KeyRequest::Begin(begin) => &begin.id,
            KeyRequest::Finish(finish) => &finish.id,
        };
        let unreachable = |owner: &str| {
            Error::new(ErrorKind::PeerUnreachable, format!("owner {owner:?} of the key"))
        };
        let Some(owner) = owner(id, &self.roster).cloned() else {
            return Err(unreachable(""));
        };
        if owner == self.host {
            return self.handle(request, Instant::now());
        }
        let (reply, rx) = oneshot::channel();
        let call = KeyCall { owner: owner.clone(), request, reply };
        self.calls_tx.unbounded_send(call).map_err(|_| unreachable(&owner))?;
        rx.await.unwrap_or_else(|_| Err(unreachable(&owner)))
    }
}

/// Returns the host of `roster` that owns a key, by rendezvous hashing: the host
/// with the highest hash of its name and the key. All hosts agree on it, and a
/// change of the roster moves few keys.
#[must_use]
pub fn owner<'a>(id: &KeyId, roster: &'a [HostId]) -> Option<&'a HostId> {
    roster.iter().max_by_key(|host| (weight(id, host), *host))
}

fn weight(id: &KeyId, host: &str) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [host, &id.service, &id.caller, &id.key] {
        hasher.update(part.as_bytes());
        // Terminates each part, so that different lists never hash the same bytes.
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// Returns the error for a request that `begun` refuses; `None` if the request may run
/// or has a stored response.
pub(crate) fn refuse(begun: &BeginDecision, key: &str) -> Option<Error> {
    let (kind, what) = match begun {
        BeginDecision::Run | BeginDecision::Done(_) => return None,
        BeginDecision::InProgress => (ErrorKind::InProgress, "an earlier request is in progress"),
        BeginDecision::Conflict => (ErrorKind::Conflict, "was used for a different request"),
        BeginDecision::Lost => {
            (ErrorKind::OutcomeLost, "the outcome of an earlier request is not known")
        }
        BeginDecision::Full => (ErrorKind::Overloaded, "too many keys are stored"),
    };
    Some(Error::new(kind, format!("idempotency key {key:?}: {what}")))
}
