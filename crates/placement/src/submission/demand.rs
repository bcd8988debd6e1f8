//! Demand: what arrives at each queue, and a forecast of what arrives next.
//!
//! Loads handled: waves of arrivals with a period of about 12 s, and bursts to 2.6 times the usual
//! rate that last some seconds. Both are followed within a second or two.
//!
//! The leader records arrivals and cancellations as it commits them. Nothing is replicated: a new
//! leader has no observations, and its forecasts say so.

use super::{routes::QueueKey, spec::Submission};
use cyclamenloft_types::Resources;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time constant of the decayed rates: two thirds of a step in the load show after this time. With
/// 1 s the forecast of waves is no better than their mean.
const RATE_TIME: Duration = Duration::from_millis(600);
/// Time constant of the shares of cancelled submissions and of the mean task, which change
/// slowly and need more observations: about one wave of arrivals.
const SHARE_TIME: Duration = Duration::from_secs(12);
/// Limits of the forecast rate, relative to the decayed rate. Few arrivals give a noisy trend.
const TREND_LIMITS: (f64, f64) = (0.5, 2.0);
/// Part of the trend that is extrapolated: waves turn within a few seconds.
const TREND_DAMPING: f64 = 0.5;
/// Shortest time over which a rate is computed, so that the first arrivals at a new leader don't
/// count as a burst.
const MIN_RATE_SECONDS: f64 = 0.5;

/// What is expected to arrive at a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Processor time of the short tasks that are due at once, by the clients' estimates, in
    /// thousandths of a core times milliseconds. Submissions that are expected to be cancelled
    /// before they begin don't count.
    pub core_millis_ms: u64,
    /// Number of submissions, those that are cancelled included.
    pub arrivals: f64,
    /// Number of arrivals that this leader has observed; 0 means that the forecast tells nothing.
    pub confidence: u32,
}

/// A rate per second, and a smoothed copy of it from which the trend is derived (double
/// exponential smoothing).
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    level: f64,
    smoothed: f64,
}

impl Rate {
    fn decay(&mut self, seconds: f64) {
        // Exact solution over a time without arrivals.
        let x = seconds / RATE_TIME.as_secs_f64();
        let keep = (-x).exp();
        self.smoothed = (self.smoothed + self.level * x) * keep;
        self.level *= keep;
    }

    fn add(&mut self, amount: f64) {
        self.level += amount / RATE_TIME.as_secs_f64();
    }

    /// Returns the expected rate per second, averaged over the next `horizon_s`, `seconds` after
    /// observation began.
    fn ahead(&self, seconds: f64, horizon_s: f64) -> f64 {
        // Until several time constants have passed, both sums miss what arrived before.
        let x = seconds.max(MIN_RATE_SECONDS) / RATE_TIME.as_secs_f64();
        let level = self.level / (1.0 - (-x).exp());
        let smoothed = self.smoothed / (1.0 - (1.0 + x) * (-x).exp());
        let trend = (level - smoothed) / RATE_TIME.as_secs_f64();
        let ahead = 2.0 * level - smoothed + trend * horizon_s / 2.0 * TREND_DAMPING;
        ahead.clamp(level * TREND_LIMITS.0, level * TREND_LIMITS.1)
    }
}

/// Observations of one queue.
#[derive(Clone, Debug)]
struct QueueDemand {
    at: Instant,
    arrivals: Rate,
    /// Processor time, in thousandths of a core times milliseconds.
    work: Rate,
    /// Decayed counts over [`SHARE_TIME`].
    accepted: f64,
    cancelled_unbegun: f64,
    cancelled_begun: f64,
    short_tasks: f64,
    short_cpu_millis: f64,
    short_memory_mib: f64,
    observed: u32,
}

impl QueueDemand {
    fn new(since: Instant) -> Self {
        Self {
            at: since,
            arrivals: Rate::default(),
            work: Rate::default(),
            accepted: 0.0,
            cancelled_unbegun: 0.0,
            cancelled_begun: 0.0,
            short_tasks: 0.0,
            short_cpu_millis: 0.0,
            short_memory_mib: 0.0,
            observed: 0,
        }
    }

    /// Brings the decayed sums to `now`.
    fn advance(&mut self, now: Instant) {
        let seconds = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.arrivals.decay(seconds);
        self.work.decay(seconds);
        let keep = (-seconds / SHARE_TIME.as_secs_f64()).exp();
        for sum in [
            &mut self.accepted,
            &mut self.cancelled_unbegun,
            &mut self.cancelled_begun,
            &mut self.short_tasks,
            &mut self.short_cpu_millis,
            &mut self.short_memory_mib,
        ] {
            *sum *= keep;
        }
    }

    fn unbegun_share(&self) -> f64 {
        (self.cancelled_unbegun / self.accepted.max(1.0)).clamp(0.0, 1.0)
    }
}

/// Arrivals and cancellations by queue, as observed during one leader's term.
#[derive(Clone, Debug)]
pub struct Demand {
    since: Instant,
    queues: BTreeMap<QueueKey, QueueDemand>,
}

impl Demand {
    /// Creates the record of a leader that was elected at `since` and has observed nothing yet.
    #[must_use]
    pub fn new(since: Instant) -> Self {
        Self { since, queues: BTreeMap::new() }
    }

    fn queue_mut(&mut self, queue: &str, now: Instant) -> &mut QueueDemand {
        let since = self.since;
        let found = self.queues.entry(queue.into()).or_insert_with(|| QueueDemand::new(since));
        found.advance(now);
        found
    }

    /// Records that a submission was accepted. Resends of an accepted one must not be recorded.
    pub fn record_arrival(&mut self, queue: &str, submission: &Submission, now: Instant) {
        let found = self.queue_mut(queue, now);
        found.observed = found.observed.saturating_add(1);
        found.accepted += 1.0;
        found.arrivals.add(1.0);
        // What is due later is not demand of the next seconds.
        if submission.first_due_ms > 0 {
            return;
        }
        for step in submission.steps.iter().filter(|s| !s.lasting && !s.fills) {
            let tasks = f64::from(step.count);
            let cpu = tasks * f64::from(step.demand.cpu_millis);
            found.work.add(cpu * f64::from(step.estimate_ms));
            found.short_tasks += tasks;
            found.short_cpu_millis += cpu;
            found.short_memory_mib += tasks * f64::from(step.demand.memory_mib);
        }
    }

    /// Records that a client cancelled a submission; `begun` tells whether any task of it had
    /// been placed.
    pub fn record_cancelled(&mut self, queue: &str, begun: bool, now: Instant) {
        let found = self.queue_mut(queue, now);
        if begun {
            found.cancelled_begun += 1.0;
        } else {
            found.cancelled_unbegun += 1.0;
        }
    }

    /// Returns what is expected to arrive at the queue within `horizon`.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn forecast(&self, queue: &str, horizon: Duration, now: Instant) -> Forecast {
        let Some(found) = self.queues.get(queue) else { return Forecast::default() };
        let mut found = found.clone();
        found.advance(now);
        let seconds = now.saturating_duration_since(self.since).as_secs_f64();
        let horizon_s = horizon.as_secs_f64();
        let work = found.work.ahead(seconds, horizon_s) * (1.0 - found.unbegun_share());
        Forecast {
            core_millis_ms: (work * horizon_s) as u64,
            arrivals: found.arrivals.ahead(seconds, horizon_s) * horizon_s,
            confidence: found.observed,
        }
    }

    /// Returns the mean demand of the queue's recent short tasks; `None` without any.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn mean_short_task(&self, queue: &str) -> Option<Resources> {
        let found = self.queues.get(queue).filter(|q| q.short_tasks > 0.0)?;
        let mean = |sum: f64| sum / found.short_tasks;
        let cpu_millis = mean(found.short_cpu_millis).ceil() as u32;
        Some(Resources::new(cpu_millis, mean(found.short_memory_mib).ceil() as u32, 0))
    }

    /// Returns the share of recent submissions of the queue that were cancelled before they
    /// began.
    #[must_use]
    pub fn unbegun_share(&self, queue: &str) -> f64 {
        self.queues.get(queue).map_or(0.0, QueueDemand::unbegun_share)
    }

    /// Returns the queues with observations.
    pub fn queues(&self) -> impl Iterator<Item = &QueueKey> {
        self.queues.keys()
    }
}
