//! The journal of a stand-in: one JSON line for each event. Tests check it for
//! violated invariants after a run.

use cyclamenloft_types::{Error, ErrorKind, Resources, Result};
use serde::{Deserialize, Serialize};
use std::{
    cell::RefCell,
    fs::{File, OpenOptions},
    io::Write,
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

/// One event of a stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// A target started to process a request.
    RequestBegan {
        /// The number that the load generator gave the request in a header.
        number: Box<str>,
        /// Requests in flight at the target, this one included.
        in_flight: usize,
        /// Whether the target had already announced that it is leaving.
        leaving: bool,
    },
    /// A target finished processing a request and is about to respond.
    RequestEnded {
        /// The number of the request.
        number: Box<str>,
    },
    /// A worker started.
    WorkerStarted {
        /// Identifies this start of the worker.
        boot: u64,
        /// The worker's total resources.
        capacity: Resources,
    },
    /// A worker started an attempt.
    TaskStarted {
        /// The task.
        task: Box<str>,
        /// The attempt.
        attempt: u32,
        /// The resources reserved for the attempt.
        resources: Resources,
        /// The checkpoint from which the attempt resumed; `None` if it started from the
        /// beginning.
        checkpoint: Option<Box<str>>,
    },
    /// A worker refused to start an attempt that exceeds its free capacity.
    StartRefused {
        /// The task.
        task: Box<str>,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt ended on a worker.
    TaskEnded {
        /// The task.
        task: Box<str>,
        /// The attempt.
        attempt: u32,
        /// How the attempt ended.
        end: TaskEnd,
        /// The checkpoint that was saved at the end, if any.
        checkpoint: Option<Box<str>>,
    },
}

/// How an attempt ended on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEnd {
    /// The attempt ran to completion.
    Finished,
    /// The attempt failed.
    Failed,
    /// An order evicted the attempt: it was checkpointed and stopped.
    Evicted,
    /// An order stopped the attempt.
    Stopped,
    /// The worker stopped the attempt because the worker's lease expired.
    LeaseExpired,
    /// The worker stopped the attempt because the worker was shutting down.
    WorkerStopped,
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Wall clock in microseconds since the Unix epoch. Times of all stand-ins of a test
    /// are comparable, because they run on one machine.
    pub at_us: u64,
    /// Name of the stand-in.
    pub who: Box<str>,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// Writes the events of a stand-in to a file, or discards them if there is none.
#[derive(Debug)]
pub struct Journal {
    who: Box<str>,
    file: RefCell<Option<File>>,
}

impl Journal {
    /// Opens a journal of `who` that is appended to `file`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadSetting`] if the file can't be opened.
    pub fn open(who: &str, file: Option<&Path>) -> Result<Self> {
        let open = |path: &Path| {
            OpenOptions::new().create(true).append(true).open(path).map_err(|e| {
                Error::new(ErrorKind::BadSetting, format!("journal {}: {e}", path.display()))
            })
        };
        let file = file.map(open).transpose()?;
        Ok(Self { who: who.into(), file: RefCell::new(file) })
    }

    /// Writes an event. Each line takes a single write, so that a killed process leaves
    /// only whole lines.
    pub fn write(&self, event: Event) {
        let mut file = self.file.borrow_mut();
        let Some(file) = file.as_mut() else {
            return;
        };
        let at_us = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| u64::try_from(t.as_micros()).unwrap_or(u64::MAX));
        let line = Line { at_us, who: self.who.clone(), event };
        let written = serde_json::to_vec(&line).map_err(std::io::Error::from).and_then(|mut l| {
            l.push(b'\n');
            file.write_all(&l)
        });
        if let Err(e) = written {
            tracing::error!(error = %e, "journal line lost");
        }
    }
}

/// Reads all lines of a journal.
///
/// # Errors
///
/// [`ErrorKind::Corrupt`] if the file can't be read or a line can't be parsed; the
/// message then names the line.
pub fn read(path: &Path) -> Result<Vec<Line>> {
    let corrupt = |what: String| {
        Error::new(ErrorKind::Corrupt, format!("journal {}: {what}", path.display()))
    };
    let text = std::fs::read_to_string(path).map_err(|e| corrupt(e.to_string()))?;
    text.lines()
        .enumerate()
        .map(|(n, line)| {
            serde_json::from_str(line).map_err(|e| corrupt(format!("line {}: {e}", n + 1)))
        })
        .collect()
}
