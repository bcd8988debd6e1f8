//! Running estimates from measured times: means, peaks and quantiles. All of
//! them forget, so that a decision follows the service as it is now.

use std::time::{Duration, Instant};

/// Time in which a peak falls to 1/e of itself, in seconds.
const PEAK_DECAY_SECONDS: f64 = 3.0;
/// Weight of a new sample in a mean.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;
/// Histogram buckets per doubling of the time.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Histogram buckets: 27 doublings from one microsecond reach over a minute.
const BUCKETS: usize = 27 * 8;
/// Period after which the weight of older samples is halved.
const HALVING_PERIOD: Duration = Duration::from_secs(2);
/// Age of the newest sample from which the quantiles are unknown again.
const QUANTILES_EXPIRE: Duration = Duration::from_secs(4);
/// Samples after which cached quantiles are computed anew.
const SAMPLES_PER_REFRESH: u32 = 32;
/// Samples from which quantiles say anything.
const MIN_SAMPLES: f32 = 20.0;

/// A latency that rises to each peak at once and falls slowly.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeakEwma {
    seconds: f64,
    at: Instant,
}

impl PeakEwma {
    pub(crate) fn new(first: Duration, now: Instant) -> Self {
        Self { seconds: first.as_secs_f64(), at: now }
    }

    pub(crate) fn observe(&mut self, latency: Duration, now: Instant) {
        let sample = latency.as_secs_f64();
        let kept = (-now.saturating_duration_since(self.at).as_secs_f64() / PEAK_DECAY_SECONDS)
            .exp()
            .min(1.0 - MEAN_WEIGHT);
        self.seconds = if sample > self.seconds {
            sample
        } else {
            self.seconds * kept + sample * (1.0 - kept)
        };
        self.at = now;
    }

    /// The latency in seconds. It fades while nothing is observed, so that a
    /// target that was slow is tried again.
    pub(crate) fn seconds(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.at).as_secs_f64();
        self.seconds * (-idle / PEAK_DECAY_SECONDS).exp()
    }
}

/// A mean that forgets by the number of samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    seconds: f64,
    samples: u32,
}

impl Mean {
    pub(crate) fn observe(&mut self, time: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds += (time.as_secs_f64() - self.seconds) * weight;
    }

    pub(crate) fn seconds(&self) -> f64 {
        self.seconds
    }

    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }
}

/// Quantiles of a service's times, over the last few seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuantileEstimates {
    /// Half of the samples were at most this.
    pub p50: Duration,
    /// 95% of the samples were at most this.
    pub p95: Duration,
    /// 99% of the samples were at most this.
    pub p99: Duration,
}

/// A histogram with logarithmic buckets whose older samples fade.
#[derive(Debug)]
pub(crate) struct Quantiles {
    buckets: Vec<f32>,
    total: f32,
    halved: Option<Instant>,
    newest: Option<Instant>,
    since_refresh: u32,
    cached: QuantileEstimates,
}

impl Quantiles {
    pub(crate) fn new() -> Self {
        Self {
            buckets: vec![0.0; BUCKETS],
            total: 0.0,
            halved: None,
            newest: None,
            since_refresh: 0,
            cached: QuantileEstimates::default(),
        }
    }

    pub(crate) fn observe(&mut self, time: Duration, now: Instant) {
        if self.newest.is_some_and(|t| now.saturating_duration_since(t) > QUANTILES_EXPIRE) {
            *self = Self::new();
        }
        let halved = *self.halved.get_or_insert(now);
        if now.saturating_duration_since(halved) >= HALVING_PERIOD {
            self.buckets.iter_mut().for_each(|b| *b /= 2.0);
            self.total /= 2.0;
            self.halved = Some(now);
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

    /// The estimates, or `None` while there are too few recent samples.
    pub(crate) fn get(&self, now: Instant) -> Option<QuantileEstimates> {
        let age = now.saturating_duration_since(self.newest?);
        (self.total >= MIN_SAMPLES && age <= QUANTILES_EXPIRE).then_some(self.cached)
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
