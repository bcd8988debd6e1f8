//! Traces of a placement group, and their replay against expected outcomes.
//!
//! A trace is a file of JSON lines, each of which is an [`Event`] with its time.
//! [`TraceWriter`] records the announcements, reports, submissions and
//! cancellations of a run; the actual resource usage and run times of tasks are
//! then derived from the reports. A trace written by hand or by a generator
//! states them in [`Event::Class`] and [`Event::Pair`] instead. [`replay`] runs
//! the scheduler in the time of the trace.

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
pub struct TimedEvent {
    /// Milliseconds since the start of the trace.
    pub at: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// An event of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// Settings of the run, on the first line.
    Start {
        /// Name of the trace.
        name: Box<str>,
        /// Wall clock at the start, in milliseconds since the Unix epoch.
        unix_ms: u64,
        /// Milliseconds between reports of a worker.
        report_ms: u64,
        /// Duration of leases in milliseconds.
        lease_ms: u64,
        /// Age of the measurements in a report, in milliseconds.
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
        /// Whether every task of the job fails on any worker.
        #[serde(default)]
        fails: bool,
    },
    /// Many identical jobs were submitted at once, and cancelled later.
    Wave {
        /// The spec of the jobs; a number is appended to the id for each job.
        spec: JobSpec,
        /// Number of jobs.
        count: u32,
        /// Milliseconds until one command cancels all jobs.
        cancelled_after_ms: u64,
    },
    /// Jobs were cancelled.
    Cancel {
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// A worker crashed and restarted with a new boot.
    Crash {
        /// The worker.
        worker: WorkerId,
        /// Milliseconds until the worker announces itself again.
        down_ms: u64,
    },
    /// A worker was cut off from the network.
    Cut {
        /// The worker.
        worker: WorkerId,
        /// Duration of the network partition in milliseconds.
        cut_ms: u64,
    },
    /// From now on every task that starts on the worker fails.
    FailsAll {
        /// The worker.
        worker: WorkerId,
    },
    /// The actual behavior of the tasks of a class.
    Class(ClassModel),
    /// The interference that tasks of a class cause to a service on the same worker.
    Pair {
        /// Class of the service.
        victim: JobClass,
        /// Class of the other task.
        aggressor: JobClass,
        /// Increase of the tail latency, relative to the target, that a task using
        /// all of the worker's CPU would cause at a load of 1.
        weight: f64,
    },
    /// Bounds that the replay must meet, on the last line.
    Bounds(Bounds),
}

/// The actual behavior of the tasks of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassModel {
    /// The class.
    pub class: JobClass,
    /// Actual CPU usage, relative to the declared usage.
    #[serde(default = "one")]
    pub cpu_ratio: f64,
    /// Actual memory usage, relative to the declared usage.
    #[serde(default = "one")]
    pub memory_ratio: f64,
    /// Actual run time, relative to the declared run time.
    #[serde(default = "one")]
    pub run_ratio: f64,
    /// Whether the tasks can be checkpointed.
    #[serde(default)]
    pub checkpoints: bool,
    /// The behavior of the replicas, if the class is a service.
    #[serde(default)]
    pub service: Option<ServiceModel>,
}

fn one() -> f64 {
    1.0
}

/// The actual behavior of the replicas of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceModel {
    /// Target of the 99th percentile of the latency, in microseconds.
    pub p99_us: u64,
    /// Tail latency without load, relative to the target.
    pub idle: f64,
    /// Tail latency at a load of 1 without neighbors, relative to the target.
    pub busy: f64,
    /// Load of a replica for each hour of the day, in percent of its design load.
    pub load_percent: Vec<u16>,
    /// Minutes by which the daily load curve shifts later each day.
    #[serde(default)]
    pub drift_minutes: f64,
}

/// Bounds that the outcome of a replay must meet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// Maximum time from submission to the start of an urgent task, in
    /// milliseconds.
    pub urgent_start_ms: u64,
    /// Minimum batch throughput, relative to that of first fit.
    pub batch_of_first_fit: f64,
    /// Minimum ratio of the share of service reports over target with first fit
    /// to that of the replay.
    pub over_target_factor: f64,
    /// Minimum ratio of the number of evictions with best fit to that of the
    /// replay.
    pub evictions_factor: f64,
}

/// Reads a trace.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] with the number of the invalid line.
pub fn read(reader: impl BufRead) -> Result<Vec<TimedEvent>> {
    let invalid_line = |number: usize, e: &dyn std::fmt::Display| {
        Error::new(ErrorKind::BadRequest, format!("trace line {}: {e}", number + 1))
    };
    let mut entries = Vec::new();
    for (number, line) in reader.lines().enumerate() {
        let line = line.map_err(|e| invalid_line(number, &e))?;
        if !line.trim().is_empty() {
            entries.push(serde_json::from_str(&line).map_err(|e| invalid_line(number, &e))?);
        }
    }
    entries.sort_by_key(|e: &TimedEvent| e.at);
    Ok(entries)
}

/// Writes a trace event by event.
#[derive(Debug)]
pub struct TraceWriter<W> {
    writer: W,
}

impl<W: Write> TraceWriter<W> {
    /// Creates a trace that is written to `writer`.
    pub fn new(writer: W) -> Self {
        Self { writer }
    }

    /// Writes one event.
    ///
    /// # Errors
    ///
    /// Returns the error of the underlying writer.
    pub fn write(&mut self, at: u64, event: Event) -> std::io::Result<()> {
        serde_json::to_writer(&mut self.writer, &TimedEvent { at, event })?;
        self.writer.write_all(b"\n")
    }
}
