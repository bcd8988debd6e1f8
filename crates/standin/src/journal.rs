//! A record of what a stand-in did, one JSON line for each event, by which a
//! test checks promises after the fact.

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
    /// A target began to work on a request.
    RequestBegan {
        /// The request's own number, from the load generator's header.
        number: Box<str>,
        /// Requests in flight at the target, this one included.
        in_flight: usize,
        /// Whether the target had announced that it is leaving.
        leaving: bool,
    },
    /// A target wrote the whole answer.
    RequestEnded {
        /// The request's own number.
        number: Box<str>,
    },
    /// A worker came up.
    WorkerStarted {
        /// This start of the worker.
        boot: u64,
        /// What it holds.
        capacity: Resources,
    },
    /// A worker started an attempt.
    TaskStarted {
        /// The task.
        task: Box<str>,
        /// The attempt.
        attempt: u32,
        /// What is reserved for it.
        resources: Resources,
        /// The checkpoint that it resumed from.
        checkpoint: Option<Box<str>>,
    },
    /// A worker was ordered to start an attempt that it has no room for.
    StartRefused {
        /// The task.
        task: Box<str>,
        /// The attempt.
        attempt: u32,
    },
    /// A worker's attempt came to an end.
    TaskEnded {
        /// The task.
        task: Box<str>,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        end: TaskEnd,
        /// The checkpoint that it left behind.
        checkpoint: Option<Box<str>>,
    },
}

/// How an attempt ended on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEnd {
    /// It ran to its end.
    Finished,
    /// It failed by itself.
    Failed,
    /// It was checkpointed and stopped as ordered.
    Evicted,
    /// It was stopped as ordered.
    Stopped,
    /// The worker stopped it because its lease ran out.
    LeaseExpired,
    /// The worker stopped it because the worker itself was stopped.
    WorkerStopped,
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Wall clock in microseconds since the Unix epoch; all stand-ins of a test
    /// run on one machine.
    pub at_us: u64,
    /// The stand-in.
    pub who: Box<str>,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// Where a stand-in writes its events; nowhere where no file is given.
#[derive(Debug)]
pub struct Journal {
    who: Box<str>,
    file: RefCell<Option<File>>,
}

impl Journal {
    /// A journal of `who`, appended to `file`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadSetting`] where the file can't be opened.
    pub fn open(who: &str, file: Option<&Path>) -> Result<Self> {
        let open = |path: &Path| {
            OpenOptions::new().create(true).append(true).open(path).map_err(|e| {
                Error::new(ErrorKind::BadSetting, format!("journal {}: {e}", path.display()))
            })
        };
        let file = file.map(open).transpose()?;
        Ok(Self { who: who.into(), file: RefCell::new(file) })
    }

    /// Writes an event. One write a line, so that a killed process leaves whole lines.
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

/// Reads the lines of a journal.
///
/// # Errors
///
/// [`ErrorKind::Corrupt`] naming the line.
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
