//! How much a task of one class slows a service of another on the same worker.
//!
//! The tail latency of a service, relative to its target, is modelled as a
//! base that depends on the service's own load, plus a weight for each class
//! beside it times the share of the worker's processors that the class uses,
//! scaled with the service's load. The weights follow the errors of the
//! prediction (normalised least mean squares), so that old evidence fades.

use super::MAX_CLASSES;
use cyclamenloft_types::JobClass;
use std::collections::BTreeMap;

/// Levels of load for which a base is learned.
const LOAD_LEVELS: usize = 12;
/// Load that each level spans, as a share of what a replica is sized for.
const LOAD_STEP: f64 = 0.125;
/// Share of an error by which the model is corrected.
const RATE: f64 = 0.25;
/// Largest error that one observation may correct: latency has outliers.
const MAX_ERROR: f64 = 0.5;
/// Base assumed for a load that was never observed.
const FIRST_BASE: f64 = 0.4;
/// Weight assumed for a pair that was never observed.
const FIRST_WEIGHT: f64 = 0.5;
/// Observations after which the assumed weight counts for nothing.
const TRUSTED_AFTER: f64 = 8.0;
/// Part of a pair's evidence that remains after an observation without it.
const FADING: f64 = 0.9998;
/// Smallest share of processors that counts as evidence on a pair.
const MIN_SHARE: f64 = 0.02;

/// A class beside a service, with the share of the worker's processors it uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Neighbour {
    /// Class of the task.
    pub class: JobClass,
    /// Share of the worker's processors, from 0 to 1.
    pub share: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    weight: f64,
    evidence: f64,
}

#[derive(Clone, Debug)]
struct Victim {
    base: [f64; LOAD_LEVELS],
    observed: [f64; LOAD_LEVELS],
    aggressors: BTreeMap<JobClass, Pair>,
}

/// The learned pairs.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    victims: BTreeMap<JobClass, Victim>,
}

impl InterferenceModel {
    /// Takes in that a service of class `victim` at `load` (1 is what it is
    /// sized for) had a tail latency of `latency` times its target while
    /// `neighbours` ran beside it.
    pub fn observe(&mut self, victim: &JobClass, load: f64, latency: f64, around: &[Neighbour]) {
        if !self.victims.contains_key(victim) {
            if self.victims.len() >= MAX_CLASSES {
                return;
            }
            self.victims.insert(victim.clone(), Victim::default());
        }
        if let Some(model) = self.victims.get_mut(victim) {
            model.observe(load, latency, around);
        }
    }

    /// The tail latency to expect, as a multiple of the target. Pairs that are
    /// little known count with a cautious guess.
    #[must_use]
    pub fn predict(&self, victim: &str, load: f64, around: &[Neighbour]) -> f64 {
        let base = self.victims.get(victim).map_or(FIRST_BASE, |v| v.base_at(load));
        let added: f64 = around.iter().map(|n| self.effect(victim, load, n)).sum();
        base + added
    }

    /// What one neighbour adds to the tail latency.
    #[must_use]
    pub fn effect(&self, victim: &str, load: f64, neighbour: &Neighbour) -> f64 {
        let pair = self.pair(victim, &neighbour.class);
        let guessed = FIRST_WEIGHT * (1.0 - pair.evidence / TRUSTED_AFTER).max(0.0);
        (pair.weight + guessed) * neighbour.share * load_scale(load)
    }

    /// Whether too little is known of the pair to rely on it.
    #[must_use]
    pub fn is_unknown(&self, victim: &str, aggressor: &str) -> bool {
        self.pair(victim, aggressor).evidence < TRUSTED_AFTER
    }

    fn pair(&self, victim: &str, aggressor: &str) -> Pair {
        self.victims
            .get(victim)
            .and_then(|v| v.aggressors.get(aggressor))
            .copied()
            .unwrap_or_default()
    }
}

impl Default for Victim {
    fn default() -> Self {
        Self {
            base: [FIRST_BASE; LOAD_LEVELS],
            observed: [0.0; LOAD_LEVELS],
            aggressors: BTreeMap::new(),
        }
    }
}

impl Victim {
    /// The base at a load, from the nearest level that was observed.
    fn base_at(&self, load: f64) -> f64 {
        let level = level(load);
        let known = |l: &usize| self.observed[*l] > 0.0;
        let nearest = (0..LOAD_LEVELS).filter(known).min_by_key(|l| l.abs_diff(level));
        match nearest {
            // A base that was learned at a lower load is a lower bound.
            Some(l) if l < level => self.base[l] * (1.0 + (level - l) as f64 * LOAD_STEP),
            Some(l) => self.base[l],
            None => FIRST_BASE,
        }
    }

    fn observe(&mut self, load: f64, latency: f64, around: &[Neighbour]) {
        let (level, scale) = (level(load), load_scale(load));
        if self.observed[level] == 0.0 {
            self.base[level] = self.base_at(load).min(latency);
        }
        self.observed[level] += 1.0;
        for pair in self.aggressors.values_mut() {
            pair.evidence *= FADING;
        }
        let mut predicted = self.base[level];
        let mut norm = 0.1;
        for n in around {
            let x = n.share * scale;
            predicted += self.aggressors.get(&n.class).map_or(0.0, |p| p.weight) * x;
            norm += x * x;
        }
        let error = (latency - predicted).clamp(-MAX_ERROR, MAX_ERROR);
        // The base is what remains without neighbours: with some, it is
        // corrected upwards slowly and downwards at once.
        let alone = around.iter().all(|n| n.share < MIN_SHARE);
        let base_rate = if alone || error < 0.0 { RATE } else { RATE / 16.0 };
        self.base[level] = (self.base[level] + base_rate * error).max(0.0);
        for n in around.iter().filter(|n| n.share >= MIN_SHARE) {
            if self.aggressors.len() >= MAX_CLASSES && !self.aggressors.contains_key(&n.class) {
                continue;
            }
            let pair = self.aggressors.entry(n.class.clone()).or_default();
            pair.weight = (pair.weight + RATE * error * n.share * scale / norm).max(0.0);
            pair.evidence += 1.0;
        }
    }
}

fn level(load: f64) -> usize {
    ((load.max(0.0) / LOAD_STEP) as usize).min(LOAD_LEVELS - 1)
}

/// A busy service suffers more from the same neighbour.
fn load_scale(load: f64) -> f64 {
    0.25 + load.clamp(0.0, 2.0)
}
