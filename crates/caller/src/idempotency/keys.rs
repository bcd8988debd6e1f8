//! Finding the owner of a key and asking it.

use super::{
    messages::{Begun, KeyAnswer, KeyId, KeyQuestion},
    store::OutcomeMemory,
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
    pub question: KeyQuestion,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Result<KeyAnswer>>,
}

/// The questions that go to other entry hosts.
pub type KeyCalls = mpsc::UnboundedReceiver<KeyCall>;

/// Asks the owners of keys; clones share the memory of the keys owned here.
#[derive(Clone)]
pub struct Keys {
    host: HostId,
    roster: Arc<[HostId]>,
    memory: Arc<Mutex<OutcomeMemory>>,
    others: mpsc::UnboundedSender<KeyCall>,
}

impl Keys {
    /// The keys of `host`, one of `roster`. Questions to other hosts come out
    /// of the receiver.
    #[must_use]
    pub fn new(
        host: HostId,
        roster: impl Into<Arc<[HostId]>>,
        memory: OutcomeMemory,
    ) -> (Self, KeyCalls) {
        let (others, calls) = mpsc::unbounded();
        let memory = Arc::new(Mutex::new(memory));
        (Self { host, roster: roster.into(), memory, others }, calls)
    }

    /// Answers a question about a key that this host owns.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Conflict`] where the asker's roster names another owner.
    pub fn answer(&self, question: KeyQuestion, now: Instant) -> Result<KeyAnswer> {
        let id = match &question {
            KeyQuestion::Begin(begin) => &begin.id,
            KeyQuestion::Finish(finish) => &finish.id,
        };
        let owner = owner(id, &self.roster);
        if owner != Some(&self.host) {
            let detail = format!("key {:?}: host {:?} is not its owner", id.key, self.host);
            return Err(Error::new(ErrorKind::Conflict, detail));
        }
        let mut memory = self.memory.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(match question {
            KeyQuestion::Begin(begin) => KeyAnswer::Begun(memory.begin(&begin, now)),
            KeyQuestion::Finish(finish) => {
                memory.finish(finish, now);
                KeyAnswer::Noted
            }
        })
    }

    /// Forgets the keys whose time has passed.
    pub fn tick(&self, now: Instant) {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner).forget(now);
    }

    /// Asks the owner of the key, which may be this host.
    ///
    /// # Errors
    ///
    /// The owner's error, or [`ErrorKind::PeerUnreachable`] where it does not
    /// answer.
    pub(crate) async fn ask(&self, question: KeyQuestion) -> Result<KeyAnswer> {
        let id = match &question {
            KeyQuestion::Begin(begin) => &begin.id,
            KeyQuestion::Finish(finish) => &finish.id,
        };
        let unreachable = |owner: &str| {
            Error::new(ErrorKind::PeerUnreachable, format!("owner {owner:?} of the key"))
        };
        let Some(owner) = owner(id, &self.roster).cloned() else {
            return Err(unreachable(""));
        };
        if owner == self.host {
            return self.answer(question, Instant::now());
        }
        let (reply, rx) = oneshot::channel();
        let call = KeyCall { owner: owner.clone(), question, reply };
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
pub(crate) fn refuse(begun: &Begun, key: &str) -> Option<Error> {
    let (kind, what) = match begun {
        Begun::Run | Begun::Done(_) => return None,
        Begun::InProgress => (ErrorKind::InProgress, "an earlier sending is in progress"),
        Begun::Conflict => (ErrorKind::Conflict, "was used for another request"),
        Begun::Lost => (ErrorKind::OutcomeLost, "the outcome of an earlier sending is not known"),
        Begun::Full => (ErrorKind::Overloaded, "too many keys are remembered"),
    };
    Some(Error::new(kind, format!("idempotency key {key:?}: {what}")))
}
