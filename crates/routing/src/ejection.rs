//! Passive outlier ejection: a target whose answers fail or lag far behind the
//! others gets no requests for a growing time, then single probes, and comes
//! back once these succeed.

use crate::{decision::AttemptResult, estimate::Mean};
use std::time::{Duration, Instant};

/// Failures in a row that eject a target.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Share of failures that ejects a target.
const MAX_ERROR_SHARE: f32 = 0.5;
/// Weight of results from which the share of failures counts.
const MIN_WINDOW_RESULTS: f32 = 20.0;
/// Period after which the weight of older results is halved.
const WINDOW_HALVING: Duration = Duration::from_secs(5);
/// How many times the median of the others a target's mean latency may be.
const MAX_LATENCY_RATIO: f64 = 4.0;
/// Latency above the median that is always tolerated, in seconds.
const LATENCY_TOLERANCE_SECONDS: f64 = 0.005;
/// Samples from which a target's mean latency counts.
const MIN_LATENCY_SAMPLES: u32 = 10;
/// Time in which the cost of past failures falls to 1/e of itself, in seconds.
const FAILURE_DECAY_SECONDS: f64 = 5.0;
/// First time out of use.
const BASE_BACKOFF: Duration = Duration::from_secs(1);
/// Longest time out of use.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Time without requests after each further failure of a target that the cap
/// keeps in use. It bounds how much a target that fails at once can attract.
const PAUSE: Duration = Duration::from_millis(50);
/// Successful probes in a row that bring a target back.
const PROBES_TO_RETURN: u32 = 3;
/// Time in use that makes one former ejection forgotten.
const FORGIVE_AFTER: Duration = Duration::from_secs(30);

/// Why a target is out of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// Too many failures in a row.
    ConsecutiveFailures,
    /// Too large a share of failures.
    ErrorShare,
    /// Latency far above the median of the other targets.
    Latency,
    /// A probe failed.
    FailedProbe,
}

/// Whether a target is given requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It takes its part of the requests.
    InUse,
    /// It gets none until `until`, then one probe at a time.
    Ejected {
        /// When it was ejected.
        since: Instant,
        /// When the first probe may go.
        until: Instant,
        /// Why.
        cause: EjectionCause,
    },
}

/// What is known of the health of one target.
#[derive(Debug)]
pub(crate) struct Health {
    standing: Standing,
    consecutive_failures: u32,
    failed_at: Option<Instant>,
    results: f32,
    failures: f32,
    halved: Instant,
    latency: Mean,
    good_probes: u32,
    ejections: u32,
    in_use_since: Instant,
    paused_until: Option<Instant>,
}

impl Health {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            standing: Standing::InUse,
            consecutive_failures: 0,
            failed_at: None,
            results: 0.0,
            failures: 0.0,
            halved: now,
            latency: Mean::default(),
            good_probes: 0,
            ejections: 0,
            in_use_since: now,
            paused_until: None,
        }
    }

    pub(crate) fn standing(&self) -> Standing {
        self.standing
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.standing, Standing::Ejected { .. })
    }

    /// Keeps requests away for a moment; returns until when.
    pub(crate) fn pause(&mut self, now: Instant) -> Instant {
        *self.paused_until.insert(now + PAUSE)
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|t| t > now)
    }

    /// Failures in a row, fading with the time since the last one.
    pub(crate) fn recent_failures(&self, now: Instant) -> f64 {
        let Some(at) = self.failed_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        f64::from(self.consecutive_failures) * (-age / FAILURE_DECAY_SECONDS).exp()
    }

    /// Mean latency in seconds, once there are enough samples.
    pub(crate) fn mean_latency(&self) -> Option<f64> {
        (self.latency.samples() >= MIN_LATENCY_SAMPLES).then(|| self.latency.seconds())
    }

    /// When a probe may go to an ejected target.
    pub(crate) fn probe_at(&self) -> Option<Instant> {
        match self.standing {
            Standing::Ejected { until, .. } => Some(until),
            Standing::InUse => None,
        }
    }

    /// Takes in the result of an attempt that was not a probe.
    pub(crate) fn observe(&mut self, result: &AttemptResult, now: Instant) {
        if now.saturating_duration_since(self.halved) >= WINDOW_HALVING {
            self.results /= 2.0;
            self.failures /= 2.0;
            self.halved = now;
        }
        self.results += 1.0;
        if result.healthy {
            // A cancelled attempt shows how long the target took at least.
            self.latency.observe(result.latency);
            if !result.abandoned {
                self.consecutive_failures = 0;
            }
        } else {
            self.consecutive_failures = self.consecutive_failures.saturating_add(1);
            self.failed_at = Some(now);
            self.failures += 1.0;
        }
    }

    /// Why the target should be ejected, if it should; `median` is that of the
    /// other targets' mean latencies in seconds.
    pub(crate) fn fault(&self, median: Option<f64>) -> Option<EjectionCause> {
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
            return Some(EjectionCause::ConsecutiveFailures);
        }
        if self.results >= MIN_WINDOW_RESULTS && self.failures > self.results * MAX_ERROR_SHARE {
            return Some(EjectionCause::ErrorShare);
        }
        let (own, median) = (self.mean_latency()?, median?);
        (own > latency_limit(median)).then_some(EjectionCause::Latency)
    }

    pub(crate) fn eject(&mut self, cause: EjectionCause, now: Instant) {
        let in_use = now.saturating_duration_since(self.in_use_since);
        let forgiven = (in_use.as_secs() / FORGIVE_AFTER.as_secs()) as u32;
        if !self.is_ejected() {
            self.ejections = self.ejections.saturating_sub(forgiven);
        }
        let backoff = BASE_BACKOFF.saturating_mul(1 << self.ejections.min(5)).min(MAX_BACKOFF);
        self.ejections = self.ejections.saturating_add(1);
        self.good_probes = 0;
        self.standing = Standing::Ejected { since: now, until: now + backoff, cause };
    }

    /// Takes in the result of a probe. Returns whether the target is in use again.
    pub(crate) fn observe_probe(
        &mut self,
        result: &AttemptResult,
        median: Option<f64>,
        now: Instant,
    ) -> bool {
        let in_time = median.is_none_or(|m| result.latency.as_secs_f64() <= latency_limit(m));
        if !result.healthy || result.abandoned || !in_time {
            self.eject(EjectionCause::FailedProbe, now);
            return false;
        }
        self.good_probes += 1;
        if self.good_probes < PROBES_TO_RETURN {
            return false;
        }
        self.restore(now);
        true
    }

    /// Puts the target back into use with a clean record, but for the count of
    /// its ejections.
    pub(crate) fn restore(&mut self, now: Instant) {
        let ejections = self.ejections;
        *self = Self { ejections, ..Self::new(now) };
    }
}

fn latency_limit(median: f64) -> f64 {
    (median * MAX_LATENCY_RATIO).max(median + LATENCY_TOLERANCE_SECONDS)
}
