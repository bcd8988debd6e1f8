//! Whether a request goes to another failure domain, by one hop through one of
//! that domain's entry hosts.
//!
//! Entry hosts report their waits to each other. A request spills where the
//! local wait exceeds the way there and back, and the wait there. Reports lag,
//! so the share of such requests that do spill grows and shrinks slowly, and
//! two thresholds keep it from swinging between domains.

use crate::{decision::RequestFacts, service::ServiceRouter};
use cyclamenloft_types::{DomainName, HostId};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Age from which a report is worth nothing.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// How many times the cost of the way there the local wait must be to spill more.
const ENTER_RATIO: f64 = 1.2;
/// How many times that cost the local wait must fall below to spill less.
const LEAVE_RATIO: f64 = 0.8;
/// Local wait below which nothing more spills.
const MIN_LOCAL_WAIT: Duration = Duration::from_millis(5);
/// How often the share of requests that spill changes.
const RAMP_PERIOD: Duration = Duration::from_millis(200);
/// By how much it changes.
const RAMP_STEP: f64 = 0.05;

/// How long a request would wait at an entry host, as that host reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitReport {
    /// The host that reports.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Predicted wait for a slot in microseconds.
    pub wait_us: u64,
    /// Whether it has targets that it could use.
    pub has_targets: bool,
}

/// Where to send a request instead, and the figures behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpillChoice {
    /// The entry host to hand the request to.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Why, for the decision log.
    pub reason: &'static str,
    /// Predicted wait here; none where there is no usable target.
    pub local_wait: Option<Duration>,
    /// Reported wait there.
    pub remote_wait: Duration,
    /// One-way delay of the link.
    pub link_delay: Duration,
}

#[derive(Clone, Debug)]
struct Remote {
    report: WaitReport,
    link_delay: Duration,
    /// When the report was made, by this host's clock.
    made: Instant,
}

impl Remote {
    /// What it costs to go there, if the report still counts: older reports
    /// weigh more.
    fn cost(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.made);
        if age > MAX_REPORT_AGE || !self.report.has_targets {
            return None;
        }
        let doubt = 1.0 + age.as_secs_f64() / MAX_REPORT_AGE.as_secs_f64();
        Some(2 * self.link_delay + Duration::from_micros(self.report.wait_us).mul_f64(doubt))
    }
}

/// The share of requests that go to other domains although they could wait here.
#[derive(Debug, Default)]
struct Ramp {
    share: f64,
    changed: Option<Instant>,
}

impl Ramp {
    fn update(&mut self, local: Duration, cost: Duration, now: Instant) {
        let since = now.saturating_duration_since(*self.changed.get_or_insert(now));
        if since < RAMP_PERIOD {
            return;
        }
        self.changed = Some(now);
        // In periods without a request that could spill, nothing waited.
        let quiet = (since.as_secs_f64() / RAMP_PERIOD.as_secs_f64()).floor() - 1.0;
        self.share = (self.share - quiet * RAMP_STEP).max(0.0);
        if local > cost.mul_f64(ENTER_RATIO).max(MIN_LOCAL_WAIT) {
            self.share = (self.share + RAMP_STEP).min(1.0);
        } else if local < cost.mul_f64(LEAVE_RATIO) {
            self.share = (self.share - RAMP_STEP).max(0.0);
        }
    }
}

/// What is known of other domains.
#[derive(Debug, Default)]
pub(crate) struct Neighbours {
    remotes: BTreeMap<HostId, Remote>,
    ramp: Ramp,
}

impl Neighbours {
    /// Two random hosts whose reports count; the cheaper one.
    fn choose(&self, rng: &mut impl Rng, now: Instant) -> Option<(&Remote, Duration)> {
        let usable: Vec<_> =
            self.remotes.values().filter_map(|r| Some((r, r.cost(now)?))).collect();
        let draws = [(); 2].map(|()| rng.random_range(0..usable.len().max(1)));
        draws.into_iter().filter_map(|i| usable.get(i).copied()).min_by_key(|(_, cost)| *cost)
    }

    fn cheapest(&self, now: Instant) -> Option<Duration> {
        self.remotes.values().filter_map(|r| r.cost(now)).min()
    }
}

impl ServiceRouter {
    /// What this host, of failure domain `domain`, reports to others.
    #[must_use]
    pub fn wait_report(&self, domain: &DomainName) -> WaitReport {
        WaitReport {
            host: self.host.clone(),
            domain: domain.clone(),
            wait_us: u64::try_from(self.local_wait().as_micros()).unwrap_or(u64::MAX),
            has_targets: self.targets.slots() > 0,
        }
    }

    /// Takes in a report of another domain's entry host, made `age` ago;
    /// `link_delay` is the measured one-way delay to it.
    pub fn observe_remote(
        &mut self,
        report: WaitReport,
        age: Duration,
        link_delay: Duration,
        now: Instant,
    ) {
        let Some(made) = now.checked_sub(age) else { return };
        let known = self.neighbours.remotes.get(&report.host);
        if known.is_none_or(|k| k.made <= made) {
            let remote = Remote { report, link_delay, made };
            self.neighbours.remotes.insert(remote.report.host.clone(), remote);
        }
    }

    /// Where a request that [`admit`](ServiceRouter::admit) made wait, or refused
    /// for want of a target, of time or of room, should go instead. One that
    /// waits is to be [cancelled](ServiceRouter::cancel) before it is sent there.
    pub fn consider_spill(&mut self, facts: &RequestFacts, now: Instant) -> Option<SpillChoice> {
        self.advance(now);
        if facts.hopped {
            return None;
        }
        let local = (self.targets.usable() > 0).then(|| self.predicted_wait(facts, now));
        let reason = match local {
            None => "no-local-target",
            Some(local) => {
                let cheapest = self.neighbours.cheapest(now)?;
                self.neighbours.ramp.update(local, cheapest, now);
                if !self.rng.random_bool(self.neighbours.ramp.share) {
                    return None;
                }
                "shorter-wait"
            }
        };
        let (remote, cost) = self.neighbours.choose(&mut self.rng, now)?;
        let service = self.hold_quantiles.get(now).unwrap_or_default().p50;
        if local.is_some_and(|local| local <= cost) || now + cost + service >= facts.deadline {
            return None;
        }
        Some(SpillChoice {
            host: remote.report.host.clone(),
            domain: remote.report.domain.clone(),
            reason,
            local_wait: local,
            remote_wait: Duration::from_micros(remote.report.wait_us),
            link_delay: remote.link_delay,
        })
    }

    /// The share of requests that spill of those that could.
    #[must_use]
    pub fn spill_share(&self) -> f64 {
        self.neighbours.ramp.share
    }
}
