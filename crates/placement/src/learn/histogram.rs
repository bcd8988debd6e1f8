//! Quantiles of a ratio, from a histogram with exponentially decaying weights.

use std::time::{Duration, Instant};

/// Number of buckets for each doubling of the ratio.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Binary logarithm of the upper edge of the first bucket.
const MIN_RATIO_LOG2: f64 = -5.0;
const BUCKETS: usize = 80;
/// Interval at which the weights of all observations are halved.
const HALF_LIFE: Duration = Duration::from_secs(12 * 60 * 60);

/// Histogram of the ratio of measured to declared amounts.
#[derive(Clone, Debug)]
pub(crate) struct RatioHistogram {
    /// Weight of the observations in each bucket.
    counts: Box<[f32; BUCKETS]>,
    total_weight: f32,
    last_halved: Instant,
}

impl RatioHistogram {
    pub(crate) fn new(now: Instant) -> Self {
        Self { counts: Box::new([0.0; BUCKETS]), total_weight: 0.0, last_halved: now }
    }

    pub(crate) fn record(&mut self, ratio: f64, now: Instant) {
        if now.duration_since(self.last_halved) >= HALF_LIFE {
            self.last_halved = now;
            self.counts.iter_mut().for_each(|c| *c /= 2.0);
            self.total_weight /= 2.0;
        }
        self.counts[bucket(ratio)] += 1.0;
        self.total_weight += 1.0;
    }

    /// Returns the total weight of the observations.
    pub(crate) fn weight(&self) -> f32 {
        self.total_weight
    }

    /// Returns the `q` quantile of the ratio, interpolated within its bucket, or
    /// `None` without observations.
    pub(crate) fn quantile(&self, q: f32) -> Option<f64> {
        let mut remaining = self.total_weight * q;
        for (bucket, count) in self.counts.iter().enumerate() {
            if remaining <= *count && *count > 0.0 {
                let fraction = f64::from(remaining.max(0.0) / count);
                return Some(upper_edge(bucket as f64 - 1.0 + fraction));
            }
            remaining -= count;
        }
        (self.total_weight > 0.0).then(|| upper_edge((BUCKETS - 1) as f64))
    }
}

fn bucket(ratio: f64) -> usize {
    let step = (ratio.max(f64::MIN_POSITIVE).log2() - MIN_RATIO_LOG2) * BUCKETS_PER_DOUBLING;
    (step.ceil().max(0.0) as usize).min(BUCKETS - 1)
}

/// Returns the ratio at the upper edge of a bucket. A fractional `bucket` gives
/// a ratio within the bucket.
fn upper_edge(bucket: f64) -> f64 {
    (bucket / BUCKETS_PER_DOUBLING + MIN_RATIO_LOG2).exp2()
}
