//! Leases on shares: the state of a holder, and the promises of a voter.

use super::messages::{Incarnation, ShareId};
use cyclamenloft_types::HostId;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

/// The durations that bound the use of shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// Time for which a holder uses a share after sending the request that renewed
    /// it.
    pub lease: Duration,
    /// Longest time to the deadline of requests on leased slots; requests with a
    /// longer one use floor slots only.
    pub longest_request: Duration,
    /// Longest time to the deadline of any request; a longer time is shortened to
    /// this.
    pub max_deadline: Duration,
    /// Largest drift between two hosts' clocks over the time of a lease plus the
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
    /// Returns the time for which a voter keeps a promise: until the holder's lease
    /// and the requests that may outlast it have certainly ended.
    #[must_use]
    pub fn promise_duration(&self) -> Duration {
        self.lease + self.longest_request + self.drift_margin
    }

    /// Returns the interval at which a holder requests renewal.
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

/// The promises of a voter: at most one holder for each share at a time.
#[derive(Debug)]
pub(crate) struct Promises {
    /// Time before which the voter grants nothing, because promises of its
    /// previous incarnation may still hold.
    no_grants_before: Instant,
    duration: Duration,
    promises: BTreeMap<ShareId, Promise>,
    /// Time at which each owner last requested its own shares.
    last_request: HashMap<HostId, Instant>,
}

impl Promises {
    pub(crate) fn new(config: &LeaseConfig, now: Instant) -> Self {
        Self {
            no_grants_before: now + config.promise_duration(),
            duration: config.promise_duration(),
            promises: BTreeMap::new(),
            last_request: HashMap::new(),
        }
    }

    /// Promises the share to the holder, or renews that promise. Returns false if
    /// another holder, or another incarnation of the same holder, may be using
    /// the share.
    pub(crate) fn grant(
        &mut self,
        share: &ShareId,
        holder: &HostId,
        incarnation: Incarnation,
        now: Instant,
    ) -> bool {
        if share.owner == *holder {
            self.last_request.insert(holder.clone(), now);
        }
        if now < self.no_grants_before {
            return false;
        }
        let until = now + self.duration;
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

    /// Ends the promises to a holder that has stopped for good.
    pub(crate) fn release(&mut self, holder: &HostId, incarnation: Incarnation, now: Instant) {
        let held = |p: &&mut Promise| p.holder == *holder && p.incarnation == incarnation;
        for promise in self.promises.values_mut().filter(held) {
            promise.until = promise.until.min(now);
        }
        self.last_request.remove(holder);
    }

    /// Returns the time from which this voter may promise the share to anyone.
    pub(crate) fn free_from(&self, share: &ShareId) -> Instant {
        let until = self.promises.get(share).map_or(self.no_grants_before, |p| p.until);
        until.max(self.no_grants_before)
    }

    /// Returns whether the owner requested its own shares within `period`.
    pub(crate) fn requested_within(&self, owner: &str, period: Duration, now: Instant) -> bool {
        let last_request = self.last_request.get(owner);
        last_request.is_some_and(|t| now.saturating_duration_since(*t) <= period)
    }
}

/// The state of a share at its holder, or at a host that requests it.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldShare {
    /// For each voter, the time at which the latest request that it granted was
    /// sent.
    renewed_at: Vec<Option<Instant>>,
    /// Time since which this host has been requesting another host's share to take
    /// it over, or `None` if it isn't requesting the share.
    pub(crate) requesting_since: Option<Instant>,
    /// Time before which the share must not be requested, or `None` if it may
    /// be requested at any time.
    pub(crate) back_off_until: Option<Instant>,
    /// Time until which the share is held, possibly in the past, or `None` if
    /// no majority has granted it.
    held_until: Option<Instant>,
    /// Start of the current or last period in which the share was held without
    /// interruption, or `None` if it was never held.
    acquired: Option<Instant>,
}

impl HeldShare {
    pub(crate) fn new(voters: usize) -> Self {
        Self { renewed_at: vec![None; voters], ..Self::default() }
    }

    /// Records a voter's renewal for a request sent at `sent`. Returns true if
    /// this host did not hold the share before and holds it now.
    pub(crate) fn renew(
        &mut self,
        voter: usize,
        sent: Instant,
        lease: Duration,
        now: Instant,
    ) -> bool {
        if let Some(renewed_at) = self.renewed_at.get_mut(voter) {
            *renewed_at = (*renewed_at).max(Some(sent));
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
        let mut renewed_at = self.renewed_at.clone();
        renewed_at.sort_unstable_by(|a, b| b.cmp(a));
        let majority = self.renewed_at.len() / 2;
        renewed_at.get(majority).copied().flatten().map(|sent| sent + lease)
    }

    pub(crate) fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|t| t > now)
    }

    /// Returns the time until which the share is held, or `None` if it isn't held.
    pub(crate) fn end(&self, now: Instant) -> Option<Instant> {
        self.held_until.filter(|t| *t > now)
    }

    /// Returns the time since which the share has been held without interruption,
    /// if it is held.
    pub(crate) fn acquired(&self, now: Instant) -> Option<Instant> {
        self.acquired.filter(|_| self.is_held(now))
    }

    /// Stops requesting the share until `until`. A lease that is held expires by
    /// itself.
    pub(crate) fn back_off(&mut self, until: Instant) {
        self.requesting_since = None;
        self.back_off_until = Some(until);
    }
}

/// The times at which the latest rounds of renewal requests were sent.
#[derive(Debug, Default)]
pub(crate) struct RenewalRounds {
    last: u64,
    sent: VecDeque<(u64, Instant)>,
}

impl RenewalRounds {
    /// Begins a round and returns its number. Rounds older than `lease` are
    /// dropped.
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
