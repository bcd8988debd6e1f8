//! What a trace tells of reality: sizes, run times and pairs, either stated or
//! worked out from the recorded reports.

use super::{ClassFacts, Entry, Event, ServiceFacts};
use crate::{
    learn::interference::{InterferenceModel, Neighbour},
    messages::{AttemptEnd, Report},
    policy::LatencyTarget,
};
use cyclamenloft_types::{JobClass, JobId, JobSpec, Priority, TaskKey, WorkerId};
use std::collections::BTreeMap;

const HOUR_MS: u64 = 60 * 60 * 1000;
const DAY_MS: u64 = 24 * HOUR_MS;
/// Target assumed of a recorded service whose target the trace doesn't state.
const DEFAULT_P99_US: u64 = 100_000;

/// Reality as a trace has it.
#[derive(Debug, Default)]
pub(super) struct Facts {
    classes: BTreeMap<JobClass, ClassFacts>,
    pairs: BTreeMap<JobClass, BTreeMap<JobClass, f64>>,
    start_unix_ms: u64,
    seed: u64,
}

impl Facts {
    pub(super) fn new(entries: &[Entry]) -> Self {
        let mut facts = Self::default();
        let mut jobs = BTreeMap::new();
        for entry in entries {
            match &entry.event {
                Event::Start { unix_ms, seed, .. } => {
                    (facts.start_unix_ms, facts.seed) = (*unix_ms, *seed);
                }
                Event::Class(class) => {
                    facts.classes.insert(class.class.clone(), class.clone());
                }
                Event::Pair { victim, aggressor, weight } => {
                    let pairs = facts.pairs.entry(victim.clone()).or_default();
                    pairs.insert(aggressor.clone(), *weight);
                }
                Event::Submit { spec, .. } => {
                    jobs.insert(spec.id.clone(), spec.clone());
                }
                _ => {}
            }
        }
        Recorded::new(&jobs, &facts.classes).take(entries, &mut facts);
        facts
    }

    pub(super) fn class(&self, class: &str) -> Option<&ClassFacts> {
        self.classes.get(class)
    }

    pub(super) fn latency_targets(&self) -> Vec<LatencyTarget> {
        let target = |c: &ClassFacts| {
            let p99_us = c.service.as_ref()?.p99_us;
            Some(LatencyTarget { class: c.class.clone(), p99_us })
        };
        self.classes.values().filter_map(target).collect()
    }

    /// Load of a service at a time of the trace; 1 is what it is sized for.
    pub(super) fn load(&self, service: &ServiceFacts, at: u64) -> f64 {
        let hours = service.load_percent.len();
        if hours == 0 {
            return 0.0;
        }
        let unix = self.start_unix_ms + at;
        let first_day = self.start_unix_ms / DAY_MS;
        let shift = service.drift_minutes * (unix / DAY_MS - first_day) as f64 / 60.0;
        let hour = (unix % DAY_MS) as f64 / HOUR_MS as f64 - shift;
        let hour = hour.rem_euclid(24.0) / 24.0 * hours as f64;
        let (here, part) = (hour as usize % hours, hour.fract());
        let [a, b] = [here, (here + 1) % hours].map(|h| f64::from(service.load_percent[h]));
        (a + (b - a) * part) / 100.0
    }

    /// Tail latency of a service, relative to its target.
    pub(super) fn latency(
        &self,
        class: &str,
        service: &ServiceFacts,
        load: f64,
        around: &BTreeMap<JobClass, f64>,
    ) -> f64 {
        let alone = service.idle + (service.busy - service.idle) * load * load;
        let pairs = self.pairs.get(class);
        let weight = |other: &JobClass| pairs.and_then(|p| p.get(other)).copied().unwrap_or(0.0);
        let added: f64 = around.iter().map(|(other, share)| weight(other) * share).sum();
        alone + added * (0.2 + 0.8 * load)
    }

    /// A number from 0 to 1 that depends on nothing but its arguments.
    pub(super) fn chance(&self, what: &TaskKey, salt: u64) -> f64 {
        let name = xxhash_rust::xxh3::xxh3_64_with_seed(what.job.as_bytes(), self.seed);
        let mixed = [name, u64::from(what.index), salt].map(u64::to_le_bytes).concat();
        (xxhash_rust::xxh3::xxh3_64_with_seed(&mixed, self.seed) >> 40) as f64 / (1u64 << 24) as f64
    }
}

/// Sums over the recorded reports of one class.
#[derive(Default)]
struct Sums {
    reports: f64,
    cpu: f64,
    memory: f64,
    runs: f64,
    run: f64,
    loads: BTreeMap<u64, (f64, f64)>,
    checkpoints: bool,
}

/// What recorded reports tell of the classes that the trace states nothing of.
struct Recorded<'a> {
    jobs: &'a BTreeMap<JobId, JobSpec>,
    stated: BTreeMap<JobClass, ClassFacts>,
    sums: BTreeMap<JobClass, Sums>,
    started: BTreeMap<(TaskKey, u32), u64>,
    capacity: BTreeMap<WorkerId, f64>,
    model: InterferenceModel,
    start_unix_ms: u64,
}

impl<'a> Recorded<'a> {
    fn new(jobs: &'a BTreeMap<JobId, JobSpec>, stated: &BTreeMap<JobClass, ClassFacts>) -> Self {
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

    fn take(mut self, entries: &[Entry], facts: &mut Facts) {
        self.start_unix_ms = facts.start_unix_ms;
        for entry in entries {
            match &entry.event {
                Event::Announce(a) => {
                    let cpu = f64::from(a.capacity.cpu_millis.max(1));
                    self.capacity.insert(a.worker.clone(), cpu);
                }
                Event::Report(report) => self.report(entry.at, report),
                _ => {}
            }
        }
        let classes: Vec<&JobClass> = self.sums.keys().collect();
        for victim in &classes {
            for aggressor in &classes {
                let whole = Neighbour { class: (*aggressor).clone(), cpu_share: 1.0 };
                if !self.model.is_unknown(victim, aggressor) {
                    let weight = self.model.effect(victim, 1.0, &whole);
                    let pairs = facts.pairs.entry((*victim).clone()).or_default();
                    pairs.entry((*aggressor).clone()).or_insert(weight);
                }
            }
        }
        for (class, sums) in &self.sums {
            if !self.stated.contains_key(class) {
                facts.classes.insert(class.clone(), self.class(class, sums));
            }
        }
    }

    fn report(&mut self, at: u64, report: &Report) {
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
            sums.reports += 1.0;
            sums.cpu += f64::from(task.usage.cpu_millis) / f64::from(spec.resources.cpu_millis);
            sums.memory +=
                f64::from(task.usage.memory_mib) / f64::from(spec.resources.memory_mib.max(1));
            let load = f64::from(task.load_percent.unwrap_or(100)) / 100.0;
            if spec.priority == Priority::Service {
                let hour = (self.start_unix_ms + at) % DAY_MS / HOUR_MS;
                let slot = sums.loads.entry(hour).or_default();
                *slot = (slot.0 + load, slot.1 + 1.0);
            }
            if let Some(p99) = task.p99_us {
                let stated = self.stated.get(&spec.class).and_then(|c| c.service.as_ref());
                let target = stated.map_or(DEFAULT_P99_US, |s| s.p99_us);
                let others = shares.iter().filter(|(class, _)| ***class != spec.class);
                let around: Vec<Neighbour> = others
                    .map(|(class, share)| Neighbour { class: (*class).clone(), cpu_share: *share })
                    .collect();
                self.model.observe(&spec.class, load, p99 as f64 / target as f64, &around);
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
                    sums.runs += 1.0;
                    sums.run += (at - started) as f64 / spec.run_time_ms as f64;
                }
                (AttemptEnd::Evicted { checkpoint: Some(_) }, _) => sums.checkpoints = true,
                _ => {}
            }
        }
    }

    fn class(&self, class: &JobClass, sums: &Sums) -> ClassFacts {
        let mean = |sum: f64, count: f64| if count > 0.0 { sum / count } else { 1.0 };
        let load = |hour: u64| sums.loads.get(&hour).map_or(0.0, |(sum, n)| sum / n * 100.0);
        let service = (!sums.loads.is_empty()).then(|| ServiceFacts {
            p99_us: DEFAULT_P99_US,
            idle: self.model.predict(class, 0.0, &[]),
            busy: self.model.predict(class, 1.0, &[]),
            load_percent: (0..24).map(|hour| load(hour) as u16).collect(),
            drift_minutes: 0.0,
        });
        ClassFacts {
            class: class.clone(),
            cpu_ratio: mean(sums.cpu, sums.reports),
            memory_ratio: mean(sums.memory, sums.reports),
            run_ratio: mean(sums.run, sums.runs),
            checkpoints: sums.checkpoints,
            service,
        }
    }
}
