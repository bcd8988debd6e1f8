//! Traces of a placement group, and their replay against stated outcomes.
//!
//! A trace is a file of JSON lines, each an [`Event`] with its time. A run
//! records announcements, reports, submissions and cancellations through
//! [`TraceWriter`]; what tasks really use and how long they really run is then
//! worked out from the reports. A trace that was written by hand or by a
//! generator states it in [`Event::Class`] and [`Event::Pair`] instead.
//! [`replay`] drives the decisions with the trace's time.

mod compare;
mod driver;
mod outcome;
mod worker;
mod workload;

pub use compare::{Comparison, compare};
pub use driver::replay;
pub use outcome::{InvariantViolations, Outcome};

use crate::messages::{Announcement, Report};
use cyclamenloft_types::{Error, ErrorKind, JobClass, JobId, JobSpec, Result, WorkerId};
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Milliseconds since the start of the trace.
    pub at: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What a trace tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// Settings of the run; the first line.
    Start {
        /// Name of the trace.
        name: Box<str>,
        /// Wall clock at the start, in milliseconds since the Unix epoch.
        unix_ms: u64,
        /// Milliseconds between reports of a worker.
        report_ms: u64,
        /// Length of leases in milliseconds.
        lease_ms: u64,
        /// Milliseconds that measurements lag behind.
        lag_ms: u64,
        /// Seed of the noise in measurements.
        seed: u64,
    },
    /// A worker announced itself.
    Announce(Announcement),
    /// A worker reported.
    Report(Report),
    /// A job was submitted.
    Submit {
        /// The job.
        spec: JobSpec,
        /// Whether each of its tasks fails wherever it runs.
        #[serde(default)]
        fails: bool,
    },
    /// Many equal jobs were submitted at once, and cancelled a while later.
    Wave {
        /// The jobs, whose ids get numbers behind them.
        spec: JobSpec,
        /// How many.
        count: u32,
        /// Milliseconds until all are cancelled by one command.
        cancelled_after_ms: u64,
    },
    /// Jobs were cancelled.
    Cancel {
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// A worker failed and came back with a new boot.
    Crash {
        /// The worker.
        worker: WorkerId,
        /// Milliseconds until it announces itself again.
        down_ms: u64,
    },
    /// A worker could neither send nor receive.
    Cut {
        /// The worker.
        worker: WorkerId,
        /// For how many milliseconds.
        cut_ms: u64,
    },
    /// From now on each task that starts on the worker fails.
    FailsAll {
        /// The worker.
        worker: WorkerId,
    },
    /// What tasks of a class really do.
    Class(ClassModel),
    /// What a class beside a service really does to it.
    Pair {
        /// Class of the service.
        victim: JobClass,
        /// Class of the other task.
        aggressor: JobClass,
        /// Tail latency, relative to the target, that a task adds for each
        /// whole of the worker's processors that it uses, at a load of 1.
        weight: f64,
    },
    /// What must come out; the last line.
    Bounds(Bounds),
}

/// What tasks of a class really do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassModel {
    /// The class.
    pub class: JobClass,
    /// Real use of processors, relative to what is declared.
    #[serde(default = "one")]
    pub cpu_ratio: f64,
    /// Real use of memory, relative to what is declared.
    #[serde(default = "one")]
    pub memory_ratio: f64,
    /// Real run time, relative to what is declared.
    #[serde(default = "one")]
    pub run_ratio: f64,
    /// Whether its tasks can be checkpointed.
    #[serde(default)]
    pub checkpoints: bool,
    /// For services.
    #[serde(default)]
    pub service: Option<ServiceModel>,
}

fn one() -> f64 {
    1.0
}

/// What the replicas of a service really do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceModel {
    /// Bound of the 99th percentile in microseconds.
    pub p99_us: u64,
    /// Tail latency without load, relative to the target.
    pub idle: f64,
    /// Tail latency at a load of 1 without neighbours, relative to the target.
    pub busy: f64,
    /// Load of a replica for each hour of the day, in percent of what it is sized for.
    pub load_percent: Vec<u16>,
    /// Minutes by which the day's load moves later each day.
    #[serde(default)]
    pub drift_minutes: f64,
}

/// What must come out of a replay.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// Longest time to the start of an urgent task, in milliseconds.
    pub urgent_start_ms: u64,
    /// Least batch throughput, relative to first fit's.
    pub batch_of_first_fit: f64,
    /// How many times fewer service reports over target than with first fit.
    pub over_target_factor: f64,
    /// How many times fewer evictions than with best fit.
    pub evictions_factor: f64,
}

/// Reads a trace.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] naming the line.
pub fn read(reader: impl BufRead) -> Result<Vec<Entry>> {
    let bad = |number: usize, e: &dyn std::fmt::Display| {
        Error::new(ErrorKind::BadRequest, format!("trace line {}: {e}", number + 1))
    };
    let mut entries = Vec::new();
    for (number, line) in reader.lines().enumerate() {
        let line = line.map_err(|e| bad(number, &e))?;
        if !line.trim().is_empty() {
            entries.push(serde_json::from_str(&line).map_err(|e| bad(number, &e))?);
        }
    }
    entries.sort_by_key(|e: &Entry| e.at);
    Ok(entries)
}

/// Writes a trace as a run goes on.
#[derive(Debug)]
pub struct TraceWriter<W> {
    writer: W,
}

impl<W: Write> TraceWriter<W> {
    /// A trace that is written to `to`.
    pub fn new(writer: W) -> Self {
        Self { writer }
    }

    /// Writes one event.
    ///
    /// # Errors
    ///
    /// What the writer fails with.
    pub fn write(&mut self, at: u64, event: Event) -> std::io::Result<()> {
        serde_json::to_writer(&mut self.writer, &Entry { at, event })?;
        self.writer.write_all(b"\n")
    }
}
