//! What one round of placements has found out so far.

use super::{Learned, Scheduler, fit::Want};
use crate::{
    command::Placement,
    learn::interference::Neighbour,
    state::{GroupNumber, PlacementState, WorkerState, holder},
    time::Timestamp,
};
use cyclamenloft_types::{JobClass, JobId, Priority, RackName, Resources, TaskKey, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// Most shapes without room that are remembered in one round.
const MAX_TOO_LARGE: usize = 64;
/// Most tasks for which others may be asked to make room in one round.
const MAX_BLOCKED: usize = 64;

/// Why a group of waiting tasks is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// No worker has room for one of its tasks.
    NoRoom,
    /// Each worker with room runs a service that would suffer.
    Harmful,
    /// Its team has all that its quota allows.
    Quota,
}

impl Hold {
    /// The reason in words for an operator.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "no worker has room",
            Self::Harmful => "each worker with room runs a service that would suffer",
            Self::Quota => "the team's quota is used up",
        }
    }
}

/// A task on a worker as the score sees it.
#[derive(Clone, Debug)]
pub(super) struct Occupant {
    pub(super) neighbour: Neighbour,
    /// For a service with a target: its present load.
    pub(super) service_load: Option<f64>,
}

/// Where the replicas of a job run.
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

/// A task that waits for others to make room.
#[derive(Clone, Debug)]
pub(super) struct Blocked {
    pub(super) priority: Priority,
    pub(super) task: TaskKey,
    pub(super) need: Resources,
}

/// One round of placements.
pub(super) struct Round {
    pub(super) now: Timestamp,
    pub(super) placements: Vec<Placement>,
    pub(super) blocked: Vec<Blocked>,
    pub(super) held: BTreeMap<GroupNumber, Hold>,
    too_large: Vec<Resources>,
    pub(super) occupants: BTreeMap<WorkerId, Vec<Occupant>>,
    pub(super) spreads: BTreeMap<JobId, Spread>,
    /// Pairs of classes that are being tried beside each other.
    pub(super) tried: BTreeSet<(JobClass, JobClass)>,
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
            tried: BTreeSet::new(),
        }
    }

    /// Whether a task that needs no more was found to fit nowhere.
    pub(super) fn is_too_large(&self, need: &Resources) -> bool {
        self.too_large.iter().any(|r| r.fits_in(need))
    }

    pub(super) fn too_large(&mut self, need: Resources) {
        self.too_large.retain(|r| !need.fits_in(r));
        if self.too_large.len() < MAX_TOO_LARGE {
            self.too_large.push(need);
        }
    }

    pub(super) fn hold(&mut self, number: GroupNumber, hold: Hold) {
        self.held.insert(number, hold);
    }

    pub(super) fn block<'k>(
        &mut self,
        priority: Priority,
        tasks: impl Iterator<Item = &'k TaskKey>,
        need: Resources,
    ) {
        let room = MAX_BLOCKED.saturating_sub(self.blocked.len());
        for task in tasks.take(room) {
            self.blocked.push(Blocked { priority, task: task.clone(), need });
        }
    }

    /// Takes in a placement, so that the next score sees it.
    pub(super) fn placed(
        &mut self,
        want: &Want<'_>,
        worker: &WorkerState,
        placement: Placement,
        learned: &Learned,
    ) {
        if let Some(spread) = self.spreads.get_mut(&want.job.spec.id) {
            spread.add(worker);
        }
        if let Some(occupants) = self.occupants.get_mut(&worker.record.id) {
            let class = want.job.spec.class.clone();
            let share = learned.share(&class, want.job.spec.resources, worker);
            let service_load = (want.job.spec.priority == Priority::Service).then_some(1.0);
            occupants.push(Occupant { neighbour: Neighbour { class, share }, service_load });
        }
        self.placements.push(placement);
    }
}

impl Scheduler {
    /// Makes sure that the round knows who runs on a worker.
    pub(super) fn know_occupants(
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
            let share = match measured {
                Some(cpu) => f64::from(cpu) / f64::from(worker.record.capacity.cpu_millis.max(1)),
                None => self.learned.share(&class, job.spec.resources, worker),
            };
            let is_service = job.spec.priority == Priority::Service;
            let load = last.and_then(|l| l.load_percent).map_or(1.0, |p| f64::from(p) / 100.0);
            let service_load = is_service.then_some(load);
            occupants.push(Occupant { neighbour: Neighbour { class, share }, service_load });
        }
        round.occupants.insert(id.clone(), occupants);
    }

    /// Makes sure that the round knows where the replicas of a job run.
    pub(super) fn know_spread(&self, state: &PlacementState, job: &JobId, round: &mut Round) {
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
