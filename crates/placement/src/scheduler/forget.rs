//! Forgetting jobs that are over and workers that are gone, so that memory
//! stays bounded.

use super::Scheduler;
use crate::{command::Command, state::PlacementState, time::Timestamp};
use cyclamenloft_types::{JobId, WorkerId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Most tasks of jobs that are over that are remembered.
const MAX_DONE_TASKS: usize = 100_000;
/// Fewest jobs forgotten by one log entry, so that entries stay few.
const MIN_FORGOTTEN: usize = 64;
/// Most jobs forgotten by one log entry.
const MAX_FORGOTTEN: usize = 1024;
/// Time after which a worker that did not return is forgotten.
const FORGET_WORKER_AFTER: Duration = Duration::from_secs(24 * 60 * 60);
/// Most lost workers that are remembered.
const MAX_LOST_WORKERS: usize = 4096;
/// Time between two looks at the lost workers.
const CHECK_EVERY: Duration = Duration::from_secs(60);
/// Time for which a proposal to forget is not repeated.
const PROPOSAL_PAUSE: Duration = Duration::from_secs(5);

/// When workers were first seen to be lost.
#[derive(Debug, Default)]
pub(super) struct Forgetting {
    lost_since: BTreeMap<WorkerId, Instant>,
    checked: Option<Instant>,
    proposed: Option<Instant>,
}

impl Scheduler {
    /// The jobs and workers to forget now.
    pub(super) fn forget(&mut self, state: &PlacementState, now: Timestamp) -> Option<Command> {
        let paused = |at: Instant, pause| now.instant.duration_since(at) < pause;
        if self.forgetting.proposed.is_some_and(|at| paused(at, PROPOSAL_PAUSE)) {
            return None;
        }
        let jobs = self.jobs_to_forget(state);
        let workers = match self.forgetting.checked {
            Some(at) if paused(at, CHECK_EVERY) => Vec::new(),
            _ => self.workers_to_forget(state, now),
        };
        if jobs.is_empty() && workers.is_empty() {
            return None;
        }
        self.forgetting.proposed = Some(now.instant);
        Some(Command::Forget { jobs, workers })
    }

    fn jobs_to_forget(&self, state: &PlacementState) -> Vec<JobId> {
        let (jobs, tasks) = state.done_counts();
        let too_many = jobs.saturating_sub(self.policy.remembered_jobs);
        if too_many < MIN_FORGOTTEN && tasks <= MAX_DONE_TASKS {
            return Vec::new();
        }
        let mut tasks_left = tasks;
        let mut forgotten = Vec::new();
        for job in state.done_jobs().take(MAX_FORGOTTEN) {
            if forgotten.len() >= too_many && tasks_left <= MAX_DONE_TASKS {
                break;
            }
            tasks_left -= job.tasks.len();
            forgotten.push(job.spec.id.clone());
        }
        forgotten
    }

    fn workers_to_forget(&mut self, state: &PlacementState, now: Timestamp) -> Vec<WorkerId> {
        let forgetting = &mut self.forgetting;
        forgetting.checked = Some(now.instant);
        forgetting.lost_since.retain(|id, _| state.worker(id).is_some_and(|w| !w.alive));
        for id in state.lost_workers() {
            if !forgetting.lost_since.contains_key(id) {
                forgetting.lost_since.insert(id.clone(), now.instant);
            }
        }
        let mut since: Vec<(Instant, &WorkerId)> =
            forgetting.lost_since.iter().map(|(id, at)| (*at, id)).collect();
        since.sort();
        let surplus = since.len().saturating_sub(MAX_LOST_WORKERS);
        let forgotten: Vec<WorkerId> = since
            .into_iter()
            .enumerate()
            .filter(|(n, (at, _))| {
                *n < surplus || now.instant.duration_since(*at) >= FORGET_WORKER_AFTER
            })
            .map(|(_, (_, id))| id.clone())
            .collect();
        for id in &forgotten {
            self.quarantine.forget(id);
        }
        forgotten
    }
}
