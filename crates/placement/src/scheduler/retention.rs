//! Removal of ended jobs and lost workers from the state, so that memory stays
//! bounded.

use super::Scheduler;
use crate::{command::Command, state::PlacementState, time::Timestamp};
use cyclamenloft_types::{JobId, WorkerId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Limit on the tasks of ended jobs that are kept.
const MAX_DONE_TASKS: usize = 100_000;
/// Number by which the ended jobs must exceed `retained_jobs` before that causes
/// a removal, so that one log entry removes many.
const MIN_REMOVED_JOBS: usize = 64;
/// Limit on the jobs removed by one log entry.
const MAX_REMOVED_JOBS: usize = 1024;
/// Time after which a worker that did not return is removed.
const REMOVE_WORKER_AFTER: Duration = Duration::from_secs(24 * 60 * 60);
/// Limit on the lost workers that are kept.
const MAX_LOST_WORKERS: usize = 4096;
/// Interval between checks of the lost workers.
const LOST_WORKERS_CHECK_INTERVAL: Duration = Duration::from_secs(60);
/// Minimum time between two proposals of removals.
const PROPOSAL_INTERVAL: Duration = Duration::from_secs(5);

/// Times at which workers were first seen as lost, and times of the last check
/// and of the last proposal.
#[derive(Debug, Default)]
pub(super) struct RetentionState {
    lost_since: BTreeMap<WorkerId, Instant>,
    last_check: Option<Instant>,
    last_proposal: Option<Instant>,
}

impl Scheduler {
    /// Proposes the removal of jobs and workers, if any is due.
    pub(super) fn propose_removals(
        &mut self,
        state: &PlacementState,
        now: Timestamp,
    ) -> Option<Command> {
        let within = |at: Instant, span| now.instant.duration_since(at) < span;
        if self.retention.last_proposal.is_some_and(|at| within(at, PROPOSAL_INTERVAL)) {
            return None;
        }
        let jobs = self.jobs_to_remove(state);
        let workers = match self.retention.last_check {
            Some(at) if within(at, LOST_WORKERS_CHECK_INTERVAL) => Vec::new(),
            _ => self.workers_to_remove(state, now),
        };
        if jobs.is_empty() && workers.is_empty() {
            return None;
        }
        self.retention.last_proposal = Some(now.instant);
        Some(Command::Forget { jobs, workers })
    }

    fn jobs_to_remove(&self, state: &PlacementState) -> Vec<JobId> {
        let (jobs, tasks) = state.done_counts();
        let surplus_jobs = jobs.saturating_sub(self.policy.retained_jobs);
        if surplus_jobs < MIN_REMOVED_JOBS && tasks <= MAX_DONE_TASKS {
            return Vec::new();
        }
        let mut tasks_left = tasks;
        let mut removed = Vec::new();
        for job in state.done_jobs().take(MAX_REMOVED_JOBS) {
            if removed.len() >= surplus_jobs && tasks_left <= MAX_DONE_TASKS {
                break;
            }
            tasks_left -= job.tasks.len();
            removed.push(job.spec.id.clone());
        }
        removed
    }

    fn workers_to_remove(&mut self, state: &PlacementState, now: Timestamp) -> Vec<WorkerId> {
        let tracked = &mut self.retention;
        tracked.last_check = Some(now.instant);
        tracked.lost_since.retain(|id, _| state.worker(id).is_some_and(|w| !w.alive));
        for id in state.lost_workers() {
            if !tracked.lost_since.contains_key(id) {
                tracked.lost_since.insert(id.clone(), now.instant);
            }
        }
        let mut since: Vec<(Instant, &WorkerId)> =
            tracked.lost_since.iter().map(|(id, at)| (*at, id)).collect();
        since.sort();
        let surplus = since.len().saturating_sub(MAX_LOST_WORKERS);
        let removed: Vec<WorkerId> = since
            .into_iter()
            .enumerate()
            .filter(|(n, (at, _))| {
                *n < surplus || now.instant.duration_since(*at) >= REMOVE_WORKER_AFTER
            })
            .map(|(_, (_, id))| id.clone())
            .collect();
        for id in &removed {
            self.quarantine.remove(id);
        }
        removed
    }
}
