//! The outcomes of requests whose keys an entry host owns. The store is bounded
//! in number of keys, bytes and time.
//!
//! A key that is not stored is either new, or its record was lost in a restart of
//! the process. Until one retention time has passed since the store was created,
//! such a key may run only if the caller states that it is new.

use super::messages::{BeginDecision, BeginKey, Ending, FinishKey, KeyId, StoredResponse};
use cyclamenloft_types::RequestId;
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Limits of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeStoreLimits {
    /// Maximum number of keys.
    pub keys: usize,
    /// Maximum bytes of responses, over all keys.
    pub bytes: usize,
    /// Maximum bytes of one response.
    pub response_bytes: usize,
    /// How long a key is kept after the deadline of its request or, once the request
    /// has ended, after that end.
    pub retention: Duration,
}

impl Default for OutcomeStoreLimits {
    fn default() -> Self {
        Self {
            keys: 100_000,
            bytes: 256 * 1024 * 1024,
            response_bytes: 64 * 1024,
            retention: Duration::from_secs(300),
        }
    }
}

enum KeyState {
    /// The request is running. If its end has not been reported by its deadline, its
    /// outcome counts as unknown.
    InProgress {
        request: RequestId,
        until: Instant,
    },
    Done(StoredResponse),
    Lost,
}

struct Record {
    fingerprint: u64,
    state: KeyState,
    expiry: Expiry,
}

/// The expiry time of a record, and a number that distinguishes records with the same
/// time.
type Expiry = (Instant, u64);

/// The outcomes of requests with keys.
pub struct OutcomeStore {
    limits: OutcomeStoreLimits,
    created_at: Instant,
    records: HashMap<KeyId, Record>,
    by_expiry: BTreeMap<Expiry, KeyId>,
    bytes: usize,
    next_number: u64,
}

impl OutcomeStore {
    /// Creates an empty store at `now`.
    #[must_use]
    pub fn new(limits: OutcomeStoreLimits, now: Instant) -> Self {
        Self {
            limits,
            created_at: now,
            records: HashMap::new(),
            by_expiry: BTreeMap::new(),
            bytes: 0,
            next_number: 0,
        }
    }

    /// Decides whether a request may run.
    pub fn begin(&mut self, begin: &BeginKey, now: Instant) -> BeginDecision {
        self.remove_expired(now);
        if let Some(record) = self.records.get(&begin.id) {
            return decide_repeated(record, begin, now);
        }
        if !begin.first && !self.is_complete(now) {
            return BeginDecision::Lost;
        }
        if self.records.len() >= self.limits.keys {
            return BeginDecision::Full;
        }
        let until = now + begin.left();
        let expiry = self.expiry(until + self.limits.retention);
        let state = KeyState::InProgress { request: begin.request.clone(), until };
        self.by_expiry.insert(expiry, begin.id.clone());
        let record = Record { fingerprint: begin.fingerprint, state, expiry };
        self.records.insert(begin.id.clone(), record);
        BeginDecision::Run
    }

    /// Records how a request ended. Ignores reports other than the first one of the
    /// request that was allowed to run.
    pub fn finish(&mut self, finish: FinishKey, now: Instant) {
        let FinishKey { id, request, ending } = finish;
        let Some(record) = self.records.get(&id) else { return };
        let is_running =
            matches!(&record.state, KeyState::InProgress { request: r, .. } if *r == request);
        if !is_running {
            return;
        }
        match ending {
            Ending::NotRun => self.remove(&id),
            Ending::Unknown => self.set_state(&id, KeyState::Lost, now),
            Ending::Done(response) => {
                let size = response.size();
                if size > self.limits.response_bytes || self.bytes + size > self.limits.bytes {
                    self.set_state(&id, KeyState::Lost, now);
                } else {
                    self.bytes += size;
                    self.set_state(&id, KeyState::Done(response), now);
                }
            }
        }
    }

    /// Removes expired keys.
    pub fn remove_expired(&mut self, now: Instant) {
        while let Some((expiry, id)) = self.by_expiry.first_key_value()
            && expiry.0 <= now
        {
            let id = id.clone();
            self.remove(&id);
        }
    }

    /// Returns whether the store holds every key that may still be sent again, because
    /// one retention time has passed since it was created.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        now >= self.created_at + self.limits.retention
    }

    /// Returns the number of stored keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of the stored responses.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn set_state(&mut self, id: &KeyId, state: KeyState, now: Instant) {
        let expiry = self.expiry(now + self.limits.retention);
        if let Some(record) = self.records.get_mut(id) {
            self.by_expiry.remove(&record.expiry);
            self.by_expiry.insert(expiry, id.clone());
            record.expiry = expiry;
            record.state = state;
        }
    }

    fn remove(&mut self, id: &KeyId) {
        if let Some(record) = self.records.remove(id) {
            self.by_expiry.remove(&record.expiry);
            if let KeyState::Done(response) = &record.state {
                self.bytes -= response.size();
            }
        }
    }

    fn expiry(&mut self, at: Instant) -> Expiry {
        self.next_number += 1;
        (at, self.next_number)
    }
}

fn decide_repeated(record: &Record, begin: &BeginKey, now: Instant) -> BeginDecision {
    if record.fingerprint != begin.fingerprint {
        return BeginDecision::Conflict;
    }
    match &record.state {
        KeyState::InProgress { until, .. } if now < *until => BeginDecision::InProgress,
        KeyState::InProgress { .. } | KeyState::Lost => BeginDecision::Lost,
        KeyState::Done(response) => BeginDecision::Done(response.clone()),
    }
}
