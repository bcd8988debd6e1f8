//! Learned sizes and run times of job classes, since the declared ones are often
//! far off.

use super::{MAX_CLASSES, histogram::RatioHistogram};
use cyclamenloft_types::{JobClass, Resources};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Total weight of observations from which a learned size is used.
const MIN_OBSERVATIONS: f32 = 20.0;
/// Total weight of finished tasks from which a learned run time is used.
const MIN_RUNS: f32 = 5.0;
/// Quantile of the measured CPU use that is reserved: the tasks of a worker
/// rarely peak together, and a shortage of CPU only slows them down.
const CPU_QUANTILE: f32 = 0.7;
/// Quantile of the measured memory use that is reserved.
const MEMORY_QUANTILE: f32 = 0.98;

/// Ratios of measured to declared amounts of one class.
#[derive(Clone, Debug)]
struct ClassUsage {
    cpu: RatioHistogram,
    memory: RatioHistogram,
    run_time: RatioHistogram,
}

/// Ratios of measured to declared usage and run time, by job class.
#[derive(Clone, Debug, Default)]
pub struct UsageModel {
    classes: BTreeMap<JobClass, ClassUsage>,
}

impl UsageModel {
    /// Returns the histograms of a class, which are added if it is new. Returns
    /// `None` when there are too many classes.
    fn class_mut(&mut self, class: &JobClass, now: Instant) -> Option<&mut ClassUsage> {
        if !self.classes.contains_key(class) {
            if self.classes.len() >= MAX_CLASSES {
                return None;
            }
            let histogram = || RatioHistogram::new(now);
            let usage = ClassUsage { cpu: histogram(), memory: histogram(), run_time: histogram() };
            self.classes.insert(class.clone(), usage);
        }
        self.classes.get_mut(class)
    }

    /// Records the measured use of a task.
    pub fn record_usage(
        &mut self,
        class: &JobClass,
        declared: &Resources,
        used: &Resources,
        now: Instant,
    ) {
        if let Some(usage) = self.class_mut(class, now) {
            usage.cpu.record(ratio(used.cpu_millis, declared.cpu_millis), now);
            usage.memory.record(ratio(used.memory_mib, declared.memory_mib), now);
        }
    }

    /// Records the run time of a finished task.
    pub fn record_run_time(
        &mut self,
        class: &JobClass,
        declared: Duration,
        run_time: Duration,
        now: Instant,
    ) {
        if !declared.is_zero()
            && let Some(usage) = self.class_mut(class, now)
        {
            usage.run_time.record(run_time.as_secs_f64() / declared.as_secs_f64(), now);
        }
    }

    /// Returns what to reserve for a task: what it declares, or more if its class
    /// usually uses more.
    #[must_use]
    pub fn reservation(&self, class: &str, declared: Resources) -> Resources {
        let Some(usage) = self.classes.get(class).filter(|u| u.cpu.weight() >= MIN_OBSERVATIONS)
        else {
            return declared;
        };
        let cpu = usage.cpu.quantile(CPU_QUANTILE).unwrap_or(1.0);
        let memory = usage.memory.quantile(MEMORY_QUANTILE).unwrap_or(1.0);
        let learned = Resources {
            cpu_millis: scale(declared.cpu_millis, cpu),
            memory_mib: scale(declared.memory_mib, memory),
            accelerators: declared.accelerators,
        };
        declared.max(&learned)
    }

    /// Returns the CPU use expected of a task of the class, in thousandths of a
    /// core.
    #[must_use]
    pub fn expected_cpu(&self, class: &str, declared: Resources) -> u32 {
        let usage = self.classes.get(class).filter(|u| u.cpu.weight() >= MIN_OBSERVATIONS);
        let ratio = usage.and_then(|u| u.cpu.quantile(0.5)).unwrap_or(1.0);
        scale(declared.cpu_millis, ratio)
    }

    /// Returns the expected run time of a task that declares `declared`.
    #[must_use]
    pub fn expected_run_time(&self, class: &str, declared: Duration) -> Duration {
        let usage = self.classes.get(class).filter(|u| u.run_time.weight() >= MIN_RUNS);
        let ratio = usage.and_then(|u| u.run_time.quantile(0.75)).unwrap_or(1.0);
        declared.mul_f64(ratio)
    }
}

fn ratio(used: u32, declared: u32) -> f64 {
    f64::from(used) / f64::from(declared.max(1))
}

fn scale(declared: u32, ratio: f64) -> u32 {
    // The cast saturates if the float is out of range.
    (f64::from(declared) * ratio).ceil() as u32
}
