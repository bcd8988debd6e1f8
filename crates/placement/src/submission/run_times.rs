//! How long short tasks take, as a factor of the clients' estimates, by queue and image.
//!
//! Load handled: clients whose estimates are off by a factor of 0.5 to 0.9, and run times of
//! which some are seven times as long as the rest. The factors are kept in a histogram whose
//! counts decay, so that a few long runs raise its upper quantiles but not its median.

use super::spec::Step;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time constant with which counts decay: long enough to keep some observations of a queue
/// that gets one submission every few seconds.
const DECAY_TIME: Duration = Duration::from_secs(60);
/// Decayed number of observations below which no factor is returned.
const MIN_OBSERVATIONS: f64 = 8.0;
/// Number of histogram buckets. Each is a quarter of an octave wide, and together they span
/// factors from 1/16 to 16.
const BUCKETS: usize = 32;
/// Buckets for each doubling of the factor.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Binary logarithm of the lower bound of the first bucket.
const FIRST_LOG2: f64 = -4.0;
/// Maximum number of queues and images whose run times are kept. The least recently observed
/// is dropped.
const MAX_KINDS: usize = 256;

/// How long one run of a short task took.
#[derive(Clone, Copy, Debug)]
pub struct RunTime<'a> {
    queue: &'a str,
    image: &'a str,
    factor: f64,
}

impl<'a> RunTime<'a> {
    /// Returns the run time of a task of a step.
    #[must_use]
    pub fn of(queue: &'a str, step: &'a Step, took: Duration) -> Self {
        let estimate = f64::from(step.estimate_ms.max(1)) / 1000.0;
        let image = step.image.as_deref().unwrap_or_default();
        Self { queue, image, factor: took.as_secs_f64() / estimate }
    }
}

#[derive(Clone, Debug)]
struct Factors {
    counts: [f64; BUCKETS],
    at: Instant,
}

impl Factors {
    /// Returns the counts decayed to `now`, and their sum.
    fn decayed(&self, now: Instant) -> ([f64; BUCKETS], f64) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-passed / DECAY_TIME.as_secs_f64()).exp();
        let counts = self.counts.map(|count| count * kept);
        (counts, counts.iter().sum())
    }
}

/// The run times of all queues and images.
#[derive(Clone, Debug, Default)]
pub struct RunTimes(BTreeMap<Box<str>, BTreeMap<Box<str>, Factors>>);

impl RunTimes {
    /// Adds the run time of a task.
    pub fn record(&mut self, sample: &RunTime<'_>, now: Instant) {
        let images = self.0.entry(sample.queue.into()).or_default();
        let new = || Factors { counts: [0.0; BUCKETS], at: now };
        let factors = images.entry(sample.image.into()).or_insert_with(new);
        (factors.counts, _) = factors.decayed(now);
        factors.at = now;
        factors.counts[bucket(sample.factor)] += 1.0;
        self.limit();
    }

    /// Returns the factor by which a share `quantile` of the recent run times, from 0 to 1,
    /// was at most as long as estimated; `None` with too few observations.
    #[must_use]
    pub fn factor(&self, queue: &str, image: &str, quantile: f64, now: Instant) -> Option<f64> {
        let (counts, total) = self.0.get(queue)?.get(image)?.decayed(now);
        if total < MIN_OBSERVATIONS {
            return None;
        }
        let mut wanted = quantile.clamp(0.0, 1.0) * total;
        let last = counts.iter().rposition(|count| *count > 0.0)?;
        for (i, count) in counts.iter().enumerate().take(last + 1) {
            if wanted <= *count || i == last {
                let within = if *count > 0.0 { (wanted / count).clamp(0.0, 1.0) } else { 1.0 };
                let position = i as f64 + within;
                return Some((FIRST_LOG2 + position / BUCKETS_PER_OCTAVE).exp2());
            }
            wanted -= count;
        }
        None
    }

    /// Drops the kind of task that was observed least recently if there are too many.
    fn limit(&mut self) {
        if self.0.values().map(BTreeMap::len).sum::<usize>() <= MAX_KINDS {
            return;
        }
        let kinds = self.0.iter().flat_map(|(queue, images)| {
            images.iter().map(move |(image, factors)| (factors.at, queue, image))
        });
        let Some((_, queue, image)) = kinds.min() else { return };
        let (queue, image) = (queue.clone(), image.clone());
        if let Some(images) = self.0.get_mut(&queue) {
            images.remove(&image);
        }
        self.0.retain(|_, images| !images.is_empty());
    }
}

fn bucket(factor: f64) -> usize {
    let position = (factor.max(f64::MIN_POSITIVE).log2() - FIRST_LOG2) * BUCKETS_PER_OCTAVE;
    position.clamp(0.0, (BUCKETS - 1) as f64) as usize
}
