//! The actual behavior of tasks in a trace: resource usage, run times and
//! interference, either stated by the trace or derived from recorded reports.

use super::{ClassModel, Event, ServiceModel, TimedEvent};
use crate::{
    learn::interference::{InterferenceModel, Neighbor},
    messages::{AttemptEnd, Report},
    policy::LatencyTarget,
};
use cyclamenloft_types::{JobClass, JobId, JobSpec, Priority, TaskKey, WorkerId};
use std::collections::BTreeMap;

const HOUR_MS: u64 = 60 * 60 * 1000;
const DAY_MS: u64 = 24 * HOUR_MS;
/// The latency target assumed for a recorded service if the trace states none.
const DEFAULT_P99_US: u64 = 100_000;

/// The actual behavior of the tasks in a trace.
#[derive(Debug, Default)]
pub(super) struct Workload {
    classes: BTreeMap<JobClass, ClassModel>,
    pairs: BTreeMap<JobClass, BTreeMap<JobClass, f64>>,
    start_unix_ms: u64,
    seed: u64,
}

impl Workload {
    pub(super) fn new(entries: &[TimedEvent]) -> Self {
        let mut workload = Self::default();
        let mut jobs = BTreeMap::new();
        for entry in entries {
            match &entry.event {
                Event::Start { unix_ms, seed, .. } => {
                    (workload.start_unix_ms, workload.seed) = (*unix_ms, *seed);
                }
                Event::Class(class) => {
                    workload.classes.insert(class.class.clone(), class.clone());
                }
                Event::Pair { victim, aggressor, weight } => {
                    let pairs = workload.pairs.entry(victim.clone()).or_default();
                    pairs.insert(aggressor.clone(), *weight);
                }
                Event::Submit { spec, .. } => {
                    jobs.insert(spec.id.clone(), spec.clone());
                }
                _ => {}
            }
        }
        ReportAnalysis::new(&jobs, &workload.classes).complete(entries, &mut workload);
        workload
    }

    pub(super) fn class(&self, class: &str) -> Option<&ClassModel> {
        self.classes.get(class)
    }

    pub(super) fn latency_targets(&self) -> Vec<LatencyTarget> {
        let target = |c: &ClassModel| {
            let p99_us = c.service.as_ref()?.p99_us;
            Some(LatencyTarget { class: c.class.clone(), p99_us })
        };
        self.classes.values().filter_map(target).collect()
    }

    /// Returns the load of a service at a time of the trace, where 1 is the load
    /// that its replicas are sized for.
    pub(super) fn load(&self, service: &ServiceModel, at: u64) -> f64 {
        let hours = service.load_percent.len();
        if hours == 0 {
            return 0.0;
        }
        let unix = self.start_unix_ms + at;
        let first_day = self.start_unix_ms / DAY_MS;
        let shift = service.drift_minutes * (unix / DAY_MS - first_day) as f64 / 60.0;
        let hour = (unix % DAY_MS) as f64 / HOUR_MS as f64 - shift;
        let hour = hour.rem_euclid(24.0) / 24.0 * hours as f64;
        let (index, fraction) = (hour as usize % hours, hour.fract());
        let [a, b] = [index, (index + 1) % hours].map(|h| f64::from(service.load_percent[h]));
        (a + (b - a) * fraction) / 100.0
    }

    /// Returns the tail latency of a service, relative to its target.
    pub(super) fn latency(
        &self,
        class: &str,
        service: &ServiceModel,
        load: f64,
        neighbors: &BTreeMap<JobClass, f64>,
    ) -> f64 {
        let alone = service.idle + (service.busy - service.idle) * load * load;
        let pairs = self.pairs.get(class);
        let weight = |other: &JobClass| pairs.and_then(|p| p.get(other)).copied().unwrap_or(0.0);
        let added: f64 = neighbors.iter().map(|(other, share)| weight(other) * share).sum();
        alone + added * (0.2 + 0.8 * load)
    }

    /// Returns a pseudo-random number in `0.0..1.0` that depends only on the
    /// arguments and the seed of the trace.
    pub(super) fn uniform(&self, task: &TaskKey, salt: u64) -> f64 {
        let name = xxhash_rust::xxh3::xxh3_64_with_seed(task.job.as_bytes(), self.seed);
        let mixed = [name, u64::from(task.index), salt].map(u64::to_le_bytes).concat();
        (xxhash_rust::xxh3::xxh3_64_with_seed(&mixed, self.seed) >> 40) as f64 / (1u64 << 24) as f64
    }
}

/// Sums over the recorded reports of one class.
#[derive(Default)]
struct ClassSums {
    report_count: f64,
    cpu_ratio: f64,
    memory_ratio: f64,
    run_count: f64,
    run_ratio: f64,
    /// Sum and number of the loads in each hour of the day.
    hourly_loads: BTreeMap<u64, (f64, f64)>,
    checkpoints: bool,
}

/// Derives models from recorded reports, for classes that the trace doesn't state.
struct ReportAnalysis<'a> {
    jobs: &'a BTreeMap<JobId, JobSpec>,
    stated: BTreeMap<JobClass, ClassModel>,
    sums: BTreeMap<JobClass, ClassSums>,
    started: BTreeMap<(TaskKey, u32), u64>,
    capacity: BTreeMap<WorkerId, f64>,
    model: InterferenceModel,
    start_unix_ms: u64,
}

impl<'a> ReportAnalysis<'a> {
    fn new(jobs: &'a BTreeMap<JobId, JobSpec>, stated: &BTreeMap<JobClass, ClassModel>) -> Self {
        Self {
            jobs,
            stated: stated.clone(),
            sums: BTreeMap::new(),
            started: BTreeMap::new(),
            capacity: BTreeMap::new(),
            model: InterferenceModel::default(),
            start_unix_ms: 0,
        }
    }

    fn complete(mut self, entries: &[TimedEvent], workload: &mut Workload) {
        self.start_unix_ms = workload.start_unix_ms;
        for entry in entries {
            match &entry.event {
                Event::Announce(a) => {
                    let cpu = f64::from(a.capacity.cpu_millis.max(1));
                    self.capacity.insert(a.worker.clone(), cpu);
                }
                Event::Report(report) => self.add_report(entry.at, report),
                _ => {}
            }
        }
        let classes: Vec<&JobClass> = self.sums.keys().collect();
        for victim in &classes {
            for aggressor in &classes {
                let full_share = Neighbor { class: (*aggressor).clone(), cpu_share: 1.0 };
                if !self.model.is_unknown(victim, aggressor) {
                    let weight = self.model.effect(victim, 1.0, &full_share);
                    let pairs = workload.pairs.entry((*victim).clone()).or_default();
                    pairs.entry((*aggressor).clone()).or_insert(weight);
                }
            }
        }
        for (class, sums) in &self.sums {
            if !self.stated.contains_key(class) {
                workload.classes.insert(class.clone(), self.class_model(class, sums));
            }
        }
    }

    fn add_report(&mut self, at: u64, report: &Report) {
        let capacity = self.capacity.get(&report.worker).copied().unwrap_or(1.0);
        let mut shares: BTreeMap<&JobClass, f64> = BTreeMap::new();
        for task in &report.running {
            let Some(spec) = self.jobs.get(&task.task.job) else {
                continue;
            };
            *shares.entry(&spec.class).or_default() += f64::from(task.usage.cpu_millis) / capacity;
        }
        for task in &report.running {
            let Some(spec) = self.jobs.get(&task.task.job) else {
                continue;
            };
            self.started.entry((task.task.clone(), task.attempt)).or_insert(at);
            let sums = self.sums.entry(spec.class.clone()).or_default();
            sums.report_count += 1.0;
            sums.cpu_ratio +=
                f64::from(task.usage.cpu_millis) / f64::from(spec.resources.cpu_millis);
            sums.memory_ratio +=
                f64::from(task.usage.memory_mib) / f64::from(spec.resources.memory_mib.max(1));
            let load = f64::from(task.load_percent.unwrap_or(100)) / 100.0;
            if spec.priority == Priority::Service {
                let hour = (self.start_unix_ms + at) % DAY_MS / HOUR_MS;
                let entry = sums.hourly_loads.entry(hour).or_default();
                *entry = (entry.0 + load, entry.1 + 1.0);
            }
            if let Some(p99) = task.p99_us {
                let stated = self.stated.get(&spec.class).and_then(|c| c.service.as_ref());
                let target = stated.map_or(DEFAULT_P99_US, |s| s.p99_us);
                let others = shares.iter().filter(|(class, _)| ***class != spec.class);
                let neighbors: Vec<Neighbor> = others
                    .map(|(class, share)| Neighbor { class: (*class).clone(), cpu_share: *share })
                    .collect();
                self.model.observe(&spec.class, load, p99 as f64 / target as f64, &neighbors);
            }
        }
        for ended in &report.ended {
            let Some(spec) = self.jobs.get(&ended.task.job) else {
                continue;
            };
            let started = self.started.remove(&(ended.task.clone(), ended.attempt));
            let sums = self.sums.entry(spec.class.clone()).or_default();
            match (&ended.end, started) {
                (AttemptEnd::Finished, Some(started)) if spec.run_time_ms > 0 => {
                    sums.run_count += 1.0;
                    sums.run_ratio += (at - started) as f64 / spec.run_time_ms as f64;
                }
                (AttemptEnd::Evicted { checkpoint: Some(_) }, _) => sums.checkpoints = true,
                _ => {}
            }
        }
    }

    fn class_model(&self, class: &JobClass, sums: &ClassSums) -> ClassModel {
        let mean = |sum: f64, count: f64| if count > 0.0 { sum / count } else { 1.0 };
        let load = |hour: u64| sums.hourly_loads.get(&hour).map_or(0.0, |(sum, n)| sum / n * 100.0);
        let service = (!sums.hourly_loads.is_empty()).then(|| ServiceModel {
            p99_us: DEFAULT_P99_US,
            idle: self.model.predict(class, 0.0, &[]),
            busy: self.model.predict(class, 1.0, &[]),
            load_percent: (0..24).map(|hour| load(hour) as u16).collect(),
            drift_minutes: 0.0,
        });
        ClassModel {
            class: class.clone(),
            cpu_ratio: mean(sums.cpu_ratio, sums.report_count),
            memory_ratio: mean(sums.memory_ratio, sums.report_count),
            run_ratio: mean(sums.run_ratio, sums.run_count),
            checkpoints: sums.checkpoints,
            service,
        }
    }
}
