//! Invariants of tasks.

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
struct TaskReplay<'a> {
    capacity: BTreeMap<&'a str, Resources>,
    running: BTreeMap<&'a str, Running<'a>>,
    last_attempt: BTreeMap<&'a str, u32>,
    /// The end of each finished task.
    finished: BTreeMap<&'a str, &'a Line>,
    /// The checkpoint of each evicted task that saved one, and the journal line of the end
    /// of that attempt.
    checkpoints: BTreeMap<&'a str, (&'a str, &'a Line)>,
}

/// Checks that no worker runs or is ordered to run tasks beyond its capacity, that no
/// task runs on two workers at once, that an evicted task resumes exactly once and from
/// its checkpoint, and that a finished task never runs again.
pub fn check(evidence: &Evidence) {
    let mut replay = TaskReplay::default();
    for line in &evidence.lines {
        match &line.event {
            Event::WorkerStarted { capacity, .. } => {
                replay.running.retain(|_, r| r.worker != &*line.who);
                replay.capacity.insert(&line.who, *capacity);
            }
            Event::TaskStarted { task, attempt, resources, checkpoint } => {
                replay.check_single_start(evidence, line, task, *attempt);
                replay.check_resume_point(evidence, line, task, checkpoint.as_deref());
                let running = Running {
                    worker: &line.who,
                    since_us: line.at_us,
                    attempt: *attempt,
                    resources: *resources,
                };
                replay.running.insert(task, running);
                replay.check_capacity(&line.who);
            }
            Event::StartRefused { task, attempt } => panic!(
                "worker {} was ordered to start {task} attempt {attempt} over its capacity",
                line.who
            ),
            Event::TaskEnded { task, attempt, end, checkpoint } => {
                replay.record_end(line, task, *attempt, *end, checkpoint.as_deref());
            }
            Event::RequestBegan { .. } | Event::RequestEnded { .. } => {}
        }
    }
}

impl<'a> TaskReplay<'a> {
    fn check_single_start(
        &mut self,
        evidence: &Evidence,
        line: &'a Line,
        task: &'a str,
        attempt: u32,
    ) {
        let who = &line.who;
        let before = self.last_attempt.insert(task, attempt).unwrap_or(0);
        assert!(before < attempt, "task {task}: {who} starts attempt {attempt} after {before}");
        if let Some(earlier) = self.running.remove(task) {
            assert!(
                evidence.was_disrupted(earlier.worker, earlier.since_us, line.at_us),
                "task {task}: {who} starts attempt {attempt} while {} runs attempt {}",
                earlier.worker,
                earlier.attempt
            );
        }
        if let Some(end) = self.finished.remove(task) {
            let may_be_unreported = evidence.may_be_unreported(end, line.at_us);
            assert!(
                may_be_unreported,
                "task {task}: {who} starts it after {} finished it",
                end.who
            );
        }
    }

    fn check_resume_point(
        &mut self,
        evidence: &Evidence,
        line: &'a Line,
        task: &'a str,
        checkpoint: Option<&'a str>,
    ) {
        if let Some((checkpoints, end)) = self.checkpoints.get(task)
            && !evidence.may_be_unreported(end, line.at_us)
        {
            let from = checkpoint.unwrap_or("its beginning");
            assert_eq!(
                from, *checkpoints,
                "task {task}: the evicted task does not resume from its checkpoint"
            );
        }
    }

    fn record_end(
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
            // An attempt that was replaced must not run to completion.
            assert!(current, "task {task}: {} finishes old attempt {attempt}", line.who);
            self.finished.insert(task, line);
        }
        if let Some(checkpoints) = checkpoint {
            self.checkpoints.insert(task, (checkpoints, line));
        }
    }

    fn check_capacity(&self, worker: &str) {
        let running = self.running.values().filter(|r| r.worker == worker);
        let sum = running.fold(Resources::ZERO, |sum, r| sum.checked_add(&r.resources).unwrap());
        let capacity = self.capacity[worker];
        assert!(sum.fits_in(&capacity), "worker {worker} runs {sum:?} in {capacity:?}");
    }
}
