//! Encoding of snapshots. Workers, jobs and the lease bound are written;
//! everything else is derived from them when a snapshot is decoded.

use super::{Job, PlacementState, WorkerState, holder, jobs::live_count};
use crate::command::WorkerRecord;
use cyclamenloft_types::{Error, ErrorKind, LogIndex, Resources, Result, TaskKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

#[derive(Serialize)]
struct SnapshotRef<'a> {
    workers: Vec<(&'a WorkerRecord, bool, LogIndex)>,
    jobs: Vec<&'a Job>,
    lease_bound_ms: u64,
}

#[derive(Deserialize)]
struct Snapshot {
    workers: Vec<(WorkerRecord, bool, LogIndex)>,
    jobs: Vec<Job>,
    lease_bound_ms: u64,
}

pub(super) fn encode(state: &PlacementState) -> Vec<u8> {
    let workers = state.workers.values().map(|w| (&w.record, w.alive, w.registered)).collect();
    let jobs = state.jobs.values().collect();
    let snapshot = SnapshotRef { workers, jobs, lease_bound_ms: state.lease_bound_ms };
    postcard::to_stdvec(&snapshot).expect("encoding the placement state does not fail")
}

pub(super) fn decode(bytes: &[u8]) -> Result<PlacementState> {
    let snapshot: Snapshot = postcard::from_bytes(bytes).map_err(|e| corrupt(&e.to_string()))?;
    let mut state =
        PlacementState { lease_bound_ms: snapshot.lease_bound_ms, ..PlacementState::default() };
    for (record, alive, registered) in snapshot.workers {
        let (id, capacity) = (record.id.clone(), record.capacity);
        if state.workers.contains_key(&id) {
            return Err(corrupt("duplicate worker"));
        }
        let (reserved, tasks) = (Resources::ZERO, BTreeSet::new());
        let worker = WorkerState { record, alive, registered, reserved, tasks };
        state.change_worker(&id, |entry| *entry = Some(worker));
        state.change_capacity_counts(None, Some(capacity));
    }
    for job in snapshot.jobs {
        if state.jobs.contains_key(&job.spec.id) || job.live != live_count(&job) {
            return Err(corrupt("duplicate job, or wrong count of unfinished tasks"));
        }
        if job.tasks.len() != job.spec.tasks as usize {
            return Err(corrupt("a job's number of tasks differs from its spec"));
        }
        if (job.live == 0) != job.done_at.is_some() {
            return Err(corrupt("a job's end disagrees with the states of its tasks"));
        }
        restore_reservations(&mut state, &job)?;
        state.insert_job(job);
    }
    Ok(state)
}

fn restore_reservations(state: &mut PlacementState, job: &Job) -> Result<()> {
    for (index, task) in job.tasks.iter().enumerate() {
        let Some((worker, _)) = holder(&task.state) else {
            continue;
        };
        let key = TaskKey { job: job.spec.id.clone(), index: index as u32 };
        let total = state
            .workers
            .get(worker)
            .filter(|w| w.alive)
            .and_then(|w| w.reserved.checked_add(&task.reserved))
            .ok_or_else(|| corrupt("a reservation has no live worker, or overflows"))?;
        state.change_worker(worker, |entry| {
            if let Some(w) = entry {
                w.reserved = total;
                w.tasks.insert(key);
            }
        });
        state.index.teams.entry(job.spec.team.clone()).or_default().add(&task.reserved);
    }
    Ok(())
}

fn corrupt(what: &str) -> Error {
    Error::new(ErrorKind::Corrupt, format!("placement snapshot: {what}"))
}
