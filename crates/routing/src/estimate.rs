//! Running estimates from measured times: means, peaks and quantiles. All of
//! them discount old samples, so that decisions follow the service's current
//! behavior.

use std::time::{Duration, Instant};

/// Time in which a peak decays to 1/e of itself, in seconds.
const PEAK_DECAY_SECONDS: f64 = 3.0;
/// Weight of a new sample in a mean.
const EWMA_WEIGHT: f64 = 1.0 / 16.0;
/// Histogram buckets per doubling of the time.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Number of histogram buckets: 27 doublings from one microsecond cover more
/// than a minute.
const BUCKETS: usize = 27 * 8;
/// Period after which the weight of older samples is halved.
const HALVING_PERIOD: Duration = Duration::from_secs(2);
/// Age of the newest sample beyond which the quantiles are unknown.
const MAX_QUANTILES_AGE: Duration = Duration::from_secs(4);
/// Number of samples after which the cached quantiles are recomputed.
const SAMPLES_PER_REFRESH: u32 = 32;
/// Total weight of the samples below which the quantiles are unknown.
const MIN_SAMPLES: f32 = 20.0;

/// A peak-sensitive EWMA of a latency: it rises to each peak at once and decays
/// slowly.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeakEwma {
    seconds: f64,
    updated_at: Instant,
}

impl PeakEwma {
    pub(crate) fn new(first: Duration, now: Instant) -> Self {
        Self { seconds: first.as_secs_f64(), updated_at: now }
    }

    pub(crate) fn observe(&mut self, latency: Duration, now: Instant) {
        let sample = latency.as_secs_f64();
        let kept = (-now.saturating_duration_since(self.updated_at).as_secs_f64()
            / PEAK_DECAY_SECONDS)
            .exp()
            .min(1.0 - EWMA_WEIGHT);
        self.seconds = if sample > self.seconds {
            sample
        } else {
            self.seconds * kept + sample * (1.0 - kept)
        };
        self.updated_at = now;
    }

    /// Returns the latency in seconds. It decays while there are no samples, so
    /// that a target that was slow is tried again.
    pub(crate) fn seconds(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.seconds * (-idle / PEAK_DECAY_SECONDS).exp()
    }
}

/// An exponentially weighted moving average whose weights depend on the number
/// of samples, not on time. While there are few samples, it is their plain mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ewma {
    seconds: f64,
    samples: u32,
}

impl Ewma {
    pub(crate) fn observe(&mut self, time: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = EWMA_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds += (time.as_secs_f64() - self.seconds) * weight;
    }

    pub(crate) fn seconds(&self) -> f64 {
        self.seconds
    }

    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }
}

/// Quantiles of a service's measured times over the last few seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuantileEstimates {
    /// The median.
    pub p50: Duration,
    /// The 95th percentile.
    pub p95: Duration,
    /// The 99th percentile.
    pub p99: Duration,
}

/// A histogram with logarithmic buckets in which the weight of older samples
/// decays.
#[derive(Debug)]
pub(crate) struct Quantiles {
    buckets: Vec<f32>,
    total: f32,
    halved_at: Option<Instant>,
    newest: Option<Instant>,
    since_refresh: u32,
    cached: QuantileEstimates,
}

impl Quantiles {
    pub(crate) fn new() -> Self {
        Self {
            buckets: vec![0.0; BUCKETS],
            total: 0.0,
            halved_at: None,
            newest: None,
            since_refresh: 0,
            cached: QuantileEstimates::default(),
        }
    }

    pub(crate) fn observe(&mut self, time: Duration, now: Instant) {
        if self.newest.is_some_and(|t| now.saturating_duration_since(t) > MAX_QUANTILES_AGE) {
            *self = Self::new();
        }
        let halved_at = *self.halved_at.get_or_insert(now);
        if now.saturating_duration_since(halved_at) >= HALVING_PERIOD {
            self.buckets.iter_mut().for_each(|b| *b /= 2.0);
            self.total /= 2.0;
            self.halved_at = Some(now);
        }
        self.buckets[bucket(time)] += 1.0;
        self.total += 1.0;
        self.newest = Some(now);
        self.since_refresh += 1;
        if self.since_refresh >= SAMPLES_PER_REFRESH || self.total <= MIN_SAMPLES {
            self.since_refresh = 0;
            self.cached = self.compute();
        }
    }

    /// Returns the estimates, or `None` if there are too few recent samples.
    pub(crate) fn get(&self, now: Instant) -> Option<QuantileEstimates> {
        let age = now.saturating_duration_since(self.newest?);
        (self.total >= MIN_SAMPLES && age <= MAX_QUANTILES_AGE).then_some(self.cached)
    }

    fn compute(&self) -> QuantileEstimates {
        let mut wanted = [0.5, 0.95, 0.99].map(|q| (q * self.total, Duration::ZERO));
        let mut below = 0.0;
        for (i, weight) in self.buckets.iter().enumerate() {
            below += weight;
            if *weight <= 0.0 {
                continue;
            }
            for (rank, value) in &mut wanted {
                if value.is_zero() && below >= *rank {
                    *value = bucket_end(i);
                }
            }
        }
        let [p50, p95, p99] = wanted.map(|(_, value)| value);
        QuantileEstimates { p50, p95, p99 }
    }
}

fn bucket(time: Duration) -> usize {
    let micros = time.as_micros().max(1) as f64;
    // The cast saturates at both ends.
    ((micros.log2() * BUCKETS_PER_OCTAVE) as usize).min(BUCKETS - 1)
}

fn bucket_end(i: usize) -> Duration {
    let micros = ((i + 1) as f64 / BUCKETS_PER_OCTAVE).exp2();
    Duration::from_nanos((micros * 1e3) as u64)
}
