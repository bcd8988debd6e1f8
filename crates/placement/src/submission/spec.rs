//! What is submitted: steps of equal tasks that depend on each other.

use super::routes::QueueKey;
use cyclamenloft_types::{Error, ErrorKind, RackName, Resources, Result};
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Id of a submission, which the client chooses: 16 hexadecimal digits.
pub type SubmissionId = u64;

/// Most tasks of one submission: twice what fills a site of 500 workers.
pub const MAX_TASKS: u64 = 20_000;
/// Most steps of one submission.
pub const MAX_STEPS: usize = 256;
/// Longest text handed to each task, in bytes, as the users' interface states.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// One task of one occurrence of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The submission.
    pub submission: SubmissionId,
    /// Occurrence, counted from 0; 0 where the submission runs once.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: u16,
    /// Task inside the step, counted from 0.
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
    /// The step that the task belongs to.
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
/// `BadRequest` where it isn't 16 lower-case hexadecimal digits.
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

/// Tasks of one shape.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Tasks of the step.
    pub count: u16,
    /// What each task needs.
    pub demand: Resources,
    /// Rough duration of a task, in milliseconds, as the client states it.
    pub estimate_ms: u32,
    /// Earlier steps that must be done first.
    pub depends_on: Vec<u16>,
    /// The tasks checkpoint their progress.
    pub checkpoints: bool,
    /// The tasks work only together.
    pub gang: bool,
    /// A gang slows down where it spans racks.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub label: Option<Box<str>>,
    /// Rack where the data is; the work is slower elsewhere.
    pub rack: Option<RackName>,
    /// Most tasks of one occurrence of the step on one worker; 0 is no limit.
    pub max_per_worker: u16,
    /// Copies of a task may run in parallel.
    pub copies: bool,
    /// The tasks run until the submission is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Box<str>>,
    /// Bound on the tail latency of a lasting task, in milliseconds.
    pub target_ms: Option<u32>,
    /// The tasks take the processor time that others leave unused.
    pub fills: bool,
    /// Most tasks that the system may have interrupted at once.
    pub max_interrupted: Option<u16>,
}

impl Step {
    /// What a task reserves of a worker. A task that fills reserves no
    /// processor time.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        let cpu_millis = if self.fills { 0 } else { self.demand.cpu_millis };
        Resources { cpu_millis, ..self.demand }
    }
}

/// A checked submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Id that the client chose.
    pub id: SubmissionId,
    /// Queue that it was handed to.
    pub queue: QueueKey,
    /// Text handed to each task.
    pub payload: Box<str>,
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// When occurrence 0 is due, in milliseconds since 1970; 0 is at once.
    pub first_due_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// How often the steps run.
    pub occurrences: u32,
}

impl Submission {
    /// When occurrence `k` is due, in milliseconds since 1970.
    #[must_use]
    pub fn due_ms(&self, k: u32) -> u64 {
        self.first_due_ms.saturating_add(self.interval_ms.saturating_mul(u64::from(k)))
    }

    /// Checks the parts against each other.
    ///
    /// # Errors
    ///
    /// `BadRequest` naming the step and the field.
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
        let mut tasks = 0u64;
        for (i, step) in self.steps.iter().enumerate() {
            tasks += u64::from(step.count);
            if step.count == 0 {
                return bad(format!("step {i}: count: expected at least 1, found 0"));
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
