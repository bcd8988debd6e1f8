//! Passive outlier detection: a target that fails, or is far slower than the
//! others, is ejected. It gets no requests for a backoff time that grows with
//! each ejection, then one probe at a time, and returns to use once several
//! probes have succeeded.

use crate::{decision::AttemptResult, estimate::Ewma};
use std::time::{Duration, Instant};

/// Number of consecutive failures at which a target is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Share of failures above which a target is ejected.
const MAX_ERROR_SHARE: f32 = 0.5;
/// Total weight of the results below which the share of failures is ignored.
const MIN_WINDOW_RESULTS: f32 = 20.0;
/// Period after which the weight of older results is halved.
const WINDOW_HALVING_PERIOD: Duration = Duration::from_secs(5);
/// Ratio of a target's mean latency to the median of all targets above which the
/// target is ejected.
const MAX_LATENCY_RATIO: f64 = 4.0;
/// Excess of a target's mean latency over the median that is always tolerated,
/// in seconds.
const LATENCY_TOLERANCE_SECONDS: f64 = 0.005;
/// Number of samples below which a target's mean latency is ignored.
const MIN_LATENCY_SAMPLES: u32 = 10;
/// Time in which the effect of past failures on a target's cost decays to 1/e,
/// in seconds.
const FAILURE_DECAY_SECONDS: f64 = 5.0;
/// Backoff of the first ejection.
const BASE_BACKOFF: Duration = Duration::from_secs(1);
/// Longest backoff of an ejection.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Pause after each further failure of a target that stays in use because of the
/// ejection cap. It bounds the load that a target attracts by failing quickly.
const PAUSE_DURATION: Duration = Duration::from_millis(50);
/// Number of consecutive successful probes after which a target returns to use.
const PROBES_TO_RETURN: u32 = 3;
/// Time in use after which one earlier ejection no longer lengthens the
/// backoff.
const EJECTION_DECAY_PERIOD: Duration = Duration::from_secs(30);

/// The reason for which a target was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// Too many consecutive failures.
    ConsecutiveFailures,
    /// Too large a share of failures.
    ErrorShare,
    /// Latency far above the median of the targets.
    Latency,
    /// A failed probe.
    FailedProbe,
}

/// Whether a target is in use or ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// The target gets its share of the requests.
    InUse,
    /// The target gets no requests until `until`, then one probe at a time.
    Ejected {
        /// Time at which the target was ejected.
        since: Instant,
        /// Time from which the target may be probed.
        until: Instant,
        /// Reason for the ejection.
        cause: EjectionCause,
    },
}

/// The health of one target.
#[derive(Debug)]
pub(crate) struct Health {
    ejection_state: EjectionState,
    consecutive_failures: u32,
    failed_at: Option<Instant>,
    results: f32,
    failures: f32,
    halved_at: Instant,
    latency: Ewma,
    successful_probes: u32,
    ejections: u32,
    in_use_since: Instant,
    paused_until: Option<Instant>,
}

impl Health {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            ejection_state: EjectionState::InUse,
            consecutive_failures: 0,
            failed_at: None,
            results: 0.0,
            failures: 0.0,
            halved_at: now,
            latency: Ewma::default(),
            successful_probes: 0,
            ejections: 0,
            in_use_since: now,
            paused_until: None,
        }
    }

    pub(crate) fn ejection_state(&self) -> EjectionState {
        self.ejection_state
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.ejection_state, EjectionState::Ejected { .. })
    }

    /// Pauses the target and returns the time at which the pause ends.
    pub(crate) fn pause(&mut self, now: Instant) -> Instant {
        *self.paused_until.insert(now + PAUSE_DURATION)
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|t| t > now)
    }

    /// Returns the number of consecutive failures, which decays with the time
    /// since the last one.
    pub(crate) fn recent_failures(&self, now: Instant) -> f64 {
        let Some(at) = self.failed_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        f64::from(self.consecutive_failures) * (-age / FAILURE_DECAY_SECONDS).exp()
    }

    /// Returns the mean latency in seconds, once there are enough samples.
    pub(crate) fn mean_latency(&self) -> Option<f64> {
        (self.latency.samples() >= MIN_LATENCY_SAMPLES).then(|| self.latency.seconds())
    }

    /// Returns the time from which an ejected target may be probed, or `None` if
    /// the target is in use.
    pub(crate) fn probe_at(&self) -> Option<Instant> {
        match self.ejection_state {
            EjectionState::Ejected { until, .. } => Some(until),
            EjectionState::InUse => None,
        }
    }

    /// Records the result of an attempt that was not a probe.
    pub(crate) fn observe(&mut self, result: &AttemptResult, now: Instant) {
        if now.saturating_duration_since(self.halved_at) >= WINDOW_HALVING_PERIOD {
            self.results /= 2.0;
            self.failures /= 2.0;
            self.halved_at = now;
        }
        self.results += 1.0;
        if result.healthy {
            // A cancelled attempt gives a lower bound of the latency.
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

    /// Returns the reason to eject the target, if there is one. `median` is the
    /// median of the targets' mean latencies in seconds.
    pub(crate) fn ejection_cause(&self, median: Option<f64>) -> Option<EjectionCause> {
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
        let decayed = (in_use.as_secs() / EJECTION_DECAY_PERIOD.as_secs()) as u32;
        if !self.is_ejected() {
            self.ejections = self.ejections.saturating_sub(decayed);
        }
        let backoff = BASE_BACKOFF.saturating_mul(1 << self.ejections.min(5)).min(MAX_BACKOFF);
        self.ejections = self.ejections.saturating_add(1);
        self.successful_probes = 0;
        self.ejection_state = EjectionState::Ejected { since: now, until: now + backoff, cause };
    }

    /// Records the result of a probe. Returns whether the target is in use again.
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
        self.successful_probes += 1;
        if self.successful_probes < PROBES_TO_RETURN {
            return false;
        }
        self.restore(now);
        true
    }

    /// Puts the target back into use. Its health starts anew, except for the
    /// count of its ejections.
    pub(crate) fn restore(&mut self, now: Instant) {
        let ejections = self.ejections;
        *self = Self { ejections, ..Self::new(now) };
    }
}

fn latency_limit(median: f64) -> f64 {
    (median * MAX_LATENCY_RATIO).max(median + LATENCY_TOLERANCE_SECONDS)
}
