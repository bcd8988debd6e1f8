//! How much tasks that fill disturb tasks that serve, learned by pairs of
//! images. The logarithm of a tail grows with the share of the worker that each
//! image uses beside it, so one linear regression for each serving image finds
//! all of its pairs at once, with a memory of some seconds.

use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Most images of tasks that fill which are told apart; further ones share the
/// last place. The sites run nine.
const MAX_IMAGES: usize = 32;
/// Dimensions of a regression: the images and the tail without any.
const DIMENSIONS: usize = MAX_IMAGES + 1;
/// Growth of a tail's logarithm if an image used the whole worker, before the
/// pair was seen together: the mean over pairs on the sites, of which a third
/// grow by some 4 and the others not at all.
const PRIOR: f64 = 1.5;
/// Weight of the prior, in squared shares of a worker: a few looks at one task
/// beside another.
const PRIOR_WEIGHT: f64 = 0.012;
/// Time between two solutions of a regression.
const SOLVE_PERIOD: Duration = Duration::from_millis(500);
/// Time after which an observation counts for a third: disturbance changes
/// within seconds, but every pair is seen on many workers at once.
const MEMORY: Duration = Duration::from_secs(12);

/// Number of an image among the tasks that fill.
pub type ImageIndex = usize;

/// Processor time in use by images, in shares of the worker.
pub type Use = Vec<(ImageIndex, f64)>;

#[derive(Clone, Debug)]
struct Model {
    /// Decayed sums of products of the inputs.
    products: Vec<[f64; DIMENSIONS]>,
    /// Decayed sums of inputs times the logarithm of the tail.
    moments: [f64; DIMENSIONS],
    weights: [f64; MAX_IMAGES],
    /// What the weights are taken for before the pairs were seen together.
    priors: [f64; MAX_IMAGES],
    solved: Option<Instant>,
}

impl Model {
    fn new() -> Self {
        Self {
            products: vec![[0.0; DIMENSIONS]; DIMENSIONS],
            moments: [0.0; DIMENSIONS],
            weights: [PRIOR; MAX_IMAGES],
            priors: [PRIOR; MAX_IMAGES],
            solved: None,
        }
    }

    fn note(&mut self, used: &Use, tail_ln: f64) {
        let bias = (MAX_IMAGES, 1.0);
        let inputs = || used.iter().copied().chain([bias]);
        for (i, x) in inputs() {
            self.moments[i] += x * tail_ln;
            for (k, z) in inputs() {
                self.products[i][k] += x * z;
            }
        }
    }

    fn solve_if_due(&mut self, images: usize, now: Instant) {
        let since = self.solved.map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|s| s < SOLVE_PERIOD) {
            return;
        }
        self.solved = Some(now);
        let keep = (-since.unwrap_or_default().as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.moments.iter_mut().for_each(|m| *m *= keep);
        self.products.iter_mut().flatten().for_each(|p| *p *= keep);
        let solution = self.solution(images);
        for (weight, solved) in self.weights.iter_mut().zip(solution) {
            *weight = solved.clamp(0.0, 40.0);
        }
    }

    /// The weights of the images in use, by elimination.
    fn solution(&self, images: usize) -> Vec<f64> {
        let n = images + 1;
        let place = |i: usize| if i == images { MAX_IMAGES } else { i };
        let mut rows: Vec<Vec<f64>> = (0..n)
            .map(|i| {
                let row = (0..n).map(|k| self.products[place(i)][place(k)]);
                let mut row: Vec<f64> = row.chain([self.moments[place(i)]]).collect();
                if i < images {
                    row[i] += PRIOR_WEIGHT;
                    row[n] += PRIOR_WEIGHT * self.priors[i];
                } else {
                    row[i] += 1e-6;
                }
                row
            })
            .collect();
        for i in 0..n {
            // The matrix is positive definite, so no pivot is zero.
            let pivot = rows[i].clone();
            for (k, row) in rows.iter_mut().enumerate() {
                if k != i {
                    let factor = row[i] / pivot[i];
                    row.iter_mut().zip(&pivot).for_each(|(cell, p)| *cell -= factor * p);
                }
            }
        }
        (0..images).map(|i| rows[i][n] / rows[i][i]).collect()
    }
}

/// Weight of one pair, as the group keeps it for the next leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedPair {
    /// The serving image.
    pub serving: Box<str>,
    /// The image that fills.
    pub filling: Box<str>,
    /// The weight in thousandths.
    pub weight_millis: u32,
}

/// What is known of all pairs.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    images: BTreeMap<Box<str>, ImageIndex>,
    models: BTreeMap<Box<str>, Model>,
}

impl Interference {
    /// Begins with what a former leader has learned.
    #[must_use]
    pub fn from_learned(pairs: &[LearnedPair]) -> Self {
        let mut known = Self::default();
        for pair in pairs {
            let index = known.index(Some(&pair.filling));
            let weight = f64::from(pair.weight_millis) / 1000.0;
            let model = known.models.entry(pair.serving.clone()).or_insert_with(Model::new);
            model.weights[index] = weight;
            model.priors[index] = weight;
        }
        known
    }

    /// All pairs that were learned.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn learned(&self) -> Vec<LearnedPair> {
        let pairs = self.models.iter().flat_map(|(serving, model)| {
            self.images.iter().map(move |(filling, index)| LearnedPair {
                serving: serving.clone(),
                filling: filling.clone(),
                weight_millis: (model.weights[*index] * 1000.0) as u32,
            })
        });
        pairs.collect()
    }

    /// The number of an image of tasks that fill.
    pub fn index(&mut self, image: Option<&str>) -> ImageIndex {
        let image = image.unwrap_or_default();
        if let Some(index) = self.images.get(image) {
            return *index;
        }
        let index = self.images.len().min(MAX_IMAGES - 1);
        self.images.insert(image.into(), index);
        index
    }

    /// The number of an image, where it has been seen.
    #[must_use]
    pub fn known(&self, image: Option<&str>) -> Option<ImageIndex> {
        self.images.get(image.unwrap_or_default()).copied()
    }

    /// Notes the tail of a serving task beside what others use.
    pub fn note(&mut self, serving: &str, used: &Use, tail_ms: f64, now: Instant) {
        let images = self.images.len().min(MAX_IMAGES);
        if !self.models.contains_key(serving) {
            self.models.insert(serving.into(), Model::new());
        }
        if let Some(model) = self.models.get_mut(serving) {
            model.note(used, tail_ms.max(0.5).ln());
            model.solve_if_due(images, now);
        }
    }

    /// By how much the logarithm of the serving image's tail would grow if the
    /// other image used the whole worker.
    #[must_use]
    pub fn weight(&self, serving: &str, filling: Option<ImageIndex>) -> f64 {
        match (self.models.get(serving), filling) {
            (Some(model), Some(index)) => model.weights[index],
            _ => PRIOR,
        }
    }
}
