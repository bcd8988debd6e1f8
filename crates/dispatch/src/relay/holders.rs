//! Which replica calls a worker, and under which fencing token.

use super::WorkerEndpoint;
use cyclamenloft_types::{DomainName, ReplicaId, Term};
use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Number of bits of a fencing token that count the changes within a term. A change takes a round
/// trip at least, so a term would have to last years to use them up.
const CHANGE_BITS: u32 = 24;
/// Number of low bits of a fencing token that count the lives of a worker that one holder calls.
const LIFE_BITS: u32 = 8;
/// Last life of a worker that is counted under one token. The next one is called under a new token.
const LAST_LIFE: Term = (1 << LIFE_BITS) - 1;

/// The replica that calls a worker, and its token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The replica, or `None` for the leader itself.
    pub replica: Option<ReplicaId>,
    /// Fencing token of its calls to the worker.
    pub token: Term,
}

impl Holder {
    /// Returns the token that was issued to the replica, without the number of the worker's life.
    #[must_use]
    pub fn issued(&self) -> Term {
        self.token & !LAST_LIFE
    }
}

/// Returns the term in which a fencing token was issued.
#[must_use]
pub fn term_of(token: Term) -> Term {
    token >> (CHANGE_BITS + LIFE_BITS)
}

/// Whether a new leader's first calls to the workers of a failure domain wait for a session.
#[derive(Debug, Default)]
pub struct FirstSessions {
    open: BTreeSet<DomainName>,
    all_tried: bool,
}

impl FirstSessions {
    /// Records that a replica of `domain` has accepted a session.
    pub fn record_opened(&mut self, domain: impl Into<DomainName>) {
        self.open.insert(domain.into());
    }

    /// Records that every replica has accepted a session or has not answered in time.
    pub fn record_all_tried(&mut self) {
        self.all_tried = true;
    }

    /// Returns whether workers of `domain` may be called by a leader in `leader_domain`. Until
    /// all replicas have been tried, one of them may still be the one of `domain`, and a call by
    /// the leader would cost the worker's next holder another one.
    #[must_use]
    pub fn may_call(&self, leader_domain: &str, domain: &str) -> bool {
        self.all_tried || domain == leader_domain || self.open.contains(domain)
    }
}

/// The replicas that call workers for the leader of one term.
///
/// Tokens are issued in ascending order, each to one replica. A worker's holder changes only to
/// one with a higher token, so that the worker rejects what the former one may still send. The token
/// rises with each life of a worker, too: a life that has begun under the name of a former one accepts
/// the calls to that one until it has seen a higher token.
#[derive(Debug)]
pub struct Holders {
    term: Term,
    issued: u64,
    /// Token of the leader's own calls.
    own: Term,
    /// The sessions of other replicas, by failure domain.
    open: BTreeMap<DomainName, Holder>,
    /// Whether the leader hands over the workers that it calls itself, too.
    overloaded: bool,
    /// The last holder of each worker. It is kept when the group gives a worker up, because the
    /// worker may come back and still rejects lower tokens, until another one runs in its place.
    last: BTreeMap<WorkerEndpoint, Holder>,
}

impl Holders {
    /// Returns the holders at the beginning of a term: the leader calls all workers.
    #[must_use]
    pub fn new(term: Term) -> Self {
        Self {
            term,
            issued: 0,
            own: term << (CHANGE_BITS + LIFE_BITS),
            open: BTreeMap::new(),
            overloaded: false,
            last: BTreeMap::new(),
        }
    }

    /// Issues a token that is higher than all earlier ones, for a session that is to be opened.
    pub fn issue(&mut self) -> Term {
        self.issued += 1;
        ((self.term << CHANGE_BITS) | self.issued) << LIFE_BITS
    }

    /// Records that a replica of `domain` has accepted a session.
    pub fn opened(&mut self, domain: DomainName, replica: ReplicaId, token: Term) {
        self.open.insert(domain, Holder { replica: Some(replica), token });
    }

    /// Records that the session with this token has ended. The workers that were called in it
    /// are called by the leader, with a higher token.
    pub fn closed(&mut self, token: Term) {
        self.open.retain(|_, holder| holder.token != token);
        self.own = self.issue();
    }

    /// Returns whether a replica of the domain makes calls for the leader.
    #[must_use]
    pub fn has_session(&self, domain: &str) -> bool {
        self.open.contains_key(domain)
    }

    /// Records that the leader is too busy to call workers itself. From now on, workers without
    /// a session in their domain are divided over all sessions. Returns whether that is new.
    pub fn record_overload(&mut self) -> bool {
        !std::mem::replace(&mut self.overloaded, true)
    }

    /// Forgets the workers for which `may_return` is false, because a later incarnation runs in
    /// their place and, if it has the same name, has been called. Their tokens no longer matter.
    pub fn retain(&mut self, may_return: impl Fn(&WorkerEndpoint) -> bool) {
        self.last.retain(|worker, _| may_return(worker));
    }

    /// Returns the number of workers whose last holder is known.
    #[must_use]
    pub fn known_count(&self) -> usize {
        self.last.len()
    }

    /// Returns the holder that is to call a worker of `domain` next.
    pub fn next_holder(&mut self, domain: &str, worker: &WorkerEndpoint) -> Holder {
        let next = match self.last.get(worker) {
            Some(last) => self.choose(domain, &worker.id, Some(*last)),
            None => self.first_holder(domain, worker),
        };
        if self.last.get(worker) != Some(&next) {
            self.last.insert(worker.clone(), next);
        }
        next
    }

    /// Returns the holder of a life that is called for the first time. Its token is higher than those
    /// of the calls to former lives.
    fn first_holder(&mut self, domain: &str, worker: &WorkerEndpoint) -> Holder {
        let first = WorkerEndpoint { started_ms: 0, ..worker.clone() };
        let former = self.last.range(first..worker.clone());
        let Some(former) = former.map(|(_, holder)| *holder).max_by_key(|h| h.token) else {
            return self.choose(domain, &worker.id, None);
        };
        let next = self.choose(domain, &worker.id, Some(former));
        if next.token > former.token {
            return next;
        }
        match next == former && former.token & LAST_LIFE < LAST_LIFE {
            true => Holder { token: former.token + 1, ..former },
            false => Holder { replica: None, token: self.issue() },
        }
    }

    fn choose(&self, domain: &str, worker: &str, current: Option<Holder>) -> Holder {
        let is_same = |next: &Holder| current.is_some_and(|c| c.issued() == next.token);
        let wanted = self.open.get(domain).or_else(|| self.any_session(worker));
        match (wanted, current) {
            (Some(holder), Some(current)) if is_same(holder) => return current,
            (Some(holder), current) if current.is_none_or(|c| c.token < holder.token) => {
                return *holder;
            }
            _ => {}
        }
        let is_own = |c: &Holder| c.replica.is_none();
        current.filter(is_own).unwrap_or(Holder { replica: None, token: self.own })
    }

    /// Returns the session for a worker without one in its domain, if the leader is
    /// overloaded. It is chosen by rendezvous hashing, so that the end of a session moves no
    /// other workers than its own.
    fn any_session(&self, worker: &str) -> Option<&Holder> {
        let weight = |holder: &&Holder| {
            let mut hasher = DefaultHasher::new();
            (worker, holder.replica).hash(&mut hasher);
            hasher.finish()
        };
        self.open.values().filter(|_| self.overloaded).max_by_key(weight)
    }
}
