//! Leases on shares: a holder's side, and a voter's promises.

use super::messages::{Incarnation, ShareId};
use cyclamenloft_types::HostId;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Times that bound the use of shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// How long a holder uses a share after the request that renewed it.
    pub lease: Duration,
    /// Longest deadline of requests on slots that go by lease; others use the
    /// floor only.
    pub longest_request: Duration,
    /// Longest deadline of any request; longer ones are cut to it.
    pub max_deadline: Duration,
    /// Bound on how far two hosts' clocks drift apart over a lease and the
    /// longest request.
    pub drift_margin: Duration,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(1200),
            longest_request: Duration::from_secs(2),
            max_deadline: Duration::from_secs(2),
            drift_margin: Duration::from_millis(200),
        }
    }
}

impl LeaseConfig {
    /// How long a voter keeps a promise: until the holder's lease and the
    /// requests that outlast it have surely ended.
    #[must_use]
    pub fn promise(&self) -> Duration {
        self.lease + self.longest_request + self.drift_margin
    }

    /// How often a holder asks for renewal.
    #[must_use]
    pub fn renewal_period(&self) -> Duration {
        self.lease / 6
    }
}

#[derive(Debug)]
struct Promise {
    holder: HostId,
    incarnation: Incarnation,
    until: Instant,
}

/// What a voter has promised: at most one holder for each share at a time.
#[derive(Debug)]
pub(crate) struct Promises {
    /// Before this, promises of a former life may still bind.
    bound_until: Instant,
    length: Duration,
    promises: BTreeMap<ShareId, Promise>,
    /// When an owner last asked for its own shares.
    heard: HashMap<HostId, Instant>,
}

impl Promises {
    pub(crate) fn new(config: &LeaseConfig, now: Instant) -> Self {
        Self {
            bound_until: now + config.promise(),
            length: config.promise(),
            promises: BTreeMap::new(),
            heard: HashMap::new(),
        }
    }

    /// Promises the share, or renews the promise, unless another holder or an
    /// earlier life of the same one may be using it.
    pub(crate) fn grant(
        &mut self,
        share: &ShareId,
        holder: &HostId,
        incarnation: Incarnation,
        now: Instant,
    ) -> bool {
        if share.owner == *holder {
            self.heard.insert(holder.clone(), now);
        }
        if now < self.bound_until {
            return false;
        }
        let until = now + self.length;
        match self.promises.get_mut(share) {
            Some(p) if p.until > now && (p.holder != *holder || p.incarnation != incarnation) => {
                false
            }
            Some(p) => {
                (p.holder, p.incarnation, p.until) = (holder.clone(), incarnation, until);
                true
            }
            None => {
                let promise = Promise { holder: holder.clone(), incarnation, until };
                self.promises.insert(share.clone(), promise);
                true
            }
        }
    }

    /// Forgets the promises to a holder that has stopped for good.
    pub(crate) fn release(&mut self, holder: &HostId, incarnation: Incarnation, now: Instant) {
        let held = |p: &&mut Promise| p.holder == *holder && p.incarnation == incarnation;
        for promise in self.promises.values_mut().filter(held) {
            promise.until = promise.until.min(now);
        }
        self.heard.remove(holder);
    }

    /// From when the share is free as far as this voter knows.
    pub(crate) fn free_from(&self, share: &ShareId) -> Instant {
        let until = self.promises.get(share).map_or(self.bound_until, |p| p.until);
        until.max(self.bound_until)
    }

    /// Whether the owner asked for its own shares within `period`.
    pub(crate) fn heard_within(&self, owner: &str, period: Duration, now: Instant) -> bool {
        let heard = self.heard.get(owner);
        heard.is_some_and(|t| now.saturating_duration_since(*t) <= period)
    }
}

/// A share as its holder, or a host that wants it, sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldShare {
    /// For each voter, when the newest request that it answered was sent.
    renewed: Vec<Option<Instant>>,
    /// When this host began to ask, while it asks.
    pub(crate) asking_since: Option<Instant>,
    /// Not to be asked for before this.
    pub(crate) back_off_until: Option<Instant>,
    /// Until when the share is held.
    held_until: Option<Instant>,
    /// Since when it has been held without a break.
    acquired: Option<Instant>,
}

impl HeldShare {
    pub(crate) fn new(voters: usize) -> Self {
        Self { renewed: vec![None; voters], ..Self::default() }
    }

    /// Takes in a voter's renewal for a request sent at `sent`. Returns whether
    /// the share is newly held by it.
    pub(crate) fn renew(
        &mut self,
        voter: usize,
        sent: Instant,
        lease: Duration,
        now: Instant,
    ) -> bool {
        if let Some(renewed) = self.renewed.get_mut(voter) {
            *renewed = (*renewed).max(Some(sent));
        }
        let was_held = self.is_held(now);
        self.held_until = self.majority_end(lease);
        let is_new = !was_held && self.is_held(now);
        if is_new {
            self.acquired = Some(now);
        }
        is_new
    }

    fn majority_end(&self, lease: Duration) -> Option<Instant> {
        let mut renewed = self.renewed.clone();
        renewed.sort_unstable_by(|a, b| b.cmp(a));
        let majority = self.renewed.len() / 2;
        renewed.get(majority).copied().flatten().map(|sent| sent + lease)
    }

    pub(crate) fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|t| t > now)
    }

    /// Until when the share is held, if it is.
    pub(crate) fn end(&self, now: Instant) -> Option<Instant> {
        self.held_until.filter(|t| *t > now)
    }

    /// Since when the share has been held without a break, if it is held.
    pub(crate) fn acquired(&self, now: Instant) -> Option<Instant> {
        self.acquired.filter(|_| self.is_held(now))
    }

    /// Stops asking; what is held runs out by itself.
    pub(crate) fn stop_asking(&mut self, until: Instant) {
        self.asking_since = None;
        self.back_off_until = Some(until);
    }
}

/// When each of the last rounds of asking was sent.
#[derive(Debug, Default)]
pub(crate) struct Rounds {
    last: u64,
    sent: VecDeque<(u64, Instant)>,
}

impl Rounds {
    /// Begins a round; rounds older than `lease` are forgotten.
    pub(crate) fn begin(&mut self, lease: Duration, now: Instant) -> u64 {
        self.last += 1;
        self.sent.retain(|(_, at)| *at + lease > now);
        self.sent.push_back((self.last, now));
        self.last
    }

    pub(crate) fn sent(&self, round: u64) -> Option<Instant> {
        self.sent.iter().find(|(r, _)| *r == round).map(|(_, at)| *at)
    }
}
