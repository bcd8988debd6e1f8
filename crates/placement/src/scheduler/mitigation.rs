//! Mitigation of interference with services that miss their latency target:
//! throttles the most likely aggressor, then evicts the cheapest one, and lifts
//! the throttles once the services are healthy again.

use super::{Scheduler, view::WorkerView};
use crate::{
    command::Command,
    learn::interference::Neighbor,
    messages::{Order, Report},
    policy::MitigationPolicy,
    state::{Job, PlacementState, WorkerState},
    time::Timestamp,
};
use cyclamenloft_types::{AttemptNumber, JobClass, Priority, TaskKey, TaskState, WorkerId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Consecutive reports over target after which a mitigation step is taken.
const MIN_REPORTS_OVER_TARGET: u32 = 2;
/// Tail latency, relative to the target, below which a service counts as healthy.
const HEALTHY_LATENCY: f64 = 0.7;
/// Consecutive healthy reports of each service before a throttle is lifted.
const MIN_HEALTHY_REPORTS: u32 = 5;
/// Added tail latency, relative to the target, below which a task is not
/// treated as a cause.
const MIN_EFFECT: f64 = 0.02;
/// A task whose effect is below this fraction of the largest effect of any task
/// is not treated as a cause.
const MIN_EFFECT_RATIO: f64 = 0.3;
/// CPU limits that a throttled task is stepped through, in percent of its
/// reservation. 100 means unthrottled.
const CPU_PERCENT_STEPS: [u8; 3] = [100, 50, 25];
/// Initial minimum time for which a throttle is kept; it doubles each time a
/// throttle turns out to have been lifted too early.
const FIRST_THROTTLE_HOLD: Duration = Duration::from_secs(20);
/// Upper bound of the minimum time for which a throttle is kept.
const MAX_THROTTLE_HOLD: Duration = Duration::from_secs(10 * 60);

/// Initial time for which a class is not placed on a worker it was evicted from;
/// it doubles with each further eviction.
const FIRST_AVOIDANCE: Duration = Duration::from_secs(15 * 60);
/// Longest time for which a class is not placed on a worker it was evicted from.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4 * 60 * 60);

#[derive(Debug)]
struct Avoidance {
    until: Instant,
    span: Duration,
}

/// Classes that were evicted from a worker to protect a service, and are not
/// placed on that worker for some time.
#[derive(Debug, Default)]
pub(super) struct AvoidedClasses(BTreeMap<(WorkerId, JobClass), Avoidance>);

impl AvoidedClasses {
    fn insert(&mut self, worker: &WorkerId, class: &JobClass, now: Timestamp) {
        self.0.retain(|_, a| a.until + MAX_AVOIDANCE > now.instant);
        let key = (worker.clone(), class.clone());
        let span = self.0.get(&key).map_or(FIRST_AVOIDANCE, |a| (a.span * 2).min(MAX_AVOIDANCE));
        self.0.insert(key, Avoidance { until: now.instant + span, span });
    }

    /// Returns whether a class may not be placed on a worker at the moment.
    pub(super) fn contains(&self, worker: &WorkerId, class: &JobClass, now: Timestamp) -> bool {
        !self.0.is_empty()
            && self.0.get(&(worker.clone(), class.clone())).is_some_and(|a| a.until > now.instant)
    }
}

/// Latency and load of a replica according to its last reports.
#[derive(Debug, Default)]
pub(super) struct ServiceHealth {
    /// Last tail latency, relative to the target.
    latency: f64,
    /// Last load, relative to what the replica is sized for.
    load: f64,
    /// Consecutive reports with a tail latency above the target.
    reports_over_target: u32,
    /// Consecutive reports with a healthy tail latency.
    healthy_reports: u32,
}

/// An active throttle.
#[derive(Debug)]
pub(super) struct Throttle {
    pub(super) attempt: AttemptNumber,
    /// CPU limit in percent of the reservation.
    pub(super) percent: u8,
}

/// State of the mitigation on one worker.
#[derive(Debug)]
pub(super) struct MitigationState {
    /// Time before which no step is taken, so that the effect of the last one
    /// shows in the reports first.
    next_step_after: Option<Instant>,
    /// Time before which no throttle is lifted.
    lift_after: Option<Instant>,
    last_lift: Option<Instant>,
    throttle_hold: Duration,
}

impl Default for MitigationState {
    fn default() -> Self {
        Self {
            next_step_after: None,
            lift_after: None,
            last_lift: None,
            throttle_hold: FIRST_THROTTLE_HOLD,
        }
    }
}

/// A batch task that may cause the interference.
struct Suspect {
    task: TaskKey,
    class: JobClass,
    attempt: AttemptNumber,
    /// Tail latency that the task adds when not throttled, relative to the target.
    effect: f64,
    cpu_millis: u32,
}

/// Why a task is throttled.
struct Cause<'a> {
    service: &'a TaskKey,
    latency: f64,
    effect: f64,
}

impl Scheduler {
    /// Updates the health of a worker's services from a report.
    pub(super) fn track_services(
        &mut self,
        state: &PlacementState,
        report: &Report,
        now: Timestamp,
    ) {
        if self.policy.mitigation == MitigationPolicy::Off {
            return;
        }
        let min_reports_over_target = self.min_reports_over_target();
        let Some(view) = self.workers.get_mut(&report.worker) else {
            return;
        };
        let running = &view.running;
        view.service_health.retain(|key, _| running.contains_key(key));
        view.throttles
            .retain(|key, t| running.get(key).is_some_and(|r| r.last.attempt == t.attempt));
        for task in &report.running {
            let Some(job) = state.job(&task.task.job) else {
                continue;
            };
            let target = self.policy.latency_target(&job.spec.class);
            let Some((p99, target)) = task.p99_us.zip(target) else {
                continue;
            };
            let health = view.service_health.entry(task.task.clone()).or_default();
            health.latency = p99 as f64 / target as f64;
            health.load = task.load_percent.map_or(1.0, |p| f64::from(p) / 100.0);
            health.reports_over_target =
                if health.latency > 1.0 { health.reports_over_target + 1 } else { 0 };
            health.healthy_reports =
                if health.latency < HEALTHY_LATENCY { health.healthy_reports + 1 } else { 0 };
        }
        let settling = view.mitigation.next_step_after.is_some_and(|at| now.instant < at);
        let over_target =
            view.service_health.values().any(|h| h.reports_over_target >= min_reports_over_target);
        if !settling && (over_target || !view.throttles.is_empty()) {
            self.workers_to_mitigate.insert(report.worker.clone());
        }
    }

    fn min_reports_over_target(&self) -> u32 {
        if self.policy.mitigation == MitigationPolicy::EvictOnly {
            1
        } else {
            MIN_REPORTS_OVER_TARGET
        }
    }

    /// Takes the next mitigation step on each worker that needs one.
    pub(super) fn mitigate(&mut self, state: &PlacementState, now: Timestamp) -> Option<Command> {
        let mut evicted = Vec::new();
        for id in std::mem::take(&mut self.workers_to_mitigate) {
            let Some(worker) = state.worker(&id).filter(|w| w.alive) else {
                continue;
            };
            let Some(view) = self.workers.get(&id) else {
                continue;
            };
            let worst = view
                .service_health
                .iter()
                .filter(|(_, h)| h.reports_over_target >= self.min_reports_over_target())
                .max_by(|a, b| a.1.latency.total_cmp(&b.1.latency));
            match worst.map(|(key, health)| (key.clone(), health.latency, health.load)) {
                Some((service, latency, load)) => {
                    let job = state.job(&service.job);
                    let suspects = job
                        .map_or_else(Vec::new, |job| self.suspects(state, worker, view, job, load));
                    evicted.extend(self.take_step(state, worker, &service, latency, suspects, now));
                }
                None => self.raise_one_throttle(&id, now),
            }
        }
        if evicted.is_empty() { None } else { Some(Command::Evict(evicted)) }
    }

    /// Returns the batch tasks on the worker of a service, the most likely
    /// aggressor first.
    fn suspects(
        &self,
        state: &PlacementState,
        worker: &WorkerState,
        view: &WorkerView,
        service: &Job,
        load: f64,
    ) -> Vec<Suspect> {
        let capacity = f64::from(worker.record.capacity.cpu_millis.max(1));
        let suspect = |key: &TaskKey| {
            let job = state.job(&key.job).filter(|j| j.spec.priority == Priority::Batch)?;
            let running = view.running.get(key)?;
            let task = job.tasks.get(key.index as usize)?;
            let placed = matches!(task.state, TaskState::Placed { .. });
            if !placed || running.last.attempt != task.attempt || self.is_leaving(state, key) {
                return None;
            }
            let cpu_millis = running.last.usage.cpu_millis;
            let cpu_share = f64::from(cpu_millis) / capacity;
            let neighbor = Neighbor { class: job.spec.class.clone(), cpu_share };
            let model = &self.learned.interference;
            // A throttled task is judged by its effect without the throttle.
            let percent = view.throttles.get(key).map_or(CPU_PERCENT_STEPS[0], |t| t.percent);
            let unthrottled = f64::from(CPU_PERCENT_STEPS[0]) / f64::from(percent.max(1));
            let effect = model.effect(&service.spec.class, load, &neighbor) * unthrottled;
            let class = neighbor.class;
            Some(Suspect { task: key.clone(), class, attempt: task.attempt, effect, cpu_millis })
        };
        let mut suspects: Vec<Suspect> = worker.tasks.iter().filter_map(suspect).collect();
        suspects.sort_by(|a, b| b.effect.total_cmp(&a.effect).then(a.task.cmp(&b.task)));
        suspects
    }

    /// Takes one mitigation step for a service over its target: throttles a
    /// suspect, or returns a task to evict.
    fn take_step(
        &mut self,
        state: &PlacementState,
        worker: &WorkerState,
        service: &TaskKey,
        latency: f64,
        suspects: Vec<Suspect>,
        now: Timestamp,
    ) -> Option<(TaskKey, AttemptNumber)> {
        let id = &worker.record.id;
        if self.policy.mitigation == MitigationPolicy::EvictOnly {
            let largest = suspects.into_iter().max_by_key(|s| s.cpu_millis)?;
            self.delay_next_step(id, now);
            return Some(self.evict_suspect(id, service, latency, &largest, 0, now));
        }
        let max_effect = suspects.iter().map(|s| s.effect).fold(0.0, f64::max);
        let is_likely_cause =
            |s: &&Suspect| s.effect >= MIN_EFFECT.max(max_effect * MIN_EFFECT_RATIO);
        let to_throttle = suspects
            .iter()
            .filter(is_likely_cause)
            .find_map(|s| Some((s, self.next_lower_percent(id, s)?)));
        if let Some((suspect, percent)) = to_throttle {
            self.adapt_throttle_hold(id, now);
            let task = (&suspect.task, suspect.attempt);
            let cause = Cause { service, latency, effect: suspect.effect };
            self.throttle(id, task, percent, Some(&cause));
            self.delay_next_step(id, now);
            return None;
        }
        let candidates = self.eviction_candidates(state, worker);
        let (candidate, suspect) = candidates.iter().filter(|v| v.is_batch()).find_map(|v| {
            let suspect = suspects.iter().filter(is_likely_cause).find(|s| s.task == v.task)?;
            Some((v, suspect))
        })?;
        if !self.mitigation_budget.try_spend(1, self.policy.evictions_per_hour, now) {
            tracing::info!(
                target: "cyclamenloft::decision",
                service = %service, worker = %id, latency, task = %candidate.task,
                reason = "the hour's evictions are used up", "refuse"
            );
            self.delay_next_step(id, now);
            return None;
        }
        self.delay_next_step(id, now);
        Some(self.evict_suspect(id, service, latency, suspect, candidate.cost_ms, now))
    }

    fn evict_suspect(
        &mut self,
        worker: &WorkerId,
        service: &TaskKey,
        latency: f64,
        suspect: &Suspect,
        cost_ms: u64,
        now: Timestamp,
    ) -> (TaskKey, AttemptNumber) {
        tracing::info!(
            target: "cyclamenloft::decision",
            task = %suspect.task, attempt = suspect.attempt, worker = %worker,
            reason = "a service suffers", service = %service, latency,
            effect = suspect.effect, cost_ms, "evict"
        );
        self.proposed_evictions.insert(suspect.task.clone(), now);
        if self.policy.mitigation == MitigationPolicy::Ladder {
            self.avoided_classes.insert(worker, &suspect.class, now);
        }
        (suspect.task.clone(), suspect.attempt)
    }

    /// Returns the next lower CPU limit for a task, if there is one.
    fn next_lower_percent(&self, worker: &WorkerId, suspect: &Suspect) -> Option<u8> {
        let view = self.workers.get(worker)?;
        let present = view.throttles.get(&suspect.task).map_or(CPU_PERCENT_STEPS[0], |t| t.percent);
        CPU_PERCENT_STEPS.into_iter().find(|step| *step < present)
    }

    fn throttle(
        &mut self,
        worker: &WorkerId,
        (task, attempt): (&TaskKey, AttemptNumber),
        percent: u8,
        cause: Option<&Cause<'_>>,
    ) {
        tracing::info!(
            target: "cyclamenloft::decision",
            %task, attempt, %worker, percent,
            service = cause.map(|c| tracing::field::display(c.service)),
            latency = cause.map(|c| c.latency), effect = cause.map(|c| c.effect), "throttle"
        );
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        if percent < CPU_PERCENT_STEPS[0] {
            view.throttles.insert(task.clone(), Throttle { attempt, percent });
        } else {
            view.throttles.remove(task);
        }
        self.push_order(
            worker,
            Order::Throttle { task: task.clone(), attempt, cpu_percent: percent },
        );
    }

    /// Raises the CPU limit of the most throttled task by a step if every
    /// service of the worker is healthy.
    fn raise_one_throttle(&mut self, worker: &WorkerId, now: Timestamp) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let held = view.mitigation.lift_after.is_some_and(|at| now.instant < at);
        if held || view.service_health.values().any(|h| h.healthy_reports < MIN_HEALTHY_REPORTS) {
            return;
        }
        let Some((task, throttle)) = view.throttles.iter().min_by_key(|(_, t)| t.percent) else {
            return;
        };
        let (task, attempt, present) = (task.clone(), throttle.attempt, throttle.percent);
        let percent = CPU_PERCENT_STEPS
            .into_iter()
            .rev()
            .find(|s| *s > present)
            .unwrap_or(CPU_PERCENT_STEPS[0]);
        view.mitigation.last_lift = Some(now.instant);
        view.service_health.values_mut().for_each(|h| h.healthy_reports = 0);
        self.throttle(worker, (&task, attempt), percent, None);
        self.delay_next_step(worker, now);
    }

    /// Delays the next step on a worker until this one shows in its reports.
    fn delay_next_step(&mut self, worker: &WorkerId, now: Timestamp) {
        let wait = self.policy.report_period * 2;
        if let Some(view) = self.workers.get_mut(worker) {
            view.mitigation.next_step_after = Some(now.instant + wait + view.measurement_lag);
            view.mitigation.lift_after = Some(now.instant + view.mitigation.throttle_hold);
        }
    }

    /// Doubles the minimum time for which throttles are kept if the last lift was
    /// recent and therefore too early; otherwise resets it.
    fn adapt_throttle_hold(&mut self, worker: &WorkerId, now: Timestamp) {
        if let Some(view) = self.workers.get_mut(worker)
            && let Some(lifted) = view.mitigation.last_lift.take()
        {
            let early = now.instant.duration_since(lifted) < MAX_THROTTLE_HOLD;
            let hold = if early { view.mitigation.throttle_hold * 2 } else { FIRST_THROTTLE_HOLD };
            view.mitigation.throttle_hold = hold.min(MAX_THROTTLE_HOLD);
        }
    }
}
