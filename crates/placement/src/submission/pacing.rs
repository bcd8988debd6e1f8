//! Pacing of tasks that fill a worker, so that the lasting tasks beside them
//! keep their latency target. The tail is measured over half a second, so each
//! step waits until the figure shows the last one.

use std::time::{Duration, Instant};

/// Time until a reported tail shows the effect of a change: the worker averages
/// over half a second, and a pace takes a tenth of a second to act.
const SETTLE: Duration = Duration::from_millis(650);
/// Time below the target before more is allowed.
const RAISE_AFTER: Duration = Duration::from_millis(1200);
/// Share of the target above which the fill tasks are slowed.
const SLOW_ABOVE: f64 = 0.92;
/// Share of the target below which the fill tasks may speed up.
const RAISE_BELOW: f64 = 0.7;
/// First cut, in percent.
const FIRST_CUT: u8 = 35;
/// Step up, in percent.
const RAISE_STEP: u8 = 25;

/// The share at which a worker's fill tasks work.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    percent: u8,
    changed: Option<Instant>,
    worst: f64,
}

impl Default for Pacer {
    fn default() -> Self {
        Self { percent: 100, changed: None, worst: 0.0 }
    }
}

impl Pacer {
    /// The share at which fill tasks may work now, in percent.
    #[must_use]
    pub fn percent(&self) -> u8 {
        self.percent
    }

    /// The worst reported tail beside its target.
    #[must_use]
    pub fn worst(&self) -> f64 {
        self.worst
    }

    /// Whether the worker has to be watched closely.
    #[must_use]
    pub fn is_tense(&self) -> bool {
        self.percent < 100 || self.worst > RAISE_BELOW
    }

    /// Whether fill tasks may be added.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.percent == 100 && self.worst < SLOW_ABOVE
    }

    /// Notes the worst tail on the worker, as a share of its target.
    pub fn note(&mut self, worst: f64, now: Instant) {
        self.worst = worst;
        let since = self.changed.map(|at| now.saturating_duration_since(at));
        let settled = since.is_none_or(|s| s >= SETTLE);
        if worst > SLOW_ABOVE && settled && self.percent > 0 {
            self.percent = if worst <= 1.0 && self.percent > FIRST_CUT { FIRST_CUT } else { 0 };
            self.changed = Some(now);
        } else if worst < RAISE_BELOW
            && self.percent < 100
            && since.is_none_or(|s| s >= RAISE_AFTER)
        {
            self.percent = (self.percent + RAISE_STEP).min(100);
            self.changed = Some(now);
        }
    }
}
