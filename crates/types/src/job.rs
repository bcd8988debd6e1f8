//! Jobs and tasks in the form that submitters and operators see.

use crate::{
    AttemptNumber, CheckpointId, DomainName, Error, ErrorKind, JobClass, JobId, Resources, Result,
    TeamName, WorkerId, check_name,
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum number of tasks of a job.
pub const MAX_TASKS_PER_JOB: u32 = 10_000;
/// Maximum size of the payload that a worker receives with each start, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4096;

/// Scheduling priority of a job, ordered from lowest to highest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Batch work that waits for free capacity.
    #[default]
    Batch,
    /// Replicas of a latency-critical service.
    Service,
    /// Work that starts before all other waiting work.
    Urgent,
}

/// A job as submitted. [`JobSpec::check`] validates it before it is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Id chosen by the submitter. Submitting the same job again under this id has no
    /// effect.
    pub id: JobId,
    /// Team whose quota the job counts against.
    pub team: TeamName,
    /// Class under which resource usage and interference are learned.
    pub class: JobClass,
    /// Scheduling priority of the tasks.
    #[serde(default)]
    pub priority: Priority,
    /// Number of tasks (replicas, for a service).
    #[serde(default = "one_task")]
    pub tasks: u32,
    /// Declared resource request of each task.
    pub resources: Resources,
    /// Declared run time of a task in milliseconds; zero for a service.
    #[serde(default)]
    pub run_time_ms: u64,
    /// Milliseconds from submission until the job should be finished; `None`
    /// for no deadline.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Failure domain that must own the job; if absent, a domain is chosen by a hash of
    /// the id.
    #[serde(default)]
    pub home: Option<DomainName>,
    /// Opaque text that the worker receives with each start.
    #[serde(default)]
    pub payload: Box<str>,
}

fn one_task() -> u32 {
    1
}

impl JobSpec {
    /// Validates the names and limits of a submitted job.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadRequest`] with the key, the expected range and
    /// the value found.
    pub fn check(&self) -> Result<()> {
        check_name("job id", &self.id)?;
        check_name("team", &self.team)?;
        check_name("class", &self.class)?;
        if let Some(home) = &self.home {
            check_name("home", home)?;
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS_PER_JOB {
            return Err(out_of_range("tasks", 1..=u64::from(MAX_TASKS_PER_JOB), self.tasks));
        }
        if self.resources.cpu_millis == 0 {
            return Err(out_of_range("resources.cpu_millis", 1..=u64::from(u32::MAX), 0u32));
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            let found = self.payload.len() as u64;
            return Err(out_of_range("payload bytes", 0..=MAX_PAYLOAD_BYTES as u64, found));
        }
        Ok(())
    }
}

fn out_of_range(
    key: &str,
    expected: std::ops::RangeInclusive<u64>,
    found: impl Into<u64>,
) -> Error {
    let detail = format!(
        "key {key:?} of the job: expected {}..={}, found {}",
        expected.start(),
        expected.end(),
        found.into()
    );
    Error::new(ErrorKind::BadRequest, detail)
}

/// Identifies one task: a job and the task's index in it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Index within the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// State of a task, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum TaskState {
    /// The task waits for free capacity.
    Waiting {
        /// Checkpoint from which an evicted task resumes, if there is one.
        checkpoint: Option<CheckpointId>,
    },
    /// The task has a reservation on a worker, which may be running it.
    Placed {
        /// The worker that holds the reservation.
        worker: WorkerId,
        /// The attempt that the worker may run.
        attempt: AttemptNumber,
    },
    /// The worker was asked to checkpoint and stop the task, and has not
    /// confirmed yet.
    Evicting {
        /// The worker that still holds the reservation.
        worker: WorkerId,
        /// The attempt being evicted.
        attempt: AttemptNumber,
    },
    /// The task ran to completion.
    Finished,
    /// The task failed too often to be retried.
    Failed,
    /// An operator or submitter cancelled the task.
    Cancelled,
    /// The task fits no existing worker.
    CannotRun,
}

/// State of a job for status responses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// The job as submitted.
    pub spec: JobSpec,
    /// State of each task, by index.
    pub tasks: Vec<TaskState>,
    /// The reason why the job waits or can't run, as text for operators.
    pub reason: Box<str>,
}
