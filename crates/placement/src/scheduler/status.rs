//! Status of a placement group, as shown to operators.

use super::{Scheduler, round::HoldReason};
use crate::{
    state::{PlacementState, Totals},
    time::Timestamp,
};
use cyclamenloft_types::{
    JobClass, Priority, RackName, Resources, TaskKey, TaskState, TeamName, WorkerId,
};
use serde::Serialize;
use std::time::Duration;

/// Limit on the groups of waiting tasks in a status.
const MAX_HELD_GROUPS: usize = 64;

/// Status of a placement group.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// The known workers, including lost ones that are not removed yet.
    pub workers: Vec<WorkerStatus>,
    /// Capacity of the workers that are alive.
    pub capacity: Totals,
    /// Resources reserved on these workers.
    pub reserved: Totals,
    /// Waiting tasks by priority.
    pub queue: QueueDepth,
    /// Waiting tasks that the last placement round held back, and why.
    pub held: Vec<HeldTasks>,
    /// Number of ended jobs that are kept.
    pub done_jobs: usize,
}

/// Waiting tasks by priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct QueueDepth {
    /// Urgent tasks.
    pub urgent: usize,
    /// Replicas of services.
    pub service: usize,
    /// Batch tasks.
    pub batch: usize,
}

/// Status of one worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: RackName,
    /// Whether it is registered and not counted as lost.
    pub alive: bool,
    /// Its capacity.
    pub capacity: Resources,
    /// Its resources that are not reserved.
    pub free: Resources,
    /// Number of tasks placed on it.
    pub tasks: usize,
    /// Milliseconds until its lease expires.
    pub lease_ms: u64,
    /// Milliseconds until a quarantined worker may be probed; 0 once it may be,
    /// `None` if the worker isn't quarantined.
    pub quarantined_ms: Option<u64>,
    /// Its throttled tasks.
    pub throttled: Vec<ThrottledTask>,
}

/// A task that is throttled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ThrottledTask {
    /// The task.
    pub task: TaskKey,
    /// CPU limit in percent of the reservation.
    pub cpu_percent: u8,
}

/// Waiting tasks of the same team, class, priority and size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HeldTasks {
    /// Their team.
    pub team: TeamName,
    /// Their class.
    pub class: JobClass,
    /// Their priority.
    pub priority: Priority,
    /// Declared resources of each task.
    pub needs: Resources,
    /// Number of tasks.
    pub tasks: usize,
    /// Why they are held back.
    pub reason: Box<str>,
}

impl Scheduler {
    /// Returns the status of the group.
    #[must_use]
    pub fn status(&self, state: &PlacementState, now: Timestamp) -> Status {
        let held = self.holds.iter().filter_map(|(number, reason)| {
            let (group, tasks) = state.group(number)?;
            Some(HeldTasks {
                team: group.team.clone(),
                class: group.class.clone(),
                priority: group.priority,
                needs: group.resources,
                tasks: tasks.len(),
                reason: reason.as_str().into(),
            })
        });
        Status {
            workers: self.worker_statuses(state, now),
            capacity: state.capacity(),
            reserved: state.reserved(),
            queue: QueueDepth {
                urgent: state.waiting_count(Priority::Urgent),
                service: state.waiting_count(Priority::Service),
                batch: state.waiting_count(Priority::Batch),
            },
            held: held.take(MAX_HELD_GROUPS).collect(),
            done_jobs: state.done_counts().0,
        }
    }

    fn worker_statuses(&self, state: &PlacementState, now: Timestamp) -> Vec<WorkerStatus> {
        let status = |w: &crate::state::WorkerState| {
            let id = &w.record.id;
            let view = self.workers.get(id);
            let throttles = view.into_iter().flat_map(|v| &v.throttles);
            let left = |at| millis_until(now, at);
            WorkerStatus {
                worker: id.clone(),
                rack: w.record.rack.clone(),
                alive: w.alive,
                capacity: w.record.capacity,
                free: w.free().unwrap_or_default(),
                tasks: w.tasks.len(),
                lease_ms: view.map_or(0, |v| left(v.lease_expires)),
                quarantined_ms: self.quarantine.until(id).map(left),
                throttled: throttles
                    .map(|(task, t)| ThrottledTask { task: task.clone(), cpu_percent: t.percent })
                    .collect(),
            }
        };
        state.workers().map(status).collect()
    }

    /// Returns why the waiting tasks of a job were held back in the last placement
    /// round, if they were.
    #[must_use]
    pub fn hold_reason(&self, state: &PlacementState, job: &str) -> Option<HoldReason> {
        let job = state.job(job)?;
        let waits = job.tasks.iter().any(|t| matches!(t.state, TaskState::Waiting { .. }));
        let number = state.group_of(&job.spec).filter(|_| waits)?;
        self.holds.get(number)
    }
}

fn millis_until(now: Timestamp, until: std::time::Instant) -> u64 {
    let left: Duration = until.saturating_duration_since(now.instant);
    left.as_millis() as u64
}
