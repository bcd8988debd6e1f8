//! A model of how much best-effort tasks interfere with latency-critical tasks,
//! learned for each pair of images.
//!
//! The logarithm of a latency-critical task's tail latency grows linearly with
//! the share of the worker that each best-effort image uses. One linear
//! regression for each latency-critical image therefore estimates all its pairs
//! at once. Old observations decay.
//!
//! The regression relates the changes between two reports of a task. The tail
//! latency also follows the task's own load, and best-effort tasks are throttled
//! while it is high; a regression on the values themselves would take the
//! throttling for a small weight.

use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Maximum number of best-effort images that the model distinguishes. Further
/// images share the last index. The sites run nine.
const MAX_IMAGES: usize = 32;
/// Weight of a pair that was never observed: the growth of the tail latency's
/// logarithm if the image used the whole worker. It is the mean over the image
/// pairs on the users' sites: for a third of the pairs the logarithm grows by
/// about 4, for the others not at all.
const PRIOR_MEAN: f64 = 1.5;
/// Strength of the prior, in squared shares of a worker: it corresponds to a
/// few observations of two tasks on one worker.
const PRIOR_STRENGTH: f64 = 0.012;
/// Minimum time between two computations of a regression's weights.
const SOLVE_PERIOD: Duration = Duration::from_millis(500);
/// Time constant with which observations decay: after this time, one counts for
/// about a third. A rarely placed image is seldom observed, and must not be
/// forgotten between two placements.
const DECAY_TIME: Duration = Duration::from_secs(40);

/// Longest time between two reports whose difference is observed. The load of a
/// latency-critical task changes in longer times.
const MAX_REPORT_GAP: Duration = Duration::from_millis(1_500);

/// Index of a best-effort image in the weights of a model, assigned by
/// [`Interference::index`]. Images beyond `MAX_IMAGES` share the last index.
pub type ImageIndex = usize;

/// Index of a latency-critical image's model, assigned when the image is first observed.
pub type ModelIndex = usize;

/// CPU time that best-effort images use, as shares of the worker.
pub type CpuUse = Vec<(ImageIndex, f64)>;

/// What a worker reported about a latency-critical task.
#[derive(Clone, Debug)]
pub struct TailReport {
    /// CPU time that the best-effort images on the worker use.
    pub used: CpuUse,
    /// The task's tail latency in milliseconds.
    pub tail_ms: f64,
    /// Time of the report.
    pub at: Instant,
}

impl TailReport {
    fn tail_ln(&self) -> f64 {
        self.tail_ms.max(0.5).ln()
    }

    /// Returns the change of the CPU time that each image uses since `before`.
    fn change_of_use(&self, before: &Self) -> CpuUse {
        let mut change: BTreeMap<ImageIndex, f64> = self.used.iter().copied().collect();
        for (image, part) in &before.used {
            *change.entry(*image).or_default() -= part;
        }
        change.into_iter().collect()
    }
}

#[derive(Clone, Debug)]
struct Model {
    /// Decayed sums of products of the inputs.
    products: Vec<[f64; MAX_IMAGES]>,
    /// Decayed sums of inputs times the change of the tail latency's logarithm.
    moments: [f64; MAX_IMAGES],
    weights: [f64; MAX_IMAGES],
    /// Weights assumed for pairs that were never observed.
    priors: [f64; MAX_IMAGES],
    solved: Option<Instant>,
}

impl Model {
    fn new() -> Self {
        Self {
            products: vec![[0.0; MAX_IMAGES]; MAX_IMAGES],
            moments: [0.0; MAX_IMAGES],
            weights: [PRIOR_MEAN; MAX_IMAGES],
            priors: [PRIOR_MEAN; MAX_IMAGES],
            solved: None,
        }
    }

    fn observe(&mut self, change: &CpuUse, tail_ln_change: f64) {
        for (i, x) in change {
            self.moments[*i] += x * tail_ln_change;
            for (k, z) in change {
                self.products[*i][*k] += x * z;
            }
        }
    }

    fn solve_if_due(&mut self, images: usize, now: Instant) {
        let since = self.solved.map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|s| s < SOLVE_PERIOD) {
            return;
        }
        self.solved = Some(now);
        let keep = (-since.unwrap_or_default().as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.moments.iter_mut().for_each(|m| *m *= keep);
        self.products.iter_mut().flatten().for_each(|p| *p *= keep);
        let solution = self.solution(images);
        for (weight, solved) in self.weights.iter_mut().zip(solution) {
            *weight = solved.clamp(0.0, 40.0);
        }
    }

    /// Returns the weights of the known images, by Gauss-Jordan elimination.
    fn solution(&self, images: usize) -> Vec<f64> {
        let n = images;
        let mut rows: Vec<Vec<f64>> = (0..n)
            .map(|i| {
                let mut row = self.products[i][..n].to_vec();
                row.push(self.moments[i] + PRIOR_STRENGTH * self.priors[i]);
                row[i] += PRIOR_STRENGTH;
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

/// Weight of one pair, which the group stores for the next leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedPair {
    /// The latency-critical image.
    pub serving: Box<str>,
    /// The best-effort image.
    #[serde(rename = "filling")]
    pub best_effort: Box<str>,
    /// The weight in thousandths.
    pub weight_millis: u32,
}

/// The learned weights of all pairs.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    images: BTreeMap<Box<str>, ImageIndex>,
    model_indexes: BTreeMap<Box<str>, ModelIndex>,
    models: Vec<Model>,
}

impl Interference {
    /// Creates a model that starts with the pairs learned by a former leader.
    #[must_use]
    pub fn from_learned(pairs: &[LearnedPair]) -> Self {
        let mut interference = Self::default();
        for pair in pairs {
            let index = interference.index(Some(&pair.best_effort));
            let weight = f64::from(pair.weight_millis) / 1000.0;
            let model = interference.model_mut(&pair.serving);
            model.weights[index] = weight;
            model.priors[index] = weight;
        }
        interference
    }

    /// Returns all learned pairs.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn learned(&self) -> Vec<LearnedPair> {
        let pairs = self.model_indexes.iter().flat_map(|(serving, model)| {
            let model = &self.models[*model];
            self.images.iter().map(move |(best_effort, index)| LearnedPair {
                serving: serving.clone(),
                best_effort: best_effort.clone(),
                weight_millis: (model.weights[*index] * 1000.0) as u32,
            })
        });
        pairs.collect()
    }

    /// Returns the index of a best-effort image, which is added if it is new.
    pub fn index(&mut self, image: Option<&str>) -> ImageIndex {
        let image = image.unwrap_or_default();
        if let Some(index) = self.images.get(image) {
            return *index;
        }
        let index = self.images.len().min(MAX_IMAGES - 1);
        self.images.insert(image.into(), index);
        index
    }

    /// Returns the index of a best-effort image, if it is known.
    #[must_use]
    pub fn known_index(&self, image: Option<&str>) -> Option<ImageIndex> {
        self.images.get(image.unwrap_or_default()).copied()
    }

    /// Learns from two successive reports of one task of a latency-critical image.
    pub fn observe(&mut self, serving: &str, before: &TailReport, after: &TailReport) {
        if after.at.saturating_duration_since(before.at) > MAX_REPORT_GAP {
            return;
        }
        let images = self.images.len().min(MAX_IMAGES);
        let model = self.model_mut(serving);
        model.observe(&after.change_of_use(before), after.tail_ln() - before.tail_ln());
        model.solve_if_due(images, after.at);
    }

    fn model_mut(&mut self, serving: &str) -> &mut Model {
        let index = match self.model_indexes.get(serving) {
            Some(index) => *index,
            None => {
                self.models.push(Model::new());
                self.model_indexes.insert(serving.into(), self.models.len() - 1);
                self.models.len() - 1
            }
        };
        &mut self.models[index]
    }

    /// Returns the index of a latency-critical image's model, if there is one.
    #[must_use]
    pub fn model_index(&self, serving: &str) -> Option<ModelIndex> {
        self.model_indexes.get(serving).copied()
    }

    /// Returns by how much the logarithm of the latency-critical image's tail
    /// latency would grow if the best-effort image used the whole worker.
    #[must_use]
    pub fn weight(&self, serving: &str, best_effort: Option<ImageIndex>) -> f64 {
        self.model_weight(self.model_index(serving), best_effort)
    }

    /// Returns the same as [`Self::weight`] for an image whose model index is known.
    #[must_use]
    pub fn model_weight(
        &self,
        serving: Option<ModelIndex>,
        best_effort: Option<ImageIndex>,
    ) -> f64 {
        match (serving.and_then(|index| self.models.get(index)), best_effort) {
            (Some(model), Some(index)) => model.weights[index],
            _ => PRIOR_MEAN,
        }
    }
}
