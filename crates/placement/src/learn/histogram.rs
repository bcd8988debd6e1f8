//! Quantiles of a ratio, from a histogram whose old observations fade.

use std::time::{Duration, Instant};

/// Steps to each doubling of the ratio.
const STEPS: f64 = 8.0;
/// Log2 of the smallest ratio that is told apart.
const LOWEST_LOG2: f64 = -5.0;
const BUCKETS: usize = 80;
/// Time in which an observation loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(12 * 60 * 60);

/// Observations of a ratio of something measured to something declared.
#[derive(Clone, Debug)]
pub(crate) struct RatioHistogram {
    counts: Box<[f32; BUCKETS]>,
    total: f32,
    halved: Instant,
}

impl RatioHistogram {
    pub(crate) fn new(now: Instant) -> Self {
        Self { counts: Box::new([0.0; BUCKETS]), total: 0.0, halved: now }
    }

    pub(crate) fn record(&mut self, ratio: f64, now: Instant) {
        if now.duration_since(self.halved) >= HALF_LIFE {
            self.halved = now;
            self.counts.iter_mut().for_each(|c| *c /= 2.0);
            self.total /= 2.0;
        }
        self.counts[bucket(ratio)] += 1.0;
        self.total += 1.0;
    }

    /// Weight of the observations.
    pub(crate) fn weight(&self) -> f32 {
        self.total
    }

    /// The ratio that a share `q` of the observations doesn't exceed,
    /// interpolated inside its step; `None` without observations.
    pub(crate) fn quantile(&self, q: f32) -> Option<f64> {
        let mut left = self.total * q;
        for (bucket, count) in self.counts.iter().enumerate() {
            if left <= *count && *count > 0.0 {
                let part = f64::from(left.max(0.0) / count);
                return Some(edge(bucket as f64 - 1.0 + part));
            }
            left -= count;
        }
        (self.total > 0.0).then(|| edge((BUCKETS - 1) as f64))
    }
}

fn bucket(ratio: f64) -> usize {
    let step = (ratio.max(f64::MIN_POSITIVE).log2() - LOWEST_LOG2) * STEPS;
    (step.ceil().max(0.0) as usize).min(BUCKETS - 1)
}

/// The upper edge of a bucket.
fn edge(bucket: f64) -> f64 {
    (bucket / STEPS + LOWEST_LOG2).exp2()
}
