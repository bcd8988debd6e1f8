//! Feeding what reports say into what is learned.

use super::{Scheduler, fit::Want, round::Round, view::WorkerView};
use crate::{
    learn::{
        interference::{InterferenceModel, Neighbour},
        profile::DayProfiles,
        usage::UsageModel,
    },
    messages::Report,
    policy::{FitPolicy, ReliefPolicy},
    state::{PlacementState, WorkerState},
    time::Timestamp,
};
use cyclamenloft_types::{JobClass, Priority, Resources, TaskKey};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time for which a task that ended is remembered as a neighbour.
const MEMORY_OF_ENDED: Duration = Duration::from_secs(120);
/// Time between two trials of a pair of classes of which too little is known.
const TRIAL_PAUSE: Duration = Duration::from_secs(5);

/// What was learned from reports.
#[derive(Debug, Default)]
pub(super) struct Learned {
    pub(super) usage: UsageModel,
    pub(super) interference: InterferenceModel,
    pub(super) profiles: DayProfiles,
    /// When a pair of classes, victim first, was last put beside each other.
    trials: BTreeMap<(JobClass, JobClass), Instant>,
}

impl Learned {
    /// Share of a worker's processors that a task of the class is expected to use.
    pub(super) fn share(&self, class: &str, declared: Resources, worker: &WorkerState) -> f64 {
        let cpu = self.usage.expected_cpu(class, declared);
        f64::from(cpu) / f64::from(worker.record.capacity.cpu_millis.max(1))
    }
}

/// A task as a neighbour of others, until some time after its end.
#[derive(Debug)]
pub(super) struct Presence {
    class: JobClass,
    share: f64,
    from: Instant,
    until: Option<Instant>,
}

impl Scheduler {
    /// Whether sizes and interference are learned, which baselines do without.
    pub(super) fn learns(&self) -> bool {
        self.policy.fit == FitPolicy::Scored
    }

    /// Learns from the figures of the newest report of a worker.
    pub(super) fn learn(&mut self, state: &PlacementState, report: &Report, now: Timestamp) {
        if !self.learns() && self.policy.relief == ReliefPolicy::Off {
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
        let lag = view.lag;
        view.note_presence(state, capacity, period, now.instant);
        let measured = Window::before(now.instant, lag, period);
        for task in &report.running {
            let Some(job) = state.job(&task.task.job) else {
                continue;
            };
            let spec = &job.spec;
            if task.usage != Resources::ZERO {
                self.learned.usage.used(&spec.class, &spec.resources, &task.usage, now.instant);
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
                let around = view.neighbours(&task.task, &measured);
                let latency = p99 as f64 / target as f64;
                let load = load.unwrap_or(1.0);
                self.learned.interference.observe(&spec.class, load, latency, &around);
            }
        }
    }

    /// Whether a pair of little-known classes was put beside each other a
    /// moment ago, so that its effect hasn't been seen yet.
    pub(super) fn is_tried(&self, victim: &JobClass, aggressor: &JobClass, round: &Round) -> bool {
        let pair = (victim.clone(), aggressor.clone());
        round.tried.contains(&pair)
            || self
                .learned
                .trials
                .get(&pair)
                .is_some_and(|at| round.now.instant.duration_since(*at) < TRIAL_PAUSE)
    }

    /// Notes the pairs that a placement puts beside each other for the first time.
    pub(super) fn try_pairs(&self, want: &Want<'_>, worker: &WorkerState, round: &mut Round) {
        let own = &want.job.spec.class;
        let occupants = round.occupants.get(&worker.record.id).map(Vec::as_slice);
        let unknown: Vec<(JobClass, JobClass)> = occupants
            .unwrap_or_default()
            .iter()
            .filter(|o| o.service_load.is_some())
            .map(|o| &o.neighbour.class)
            .filter(|victim| self.learned.interference.is_unknown(victim, own))
            .map(|victim| (victim.clone(), own.clone()))
            .collect();
        round.tried.extend(unknown);
    }

    /// Remembers the trials of a round.
    pub(super) fn note_trials(&mut self, round: &Round) {
        let now = round.now.instant;
        self.learned.trials.retain(|_, at| now.duration_since(*at) < TRIAL_PAUSE);
        self.learned.trials.extend(round.tried.iter().map(|pair| (pair.clone(), now)));
    }
}

/// The span of time that a report's figures were measured in.
pub(super) struct Window {
    from: Instant,
    until: Instant,
}

impl Window {
    pub(super) fn before(now: Instant, lag: Duration, period: Duration) -> Self {
        let until = now.checked_sub(lag).unwrap_or(now);
        Self { from: until.checked_sub(period).unwrap_or(until), until }
    }

    /// Share of the window in which a task was present.
    fn overlap(&self, presence: &Presence) -> f64 {
        let from = presence.from.max(self.from);
        let until = presence.until.map_or(self.until, |end| end.min(self.until));
        let length = self.until.saturating_duration_since(self.from).as_secs_f64();
        until.saturating_duration_since(from).as_secs_f64() / length.max(f64::MIN_POSITIVE)
    }
}

impl WorkerView {
    /// Brings the presence of tasks in line with those that run.
    fn note_presence(
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
            p.until.is_none_or(|end| now.duration_since(end) < MEMORY_OF_ENDED)
        });
        for (key, task) in &self.running {
            let share = f64::from(task.last.usage.cpu_millis) / capacity;
            if let Some(p) = self.presence.get_mut(key).filter(|p| p.until.is_none()) {
                p.share = if share > 0.0 { share } else { p.share };
                continue;
            }
            let Some(job) = state.job(&key.job) else {
                continue;
            };
            // It started somewhere in the period before the first report.
            let from = task.since.checked_sub(period / 2).unwrap_or(task.since);
            let declared = f64::from(job.spec.resources.cpu_millis) / capacity;
            let share = if share > 0.0 { share } else { declared };
            let class = job.spec.class.clone();
            self.presence.insert(key.clone(), Presence { class, share, from, until: None });
        }
    }

    /// The classes that were beside a task in a window, each with its share.
    pub(super) fn neighbours(&self, task: &TaskKey, window: &Window) -> Vec<Neighbour> {
        let mut shares: BTreeMap<&JobClass, f64> = BTreeMap::new();
        for (_, presence) in self.presence.iter().filter(|(key, _)| *key != task) {
            let share = presence.share * window.overlap(presence);
            if share > 0.0 {
                *shares.entry(&presence.class).or_default() += share;
            }
        }
        shares.into_iter().map(|(class, share)| Neighbour { class: class.clone(), share }).collect()
    }
}
