//! Choosing the worker for one task.

use super::{
    Scheduler,
    round::{Occupant, Round},
};
use crate::{
    learn::interference::Neighbour,
    policy::FitPolicy,
    state::{Job, PlacementState, SearchFrom, WorkerState},
};
use cyclamenloft_types::{Priority, RackName, Resources, TaskKey, WorkerId};
use std::{collections::BTreeMap, time::Duration};

/// Workers scored from each end of the index.
const CANDIDATES: usize = 12;
/// Workers of one rack that are scored for a replica.
const CANDIDATES_PER_RACK: usize = 2;
/// Workers that are scored for a replica to spread it over racks.
const MAX_RACK_CANDIDATES: usize = 36;
/// Workers looked at to find as many racks.
const MAX_RACK_SEARCH: usize = 256;
/// Workers looked at where the first ones would all be harmed.
const MORE_CANDIDATES: usize = 48;
/// Tail latency, relative to the target, above which harm counts in full.
const COMFORT: f64 = 0.75;
/// Tail latency, relative to the target, that a batch task may not bring about.
const HARM_LIMIT: f64 = 0.95;
/// Added tail latency that is never refused.
const HARMLESS: f64 = 0.005;
/// Span for which the load around a task without a run time is looked ahead.
const LOOK_AHEAD: Duration = Duration::from_secs(60 * 60);
/// Longest span for which the load around a batch task is looked ahead.
const MAX_LOOK_AHEAD: Duration = Duration::from_secs(8 * 60 * 60);

const HARM_WEIGHT: f64 = 10.0;
const SMALL_HARM_WEIGHT: f64 = 1.0;
const LEFTOVER_WEIGHT: f64 = 0.2;
const IMBALANCE_WEIGHT: f64 = 0.3;
const SAME_WORKER_WEIGHT: f64 = 2.0;
const SAME_RACK_WEIGHT: f64 = 1.0;
const FAILED_HERE_WEIGHT: f64 = 3.0;
const WASTED_ACCELERATOR_WEIGHT: f64 = 0.5;
const SILENT_WEIGHT: f64 = 3.0;
/// Report periods after which a worker that was not heard of counts as silent.
const SILENT_PERIODS: u32 = 2;

/// A task that wants a worker.
pub(super) struct Want<'a> {
    pub(super) key: &'a TaskKey,
    pub(super) job: &'a Job,
    pub(super) need: Resources,
}

/// Where a task goes.
pub(super) enum Choice<'a> {
    Worker(&'a WorkerState),
    NoRoom,
    Harmful,
}

struct Scored<'a> {
    worker: &'a WorkerState,
    score: f64,
    harm: f64,
    allowed: bool,
}

impl Scheduler {
    /// Chooses the worker for a task.
    pub(super) fn choose<'s>(
        &self,
        state: &'s PlacementState,
        want: &Want<'_>,
        round: &mut Round,
    ) -> Choice<'s> {
        let room = |w: &&WorkerState| self.has_room(w, want, round);
        let baseline = match self.policy.fit {
            FitPolicy::Scored => return self.choose_scored(state, want, round),
            FitPolicy::FirstFit => state.workers().find(room),
            FitPolicy::BestFit => state.workers().filter(room).min_by_key(|w| {
                self.planned.free(w).and_then(|f| f.checked_sub(&want.need)).map(leftover)
            }),
        };
        let Some(worker) = baseline else {
            return Choice::NoRoom;
        };
        tracing::info!(
            target: "cyclamenloft::decision",
            task = %want.key, worker = %worker.record.id, fit = ?self.policy.fit,
            resumes = want.job.tasks[want.key.index as usize].checkpoint.is_some(), "place"
        );
        Choice::Worker(worker)
    }

    fn has_room(&self, worker: &WorkerState, want: &Want<'_>, round: &Round) -> bool {
        let id = &worker.record.id;
        let Some(free) = self.planned.free(worker) else {
            return false;
        };
        let claimed = self.claims.held_against(want.job.spec.priority, id);
        free.checked_sub(&claimed).is_some_and(|free| want.need.fits_in(&free))
            && self.quarantine.allows(id, round.now)
    }

    fn choose_scored<'s>(
        &self,
        state: &'s PlacementState,
        want: &Want<'_>,
        round: &mut Round,
    ) -> Choice<'s> {
        let found = self.first_candidates(state, want, round);
        if found.is_empty() {
            return Choice::NoRoom;
        }
        self.know_spread(state, &want.job.spec.id, round);
        let mut scored = self.score_all(state, want, &found, round);
        if !scored.iter().any(|s| s.allowed) {
            let more: Vec<&WorkerState> = state
                .candidates(want.need, SearchFrom::LeastFree)
                .filter(|w| self.has_room(w, want, round))
                .skip(CANDIDATES)
                .take(MORE_CANDIDATES)
                .collect();
            scored.extend(self.score_all(state, want, &more, round));
        }
        scored.retain(|s| s.allowed);
        scored.sort_by(|a, b| a.score.total_cmp(&b.score));
        let Some(best) = scored.first() else {
            return Choice::Harmful;
        };
        self.try_pairs(want, best.worker, round);
        log_choice(want, &scored);
        Choice::Worker(best.worker)
    }

    /// The workers with room that are scored first: from both ends of the
    /// index, and for replicas from many racks.
    fn first_candidates<'s>(
        &self,
        state: &'s PlacementState,
        want: &Want<'_>,
        round: &Round,
    ) -> Vec<&'s WorkerState> {
        let mut found: Vec<&WorkerState> = Vec::with_capacity(2 * CANDIDATES);
        for from in [SearchFrom::LeastFree, SearchFrom::MostFree] {
            let rooms = state.candidates(want.need, from);
            let rooms = rooms.filter(|w| self.has_room(w, want, round));
            if from == SearchFrom::MostFree && want.job.spec.priority == Priority::Service {
                let mut racks: BTreeMap<&RackName, usize> = BTreeMap::new();
                let spread = rooms.take(MAX_RACK_SEARCH).filter(|w| {
                    let count = racks.entry(&w.record.rack).or_default();
                    *count += 1;
                    *count <= CANDIDATES_PER_RACK
                });
                add_new(&mut found, spread.take(MAX_RACK_CANDIDATES));
            } else {
                add_new(&mut found, rooms.take(CANDIDATES));
            }
        }
        found
    }

    fn score_all<'s>(
        &self,
        state: &'s PlacementState,
        want: &Want<'_>,
        workers: &[&'s WorkerState],
        round: &mut Round,
    ) -> Vec<Scored<'s>> {
        let score = |worker: &&'s WorkerState| {
            self.know_occupants(state, worker, round);
            self.score(worker, want, round)
        };
        workers.iter().map(score).collect()
    }

    fn score<'s>(&self, worker: &'s WorkerState, want: &Want<'_>, round: &Round) -> Scored<'s> {
        let (id, record) = (&worker.record.id, &worker.record);
        let free = self.planned.free(worker).unwrap_or_default();
        let after = free.checked_sub(&want.need).unwrap_or_default();
        let cpu = part(after.cpu_millis, record.capacity.cpu_millis);
        let memory = part(after.memory_mib, record.capacity.memory_mib);
        let wasted = want.need.accelerators == 0 && record.capacity.accelerators > 0;
        let mut score = LEFTOVER_WEIGHT * cpu.max(memory) + IMBALANCE_WEIGHT * (cpu - memory).abs();
        score += if wasted { WASTED_ACCELERATOR_WEIGHT } else { 0.0 };
        score += if want.job.failed_on.contains(id) { FAILED_HERE_WEIGHT } else { 0.0 };
        score += if self.is_silent(id, round) { SILENT_WEIGHT } else { 0.0 };
        if want.job.spec.priority == Priority::Service
            && let Some(spread) = round.spreads.get(&want.job.spec.id)
        {
            let total = f64::from(spread.total.max(1));
            let here = spread.workers.get(id).copied().unwrap_or(0);
            let rack = spread.racks.get(&record.rack).copied().unwrap_or(0);
            score += SAME_WORKER_WEIGHT * f64::from(here);
            score += SAME_RACK_WEIGHT * f64::from(rack) / total;
        }
        let occupants = round.occupants.get(id).map(Vec::as_slice).unwrap_or_default();
        let harm = self.harm(worker, want, occupants, round);
        score += HARM_WEIGHT * harm.over_comfort + SMALL_HARM_WEIGHT * harm.added;
        let avoided = self.avoided.contains(id, &want.job.spec.class, round.now);
        let allowed = want.job.spec.priority != Priority::Batch || (harm.allowed && !avoided);
        Scored { worker, score, harm: harm.over_comfort, allowed }
    }

    /// Whether a worker missed its last reports: it may be gone or cut off, and
    /// a start there would have to wait for its lease to expire.
    fn is_silent(&self, worker: &WorkerId, round: &Round) -> bool {
        let patience = self.policy.report_period * SILENT_PERIODS;
        let silent = |at| round.now.instant.duration_since(at) > patience;
        self.workers.get(worker).is_none_or(|v| silent(v.heard))
    }

    /// What the task would do to the services of a worker, and they to it.
    fn harm(
        &self,
        worker: &WorkerState,
        want: &Want<'_>,
        occupants: &[Occupant],
        round: &Round,
    ) -> Harm {
        let spec = &want.job.spec;
        let share = self.learned.share(&spec.class, spec.resources, worker);
        let own = Neighbour { class: spec.class.clone(), share };
        let span = self.look_ahead(want);
        let mut harm = Harm { over_comfort: 0.0, added: 0.0, allowed: true };
        for (index, victim) in occupants.iter().enumerate() {
            let Some(load) = victim.service_load else {
                continue;
            };
            let class = &victim.neighbour.class;
            let ahead = self.learned.profiles.largest(class, round.now.unix, span);
            let load = ahead.map_or(load, |ahead| ahead.max(load));
            let around = |(n, o): (usize, &Occupant)| (n != index).then(|| o.neighbour.clone());
            let others: Vec<Neighbour> = occupants.iter().enumerate().filter_map(around).collect();
            let model = &self.learned.interference;
            let before = model.predict(class, load, &others);
            let added = model.effect(class, load, &own);
            harm.count(before, added);
            let unknown = model.is_unknown(class, &own.class);
            if unknown && self.is_tried(class, &own.class, round) {
                harm.allowed = false;
            }
        }
        if spec.priority == Priority::Service {
            let around: Vec<Neighbour> = occupants.iter().map(|o| o.neighbour.clone()).collect();
            let ahead = self.learned.profiles.largest(&spec.class, round.now.unix, span);
            let load = ahead.unwrap_or(1.0);
            let alone = self.learned.interference.predict(&spec.class, load, &[]);
            let beside = self.learned.interference.predict(&spec.class, load, &around);
            harm.count(alone, beside - alone);
        }
        harm
    }

    fn look_ahead(&self, want: &Want<'_>) -> Duration {
        let spec = &want.job.spec;
        if spec.run_time_ms == 0 {
            return LOOK_AHEAD;
        }
        let declared = Duration::from_millis(spec.run_time_ms);
        self.learned.usage.expected_run(&spec.class, declared).min(MAX_LOOK_AHEAD)
    }
}

fn add_new<'s>(found: &mut Vec<&'s WorkerState>, workers: impl Iterator<Item = &'s WorkerState>) {
    for worker in workers {
        if !found.iter().any(|f| f.record.id == worker.record.id) {
            found.push(worker);
        }
    }
}

struct Harm {
    /// How far the tail latency of services is driven beyond comfort.
    over_comfort: f64,
    /// How far it is driven at all.
    added: f64,
    allowed: bool,
}

impl Harm {
    fn count(&mut self, before: f64, added: f64) {
        let after = before + added;
        self.over_comfort += (after - COMFORT).max(0.0) - (before - COMFORT).max(0.0);
        self.added += added;
        if added > HARMLESS && after > HARM_LIMIT {
            self.allowed = false;
        }
    }
}

fn part(of: u32, whole: u32) -> f64 {
    f64::from(of) / f64::from(whole.max(1))
}

fn leftover(r: Resources) -> (u32, u32, u16) {
    (r.cpu_millis, r.memory_mib, r.accelerators)
}

fn log_choice(want: &Want<'_>, scored: &[Scored<'_>]) {
    let id = |n: usize| scored.get(n).map(|s| &*s.worker.record.id);
    let score = |n: usize| scored.get(n).map(|s| s.score);
    tracing::info!(
        target: "cyclamenloft::decision",
        task = %want.key,
        worker = id(0),
        score = score(0),
        harm = scored.first().map(|s| s.harm),
        second = id(1),
        second_score = score(1),
        third = id(2),
        third_score = score(2),
        reserved = %want.need,
        resumes = want.job.tasks[want.key.index as usize].checkpoint.is_some(),
        "place"
    );
}
