//! Relief of services whose tail latency suffers: throttle the likeliest
//! aggressor, then evict the cheapest, and lift throttles again when calm.

use super::{Scheduler, view::WorkerView};
use crate::{
    command::Command,
    learn::interference::Neighbour,
    messages::{Order, Report},
    policy::ReliefPolicy,
    state::{Job, PlacementState, WorkerState},
    time::Timestamp,
};
use cyclamenloft_types::{AttemptNumber, JobClass, Priority, TaskKey, TaskState, WorkerId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Reports over target in a row that call for relief.
const BAD_REPORTS: u32 = 2;
/// Tail latency, relative to the target, below which a service is calm.
const CALM: f64 = 0.7;
/// Calm reports in a row that allow a throttle to be lifted.
const CALM_REPORTS: u32 = 5;
/// Added tail latency, relative to the target, below which a task isn't blamed.
const MIN_EFFECT: f64 = 0.02;
/// Part of the largest effect of a task that a task must have to be blamed too.
const BLAMED_PART: f64 = 0.3;
/// Processor shares in percent that throttles step through.
const STEPS: [u8; 3] = [100, 50, 25];
/// First time that a throttle is held after a relapse; it doubles with each.
const FIRST_HOLD: Duration = Duration::from_secs(20);
/// Longest time that a throttle is held after a relapse.
const LONGEST_HOLD: Duration = Duration::from_secs(10 * 60);

/// First time for which a class that was evicted from a worker stays away
/// from it; it doubles with each further eviction.
const FIRST_AVOID: Duration = Duration::from_secs(15 * 60);
/// Longest time for which a class stays away from a worker.
const LONGEST_AVOID: Duration = Duration::from_secs(4 * 60 * 60);

#[derive(Debug)]
struct Avoidance {
    until: Instant,
    span: Duration,
}

/// Classes that were evicted from workers for the relief of a service.
#[derive(Debug, Default)]
pub(super) struct Avoided(BTreeMap<(WorkerId, JobClass), Avoidance>);

impl Avoided {
    fn insert(&mut self, worker: &WorkerId, class: &JobClass, now: Timestamp) {
        self.0.retain(|_, a| a.until + LONGEST_AVOID > now.instant);
        let key = (worker.clone(), class.clone());
        let span = self.0.get(&key).map_or(FIRST_AVOID, |a| (a.span * 2).min(LONGEST_AVOID));
        self.0.insert(key, Avoidance { until: now.instant + span, span });
    }

    /// Whether a class was evicted from a worker a while ago.
    pub(super) fn contains(&self, worker: &WorkerId, class: &JobClass, now: Timestamp) -> bool {
        !self.0.is_empty()
            && self.0.get(&(worker.clone(), class.clone())).is_some_and(|a| a.until > now.instant)
    }
}

/// How a service has fared in its last reports.
#[derive(Debug, Default)]
pub(super) struct Watch {
    /// Last tail latency, relative to the target.
    latency: f64,
    load: f64,
    bad: u32,
    calm: u32,
}

/// A throttle in force.
#[derive(Debug)]
pub(super) struct Throttle {
    pub(super) attempt: AttemptNumber,
    pub(super) percent: u8,
}

/// What relief knows of one worker.
#[derive(Debug)]
pub(super) struct Relief {
    /// Until the last step shows in the reports, no other is taken.
    settles: Option<Instant>,
    /// No throttle is lifted before.
    lift_after: Option<Instant>,
    lifted: Option<Instant>,
    hold: Duration,
}

impl Default for Relief {
    fn default() -> Self {
        Self { settles: None, lift_after: None, lifted: None, hold: FIRST_HOLD }
    }
}

struct Suspect {
    task: TaskKey,
    class: JobClass,
    attempt: AttemptNumber,
    /// What it adds to the tail latency, relative to the target, unthrottled.
    effect: f64,
    cpu: u32,
}

/// Why a task is throttled.
struct Cause<'a> {
    service: &'a TaskKey,
    latency: f64,
    effect: f64,
}

impl Scheduler {
    /// Takes in how the services of a worker fare.
    pub(super) fn watch(&mut self, state: &PlacementState, report: &Report, now: Timestamp) {
        if self.policy.relief == ReliefPolicy::Off {
            return;
        }
        let bad_reports = self.bad_reports();
        let Some(view) = self.workers.get_mut(&report.worker) else {
            return;
        };
        let running = &view.running;
        view.watches.retain(|key, _| running.contains_key(key));
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
            let watch = view.watches.entry(task.task.clone()).or_default();
            watch.latency = p99 as f64 / target as f64;
            watch.load = task.load_percent.map_or(1.0, |p| f64::from(p) / 100.0);
            watch.bad = if watch.latency > 1.0 { watch.bad + 1 } else { 0 };
            watch.calm = if watch.latency < CALM { watch.calm + 1 } else { 0 };
        }
        let settles = view.relief.settles.is_some_and(|at| now.instant < at);
        let bad = view.watches.values().any(|w| w.bad >= bad_reports);
        if !settles && (bad || !view.throttles.is_empty()) {
            self.relieving.insert(report.worker.clone());
        }
    }

    fn bad_reports(&self) -> u32 {
        if self.policy.relief == ReliefPolicy::EvictOnly { 1 } else { BAD_REPORTS }
    }

    /// Takes the next step on each worker that calls for one.
    pub(super) fn relieve(&mut self, state: &PlacementState, now: Timestamp) -> Option<Command> {
        let mut evicted = Vec::new();
        for id in std::mem::take(&mut self.relieving) {
            let Some(worker) = state.worker(&id).filter(|w| w.alive) else {
                continue;
            };
            let Some(view) = self.workers.get(&id) else {
                continue;
            };
            let worst = view
                .watches
                .iter()
                .filter(|(_, w)| w.bad >= self.bad_reports())
                .max_by(|a, b| a.1.latency.total_cmp(&b.1.latency));
            match worst.map(|(key, watch)| (key.clone(), watch.latency, watch.load)) {
                Some((service, latency, load)) => {
                    let job = state.job(&service.job);
                    let suspects = job
                        .map_or_else(Vec::new, |job| self.suspects(state, worker, view, job, load));
                    evicted.extend(self.step(state, worker, &service, latency, suspects, now));
                }
                None => self.lift(&id, now),
            }
        }
        if evicted.is_empty() { None } else { Some(Command::Evict(evicted)) }
    }

    /// The batch tasks beside a service, the likeliest aggressor first.
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
            if !placed || running.last.attempt != task.attempt || self.leaves(state, key) {
                return None;
            }
            let cpu = running.last.usage.cpu_millis;
            let share = f64::from(cpu) / capacity;
            let neighbour = Neighbour { class: job.spec.class.clone(), share };
            let model = &self.learned.interference;
            // A throttled task is judged by what it would do without.
            let percent = view.throttles.get(key).map_or(STEPS[0], |t| t.percent);
            let unthrottled = f64::from(STEPS[0]) / f64::from(percent.max(1));
            let effect = model.effect(&service.spec.class, load, &neighbour) * unthrottled;
            let class = neighbour.class;
            Some(Suspect { task: key.clone(), class, attempt: task.attempt, effect, cpu })
        };
        let mut suspects: Vec<Suspect> = worker.tasks.iter().filter_map(suspect).collect();
        suspects.sort_by(|a, b| b.effect.total_cmp(&a.effect).then(a.task.cmp(&b.task)));
        suspects
    }

    /// One step of relief for a service that suffers.
    fn step(
        &mut self,
        state: &PlacementState,
        worker: &WorkerState,
        service: &TaskKey,
        latency: f64,
        suspects: Vec<Suspect>,
        now: Timestamp,
    ) -> Option<(TaskKey, AttemptNumber)> {
        let id = &worker.record.id;
        if self.policy.relief == ReliefPolicy::EvictOnly {
            let largest = suspects.into_iter().max_by_key(|s| s.cpu)?;
            self.settle(id, now);
            return Some(self.evict_for(id, service, latency, &largest, 0, now));
        }
        let most = suspects.iter().map(|s| s.effect).fold(0.0, f64::max);
        let blamed = |s: &&Suspect| s.effect >= MIN_EFFECT.max(most * BLAMED_PART);
        let to_throttle =
            suspects.iter().filter(blamed).find_map(|s| Some((s, self.next_step(id, s)?)));
        if let Some((suspect, percent)) = to_throttle {
            self.relapse(id, now);
            let task = (&suspect.task, suspect.attempt);
            let cause = Cause { service, latency, effect: suspect.effect };
            self.throttle(id, task, percent, Some(&cause));
            self.settle(id, now);
            return None;
        }
        let victims = self.victims(state, worker);
        let (victim, suspect) = victims.iter().filter(|v| v.is_batch()).find_map(|v| {
            let suspect = suspects.iter().filter(blamed).find(|s| s.task == v.task)?;
            Some((v, suspect))
        })?;
        if !self.relief_budget.take(1, self.policy.evictions_per_hour, now) {
            tracing::info!(
                target: "cyclamenloft::decision",
                service = %service, worker = %id, latency, task = %victim.task,
                reason = "the hour's evictions are used up", "refuse"
            );
            self.settle(id, now);
            return None;
        }
        self.settle(id, now);
        Some(self.evict_for(id, service, latency, suspect, victim.cost_ms, now))
    }

    fn evict_for(
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
        self.evicting.insert(suspect.task.clone(), now);
        if self.policy.relief == ReliefPolicy::Ladder {
            self.avoided.insert(worker, &suspect.class, now);
        }
        (suspect.task.clone(), suspect.attempt)
    }

    /// The next lower processor share of a task, if there is one.
    fn next_step(&self, worker: &WorkerId, suspect: &Suspect) -> Option<u8> {
        let view = self.workers.get(worker)?;
        let present = view.throttles.get(&suspect.task).map_or(STEPS[0], |t| t.percent);
        STEPS.into_iter().find(|step| *step < present)
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
        if percent < STEPS[0] {
            view.throttles.insert(task.clone(), Throttle { attempt, percent });
        } else {
            view.throttles.remove(task);
        }
        self.push(worker, Order::Throttle { task: task.clone(), attempt, cpu_percent: percent });
    }

    /// Lifts one throttle by a step where every service of the worker is calm.
    fn lift(&mut self, worker: &WorkerId, now: Timestamp) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let held = view.relief.lift_after.is_some_and(|at| now.instant < at);
        if held || view.watches.values().any(|w| w.calm < CALM_REPORTS) {
            return;
        }
        let Some((task, throttle)) = view.throttles.iter().min_by_key(|(_, t)| t.percent) else {
            return;
        };
        let (task, attempt, present) = (task.clone(), throttle.attempt, throttle.percent);
        let percent = STEPS.into_iter().rev().find(|s| *s > present).unwrap_or(STEPS[0]);
        view.relief.lifted = Some(now.instant);
        view.watches.values_mut().for_each(|w| w.calm = 0);
        self.throttle(worker, (&task, attempt), percent, None);
        self.settle(worker, now);
    }

    /// Has the next step on a worker wait until this one shows in its reports.
    fn settle(&mut self, worker: &WorkerId, now: Timestamp) {
        let wait = self.policy.report_period * 2;
        if let Some(view) = self.workers.get_mut(worker) {
            view.relief.settles = Some(now.instant + wait + view.lag);
            view.relief.lift_after = Some(now.instant + view.relief.hold);
        }
    }

    /// Doubles the hold of throttles where one was lifted too early.
    fn relapse(&mut self, worker: &WorkerId, now: Timestamp) {
        if let Some(view) = self.workers.get_mut(worker)
            && let Some(lifted) = view.relief.lifted.take()
        {
            let early = now.instant.duration_since(lifted) < LONGEST_HOLD;
            let hold = if early { view.relief.hold * 2 } else { FIRST_HOLD };
            view.relief.hold = hold.min(LONGEST_HOLD);
        }
    }
}
