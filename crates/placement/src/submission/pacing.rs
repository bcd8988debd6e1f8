//! Pacing of tasks that fill a worker, so that the serving tasks beside them
//! keep their latency target: each fill task is slowed by what it adds to the
//! tail that is nearest to its target, and not at all where it adds nothing.

use std::time::{Duration, Instant};

/// Share of the target up to which fill tasks may push a tail.
pub const TAIL_SHARE: f64 = 0.8;
/// Growth of a tail's logarithm that counts as nothing: two hundredths.
pub const NEGLIGIBLE: f64 = 0.02;
/// Time over the target after which everything that may disturb is held: well
/// before the users' limit of some seconds.
const HOLD_AFTER: Duration = Duration::from_millis(1_800);
/// Time over the target after which even what seems harmless is held: with a look
/// and half a second's mean, that is seen before the users' four seconds.
const HOLD_ALL_AFTER: Duration = Duration::from_millis(2_300);
/// Time until a reported tail shows the effect of a change: the worker averages
/// over half a second, and a pace takes a tenth of a second to act.
const SETTLE: Duration = Duration::from_millis(650);
/// Pace up to which a run hardly gets on, in percent.
const LOW: u8 = 30;
/// Time at a low pace after which a run is moved where it disturbs less: longer
/// than a stop and a start from a checkpoint take.
const MOVE_AFTER: Duration = Duration::from_millis(1_200);
/// Least step of a pace, in percent.
const LEAST_STEP: u8 = 10;

/// A serving task beside tasks that fill.
#[derive(Clone, Copy, Debug)]
pub struct Victim {
    /// Logarithm of the tail without the tasks that fill.
    pub base_ln: f64,
    /// Highest that this was lately, as load swings.
    pub peak_ln: f64,
    /// Logarithm of the target.
    pub target_ln: f64,
    /// How long the tail has been over its target.
    pub over_for: Duration,
}

impl Victim {
    /// By how much the tasks that fill may let the logarithm of the tail grow.
    #[must_use]
    pub fn budget(&self) -> f64 {
        (self.target_ln + TAIL_SHARE.ln() - self.base_ln).max(0.0)
    }

    /// The same half way to where the load is at its highest: what a task that is
    /// placed beside it may add while it works.
    #[must_use]
    pub fn lasting_budget(&self) -> f64 {
        let ahead = (self.peak_ln.max(self.base_ln) + self.base_ln) / 2.0;
        (self.target_ln + TAIL_SHARE.ln() - ahead).max(0.0)
    }
}

/// The share at which a fill task may work, in percent. `pressures` has, for
/// each victim, what this task adds to the logarithm of the tail at full pace,
/// and what all fill tasks together add.
#[must_use]
pub fn share(pressures: impl Iterator<Item = (Victim, f64, f64)>) -> u8 {
    let mut share: f64 = 1.0;
    for (victim, own, all) in pressures {
        if victim.over_for >= HOLD_ALL_AFTER {
            // What is known of the pair may be wrong.
            return 0;
        }
        if own < NEGLIGIBLE {
            continue;
        }
        let fits = if all > 0.0 { victim.budget() / all } else { 1.0 };
        let held = victim.over_for >= HOLD_AFTER;
        share = share.min(if held { 0.0 } else { fits });
    }
    percent(share)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn percent(share: f64) -> u8 {
    // In steps, so that small changes cost no call.
    ((share.clamp(0.0, 1.0) * 10.0).floor() * 10.0) as u8
}

/// The pace of one run and when it changed.
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
    /// The pace that the run should have, in percent.
    #[must_use]
    pub fn percent(&self) -> u8 {
        self.percent
    }

    /// Whether the run has got on so slowly for so long that it should go
    /// elsewhere.
    #[must_use]
    pub fn is_held_back(&self, now: Instant) -> bool {
        self.low_since.is_some_and(|at| now >= at + MOVE_AFTER)
    }

    /// Takes the share that may be allowed now. It slows at once and speeds up
    /// only once the last change shows.
    pub fn note(&mut self, share: u8, now: Instant) {
        let settled = self.changed.is_none_or(|at| now >= at + SETTLE);
        let slower = share + LEAST_STEP <= self.percent;
        let faster = settled && (share >= self.percent + 2 * LEAST_STEP || share == 100);
        if share != self.percent && (slower || faster) {
            self.percent = share;
            self.changed = Some(now);
        }
        if self.percent > LOW {
            self.low_since = None;
        } else {
            self.low_since.get_or_insert(now);
        }
    }
}
