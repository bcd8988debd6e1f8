//! Updates of the learned models from reports.

use super::{Scheduler, fit::PlacementRequest, round::Round, view::WorkerView};
use crate::{
    learn::{
        interference::{InterferenceModel, Neighbor},
        profile::LoadProfiles,
        usage::UsageModel,
    },
    messages::Report,
    policy::{FitPolicy, MitigationPolicy},
    state::{PlacementState, WorkerState},
    time::Timestamp,
};
use cyclamenloft_types::{JobClass, Priority, Resources, TaskKey};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time for which an ended task is kept as a neighbor of services, because later
/// reports may still measure a time in which it ran.
const ENDED_PRESENCE_TTL: Duration = Duration::from_secs(120);
/// Minimum time between two placements that each put the same pair of classes on
/// one worker while their interference is unknown.
const PAIR_TRIAL_INTERVAL: Duration = Duration::from_secs(5);

/// The models learned from reports.
#[derive(Debug, Default)]
pub(super) struct LearnedModels {
    pub(super) usage: UsageModel,
    pub(super) interference: InterferenceModel,
    pub(super) profiles: LoadProfiles,
    /// Time at which a pair of classes with unknown interference, victim first,
    /// was last placed on one worker.
    trials: BTreeMap<(JobClass, JobClass), Instant>,
}

impl LearnedModels {
    /// Returns the share of a worker's CPUs that a task of the class is expected to
    /// use.
    pub(super) fn cpu_share(&self, class: &str, declared: Resources, worker: &WorkerState) -> f64 {
        let cpu = self.usage.expected_cpu(class, declared);
        f64::from(cpu) / f64::from(worker.record.capacity.cpu_millis.max(1))
    }
}

/// Time span in which a task ran on a worker. It is kept for some time after
/// the end, because later reports still measure the services that shared the
/// worker with the task.
#[derive(Debug)]
pub(super) struct Presence {
    class: JobClass,
    cpu_share: f64,
    from: Instant,
    until: Option<Instant>,
}

impl Scheduler {
    /// Returns whether placements use the learned models; the baselines do not.
    pub(super) fn uses_learned_models(&self) -> bool {
        self.policy.fit == FitPolicy::Scored
    }

    /// Updates the models from the measurements in a worker's newest report.
    pub(super) fn learn_from_report(
        &mut self,
        state: &PlacementState,
        report: &Report,
        now: Timestamp,
    ) {
        if !self.uses_learned_models() && self.policy.mitigation == MitigationPolicy::Off {
            return;
        }
        let Some(worker) = state.worker(&report.worker) else {
            return;
        };
        let capacity = f64::from(worker.record.capacity.cpu_millis.max(1));
        let period = self.policy.report_period;
        let Some(view) = self.workers.get_mut(&report.worker) else {
            return;
        };
        let lag = view.measurement_lag;
        view.update_presence(state, capacity, period, now.instant);
        let window = MeasurementWindow::before(now.instant, lag, period);
        for task in &report.running {
            let Some(job) = state.job(&task.task.job) else {
                continue;
            };
            let spec = &job.spec;
            if task.usage != Resources::ZERO {
                self.learned.usage.record_usage(
                    &spec.class,
                    &spec.resources,
                    &task.usage,
                    now.instant,
                );
            }
            if spec.priority != Priority::Service {
                continue;
            }
            let load = task.load_percent.map(|p| f64::from(p) / 100.0);
            if let Some(load) = load {
                let at = now.unix.saturating_sub(lag);
                self.learned.profiles.observe(&spec.class, load, at);
            }
            let target = self.policy.latency_target(&spec.class);
            if let Some((p99, target)) = task.p99_us.zip(target) {
                let neighbors = view.neighbors(&task.task, &window);
                let latency = p99 as f64 / target as f64;
                let load = load.unwrap_or(1.0);
                self.learned.interference.observe(&spec.class, load, latency, &neighbors);
            }
        }
    }

    /// Returns whether a pair of classes with unknown interference was put on one
    /// worker so recently that its effect has not been measured yet.
    pub(super) fn is_on_trial(
        &self,
        victim: &JobClass,
        aggressor: &JobClass,
        round: &Round,
    ) -> bool {
        let pair = (victim.clone(), aggressor.clone());
        round.trial_pairs.contains(&pair)
            || self
                .learned
                .trials
                .get(&pair)
                .is_some_and(|at| round.now.instant.duration_since(*at) < PAIR_TRIAL_INTERVAL)
    }

    /// Marks the pairs with unknown interference that a placement puts on one
    /// worker.
    pub(super) fn mark_trial_pairs(
        &self,
        req: &PlacementRequest<'_>,
        worker: &WorkerState,
        round: &mut Round,
    ) {
        let own = &req.job.spec.class;
        let occupants = round.occupants.get(&worker.record.id).map(Vec::as_slice);
        let unknown: Vec<(JobClass, JobClass)> = occupants
            .unwrap_or_default()
            .iter()
            .filter(|o| o.service_load.is_some())
            .map(|o| &o.neighbor.class)
            .filter(|victim| self.learned.interference.is_unknown(victim, own))
            .map(|victim| (victim.clone(), own.clone()))
            .collect();
        round.trial_pairs.extend(unknown);
    }

    /// Records that the round put its trial pairs on one worker now.
    pub(super) fn record_trials(&mut self, round: &Round) {
        let now = round.now.instant;
        self.learned.trials.retain(|_, at| now.duration_since(*at) < PAIR_TRIAL_INTERVAL);
        self.learned.trials.extend(round.trial_pairs.iter().map(|pair| (pair.clone(), now)));
    }
}

/// The time span in which the measurements of a report were taken.
pub(super) struct MeasurementWindow {
    from: Instant,
    until: Instant,
}

impl MeasurementWindow {
    pub(super) fn before(now: Instant, lag: Duration, period: Duration) -> Self {
        let until = now.checked_sub(lag).unwrap_or(now);
        Self { from: until.checked_sub(period).unwrap_or(until), until }
    }

    /// Returns the share of the window in which a task ran.
    fn overlap(&self, presence: &Presence) -> f64 {
        let from = presence.from.max(self.from);
        let until = presence.until.map_or(self.until, |end| end.min(self.until));
        let length = self.until.saturating_duration_since(self.from).as_secs_f64();
        until.saturating_duration_since(from).as_secs_f64() / length.max(f64::MIN_POSITIVE)
    }
}

impl WorkerView {
    /// Updates the recorded presences from the tasks that run now.
    fn update_presence(
        &mut self,
        state: &PlacementState,
        capacity: f64,
        period: Duration,
        now: Instant,
    ) {
        let running = &self.running;
        self.presence.retain(|key, p| {
            if !running.contains_key(key) {
                p.until.get_or_insert(now);
            }
            p.until.is_none_or(|end| now.duration_since(end) < ENDED_PRESENCE_TTL)
        });
        for (key, task) in &self.running {
            let cpu_share = f64::from(task.last.usage.cpu_millis) / capacity;
            if let Some(p) = self.presence.get_mut(key).filter(|p| p.until.is_none()) {
                p.cpu_share = if cpu_share > 0.0 { cpu_share } else { p.cpu_share };
                continue;
            }
            let Some(job) = state.job(&key.job) else {
                continue;
            };
            // The task started at some time in the period before the first report
            // that lists it.
            let from = task.since.checked_sub(period / 2).unwrap_or(task.since);
            let declared = f64::from(job.spec.resources.cpu_millis) / capacity;
            let cpu_share = if cpu_share > 0.0 { cpu_share } else { declared };
            let class = job.spec.class.clone();
            self.presence.insert(key.clone(), Presence { class, cpu_share, from, until: None });
        }
    }

    /// Returns the classes that ran on the same worker as a task in a window,
    /// each with its share of the worker's CPUs.
    pub(super) fn neighbors(&self, task: &TaskKey, window: &MeasurementWindow) -> Vec<Neighbor> {
        let mut shares: BTreeMap<&JobClass, f64> = BTreeMap::new();
        for (_, presence) in self.presence.iter().filter(|(key, _)| *key != task) {
            let share = presence.cpu_share * window.overlap(presence);
            if share > 0.0 {
                *shares.entry(&presence.class).or_default() += share;
            }
        }
        shares
            .into_iter()
            .map(|(class, cpu_share)| Neighbor { class: class.clone(), cpu_share })
            .collect()
    }
}
