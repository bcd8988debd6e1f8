//! Submissions: steps of identical tasks, with dependencies between the steps.

use super::{command_size::encoded_len, routes::QueueKey};
use cyclamenloft_types::{Error, ErrorKind, RackName, Resources, Result};
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Id of a submission, chosen by the client and written as 16 hexadecimal digits.
pub type SubmissionId = u64;

/// Maximum number of tasks of one submission, over all its occurrences: twice as
/// many as fill a site of 500 workers.
pub const MAX_TASKS: u64 = 20_000;
/// Maximum number of tasks of a gang. A gang is placed with one log entry, whose size is limited.
pub const MAX_GANG_TASKS: u16 = 7_500;
/// Maximum number of steps of one submission.
pub const MAX_STEPS: usize = 256;
/// Maximum length of the text handed to each task, as the users' interface
/// states.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Maximum size of an encoded submission, in bytes. It fits into a log entry together with the
/// policy of its queue.
pub const MAX_SUBMISSION_BYTES: usize = 240 << 10;

/// One task of one occurrence of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The submission.
    pub submission: SubmissionId,
    /// Occurrence, counted from 0. It is 0 if the submission runs once.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: u16,
    /// Index of the task in the step, counted from 0.
    pub index: u16,
}

/// One step of one occurrence of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The submission.
    pub submission: SubmissionId,
    /// Occurrence, counted from 0.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: u16,
}

impl TaskId {
    /// Returns the step that the task belongs to.
    #[must_use]
    pub fn step_id(&self) -> StepId {
        let Self { submission, occurrence, step, .. } = *self;
        StepId { submission, occurrence, step }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { submission, occurrence, step } = self;
        write!(f, "{submission:016x}.{occurrence}.{step}")
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { submission, occurrence, step, index } = self;
        write!(f, "{submission:016x}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(raw: &str) -> Result<Self> {
        let bad = || {
            let shown: String = raw.chars().take(64).collect();
            Error::new(ErrorKind::BadRequest, format!("task {shown:?}: expected ID.K.STEP.INDEX"))
        };
        let mut parts = raw.split('.');
        let mut next = || parts.next().ok_or_else(bad);
        let submission = parse_id(next()?).map_err(|_| bad())?;
        let occurrence = next()?.parse().map_err(|_| bad())?;
        let step = next()?.parse().map_err(|_| bad())?;
        let index = next()?.parse().map_err(|_| bad())?;
        if parts.next().is_some() {
            return Err(bad());
        }
        Ok(Self { submission, occurrence, step, index })
    }
}

/// Parses a submission's id.
///
/// # Errors
///
/// Returns `BadRequest` if `raw` isn't 16 lower-case hexadecimal digits.
pub fn parse_id(raw: &str) -> Result<SubmissionId> {
    let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let parsed = (raw.len() == 16 && raw.bytes().all(digit))
        .then(|| u64::from_str_radix(raw, 16).ok())
        .flatten();
    parsed.ok_or_else(|| {
        let shown: String = raw.chars().take(32).collect();
        Error::new(
            ErrorKind::BadRequest,
            format!("submission {shown:?}: expected 16 hexadecimal digits"),
        )
    })
}

/// A step of a submission: a number of tasks with the same requirements.
///
/// A task is long-running, best-effort or short. A long-running task
/// (`lasting`) runs until its submission is cancelled; with a latency target
/// (`target_ms`) it is a latency-critical task. A best-effort task (`fills`)
/// reserves no CPU time. All others are short tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task needs.
    pub demand: Resources,
    /// The client's rough estimate of a task's duration, in milliseconds.
    pub estimate_ms: u32,
    /// Earlier steps that must be done before this one starts.
    pub depends_on: Vec<u16>,
    /// Whether the tasks checkpoint their progress.
    pub checkpoints: bool,
    /// Whether the tasks form a gang, that is, make progress only while all of them
    /// run.
    pub gang: bool,
    /// Whether the gang slows down if it spans racks.
    pub same_rack: bool,
    /// Label that the worker must have, if any.
    pub label: Option<Box<str>>,
    /// Rack that holds the data, if any. Tasks are slower on other racks.
    pub rack: Option<RackName>,
    /// Maximum number of tasks of one occurrence of the step on one worker; 0 is
    /// no limit.
    pub max_per_worker: u16,
    /// Whether speculative copies of a task may run in parallel.
    pub copies: bool,
    /// Whether the tasks are long-running: they run until the submission is
    /// cancelled.
    pub lasting: bool,
    /// Image that the tasks run. Tasks of one image behave alike.
    pub image: Option<Box<str>>,
    /// Target for the tail latency of a long-running task, in milliseconds.
    pub target_ms: Option<u32>,
    /// Whether the tasks are best-effort: they use the CPU time that other
    /// tasks leave unused.
    pub fills: bool,
    /// Maximum number of tasks that the system may interrupt at the same time;
    /// `None` means no limit.
    pub max_interrupted: Option<u16>,
}

impl Step {
    /// Returns the resources that a task reserves on its worker. A best-effort
    /// task reserves no CPU time.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        let cpu_millis = if self.fills { 0 } else { self.demand.cpu_millis };
        Resources { cpu_millis, ..self.demand }
    }

    /// Returns the number of bytes that the step takes in memory.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        let texts = [&self.label, &self.rack, &self.image];
        let texts: usize = texts.into_iter().flatten().map(|text| text.len()).sum();
        size_of::<Self>() + self.depends_on.len() * size_of::<u16>() + texts
    }
}

/// A checked submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Id chosen by the client.
    pub id: SubmissionId,
    /// Queue that it was submitted to.
    pub queue: QueueKey,
    /// Text handed to each task.
    pub payload: Box<str>,
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// Time at which occurrence 0 is due, in milliseconds since the Unix epoch;
    /// 0 means immediately.
    pub first_due_ms: u64,
    /// Time from one occurrence to the next, in milliseconds.
    pub interval_ms: u64,
    /// Number of times that the steps run.
    pub occurrences: u32,
}

impl Submission {
    /// Returns the time at which occurrence `k` is due, in milliseconds since
    /// the Unix epoch.
    #[must_use]
    pub fn due_ms(&self, k: u32) -> u64 {
        self.first_due_ms.saturating_add(self.interval_ms.saturating_mul(u64::from(k)))
    }

    /// Checks the limits and the dependencies between the steps.
    ///
    /// # Errors
    ///
    /// Returns `BadRequest`, which names the step and the field.
    pub fn check(&self) -> Result<()> {
        let bad = |what: String| Err(Error::new(ErrorKind::BadRequest, what));
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return bad(format!("steps: expected 1..={MAX_STEPS}, found {}", self.steps.len()));
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            let len = self.payload.len();
            return bad(format!(
                "payload: expected at most {MAX_PAYLOAD_BYTES} bytes, found {len}"
            ));
        }
        let size = encoded_len(self);
        if size > MAX_SUBMISSION_BYTES {
            return bad(format!(
                "submission: expected at most {MAX_SUBMISSION_BYTES} bytes, found {size}"
            ));
        }
        let mut tasks = 0u64;
        for (i, step) in self.steps.iter().enumerate() {
            tasks += u64::from(step.count);
            if step.count == 0 {
                return bad(format!("step {i}: count: expected at least 1, found 0"));
            }
            if step.gang && step.count > MAX_GANG_TASKS {
                let count = step.count;
                return bad(format!(
                    "step {i}: count: expected at most {MAX_GANG_TASKS} tasks of a gang, found {count}"
                ));
            }
            if let Some(d) = step.depends_on.iter().find(|d| usize::from(**d) >= i) {
                return bad(format!("step {i}: depends on step {d}: expected an earlier step"));
            }
        }
        tasks = tasks.saturating_mul(u64::from(self.occurrences.max(1)));
        if tasks > MAX_TASKS {
            return bad(format!("tasks: expected at most {MAX_TASKS}, found {tasks}"));
        }
        if self.occurrences == 0 {
            return bad("occurrences: expected at least 1, found 0".into());
        }
        Ok(())
    }
}
