//! Tests of the models learned from reports, and of the mitigation of
//! interference with services.

use crate::common::*;
use cyclamenloft_placement::{
    Command, LatencyTarget, MitigationPolicy, Order, PlacementPolicy, RunningTask,
    learn::{
        interference::{InterferenceModel, Neighbor},
        profile::LoadProfiles,
    },
    scheduler::HoldReason,
};
use cyclamenloft_types::{JobSpec, Priority, Resources};
use proptest::{prelude::*, test_runner::RngSeed};
use std::time::Duration;

fn neighbor(class: &str, cpu_share: f64) -> Neighbor {
    Neighbor { class: class.into(), cpu_share }
}

/// Returns a generator of pseudo-random numbers from 0 to 1.
fn noise(seed: u64) -> impl FnMut() -> f64 {
    let mut state = seed;
    move || {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 40) as f64 / (1u64 << 24) as f64
    }
}

#[test]
fn a_harmful_pair_is_told_from_a_harmless_one_despite_noise() {
    let mut model = InterferenceModel::default();
    let victim = "service".into();
    let mut random = noise(7);
    for _ in 0..600 {
        let load = 0.4 + 0.6 * random();
        let (noisy, quiet) = (0.4 * random(), 0.4 * random());
        let truth = 0.4 + 1.2 * noisy * (0.25 + load);
        let measured = truth * (0.85 + 0.3 * random());
        let around = [neighbor("noisy", noisy), neighbor("quiet", quiet)];
        model.observe(&victim, load, measured, &around);
    }
    let noisy = model.effect("service", 1.0, &neighbor("noisy", 0.3));
    let quiet = model.effect("service", 1.0, &neighbor("quiet", 0.3));
    assert!((0.25..0.75).contains(&noisy), "noisy {noisy}, truth 0.45");
    assert!(quiet < 0.1, "quiet {quiet}, truth 0");
    let busy = model.effect("service", 1.0, &neighbor("noisy", 0.3));
    let idle = model.effect("service", 0.2, &neighbor("noisy", 0.3));
    assert!(idle < busy / 2.0);
}

#[test]
fn an_unknown_pair_has_a_default_effect_until_it_is_observed() {
    let mut model = InterferenceModel::default();
    let own = neighbor("batch", 0.2);
    let initial = model.effect("service", 1.0, &own);
    assert!(initial > 0.1 && model.is_unknown("service", "batch"));
    for _ in 0..40 {
        model.observe(&"service".into(), 1.0, 0.4, std::slice::from_ref(&own));
        model.observe(&"service".into(), 1.0, 0.4, &[]);
    }
    assert!(model.effect("service", 1.0, &own) < 0.03);
    assert!(!model.is_unknown("service", "batch"));
}

#[test]
fn a_pair_that_has_become_harmful_is_learned_anew() {
    let mut model = InterferenceModel::default();
    let around = [neighbor("batch", 0.3)];
    for _ in 0..300 {
        model.observe(&"service".into(), 1.0, 0.4, &around);
    }
    for _ in 0..300 {
        model.observe(&"service".into(), 1.0, 0.9, &around);
        model.observe(&"service".into(), 1.0, 0.4, &[]);
    }
    assert!(model.predict("service", 1.0, &around) > 0.7);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: RngSeed::Fixed(42), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn predictions_stay_finite_and_grow_with_neighbors(
        reports in proptest::collection::vec((0.0..3.0f64, 0.0..1e6f64, 0.0..1.0f64, 0..3u8), 0..200)
    ) {
        let mut model = InterferenceModel::default();
        for (load, latency, share, class) in reports {
            let around = [neighbor(&format!("c{class}"), share)];
            model.observe(&"service".into(), load, latency, &around);
        }
        for class in ["c0", "c1", "new"] {
            let alone = model.predict("service", 1.0, &[]);
            let beside = model.predict("service", 1.0, &[neighbor(class, 0.5)]);
            prop_assert!(alone.is_finite() && beside.is_finite() && beside >= alone);
        }
    }
}

const DAY: Duration = Duration::from_secs(86_400);

/// Returns the load at `hour` of a day whose peak lies at `peak`.
fn daily_load(hour: f64, peak: f64) -> f64 {
    let distance = (hour - peak).abs();
    0.3 + 0.7 * (1.0 - distance / 3.0).max(0.0)
}

/// Records one day of loads, a value every five minutes.
fn observe_day(profiles: &mut LoadProfiles, day: u32, peak: f64) {
    for minute in (0..1440).step_by(5) {
        let hour = f64::from(minute) / 60.0;
        let at = DAY * day + Duration::from_secs(u64::from(minute as u32) * 60);
        profiles.observe(&"service".into(), daily_load(hour, peak), at);
    }
}

#[test]
fn the_profile_predicts_the_evening_peak_and_the_night() {
    let mut profiles = LoadProfiles::default();
    for day in 0..4 {
        observe_day(&mut profiles, day, 19.0);
    }
    let at = |hour: u64| DAY * 4 + Duration::from_secs(hour * 3600);
    profiles.observe(&"service".into(), 0.3, at(0));
    let hours = |h: u64| Duration::from_secs(h * 3600);
    let largest =
        |hour: u64, span: u64| profiles.peak_load("service", at(hour), hours(span)).unwrap();
    assert!(largest(16, 4) > 0.9);
    assert!(largest(1, 4) < 0.35);
    assert_eq!(profiles.peak_load("other", at(1), hours(1)), None);
}

macro_rules! drift {
    ($name:ident, $hours_a_day:expr, $minutes:expr) => {
        #[test]
        fn $name() {
            let mut profiles = LoadProfiles::default();
            let peak = |day: u32| 12.0 + $hours_a_day * f64::from(day);
            for day in 0..12 {
                observe_day(&mut profiles, day, peak(day));
            }
            let next = DAY * 12;
            profiles.observe(&"service".into(), 0.3, next);
            let drift = profiles.drift_minutes("service");
            assert!($minutes.contains(&drift), "drift of {drift} minutes per day");
            // The peak of the next day lies at a time that no earlier day reached.
            let at = |hour: f64| next + Duration::from_secs_f64(hour * 3600.0);
            let moment = Duration::from_secs(60);
            let late = profiles.peak_load("service", at(peak(12) + 0.25), moment).unwrap();
            let early = profiles.peak_load("service", at(peak(12) - 2.0), moment).unwrap();
            assert!(late > 0.85 && early < 0.75, "late {late}, early {early}");
        }
    };
}

drift!(the_profile_follows_a_peak_that_drifts_later, 0.25, 10.0..20.0);
drift!(the_profile_follows_a_peak_that_drifts_fast, 0.75, 38.0..52.0);
drift!(the_profile_follows_a_peak_that_drifts_earlier, -0.25, -20.0..-10.0);

fn target_policy() -> PlacementPolicy {
    PlacementPolicy {
        latency_targets: vec![LatencyTarget { class: "service".into(), p99_us: 100_000 }],
        ..PlacementPolicy::default()
    }
}

fn service(id: &str, replicas: u32) -> JobSpec {
    let mut spec = job(id, replicas, 2);
    spec.priority = Priority::Service;
    spec.class = "service".into();
    spec.run_time_ms = 0;
    spec
}

fn batch(id: &str, class: &str, tasks: u32) -> JobSpec {
    let mut spec = job(id, tasks, 1);
    spec.class = class.into();
    spec
}

/// A worker with one replica and two batch tasks, of which one slows the replica.
struct SharedWorker {
    group: Group,
    sequence: u64,
    /// CPU limit of the noisy task, in percent.
    noisy_percent: u32,
    quiet_throttled: bool,
}

impl SharedWorker {
    fn new(policy: PlacementPolicy) -> Self {
        let mut group = Group::new(policy);
        group.announce("w0", 1, cores(8));
        group.submit(service("s", 1)).unwrap();
        group.submit(batch("noisy", "noisy", 1)).unwrap();
        group.submit(batch("quiet", "quiet", 1)).unwrap();
        group.tick();
        Self { group, sequence: 0, noisy_percent: 100, quiet_throttled: false }
    }

    fn runs(&self, job: &str) -> bool {
        self.group.state.worker("w0").unwrap().tasks.contains(&key(job, 0))
    }

    fn task(&self, job: &str, cpu: u32) -> RunningTask {
        let attempt = self.group.state.task(&key(job, 0)).unwrap().attempt;
        RunningTask { usage: Resources::new(cpu, 512, 0), ..running_task(job, 0, attempt) }
    }

    /// Simulates one report period. `latency` gives the tail latency in microseconds
    /// for the CPU share left to the noisy task, in percent. Returns the commands.
    fn period(&mut self, latency: impl Fn(u32) -> u64) -> Vec<Command> {
        self.group.advance(2000);
        self.sequence += 1;
        let noisy = if self.runs("noisy") { self.noisy_percent } else { 0 };
        let mut replica = self.task("s", 1500);
        replica.p99_us = Some(latency(noisy));
        replica.load_percent = Some(90);
        let mut list = vec![replica];
        for (job, cpu) in [("noisy", 20 * noisy), ("quiet", 2000)] {
            if self.runs(job) {
                list.push(self.task(job, cpu));
            }
        }
        let mut report = full_report("w0", 1, self.sequence, list);
        for order in self.group.take_orders("w0", 1) {
            match order {
                Order::Throttle { task, .. } if *task.job == *"quiet" => {
                    self.quiet_throttled = true;
                }
                Order::Throttle { cpu_percent, .. } => {
                    self.noisy_percent = u32::from(cpu_percent);
                }
                Order::Start { task, .. } if *task.job == *"noisy" => self.noisy_percent = 100,
                Order::Evict { task, attempt } => {
                    let end = cyclamenloft_placement::AttemptEnd::Evicted {
                        checkpoint: Some("c".into()),
                    };
                    report.running.retain(|r| r.task != task);
                    report.ended.push(ended_task(&task.job, task.index, attempt, end));
                }
                _ => {}
            }
        }
        self.group.report(&report).unwrap();
        self.group.tick()
    }

    /// Varies the noisy task's CPU share until its effect is learned.
    fn train(&mut self) {
        for round in 0..60u64 {
            self.noisy_percent = if round % 4 < 2 { 20 } else { 60 };
            self.period(|noisy| 40_000 + u64::from(noisy) * 500);
        }
        self.noisy_percent = 100;
    }
}

#[test]
fn the_most_likely_aggressor_is_throttled_until_the_service_is_healthy() {
    let mut worker = SharedWorker::new(target_policy());
    assert!(worker.runs("noisy") && worker.runs("quiet"));
    worker.train();
    let latency_us = |noisy: u32| 40_000 + u64::from(noisy) * 800;
    let mut evictions = 0;
    for _ in 0..10 {
        evictions += worker.period(latency_us).len();
    }
    assert!(worker.noisy_percent < 100);
    assert_eq!(evictions, 0, "a task was evicted although throttling helps");
    assert!(!worker.quiet_throttled);
    let status = worker.group.scheduler.status(&worker.group.state, worker.group.now);
    assert_eq!(status.workers[0].throttled.len(), 1);
    for _ in 0..60 {
        worker.period(|_| 40_000);
    }
    assert_eq!(worker.noisy_percent, 100);
}

/// Guards against a throttle that flaps: the latency is over target without it and
/// healthy with it.
#[test]
fn a_throttle_that_is_lifted_too_early_is_held_longer() {
    let mut worker = SharedWorker::new(target_policy());
    worker.train();
    let latency_us = |noisy: u32| if noisy > 50 { 120_000 } else { 50_000 };
    let mut changes = 0;
    let mut last = worker.noisy_percent;
    for _ in 0..900 {
        worker.period(latency_us);
        changes += u32::from(worker.noisy_percent != last);
        last = worker.noisy_percent;
    }
    assert!(!worker.quiet_throttled);
    // The reports cover half an hour. Without hysteresis the throttle would change
    // every few reports.
    assert!((2..24).contains(&changes), "the throttle changed {changes} times");
}

#[test]
fn a_task_is_evicted_if_throttling_does_not_help() {
    let mut worker = SharedWorker::new(target_policy());
    worker.train();
    let mut evicted = Vec::new();
    for _ in 0..30 {
        for command in worker.period(|noisy| if noisy > 0 { 150_000 } else { 40_000 }) {
            if let Command::Evict(tasks) = command {
                evicted.extend(tasks.into_iter().map(|(task, _)| task.job));
            }
        }
    }
    assert_eq!(evicted, ["noisy".into()]);
    assert!(!worker.quiet_throttled);
    assert_eq!(worker.noisy_percent, 25);
}

macro_rules! evictions {
    ($name:ident, $policy:expr, $expected:pat) => {
        #[test]
        fn $name() {
            let mut worker = SharedWorker::new(PlacementPolicy { ..$policy });
            worker.train();
            let mut count = 0;
            for _ in 0..30 {
                let commands = worker.period(|_| 150_000);
                count += commands.iter().filter(|c| matches!(c, Command::Evict(_))).count();
            }
            assert!(matches!(count, $expected), "{count} evictions");
        }
    };
}

evictions!(
    no_eviction_beyond_the_hourly_budget,
    PlacementPolicy { evictions_per_hour: 0, ..target_policy() },
    0
);
evictions!(
    no_mitigation_when_it_is_off,
    PlacementPolicy { mitigation: MitigationPolicy::Off, ..target_policy() },
    0
);
evictions!(
    the_baseline_evicts_at_once,
    PlacementPolicy { mitigation: MitigationPolicy::EvictOnly, ..target_policy() },
    2..
);

#[test]
fn an_evicted_task_is_not_placed_beside_the_service_again() {
    let mut worker = SharedWorker::new(target_policy());
    worker.train();
    for _ in 0..60 {
        worker.period(|noisy| if noisy > 0 { 150_000 } else { 40_000 });
    }
    assert!(!worker.runs("noisy"));
    let held = worker.group.scheduler.hold_reason(&worker.group.state, "noisy");
    assert_eq!(held, Some(HoldReason::Harmful));
    worker.group.announce("w1", 1, cores(8));
    // A group that is held back for harm is tried again after 5 s.
    worker.group.advance(5000);
    worker.group.tick();
    assert!(worker.group.state.worker("w1").unwrap().tasks.contains(&key("noisy", 0)));
}

#[test]
fn an_evicted_class_is_placed_again_at_growing_intervals() {
    let mut worker = SharedWorker::new(target_policy());
    worker.train();
    let mut placed = 0;
    // The reports cover three hours; the class is placed again after 15, then 30,
    // then 60 minutes at the earliest.
    for _ in 0..5400 {
        let commands = worker.period(|noisy| if noisy > 0 { 150_000 } else { 40_000 });
        placed += commands.iter().filter(|c| matches!(c, Command::Place(_))).count();
    }
    assert!((1..=3).contains(&placed), "the class was placed {placed} times");
}

#[test]
fn a_new_task_of_a_class_known_to_be_harmful_is_held_back() {
    let mut worker =
        SharedWorker::new(PlacementPolicy { mitigation: MitigationPolicy::Off, ..target_policy() });
    for round in 0..60u64 {
        worker.noisy_percent = if round % 4 < 2 { 20 } else { 100 };
        worker.period(|noisy| 40_000 + u64::from(noisy) * 400);
    }
    worker.group.submit(batch("calm", "quiet", 1)).unwrap();
    worker.group.submit(batch("noisy-too", "noisy", 1)).unwrap();
    worker.period(|noisy| 40_000 + u64::from(noisy) * 400);
    let state = &worker.group.state;
    assert!(state.worker("w0").unwrap().tasks.contains(&key("calm", 0)));
    assert_eq!(worker.group.scheduler.hold_reason(state, "noisy-too"), Some(HoldReason::Harmful));
}
