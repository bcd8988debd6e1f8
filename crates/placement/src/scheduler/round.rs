//! State of one placement round.

use super::{LearnedModels, Scheduler, fit::PlacementRequest};
use crate::{
    command::Placement,
    learn::interference::Neighbor,
    state::{GroupNumber, PlacementState, WorkerState, holder},
    time::Timestamp,
};
use cyclamenloft_types::{JobClass, JobId, Priority, RackName, Resources, TaskKey, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// Limit on the recorded task sizes for which a round found no room.
const MAX_TOO_LARGE_SIZES: usize = 64;
/// Limit on the tasks for which one round may preempt others.
const MAX_BLOCKED_TASKS: usize = 64;

/// Why a group of waiting tasks is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// No worker has room for a task of the group.
    NoRoom,
    /// Each worker with room runs a service that would miss its latency target,
    /// or accepts no task of the class for some time after an eviction.
    Harmful,
    /// The team's quota is used up.
    Quota,
}

impl HoldReason {
    /// Returns the reason in words for an operator.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "no worker has room",
            Self::Harmful => "each worker with room runs a service that would suffer",
            Self::Quota => "the team's quota is used up",
        }
    }
}

/// A task on a worker, as needed to score the worker.
#[derive(Clone, Debug)]
pub(super) struct Occupant {
    pub(super) neighbor: Neighbor,
    /// Last reported load of a replica, where 1 is the load it is sized for, and 1
    /// if none was reported; `None` for other tasks.
    pub(super) service_load: Option<f64>,
}

/// Number of a job's replicas on each rack and worker.
#[derive(Debug, Default)]
pub(super) struct Spread {
    pub(super) racks: BTreeMap<RackName, u32>,
    pub(super) workers: BTreeMap<WorkerId, u32>,
    pub(super) total: u32,
}

impl Spread {
    fn add(&mut self, worker: &WorkerState) {
        *self.racks.entry(worker.record.rack.clone()).or_default() += 1;
        *self.workers.entry(worker.record.id.clone()).or_default() += 1;
        self.total += 1;
    }
}

/// A task that no worker has room for and that may preempt others.
#[derive(Clone, Debug)]
pub(super) struct BlockedTask {
    pub(super) priority: Priority,
    pub(super) task: TaskKey,
    pub(super) need: Resources,
}

/// One placement round: the placements so far, and what the round has found out
/// about workers and jobs.
pub(super) struct Round {
    pub(super) now: Timestamp,
    pub(super) placements: Vec<Placement>,
    pub(super) blocked: Vec<BlockedTask>,
    pub(super) held: BTreeMap<GroupNumber, HoldReason>,
    /// Task sizes that fit on no worker at the moment.
    too_large: Vec<Resources>,
    pub(super) occupants: BTreeMap<WorkerId, Vec<Occupant>>,
    pub(super) spreads: BTreeMap<JobId, Spread>,
    /// Pairs of classes, victim first, that this round puts on one worker for
    /// the first time.
    pub(super) trial_pairs: BTreeSet<(JobClass, JobClass)>,
}

impl Round {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            now,
            placements: Vec::new(),
            blocked: Vec::new(),
            held: BTreeMap::new(),
            too_large: Vec::new(),
            occupants: BTreeMap::new(),
            spreads: BTreeMap::new(),
            trial_pairs: BTreeSet::new(),
        }
    }

    /// Returns whether a task of this size or smaller was found to fit on no
    /// worker.
    pub(super) fn is_too_large(&self, need: &Resources) -> bool {
        self.too_large.iter().any(|r| r.fits_in(need))
    }

    pub(super) fn mark_too_large(&mut self, need: Resources) {
        self.too_large.retain(|r| !need.fits_in(r));
        if self.too_large.len() < MAX_TOO_LARGE_SIZES {
            self.too_large.push(need);
        }
    }

    pub(super) fn hold(&mut self, number: GroupNumber, reason: HoldReason) {
        self.held.insert(number, reason);
    }

    pub(super) fn block<'k>(
        &mut self,
        priority: Priority,
        tasks: impl Iterator<Item = &'k TaskKey>,
        need: Resources,
    ) {
        let free_slots = MAX_BLOCKED_TASKS.saturating_sub(self.blocked.len());
        for task in tasks.take(free_slots) {
            self.blocked.push(BlockedTask { priority, task: task.clone(), need });
        }
    }

    /// Records a placement, so that later scores of the round account for it.
    pub(super) fn record_placement(
        &mut self,
        req: &PlacementRequest<'_>,
        worker: &WorkerState,
        placement: Placement,
        learned: &LearnedModels,
    ) {
        if let Some(spread) = self.spreads.get_mut(&req.job.spec.id) {
            spread.add(worker);
        }
        if let Some(occupants) = self.occupants.get_mut(&worker.record.id) {
            let class = req.job.spec.class.clone();
            let cpu_share = learned.cpu_share(&class, req.job.spec.resources, worker);
            let service_load = (req.job.spec.priority == Priority::Service).then_some(1.0);
            occupants.push(Occupant { neighbor: Neighbor { class, cpu_share }, service_load });
        }
        self.placements.push(placement);
    }
}

impl Scheduler {
    /// Loads the tasks that run on a worker, unless the round has them already.
    pub(super) fn load_occupants(
        &self,
        state: &PlacementState,
        worker: &WorkerState,
        round: &mut Round,
    ) {
        let id = &worker.record.id;
        if round.occupants.contains_key(id) {
            return;
        }
        let view = self.workers.get(id);
        let mut occupants = Vec::with_capacity(worker.tasks.len());
        for key in &worker.tasks {
            let Some(job) = state.job(&key.job) else {
                continue;
            };
            let class = job.spec.class.clone();
            let last = view.and_then(|v| v.running.get(key)).map(|r| &r.last);
            let measured = last.map(|l| l.usage.cpu_millis).filter(|cpu| *cpu > 0);
            let cpu_share = match measured {
                Some(cpu) => f64::from(cpu) / f64::from(worker.record.capacity.cpu_millis.max(1)),
                None => self.learned.cpu_share(&class, job.spec.resources, worker),
            };
            let is_service = job.spec.priority == Priority::Service;
            let load = last.and_then(|l| l.load_percent).map_or(1.0, |p| f64::from(p) / 100.0);
            let service_load = is_service.then_some(load);
            occupants.push(Occupant { neighbor: Neighbor { class, cpu_share }, service_load });
        }
        round.occupants.insert(id.clone(), occupants);
    }

    /// Loads the racks and workers of a job's replicas, unless the round has
    /// them already.
    pub(super) fn load_spread(&self, state: &PlacementState, job: &JobId, round: &mut Round) {
        if round.spreads.contains_key(job) {
            return;
        }
        let mut spread = Spread::default();
        let tasks = state.job(job).map(|j| j.tasks.as_slice()).unwrap_or_default();
        for (worker, _) in tasks.iter().filter_map(|t| holder(&t.state)) {
            if let Some(worker) = state.worker(worker) {
                spread.add(worker);
            }
        }
        round.spreads.insert(job.clone(), spread);
    }
}
