//! Throttling of best-effort tasks, so that the latency-critical tasks on the
//! same worker keep their latency targets.
//!
//! The pace of a best-effort task is limited by the latency-critical task with
//! the smallest budget left for it. A task that raises no tail latency isn't
//! throttled.

use std::time::{Duration, Instant};

/// Fraction of the target up to which best-effort tasks may raise a tail
/// latency.
pub const TARGET_FRACTION: f64 = 0.8;
/// Growth of a tail latency's logarithm below which it is ignored. It corresponds
/// to 2% of the tail latency.
pub const NEGLIGIBLE_LN: f64 = 0.02;
/// Time over the target after which all tasks that interfere are paused: well
/// before the users' limit of some seconds.
const PAUSE_AFTER: Duration = Duration::from_millis(1_800);
/// Time over the target after which tasks that seem harmless are paused too.
/// With the delay of a poll and the worker's average over half a second, this
/// takes effect before the users' limit of four seconds.
const PAUSE_ALL_AFTER: Duration = Duration::from_millis(2_300);
/// Time until a reported tail latency shows the effect of a new pace: the worker
/// averages over half a second, and a pace takes a tenth of a second to act.
const SETTLE_TIME: Duration = Duration::from_millis(650);
/// Pace up to which a run makes little progress.
const LOW_PACE_PERCENT: u8 = 30;
/// Time at a low pace after which a run is moved to another worker: longer than a
/// stop and a start from a checkpoint take.
const MOVE_AFTER: Duration = Duration::from_millis(1_200);
/// Smallest change of a pace.
const MIN_STEP_PERCENT: u8 = 10;

/// A latency-critical task that runs on the same worker as best-effort tasks.
#[derive(Clone, Copy, Debug)]
pub struct Victim {
    /// Logarithm of the tail latency without the best-effort tasks.
    pub base_ln: f64,
    /// Recent maximum of `base_ln`, which swings with the load.
    pub peak_ln: f64,
    /// Logarithm of the target.
    pub target_ln: f64,
    /// Time for which the tail latency has been over its target.
    pub over_for: Duration,
}

impl Victim {
    /// Returns by how much the best-effort tasks may raise the logarithm of the
    /// tail latency now.
    #[must_use]
    pub fn budget(&self) -> f64 {
        (self.target_ln + TARGET_FRACTION.ln() - self.base_ln).max(0.0)
    }

    /// Returns the budget for a base half way between the present one and the
    /// recent peak. A task that is placed on the victim's worker may add up to this
    /// much while it runs.
    #[must_use]
    pub fn sustained_budget(&self) -> f64 {
        let ahead = (self.peak_ln.max(self.base_ln) + self.base_ln) / 2.0;
        (self.target_ln + TARGET_FRACTION.ln() - ahead).max(0.0)
    }
}

/// Returns the pace that a best-effort task is allowed, in percent. For each
/// victim, `pressures` yields what this task and what all best-effort tasks
/// together add to the logarithm of the tail latency at full pace.
#[must_use]
pub fn allowed_pace(pressures: impl Iterator<Item = (Victim, f64, f64)>) -> u8 {
    let mut share: f64 = 1.0;
    for (victim, own, all) in pressures {
        if victim.over_for >= PAUSE_ALL_AFTER {
            // The learned weight of the pair may be wrong, so even a task that
            // seems harmless is paused.
            return 0;
        }
        if own < NEGLIGIBLE_LN {
            continue;
        }
        let fits = if all > 0.0 { victim.budget() / all } else { 1.0 };
        let paused = victim.over_for >= PAUSE_AFTER;
        share = share.min(if paused { 0.0 } else { fits });
    }
    percent(share)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn percent(share: f64) -> u8 {
    // Rounded down to steps of 10, so that small changes cause no call.
    ((share.clamp(0.0, 1.0) * 10.0).floor() * 10.0) as u8
}

/// The pace of one run, and when it was changed.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    percent: u8,
    changed: Option<Instant>,
    low_since: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Self {
        Self { percent: 100, changed: None, low_since: None }
    }
}

impl Pace {
    /// Returns the pace that the run should have, in percent.
    #[must_use]
    pub fn percent(&self) -> u8 {
        self.percent
    }

    /// Returns whether the run has been slow for so long that it should move to
    /// another worker.
    #[must_use]
    pub fn is_slow_for_long(&self, now: Instant) -> bool {
        self.low_since.is_some_and(|at| now >= at + MOVE_AFTER)
    }

    /// Updates the pace to the one allowed now. The run is slowed immediately,
    /// but sped up only after the last change has taken effect on the reported
    /// tail latencies.
    pub fn update(&mut self, allowed: u8, now: Instant) {
        let settled = self.changed.is_none_or(|at| now >= at + SETTLE_TIME);
        let slower = allowed + MIN_STEP_PERCENT <= self.percent;
        let faster = settled && (allowed >= self.percent + 2 * MIN_STEP_PERCENT || allowed == 100);
        if allowed != self.percent && (slower || faster) {
            self.percent = allowed;
            self.changed = Some(now);
        }
        if self.percent > LOW_PACE_PERCENT {
            self.low_since = None;
        } else {
            self.low_since.get_or_insert(now);
        }
    }
}
