//! What an entry host remembers of requests whose keys it owns: bounded in
//! number, bytes and time.
//!
//! A key that is not remembered may be new, or its memory may be gone with an
//! earlier run of the process. Until one lifetime of keys has passed since the
//! memory began, only the caller's word that a key is new lets it run.

use super::messages::{BeginDecision, BeginKey, Ending, FinishKey, KeyId, StoredAnswer};
use cyclamenloft_types::RequestId;
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Bounds on what is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeStoreLimits {
    /// Most keys.
    pub keys: usize,
    /// Most bytes of answers, over all keys.
    pub bytes: usize,
    /// Most bytes of one answer.
    pub answer_bytes: usize,
    /// How long a key is remembered after its last use.
    pub retention: Duration,
}

impl Default for OutcomeStoreLimits {
    fn default() -> Self {
        Self {
            keys: 100_000,
            bytes: 256 * 1024 * 1024,
            answer_bytes: 64 * 1024,
            retention: Duration::from_secs(300),
        }
    }
}

enum KeyState {
    /// Runs, at most until its deadline; then its outcome is not known.
    InProgress {
        request: RequestId,
        until: Instant,
    },
    Done(StoredAnswer),
    Lost,
}

struct Record {
    fingerprint: u64,
    state: KeyState,
    expiry: Expiry,
}

/// Orders the records by their end. The number tells equal times apart.
type Expiry = (Instant, u64);

/// What became of requests with keys.
pub struct OutcomeStore {
    limits: OutcomeStoreLimits,
    created_at: Instant,
    records: HashMap<KeyId, Record>,
    by_expiry: BTreeMap<Expiry, KeyId>,
    bytes: usize,
    next: u64,
}

impl OutcomeStore {
    /// An empty memory that began at `now`.
    #[must_use]
    pub fn new(limits: OutcomeStoreLimits, now: Instant) -> Self {
        Self {
            limits,
            created_at: now,
            records: HashMap::new(),
            by_expiry: BTreeMap::new(),
            bytes: 0,
            next: 0,
        }
    }

    /// Decides whether a request may run.
    pub fn begin(&mut self, begin: &BeginKey, now: Instant) -> BeginDecision {
        self.forget(now);
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

    /// Notes how a request ended. Only the sending that was told to run counts,
    /// and only its first word.
    pub fn finish(&mut self, finish: FinishKey, now: Instant) {
        let FinishKey { id, request, ending } = finish;
        let Some(record) = self.records.get(&id) else { return };
        let runs =
            matches!(&record.state, KeyState::InProgress { request: r, .. } if *r == request);
        if !runs {
            return;
        }
        match ending {
            Ending::NotRun => self.remove(&id),
            Ending::Unknown => self.set_state(&id, KeyState::Lost, now),
            Ending::Done(answer) => {
                let size = answer.size();
                if size > self.limits.answer_bytes || self.bytes + size > self.limits.bytes {
                    self.set_state(&id, KeyState::Lost, now);
                } else {
                    self.bytes += size;
                    self.set_state(&id, KeyState::Done(answer), now);
                }
            }
        }
    }

    /// Forgets the keys whose time has passed.
    pub fn forget(&mut self, now: Instant) {
        while let Some((expiry, id)) = self.by_expiry.first_key_value()
            && expiry.0 <= now
        {
            let id = id.clone();
            self.remove(&id);
        }
    }

    /// Whether every key that may still be used again is remembered.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        now >= self.created_at + self.limits.retention
    }

    /// Keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of the remembered answers.
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
            if let KeyState::Done(answer) = &record.state {
                self.bytes -= answer.size();
            }
        }
    }

    fn expiry(&mut self, at: Instant) -> Expiry {
        self.next += 1;
        (at, self.next)
    }
}

fn decide_repeated(record: &Record, begin: &BeginKey, now: Instant) -> BeginDecision {
    if record.fingerprint != begin.fingerprint {
        return BeginDecision::Conflict;
    }
    match &record.state {
        KeyState::InProgress { until, .. } if now < *until => BeginDecision::InProgress,
        KeyState::InProgress { .. } | KeyState::Lost => BeginDecision::Lost,
        KeyState::Done(answer) => BeginDecision::Done(answer.clone()),
    }
}
