//! What is learned from reports, and the relief of services that suffer.

use crate::common::*;
use cyclamenloft_placement::{
    Command, LatencyTarget, MitigationPolicy, Order, PlacementPolicy, RunningTask,
    learn::{
        interference::{InterferenceModel, Neighbour},
        profile::LoadProfiles,
    },
    scheduler::HoldReason,
};
use cyclamenloft_types::{JobSpec, Priority, Resources};
use proptest::{prelude::*, test_runner::RngSeed};
use std::time::Duration;

fn neighbour(class: &str, cpu_share: f64) -> Neighbour {
    Neighbour { class: class.into(), cpu_share }
}

/// A stream of pseudo-random numbers from 0 to 1.
fn noise(seed: u64) -> impl FnMut() -> f64 {
    let mut state = seed;
    move || {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 40) as f64 / (1u64 << 24) as f64
    }
}

#[test]
fn a_harmful_pair_is_told_from_a_harmless_one_in_noise() {
    let mut model = InterferenceModel::default();
    let victim = "service".into();
    let mut random = noise(7);
    for _ in 0..600 {
        let load = 0.4 + 0.6 * random();
        let (noisy, quiet) = (0.4 * random(), 0.4 * random());
        let truth = 0.4 + 1.2 * noisy * (0.25 + load);
        let measured = truth * (0.85 + 0.3 * random());
        let around = [neighbour("noisy", noisy), neighbour("quiet", quiet)];
        model.observe(&victim, load, measured, &around);
    }
    let noisy = model.effect("service", 1.0, &neighbour("noisy", 0.3));
    let quiet = model.effect("service", 1.0, &neighbour("quiet", 0.3));
    assert!((0.25..0.75).contains(&noisy), "noisy {noisy}, truth 0.45");
    assert!(quiet < 0.1, "quiet {quiet}, truth 0");
    let busy = model.effect("service", 1.0, &neighbour("noisy", 0.3));
    let idle = model.effect("service", 0.2, &neighbour("noisy", 0.3));
    assert!(idle < busy / 2.0);
}

#[test]
fn an_unknown_pair_is_guessed_until_it_is_known() {
    let mut model = InterferenceModel::default();
    let own = neighbour("batch", 0.2);
    let guessed = model.effect("service", 1.0, &own);
    assert!(guessed > 0.1 && model.is_unknown("service", "batch"));
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
    let around = [neighbour("batch", 0.3)];
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
    fn predictions_stay_finite_and_grow_with_neighbours(
        reports in proptest::collection::vec((0.0..3.0f64, 0.0..1e6f64, 0.0..1.0f64, 0..3u8), 0..200)
    ) {
        let mut model = InterferenceModel::default();
        for (load, latency, share, class) in reports {
            let around = [neighbour(&format!("c{class}"), share)];
            model.observe(&"service".into(), load, latency, &around);
        }
        for class in ["c0", "c1", "new"] {
            let alone = model.predict("service", 1.0, &[]);
            let beside = model.predict("service", 1.0, &[neighbour(class, 0.5)]);
            prop_assert!(alone.is_finite() && beside.is_finite() && beside >= alone);
        }
    }
}

const DAY: Duration = Duration::from_secs(86_400);

/// Load of a day whose peak lies at `peak` hours.
fn evening(hour: f64, peak: f64) -> f64 {
    let distance = (hour - peak).abs();
    0.3 + 0.7 * (1.0 - distance / 3.0).max(0.0)
}

fn feed(profiles: &mut LoadProfiles, day: u32, peak: f64) {
    for minute in (0..1440).step_by(5) {
        let hour = f64::from(minute) / 60.0;
        let at = DAY * day + Duration::from_secs(u64::from(minute as u32) * 60);
        profiles.observe(&"service".into(), evening(hour, peak), at);
    }
}

#[test]
fn the_profile_tells_the_peak_ahead_and_the_night() {
    let mut profiles = LoadProfiles::default();
    for day in 0..4 {
        feed(&mut profiles, day, 19.0);
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
                feed(&mut profiles, day, peak(day));
            }
            let next = DAY * 12;
            profiles.observe(&"service".into(), 0.3, next);
            let drift = profiles.drift_minutes("service");
            assert!($minutes.contains(&drift), "{drift} minutes a day");
            // The time of today's peak, which no day before has reached.
            let at = |hour: f64| next + Duration::from_secs_f64(hour * 3600.0);
            let moment = Duration::from_secs(60);
            let late = profiles.peak_load("service", at(peak(12) + 0.25), moment).unwrap();
            let early = profiles.peak_load("service", at(peak(12) - 2.0), moment).unwrap();
            assert!(late > 0.85 && early < 0.75, "late {late}, early {early}");
        }
    };
}

drift!(the_profile_follows_a_peak_that_creeps_later, 0.25, 10.0..20.0);
drift!(the_profile_follows_a_peak_that_moves_fast, 0.75, 38.0..52.0);
drift!(the_profile_follows_a_peak_that_creeps_earlier, -0.25, -20.0..-10.0);

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

/// A worker with one replica and two batch tasks, of which one is harmful.
struct Host {
    group: Group,
    sequence: u64,
    noisy_percent: u32,
    quiet_throttled: bool,
}

impl Host {
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
        RunningTask { usage: Resources::new(cpu, 512, 0), ..running(job, 0, attempt) }
    }

    /// Lets one period pass with the tail latency that `latency` gives for the
    /// processor share left to the noisy task. Returns the commands.
    fn period(&mut self, latency: impl Fn(u32) -> u64) -> Vec<Command> {
        self.group.pass(2000);
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
        let mut report = full("w0", 1, self.sequence, list);
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
                    report.ended.push(ended(&task.job, task.index, attempt, end));
                }
                _ => {}
            }
        }
        self.group.report(&report).unwrap();
        self.group.tick()
    }

    fn teach(&mut self) {
        for round in 0..60u64 {
            self.noisy_percent = if round % 4 < 2 { 20 } else { 60 };
            self.period(|noisy| 40_000 + u64::from(noisy) * 500);
        }
        self.noisy_percent = 100;
    }
}

#[test]
fn the_likeliest_aggressor_is_throttled_and_the_throttle_lifted_when_calm() {
    let mut host = Host::new(target_policy());
    assert!(host.runs("noisy") && host.runs("quiet"));
    host.teach();
    let suffering = |noisy: u32| 40_000 + u64::from(noisy) * 800;
    let mut evictions = 0;
    for _ in 0..10 {
        evictions += host.period(suffering).len();
    }
    assert!(host.noisy_percent < 100);
    assert_eq!(evictions, 0, "a throttle is enough");
    assert!(!host.quiet_throttled);
    let status = host.group.scheduler.status(&host.group.state, host.group.now);
    assert_eq!(status.workers[0].throttled.len(), 1);
    for _ in 0..60 {
        host.period(|_| 40_000);
    }
    assert_eq!(host.noisy_percent, 100);
}

#[test]
fn a_throttle_that_is_lifted_too_early_is_held_longer() {
    let mut host = Host::new(target_policy());
    host.teach();
    let suffering = |noisy: u32| if noisy > 50 { 120_000 } else { 50_000 };
    let mut changes = 0;
    let mut last = host.noisy_percent;
    for _ in 0..900 {
        host.period(suffering);
        changes += u32::from(host.noisy_percent != last);
        last = host.noisy_percent;
    }
    assert!(!host.quiet_throttled);
    // Half an hour without hysteresis would be a change every few reports.
    assert!((2..24).contains(&changes), "{changes} changes of the throttle");
}

#[test]
fn eviction_follows_where_throttling_does_not_help() {
    let mut host = Host::new(target_policy());
    host.teach();
    let mut evicted = Vec::new();
    for _ in 0..30 {
        for command in host.period(|noisy| if noisy > 0 { 150_000 } else { 40_000 }) {
            if let Command::Evict(tasks) = command {
                evicted.extend(tasks.into_iter().map(|(task, _)| task.job));
            }
        }
    }
    assert_eq!(evicted, ["noisy".into()]);
    assert!(!host.quiet_throttled);
    assert_eq!(host.noisy_percent, 25);
}

macro_rules! evictions {
    ($name:ident, $policy:expr, $expected:pat) => {
        #[test]
        fn $name() {
            let mut host = Host::new(PlacementPolicy { ..$policy });
            host.teach();
            let mut count = 0;
            for _ in 0..30 {
                let commands = host.period(|_| 150_000);
                count += commands.iter().filter(|c| matches!(c, Command::Evict(_))).count();
            }
            assert!(matches!(count, $expected), "{count} evictions");
        }
    };
}

evictions!(
    no_eviction_beyond_the_hours_budget,
    PlacementPolicy { evictions_per_hour: 0, ..target_policy() },
    0
);
evictions!(
    no_relief_where_it_is_off,
    PlacementPolicy { mitigation: MitigationPolicy::Off, ..target_policy() },
    0
);
evictions!(
    the_baseline_evicts_at_once,
    PlacementPolicy { mitigation: MitigationPolicy::EvictOnly, ..target_policy() },
    2..
);

#[test]
fn a_task_known_to_harm_is_not_placed_beside_the_service() {
    let mut host = Host::new(target_policy());
    host.teach();
    for _ in 0..60 {
        host.period(|noisy| if noisy > 0 { 150_000 } else { 40_000 });
    }
    assert!(!host.runs("noisy"));
    let held = host.group.scheduler.hold_reason(&host.group.state, "noisy");
    assert_eq!(held, Some(HoldReason::Harmful));
    host.group.announce("w1", 1, cores(8));
    // Harmful places are looked for again after a pause.
    host.group.pass(5000);
    host.group.tick();
    assert!(host.group.state.worker("w1").unwrap().tasks.contains(&key("noisy", 0)));
}

#[test]
fn an_evicted_class_is_tried_again_ever_more_rarely() {
    let mut host = Host::new(target_policy());
    host.teach();
    let mut placed = 0;
    // Three hours: after 15 minutes, then 30, then 60 at the earliest.
    for _ in 0..5400 {
        let commands = host.period(|noisy| if noisy > 0 { 150_000 } else { 40_000 });
        placed += commands.iter().filter(|c| matches!(c, Command::Place(_))).count();
    }
    assert!((1..=3).contains(&placed), "placed {placed} times");
}

#[test]
fn what_a_class_is_known_to_do_keeps_the_next_of_it_away() {
    let mut host =
        Host::new(PlacementPolicy { mitigation: MitigationPolicy::Off, ..target_policy() });
    for round in 0..60u64 {
        host.noisy_percent = if round % 4 < 2 { 20 } else { 100 };
        host.period(|noisy| 40_000 + u64::from(noisy) * 400);
    }
    host.group.submit(batch("calm", "quiet", 1)).unwrap();
    host.group.submit(batch("noisy-too", "noisy", 1)).unwrap();
    host.period(|noisy| 40_000 + u64::from(noisy) * 400);
    let state = &host.group.state;
    assert!(state.worker("w0").unwrap().tasks.contains(&key("calm", 0)));
    assert_eq!(host.group.scheduler.hold_reason(state, "noisy-too"), Some(HoldReason::Harmful));
}
