//! Jobs and tasks as submitters and operators see them.

use crate::{
    AttemptNumber, CheckpointId, DomainName, Error, ErrorKind, JobClass, JobId, Resources, Result,
    TeamName, WorkerId, check_name,
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Most tasks that one job may have.
pub const MAX_TASKS_PER_JOB: u32 = 10_000;
/// Longest payload handed to a worker with each start, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4096;

/// How urgently a job's tasks are started; the order is from last to first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Batch work that waits for room.
    #[default]
    Batch,
    /// Replicas of a latency-critical service.
    Service,
    /// Work that starts before everything else that waits.
    Urgent,
}

/// A job as submitted. Checked by [`JobSpec::check`] before it is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Id chosen by the submitter; submitting the same spec again is idempotent.
    pub id: JobId,
    /// Team whose quota the job uses.
    pub team: TeamName,
    /// Class under which sizes and interference are learned.
    pub class: JobClass,
    /// How urgently tasks are started.
    #[serde(default)]
    pub priority: Priority,
    /// Number of tasks (replicas, for a service).
    #[serde(default = "one_task")]
    pub tasks: u32,
    /// What each task declares to need.
    pub resources: Resources,
    /// Declared run time of a task in milliseconds; zero for a service.
    #[serde(default)]
    pub run_time_ms: u64,
    /// Milliseconds from submission until the job should be finished, if it matters.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Failure domain that must own the job; chosen by hash where absent.
    #[serde(default)]
    pub home: Option<DomainName>,
    /// Opaque text handed to the worker with each start.
    #[serde(default)]
    pub payload: Box<str>,
}

fn one_task() -> u32 {
    1
}

impl JobSpec {
    /// Checks every bound of a submitted job.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] naming the key, what was expected and what was found.
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

/// Names one task: a job and the task's position in it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Position inside the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Where a task stands, with the reason that an operator is shown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum TaskState {
    /// Waits for room; `checkpoint` is where an evicted task resumes.
    Waiting {
        /// Checkpoint to resume from, if the task ran before.
        checkpoint: Option<CheckpointId>,
    },
    /// Reserved on a worker; the worker may be running it.
    Placed {
        /// The worker that holds the reservation.
        worker: WorkerId,
        /// The attempt that the worker may run.
        attempt: AttemptNumber,
    },
    /// Asked to checkpoint and stop; the worker has not confirmed yet.
    Evicting {
        /// The worker that still holds the reservation.
        worker: WorkerId,
        /// The attempt being evicted.
        attempt: AttemptNumber,
    },
    /// Ran to its end.
    Finished,
    /// Failed too often to be tried again.
    Failed,
    /// Cancelled by an operator or submitter.
    Cancelled,
    /// Fits no worker that exists.
    CannotRun,
}

/// Summary of a job for status answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// The job as submitted.
    pub spec: JobSpec,
    /// State of each task, by position.
    pub tasks: Vec<TaskState>,
    /// Why the job waits or can't run, in words for an operator.
    pub reason: Box<str>,
}
