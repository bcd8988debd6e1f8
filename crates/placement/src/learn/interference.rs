//! Model of how much a task of one class slows a service of another class on the
//! same worker.
//!
//! The tail latency of a service, relative to its target, is modeled as a base
//! that depends on the service's own load, plus the effects of the other
//! classes on the worker. The effect of a class is its learned weight times the
//! share of the worker's CPUs that it uses, scaled with the service's load. A
//! Kalman filter estimates bases and weights from noisy reports. Its
//! covariances prevent the effect of a new class from being attributed to one
//! that has long been present, and let old observations decay.

use super::MAX_CLASSES;
use cyclamenloft_types::JobClass;
use std::collections::BTreeMap;

/// Number of load levels for which a base is learned.
const LOAD_LEVELS: usize = 12;
/// Width of a load level, as a share of the load that a replica is sized for.
const LOAD_STEP: f64 = 0.125;
/// Limit on the aggressor classes learned for one victim class.
const MAX_AGGRESSORS: usize = 128;
/// Limit on the prediction error that one observation corrects, since latencies
/// have outliers.
const MAX_ERROR: f64 = 0.5;
/// Base assumed for a load that was never observed.
const INITIAL_BASE: f64 = 0.4;
/// Weight assumed for a pair that was never observed.
const INITIAL_WEIGHT: f64 = 0.5;
/// Variance of a weight before the first observation.
const INITIAL_WEIGHT_VARIANCE: f64 = 1.0;
/// Variance of a base before the first observation.
const INITIAL_BASE_VARIANCE: f64 = 0.25;
/// Variance of the noise in measured tail latencies.
const NOISE_VARIANCE: f64 = 0.02;
/// Variance that each estimate gains with each observation, since the true value
/// may change.
const DRIFT_VARIANCE: f64 = 1e-4;
/// Variance of the weight above which a pair counts as unknown.
const UNKNOWN_PAIR_VARIANCE: f64 = 0.3;
/// CPU share below which a neighbor is ignored.
const MIN_CPU_SHARE: f64 = 0.02;

/// A class that runs on the same worker as a service, with the share of the
/// worker's CPUs that it uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Neighbor {
    /// Class of the task.
    pub class: JobClass,
    /// Share of the worker's CPUs, from 0 to 1.
    pub cpu_share: f64,
}

/// Model of one victim class: means of the bases and weights, and their
/// covariances.
#[derive(Clone, Debug)]
struct VictimModel {
    /// Position of each aggressor's weight among the estimates, after the bases.
    aggressors: BTreeMap<JobClass, usize>,
    means: Vec<f64>,
    covariance: Vec<Vec<f64>>,
    /// The load levels of which there was an observation.
    observed: [bool; LOAD_LEVELS],
}

/// Interference between all pairs of classes, by victim class.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    victims: BTreeMap<JobClass, VictimModel>,
}

impl InterferenceModel {
    /// Records that a service of class `victim` had a tail latency of `latency`
    /// times its target at `load`, where 1 is the load it is sized for, while
    /// `neighbors` ran on the same worker.
    pub fn observe(&mut self, victim: &JobClass, load: f64, latency: f64, neighbors: &[Neighbor]) {
        if !self.victims.contains_key(victim) {
            if self.victims.len() >= MAX_CLASSES {
                return;
            }
            self.victims.insert(victim.clone(), VictimModel::new());
        }
        if let Some(model) = self.victims.get_mut(victim) {
            model.observe(load, latency, neighbors);
        }
    }

    /// Returns the expected tail latency as a multiple of the target. Pairs without
    /// observations count with a conservative weight.
    #[must_use]
    pub fn predict(&self, victim: &str, load: f64, neighbors: &[Neighbor]) -> f64 {
        let base = self.victims.get(victim).map_or(INITIAL_BASE, |v| v.base_at(load));
        let added: f64 = neighbors.iter().map(|n| self.effect(victim, load, n)).sum();
        base + added
    }

    /// Returns what one neighbor adds to the tail latency, as a multiple of the
    /// target.
    #[must_use]
    pub fn effect(&self, victim: &str, load: f64, neighbor: &Neighbor) -> f64 {
        let weight = self
            .victims
            .get(victim)
            .and_then(|v| v.aggressors.get(&neighbor.class).map(|&at| v.means[at]))
            .unwrap_or(INITIAL_WEIGHT);
        weight * neighbor.cpu_share * load_factor(load)
    }

    /// Returns whether the weight of the pair is too uncertain to rely on.
    #[must_use]
    pub fn is_unknown(&self, victim: &str, aggressor: &str) -> bool {
        let variance = self
            .victims
            .get(victim)
            .and_then(|v| v.aggressors.get(aggressor).map(|&at| v.covariance[at][at]));
        variance.unwrap_or(INITIAL_WEIGHT_VARIANCE) > UNKNOWN_PAIR_VARIANCE
    }
}

impl VictimModel {
    fn new() -> Self {
        let mut victim = Self {
            aggressors: BTreeMap::new(),
            means: Vec::new(),
            covariance: Vec::new(),
            observed: [false; LOAD_LEVELS],
        };
        for _ in 0..LOAD_LEVELS {
            victim.add_estimate(INITIAL_BASE, INITIAL_BASE_VARIANCE);
        }
        victim
    }

    /// Adds an estimate that is independent of the others and returns its position.
    fn add_estimate(&mut self, mean: f64, variance: f64) -> usize {
        let at = self.means.len();
        self.means.push(mean);
        self.covariance.iter_mut().for_each(|row| row.push(0.0));
        let mut row = vec![0.0; at + 1];
        row[at] = variance;
        self.covariance.push(row);
        at
    }

    /// Returns the position of an aggressor's weight, which is added if it is new.
    /// Returns `None` when there are too many.
    fn aggressor_position(&mut self, class: &JobClass) -> Option<usize> {
        if let Some(at) = self.aggressors.get(class) {
            return Some(*at);
        }
        if self.aggressors.len() >= MAX_AGGRESSORS {
            return None;
        }
        let at = self.add_estimate(INITIAL_WEIGHT, INITIAL_WEIGHT_VARIANCE);
        self.aggressors.insert(class.clone(), at);
        Some(at)
    }

    /// Returns the base at a load, taken from the nearest observed level.
    fn base_at(&self, load: f64) -> f64 {
        let level = level(load);
        let nearest =
            (0..LOAD_LEVELS).filter(|l| self.observed[*l]).min_by_key(|l| l.abs_diff(level));
        match nearest {
            // The base at a lower load is a lower bound, so it is scaled up.
            Some(l) if l < level => self.means[l] * (1.0 + (level - l) as f64 * LOAD_STEP),
            Some(l) => self.means[l],
            None => INITIAL_BASE,
        }
    }

    fn observe(&mut self, load: f64, latency: f64, neighbors: &[Neighbor]) {
        let (level, scale) = (level(load), load_factor(load));
        if !self.observed[level] {
            self.means[level] = self.base_at(load).min(latency);
            self.observed[level] = true;
        }
        let mut inputs = vec![(level, 1.0)];
        for n in neighbors.iter().filter(|n| n.cpu_share >= MIN_CPU_SHARE) {
            if let Some(at) = self.aggressor_position(&n.class) {
                inputs.push((at, n.cpu_share * scale));
            }
        }
        self.correct(latency, &inputs);
    }

    /// Updates the estimates by one step of the Kalman filter.
    fn correct(&mut self, latency: f64, inputs: &[(usize, f64)]) {
        for at in 0..self.means.len() {
            let initial =
                if at < LOAD_LEVELS { INITIAL_BASE_VARIANCE } else { INITIAL_WEIGHT_VARIANCE };
            let variance = &mut self.covariance[at][at];
            if *variance < initial {
                *variance += DRIFT_VARIANCE;
            }
        }
        let predicted: f64 = inputs.iter().map(|(at, x)| self.means[*at] * x).sum();
        let error = (latency - predicted).clamp(-MAX_ERROR, MAX_ERROR);
        let projected: Vec<f64> = self
            .covariance
            .iter()
            .map(|row| inputs.iter().map(|(at, x)| row[*at] * x).sum())
            .collect();
        let variance =
            NOISE_VARIANCE + inputs.iter().map(|(at, x)| projected[*at] * x).sum::<f64>();
        for (at, projection) in projected.iter().enumerate() {
            let gain = projection / variance;
            if gain != 0.0 {
                self.means[at] = (self.means[at] + gain * error).max(0.0);
                let row = self.covariance[at].iter_mut().zip(&projected);
                row.for_each(|(cell, other)| *cell -= gain * other);
            }
        }
    }
}

fn level(load: f64) -> usize {
    ((load.max(0.0) / LOAD_STEP) as usize).min(LOAD_LEVELS - 1)
}

/// Returns the factor by which a service's load scales interference: a busy
/// service is slowed more by the same neighbor.
fn load_factor(load: f64) -> f64 {
    0.25 + load.clamp(0.0, 2.0)
}
