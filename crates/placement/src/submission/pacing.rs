//! Throttling of best-effort tasks, so that the latency-critical tasks on the
//! same worker keep their latency targets.
//!
//! If a latency-critical task's budget doesn't cover all best-effort tasks on its
//! worker, those that interfere most for their CPU demand are slowed first. A
//! task that raises no tail latency isn't throttled.

use std::time::{Duration, Instant};

/// Fraction of the target up to which best-effort tasks may raise a tail
/// latency.
pub const TARGET_FRACTION: f64 = 0.8;
/// Growth of a tail latency's logarithm below which it is ignored. It corresponds
/// to 2% of the tail latency.
pub const NEGLIGIBLE_LN: f64 = 0.02;
/// Growth of a tail latency's logarithm by a task that used the whole worker, up to
/// which the task is slowed only to keep the target itself: such tasks do most of
/// the work, and slowing them gains little.
const MINOR_WEIGHT: f64 = 0.7;
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

    /// Returns by how much the logarithm of the tail latency is below its target.
    #[must_use]
    pub fn headroom(&self) -> f64 {
        (self.target_ln - self.base_ln).max(0.0)
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

/// Returns the paces that the best-effort tasks on a worker are allowed, in
/// percent. `parts` has the share of the worker's CPUs that each task demands. For
/// each victim, `effects` has what each task adds to the logarithm of the tail
/// latency at full pace.
#[must_use]
pub fn allowed_paces(victims: &[(Victim, Vec<f64>)], parts: &[f64]) -> Vec<u8> {
    let mut paces = vec![1.0; parts.len()];
    for (victim, effects) in victims {
        if victim.over_for >= PAUSE_ALL_AFTER {
            // The learned weights may be wrong, so even tasks that seem harmless
            // are paused.
            return vec![0; parts.len()];
        }
        if victim.over_for >= PAUSE_AFTER {
            let interfering = effects.iter().zip(&mut paces).filter(|(e, _)| **e >= NEGLIGIBLE_LN);
            interfering.for_each(|(_, pace)| *pace = 0.0);
            continue;
        }
        slow_to_budget(victim.budget(), MINOR_WEIGHT, effects, parts, &mut paces);
        slow_to_budget(victim.headroom(), 0.0, effects, parts, &mut paces);
    }
    paces.into_iter().map(percent).collect()
}

/// Lowers the paces until what the tasks add together is within the budget. Tasks
/// with a smaller weight than `min_weight` keep their pace.
fn slow_to_budget(budget: f64, min_weight: f64, effects: &[f64], parts: &[f64], paces: &mut [f64]) {
    let total: f64 = effects.iter().zip(&*paces).map(|(effect, pace)| effect * pace).sum();
    let mut excess = total - budget;
    let weight = |i: usize| effects[i] / parts[i].max(f64::EPSILON);
    let slowable = |i: &usize| effects[*i] >= NEGLIGIBLE_LN && weight(*i) >= min_weight;
    let mut order: Vec<usize> = (0..effects.len()).filter(slowable).collect();
    order.sort_by(|a, b| weight(*b).total_cmp(&weight(*a)));
    // Tasks of one image have the same weight and are slowed alike.
    for alike in order.chunk_by(|a, b| (weight(*a) - weight(*b)).abs() < 1e-9) {
        if excess <= 0.0 {
            return;
        }
        let added: f64 = alike.iter().map(|i| effects[*i] * paces[*i]).sum();
        let keep = if added > 0.0 { ((added - excess) / added).max(0.0) } else { 1.0 };
        alike.iter().for_each(|i| paces[*i] *= keep);
        excess -= added * (1.0 - keep);
    }
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
