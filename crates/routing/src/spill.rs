//! Spilling of requests to another failure domain, in one hop through one of
//! that domain's entry hosts.
//!
//! Entry hosts report their expected waits to each other. A request may spill if
//! the local wait exceeds the round trip plus the wait in the other domain.
//! Since reports lag behind, the share of such requests that do spill grows and
//! shrinks slowly, and two thresholds provide hysteresis against load that
//! oscillates between domains.

use crate::{decision::RequestMeta, service::ServiceRouter};
use cyclamenloft_types::{DomainName, HostId};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Age beyond which a report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Ratio of the local wait to the cost of the cheapest remote host above which
/// the share of requests that spill grows.
const ENTER_RATIO: f64 = 1.2;
/// Ratio of the local wait to the cost of the cheapest remote host below which
/// the share of requests that spill shrinks.
const LEAVE_RATIO: f64 = 0.8;
/// Local wait up to which the share of requests that spill never grows.
const MIN_LOCAL_WAIT: Duration = Duration::from_millis(5);
/// Time between two changes of the share of requests that spill.
const RAMP_PERIOD: Duration = Duration::from_millis(200);
/// Amount by which the share of requests that spill changes in one period.
const RAMP_STEP: f64 = 0.05;

/// An entry host's report of how long a request would wait for a slot at that
/// host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitReport {
    /// The reporting host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Predicted wait for a slot in microseconds.
    pub wait_us: u64,
    /// Whether the host has slots at any target.
    pub has_targets: bool,
}

/// The entry host to which a request spills, and the estimates behind the choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpillChoice {
    /// The entry host to which the request is handed over.
    pub host: HostId,
    /// Failure domain of that host.
    pub domain: DomainName,
    /// Reason for the spill, for the decision log.
    pub reason: &'static str,
    /// Predicted wait at this host, or `None` if it has no usable target.
    pub local_wait: Option<Duration>,
    /// Wait reported by the other host.
    pub remote_wait: Duration,
    /// One-way delay of the link.
    pub link_delay: Duration,
}

#[derive(Clone, Debug)]
struct RemoteHost {
    report: WaitReport,
    link_delay: Duration,
    /// Time at which the report was created, by this host's clock.
    created_at: Instant,
}

impl RemoteHost {
    /// Returns the cost of a spill to this host: the round trip plus the reported
    /// wait, which is scaled up with the age of the report. Returns `None` if the
    /// report is too old or the host has no targets.
    fn cost(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.created_at);
        if age > MAX_REPORT_AGE || !self.report.has_targets {
            return None;
        }
        let staleness = 1.0 + age.as_secs_f64() / MAX_REPORT_AGE.as_secs_f64();
        Some(2 * self.link_delay + Duration::from_micros(self.report.wait_us).mul_f64(staleness))
    }
}

/// The share of requests that spill to other domains, of those that could spill
/// while this host has a usable target.
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
        // Lowers the share once for each further period since the last change,
        // because no request waited in those periods.
        let idle_periods = (since.as_secs_f64() / RAMP_PERIOD.as_secs_f64()).floor() - 1.0;
        self.share = (self.share - idle_periods * RAMP_STEP).max(0.0);
        if local > cost.mul_f64(ENTER_RATIO).max(MIN_LOCAL_WAIT) {
            self.share = (self.share + RAMP_STEP).min(1.0);
        } else if local < cost.mul_f64(LEAVE_RATIO) {
            self.share = (self.share - RAMP_STEP).max(0.0);
        }
    }
}

/// The entry hosts of other domains, and the share of requests that spill to them.
#[derive(Debug, Default)]
pub(crate) struct RemoteHosts {
    hosts: BTreeMap<HostId, RemoteHost>,
    ramp: Ramp,
}

impl RemoteHosts {
    /// Returns the cheaper of two random hosts whose reports are valid.
    fn choose(&self, rng: &mut impl Rng, now: Instant) -> Option<(&RemoteHost, Duration)> {
        let usable: Vec<_> = self.hosts.values().filter_map(|r| Some((r, r.cost(now)?))).collect();
        let draws = [(); 2].map(|()| rng.random_range(0..usable.len().max(1)));
        draws.into_iter().filter_map(|i| usable.get(i).copied()).min_by_key(|(_, cost)| *cost)
    }

    fn cheapest(&self, now: Instant) -> Option<Duration> {
        self.hosts.values().filter_map(|r| r.cost(now)).min()
    }
}

impl ServiceRouter {
    /// Returns the report that this host, in failure domain `domain`, sends to the
    /// entry hosts of other domains.
    #[must_use]
    pub fn wait_report(&self, domain: &DomainName) -> WaitReport {
        WaitReport {
            host: self.host.clone(),
            domain: domain.clone(),
            wait_us: u64::try_from(self.local_wait().as_micros()).unwrap_or(u64::MAX),
            has_targets: self.targets.slots() > 0,
        }
    }

    /// Records a report from another domain's entry host, created `age` ago.
    /// `link_delay` is the measured one-way delay to that host.
    pub fn observe_remote(
        &mut self,
        report: WaitReport,
        age: Duration,
        link_delay: Duration,
        now: Instant,
    ) {
        let Some(created_at) = now.checked_sub(age) else { return };
        let known = self.remote_hosts.hosts.get(&report.host);
        if known.is_none_or(|k| k.created_at <= created_at) {
            let remote = RemoteHost { report, link_delay, created_at };
            self.remote_hosts.hosts.insert(remote.report.host.clone(), remote);
        }
    }

    /// Returns the host to which a request should spill, if any. Call this for
    /// requests that [`admit`](ServiceRouter::admit) queued, or refused for lack of
    /// a target, of time or of queue space. A queued request must be
    /// [cancelled](ServiceRouter::cancel) before it is handed over.
    pub fn consider_spill(&mut self, meta: &RequestMeta, now: Instant) -> Option<SpillChoice> {
        self.advance(now);
        if meta.hopped {
            return None;
        }
        let local = (self.targets.usable() > 0).then(|| self.predicted_wait(meta, now));
        let reason = match local {
            None => "no-local-target",
            Some(local) => {
                let cheapest = self.remote_hosts.cheapest(now)?;
                self.remote_hosts.ramp.update(local, cheapest, now);
                if !self.rng.random_bool(self.remote_hosts.ramp.share) {
                    return None;
                }
                "shorter-wait"
            }
        };
        let (remote, cost) = self.remote_hosts.choose(&mut self.rng, now)?;
        let service = self.hold_time_quantiles.get(now).unwrap_or_default().p50;
        if local.is_some_and(|local| local <= cost) || now + cost + service >= meta.deadline {
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

    /// Returns the share of requests that spill, of those that could.
    #[must_use]
    pub fn spill_share(&self) -> f64 {
        self.remote_hosts.ramp.share
    }
}
