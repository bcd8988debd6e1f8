//! Choice of a worker for one task.

use super::{
    Scheduler,
    round::{Occupant, Round},
};
use crate::{
    learn::interference::Neighbor,
    policy::FitPolicy,
    state::{Job, PlacementState, SearchFrom, WorkerState},
};
use cyclamenloft_types::{Priority, RackName, Resources, TaskKey, WorkerId};
use std::{collections::BTreeMap, time::Duration};

/// Number of workers scored from each end of the free-capacity index.
const CANDIDATES: usize = 12;
/// Limit on the workers of one rack that are scored for a replica.
const CANDIDATES_PER_RACK: usize = 2;
/// Limit on the workers that are scored to spread replicas over racks.
const MAX_RACK_CANDIDATES: usize = 36;
/// Limit on the workers searched for workers of different racks.
const MAX_RACK_SEARCH: usize = 256;
/// Number of further workers scored if services would be harmed on all of the
/// first ones.
const EXTRA_CANDIDATES: usize = 48;
/// Tail latency, relative to the target, above which added latency weighs most
/// in the score.
const SOFT_LATENCY_LIMIT: f64 = 0.75;
/// Tail latency of a service, relative to the target, above which no batch task
/// may raise it.
const HARD_LATENCY_LIMIT: f64 = 0.95;
/// Added tail latency, relative to the target, that never rules out a worker.
const NEGLIGIBLE_LATENCY: f64 = 0.005;
/// Time over which loads are predicted for a task without a declared run time.
const DEFAULT_LOOK_AHEAD: Duration = Duration::from_secs(60 * 60);
/// Longest time over which loads are predicted for a task with a run time.
const MAX_LOOK_AHEAD: Duration = Duration::from_secs(8 * 60 * 60);

// Weights of the score; the worker with the lowest score is chosen.
const OVER_SOFT_LIMIT_WEIGHT: f64 = 10.0;
const ADDED_LATENCY_WEIGHT: f64 = 1.0;
const LEFTOVER_WEIGHT: f64 = 0.2;
const IMBALANCE_WEIGHT: f64 = 0.3;
const SAME_WORKER_WEIGHT: f64 = 2.0;
const SAME_RACK_WEIGHT: f64 = 1.0;
const FAILED_HERE_WEIGHT: f64 = 3.0;
const WASTED_ACCELERATOR_WEIGHT: f64 = 0.5;
const MISSED_REPORTS_WEIGHT: f64 = 3.0;
/// Number of report periods without a report after which
/// [`MISSED_REPORTS_WEIGHT`] is added to a worker's score.
const MISSED_REPORT_PERIODS: u32 = 2;

/// A task to be placed.
pub(super) struct PlacementRequest<'a> {
    pub(super) key: &'a TaskKey,
    pub(super) job: &'a Job,
    /// Resources reserved for the task.
    pub(super) need: Resources,
}

/// The worker chosen for a task, or why there is none.
pub(super) enum Choice<'a> {
    Worker(&'a WorkerState),
    /// No worker has room.
    NoRoom,
    /// Every scored worker with room is ruled out because the task would harm
    /// its services.
    Harmful,
}

/// A worker with its score for a task.
struct Scored<'a> {
    worker: &'a WorkerState,
    score: f64,
    /// Tail latency added above [`SOFT_LATENCY_LIMIT`], relative to the targets.
    harm: f64,
    /// Whether the task may be placed on the worker.
    allowed: bool,
}

impl Scheduler {
    /// Chooses the worker for a task under the current policy.
    pub(super) fn choose<'s>(
        &self,
        state: &'s PlacementState,
        req: &PlacementRequest<'_>,
        round: &mut Round,
    ) -> Choice<'s> {
        let has_room = |w: &&WorkerState| self.has_room(w, req, round);
        let baseline = match self.policy.fit {
            FitPolicy::Scored => return self.choose_scored(state, req, round),
            FitPolicy::FirstFit => state.workers().find(has_room),
            FitPolicy::BestFit => state.workers().filter(has_room).min_by_key(|w| {
                self.proposed_placements
                    .free(w)
                    .and_then(|f| f.checked_sub(&req.need))
                    .map(leftover)
            }),
        };
        let Some(worker) = baseline else {
            return Choice::NoRoom;
        };
        tracing::info!(
            target: "cyclamenloft::decision",
            task = %req.key, worker = %worker.record.id, fit = ?self.policy.fit,
            resumes = req.job.tasks[req.key.index as usize].checkpoint.is_some(), "place"
        );
        Choice::Worker(worker)
    }

    fn has_room(&self, worker: &WorkerState, req: &PlacementRequest<'_>, round: &Round) -> bool {
        let id = &worker.record.id;
        let Some(free) = self.proposed_placements.free(worker) else {
            return false;
        };
        let claimed = self.claims.reserved_above(req.job.spec.priority, id);
        free.checked_sub(&claimed).is_some_and(|free| req.need.fits_in(&free))
            && self.quarantine.allows(id, round.now)
    }

    fn choose_scored<'s>(
        &self,
        state: &'s PlacementState,
        req: &PlacementRequest<'_>,
        round: &mut Round,
    ) -> Choice<'s> {
        let found = self.first_candidates(state, req, round);
        if found.is_empty() {
            return Choice::NoRoom;
        }
        self.load_spread(state, &req.job.spec.id, round);
        let mut scored = self.score_all(state, req, &found, round);
        if !scored.iter().any(|s| s.allowed) {
            let more: Vec<&WorkerState> = state
                .candidates(req.need, SearchFrom::LeastFree)
                .filter(|w| self.has_room(w, req, round))
                .skip(CANDIDATES)
                .take(EXTRA_CANDIDATES)
                .collect();
            scored.extend(self.score_all(state, req, &more, round));
        }
        scored.retain(|s| s.allowed);
        scored.sort_by(|a, b| a.score.total_cmp(&b.score));
        let Some(best) = scored.first() else {
            return Choice::Harmful;
        };
        self.mark_trial_pairs(req, best.worker, round);
        log_choice(req, &scored);
        Choice::Worker(best.worker)
    }

    /// Returns the workers with room that are scored first: from both ends of the
    /// free-capacity index, and for replicas from many racks.
    fn first_candidates<'s>(
        &self,
        state: &'s PlacementState,
        req: &PlacementRequest<'_>,
        round: &Round,
    ) -> Vec<&'s WorkerState> {
        let mut found: Vec<&WorkerState> = Vec::with_capacity(2 * CANDIDATES);
        for from in [SearchFrom::LeastFree, SearchFrom::MostFree] {
            let with_room = state.candidates(req.need, from);
            let with_room = with_room.filter(|w| self.has_room(w, req, round));
            if from == SearchFrom::MostFree && req.job.spec.priority == Priority::Service {
                let mut racks: BTreeMap<&RackName, usize> = BTreeMap::new();
                let spread = with_room.take(MAX_RACK_SEARCH).filter(|w| {
                    let count = racks.entry(&w.record.rack).or_default();
                    *count += 1;
                    *count <= CANDIDATES_PER_RACK
                });
                add_missing(&mut found, spread.take(MAX_RACK_CANDIDATES));
            } else {
                add_missing(&mut found, with_room.take(CANDIDATES));
            }
        }
        found
    }

    fn score_all<'s>(
        &self,
        state: &'s PlacementState,
        req: &PlacementRequest<'_>,
        workers: &[&'s WorkerState],
        round: &mut Round,
    ) -> Vec<Scored<'s>> {
        let score = |worker: &&'s WorkerState| {
            self.load_occupants(state, worker, round);
            self.score(worker, req, round)
        };
        workers.iter().map(score).collect()
    }

    fn score<'s>(
        &self,
        worker: &'s WorkerState,
        req: &PlacementRequest<'_>,
        round: &Round,
    ) -> Scored<'s> {
        let (id, record) = (&worker.record.id, &worker.record);
        let free = self.proposed_placements.free(worker).unwrap_or_default();
        let after = free.checked_sub(&req.need).unwrap_or_default();
        let cpu = fraction(after.cpu_millis, record.capacity.cpu_millis);
        let memory = fraction(after.memory_mib, record.capacity.memory_mib);
        let wasted = req.need.accelerators == 0 && record.capacity.accelerators > 0;
        let mut score = LEFTOVER_WEIGHT * cpu.max(memory) + IMBALANCE_WEIGHT * (cpu - memory).abs();
        score += if wasted { WASTED_ACCELERATOR_WEIGHT } else { 0.0 };
        score += if req.job.failed_on.contains(id) { FAILED_HERE_WEIGHT } else { 0.0 };
        score += if self.has_missed_reports(id, round) { MISSED_REPORTS_WEIGHT } else { 0.0 };
        if req.job.spec.priority == Priority::Service
            && let Some(spread) = round.spreads.get(&req.job.spec.id)
        {
            let total = f64::from(spread.total.max(1));
            let here = spread.workers.get(id).copied().unwrap_or(0);
            let rack = spread.racks.get(&record.rack).copied().unwrap_or(0);
            score += SAME_WORKER_WEIGHT * f64::from(here);
            score += SAME_RACK_WEIGHT * f64::from(rack) / total;
        }
        let occupants = round.occupants.get(id).map(Vec::as_slice).unwrap_or_default();
        let harm = self.harm(worker, req, occupants, round);
        score += OVER_SOFT_LIMIT_WEIGHT * harm.over_soft_limit + ADDED_LATENCY_WEIGHT * harm.added;
        let avoided = self.avoided_classes.contains(id, &req.job.spec.class, round.now);
        let allowed = req.job.spec.priority != Priority::Batch || (harm.allowed && !avoided);
        Scored { worker, score, harm: harm.over_soft_limit, allowed }
    }

    /// Returns whether a worker missed its last reports. Such a worker may be
    /// gone or unreachable, and a task placed on it could not start elsewhere
    /// before the worker's lease expires.
    fn has_missed_reports(&self, worker: &WorkerId, round: &Round) -> bool {
        let limit = self.policy.report_period * MISSED_REPORT_PERIODS;
        let missed = |at| round.now.instant.duration_since(at) > limit;
        self.workers.get(worker).is_none_or(|v| missed(v.last_heard))
    }

    /// Predicts how the task would affect the services of a worker and, if it
    /// is a replica, how it would be affected by the other tasks on the worker.
    fn harm(
        &self,
        worker: &WorkerState,
        req: &PlacementRequest<'_>,
        occupants: &[Occupant],
        round: &Round,
    ) -> Harm {
        let spec = &req.job.spec;
        let cpu_share = self.learned.cpu_share(&spec.class, spec.resources, worker);
        let own = Neighbor { class: spec.class.clone(), cpu_share };
        let span = self.look_ahead(req);
        let mut harm = Harm { over_soft_limit: 0.0, added: 0.0, allowed: true };
        for (index, victim) in occupants.iter().enumerate() {
            let Some(load) = victim.service_load else {
                continue;
            };
            let class = &victim.neighbor.class;
            let expected_load = self.learned.profiles.peak_load(class, round.now.unix, span);
            let load = expected_load.map_or(load, |expected| expected.max(load));
            let other = |(n, o): (usize, &Occupant)| (n != index).then(|| o.neighbor.clone());
            let others: Vec<Neighbor> = occupants.iter().enumerate().filter_map(other).collect();
            let model = &self.learned.interference;
            let before = model.predict(class, load, &others);
            let added = model.effect(class, load, &own);
            harm.add(before, added);
            let unknown = model.is_unknown(class, &own.class);
            if unknown && self.is_on_trial(class, &own.class, round) {
                harm.allowed = false;
            }
        }
        if spec.priority == Priority::Service {
            let neighbors: Vec<Neighbor> = occupants.iter().map(|o| o.neighbor.clone()).collect();
            let expected_load = self.learned.profiles.peak_load(&spec.class, round.now.unix, span);
            let load = expected_load.unwrap_or(1.0);
            let alone = self.learned.interference.predict(&spec.class, load, &[]);
            let beside = self.learned.interference.predict(&spec.class, load, &neighbors);
            harm.add(alone, beside - alone);
        }
        harm
    }

    /// Returns the time over which loads are predicted for a task.
    fn look_ahead(&self, req: &PlacementRequest<'_>) -> Duration {
        let spec = &req.job.spec;
        if spec.run_time_ms == 0 {
            return DEFAULT_LOOK_AHEAD;
        }
        let declared = Duration::from_millis(spec.run_time_ms);
        self.learned.usage.expected_run_time(&spec.class, declared).min(MAX_LOOK_AHEAD)
    }
}

/// Adds the workers that are not in `found` yet.
fn add_missing<'s>(
    found: &mut Vec<&'s WorkerState>,
    workers: impl Iterator<Item = &'s WorkerState>,
) {
    for worker in workers {
        if !found.iter().any(|f| f.record.id == worker.record.id) {
            found.push(worker);
        }
    }
}

/// Predicted effect of a placement on tail latencies, relative to the targets.
struct Harm {
    /// Tail latency added above [`SOFT_LATENCY_LIMIT`], relative to the targets.
    over_soft_limit: f64,
    /// Total tail latency added.
    added: f64,
    /// Whether a batch task may be placed on the worker.
    allowed: bool,
}

impl Harm {
    fn add(&mut self, before: f64, added: f64) {
        let after = before + added;
        self.over_soft_limit +=
            (after - SOFT_LATENCY_LIMIT).max(0.0) - (before - SOFT_LATENCY_LIMIT).max(0.0);
        self.added += added;
        if added > NEGLIGIBLE_LATENCY && after > HARD_LATENCY_LIMIT {
            self.allowed = false;
        }
    }
}

fn fraction(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

fn leftover(r: Resources) -> (u32, u32, u16) {
    (r.cpu_millis, r.memory_mib, r.accelerators)
}

fn log_choice(req: &PlacementRequest<'_>, scored: &[Scored<'_>]) {
    let id = |n: usize| scored.get(n).map(|s| &*s.worker.record.id);
    let score = |n: usize| scored.get(n).map(|s| s.score);
    tracing::info!(
        target: "cyclamenloft::decision",
        task = %req.key,
        worker = id(0),
        score = score(0),
        harm = scored.first().map(|s| s.harm),
        second = id(1),
        second_score = score(1),
        third = id(2),
        third_score = score(2),
        reserved = %req.need,
        resumes = req.job.tasks[req.key.index as usize].checkpoint.is_some(),
        "place"
    );
}
