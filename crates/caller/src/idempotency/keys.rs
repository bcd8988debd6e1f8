//! Finding the owner of a key and asking it.

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

/// A question on its way to another entry host.
pub struct KeyCall {
    /// The owner.
    pub owner: HostId,
    /// What is asked.
    pub request: KeyRequest,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Result<KeyResponse>>,
}

/// The questions that go to other entry hosts.
pub type KeyCalls = mpsc::UnboundedReceiver<KeyCall>;

/// Asks the owners of keys; clones share the memory of the keys owned here.
#[derive(Clone)]
pub struct Keys {
    host: HostId,
    roster: Arc<[HostId]>,
    store: Arc<Mutex<OutcomeStore>>,
    others: mpsc::UnboundedSender<KeyCall>,
}

impl Keys {
    /// The keys of `host`, one of `roster`. Questions to other hosts come out
    /// of the receiver.
    #[must_use]
    pub fn new(
        host: HostId,
        roster: impl Into<Arc<[HostId]>>,
        store: OutcomeStore,
    ) -> (Self, KeyCalls) {
        let (others, calls) = mpsc::unbounded();
        let store = Arc::new(Mutex::new(store));
        (Self { host, roster: roster.into(), store, others }, calls)
    }

    /// Answers a question about a key that this host owns.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Conflict`] where the asker's roster names another owner.
    pub fn answer(&self, request: KeyRequest, now: Instant) -> Result<KeyResponse> {
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

    /// Forgets the keys whose time has passed.
    pub fn tick(&self, now: Instant) {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).forget(now);
    }

    /// Asks the owner of the key, which may be this host.
    ///
    /// # Errors
    ///
    /// The owner's error, or [`ErrorKind::PeerUnreachable`] where it does not
    /// answer.
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
            return self.answer(request, Instant::now());
        }
        let (reply, rx) = oneshot::channel();
        let call = KeyCall { owner: owner.clone(), request, reply };
        self.others.unbounded_send(call).map_err(|_| unreachable(&owner))?;
        rx.await.unwrap_or_else(|_| Err(unreachable(&owner)))
    }
}

/// The host of `roster` that owns a key: the one with the highest hash of the
/// key and its own name, so that hosts agree and a change of the roster moves
/// few keys.
#[must_use]
pub fn owner<'a>(id: &KeyId, roster: &'a [HostId]) -> Option<&'a HostId> {
    roster.iter().max_by_key(|host| (weight(id, host), *host))
}

fn weight(id: &KeyId, host: &str) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [host, &id.service, &id.caller, &id.key] {
        hasher.update(part.as_bytes());
        // Ends each part, so that no two lists of parts run into each other.
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// The error that ends a request that `begun` does not let run.
pub(crate) fn refuse(begun: &BeginDecision, key: &str) -> Option<Error> {
    let (kind, what) = match begun {
        BeginDecision::Run | BeginDecision::Done(_) => return None,
        BeginDecision::InProgress => (ErrorKind::InProgress, "an earlier sending is in progress"),
        BeginDecision::Conflict => (ErrorKind::Conflict, "was used for another request"),
        BeginDecision::Lost => {
            (ErrorKind::OutcomeLost, "the outcome of an earlier sending is not known")
        }
        BeginDecision::Full => (ErrorKind::Overloaded, "too many keys are remembered"),
    };
    Some(Error::new(kind, format!("idempotency key {key:?}: {what}")))
}
