//! Promises on tasks.

use super::Evidence;
use cyclamenloft_standin::journal::{Event, Line, TaskEnd};
use cyclamenloft_types::Resources;
use std::collections::BTreeMap;

struct Running<'a> {
    worker: &'a str,
    since_us: u64,
    attempt: u32,
    resources: Resources,
}

#[derive(Default)]
struct Replay<'a> {
    capacity: BTreeMap<&'a str, Resources>,
    running: BTreeMap<&'a str, Running<'a>>,
    last: BTreeMap<&'a str, u32>,
    /// The end of each finished task.
    finished: BTreeMap<&'a str, &'a Line>,
    /// The end of each evicted task that left a checkpoint, and the checkpoint.
    saved: BTreeMap<&'a str, (&'a str, &'a Line)>,
}

/// Checks: no worker over its capacity, no task in two places, evicted work
/// resumed exactly once and from where it was, finished work never run again.
pub fn check(evidence: &Evidence) {
    let mut replay = Replay::default();
    for line in &evidence.lines {
        match &line.event {
            Event::WorkerStarted { capacity, .. } => {
                replay.running.retain(|_, r| r.worker != &*line.who);
                replay.capacity.insert(&line.who, *capacity);
            }
            Event::TaskStarted { task, attempt, resources, checkpoint } => {
                replay.starts_once(evidence, line, task, *attempt);
                replay.resumes_where_it_was(evidence, line, task, checkpoint.as_deref());
                let running = Running {
                    worker: &line.who,
                    since_us: line.at_us,
                    attempt: *attempt,
                    resources: *resources,
                };
                replay.running.insert(task, running);
                replay.fits(&line.who);
            }
            Event::StartRefused { task, attempt } => panic!(
                "worker {} was ordered to start {task} attempt {attempt} over its capacity",
                line.who
            ),
            Event::TaskEnded { task, attempt, end, checkpoint } => {
                replay.ends(line, task, *attempt, *end, checkpoint.as_deref());
            }
            Event::RequestBegan { .. } | Event::RequestEnded { .. } => {}
        }
    }
}

impl<'a> Replay<'a> {
    fn starts_once(&mut self, evidence: &Evidence, line: &'a Line, task: &'a str, attempt: u32) {
        let who = &line.who;
        let before = self.last.insert(task, attempt).unwrap_or(0);
        assert!(before < attempt, "task {task}: {who} starts attempt {attempt} after {before}");
        if let Some(earlier) = self.running.remove(task) {
            assert!(
                evidence.went_away(earlier.worker, earlier.since_us, line.at_us),
                "task {task}: {who} starts attempt {attempt} while {} runs attempt {}",
                earlier.worker,
                earlier.attempt
            );
        }
        if let Some(end) = self.finished.remove(task) {
            let untold = evidence.untold(end, line.at_us);
            assert!(untold, "task {task}: {who} starts it after {} finished it", end.who);
        }
    }

    fn resumes_where_it_was(
        &mut self,
        evidence: &Evidence,
        line: &'a Line,
        task: &'a str,
        checkpoint: Option<&'a str>,
    ) {
        if let Some((saved, end)) = self.saved.get(task)
            && !evidence.untold(end, line.at_us)
        {
            let from = checkpoint.unwrap_or("its beginning");
            assert_eq!(from, *saved, "task {task}: evicted work resumes from elsewhere");
        }
    }

    fn ends(
        &mut self,
        line: &'a Line,
        task: &'a str,
        attempt: u32,
        end: TaskEnd,
        checkpoint: Option<&'a str>,
    ) {
        let current = self.running.get(task).is_some_and(|r| r.attempt == attempt);
        if current {
            self.running.remove(task);
        }
        if end == TaskEnd::Finished {
            // An attempt that was replaced must not go on to its end.
            assert!(current, "task {task}: {} finishes old attempt {attempt}", line.who);
            self.finished.insert(task, line);
        }
        if let Some(saved) = checkpoint {
            self.saved.insert(task, (saved, line));
        }
    }

    fn fits(&self, worker: &str) {
        let held = self.running.values().filter(|r| r.worker == worker);
        let sum = held.fold(Resources::ZERO, |sum, r| sum.checked_add(&r.resources).unwrap());
        let capacity = self.capacity[worker];
        assert!(sum.fits_in(&capacity), "worker {worker} runs {sum:?} in {capacity:?}");
    }
}
