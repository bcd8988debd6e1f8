//! Taking in the reports of workers.

use super::{Scheduler, view::Running};
use crate::{
    command::{Command, EndedAttempt},
    messages::{AttemptEnd, EndedTask, Report},
    state::{PlacementState, holder, is_over},
    time::Timestamp,
};
use cyclamenloft_types::{Error, ErrorKind, Priority, Result};
use std::{collections::BTreeMap, time::Duration};

/// Longest lag of measurements that is reckoned with.
const LONGEST_LAG: Duration = Duration::from_secs(60);
/// Other workers on which a job must have failed to be at fault itself.
const JOB_AT_FAULT: usize = 2;
/// First wait before a failed task is tried again; it doubles with each failure.
const FIRST_RETRY: Duration = Duration::from_secs(1);
/// Longest wait before a failed task is tried again.
const LONGEST_RETRY: Duration = Duration::from_secs(60);

impl Scheduler {
    /// Takes in a report and renews the worker's lease. The commands must be
    /// committed before the report is answered.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownWorker`] where the worker must announce itself first.
    pub fn report(
        &mut self,
        state: &PlacementState,
        report: &Report,
        now: Timestamp,
    ) -> Result<Vec<Command>> {
        let known =
            state.worker(&report.worker).is_some_and(|w| w.alive && w.record.boot == report.boot);
        // Once the loss is on its way into the log, a renewed lease would let
        // the worker go on with tasks that are about to be placed elsewhere.
        let losing = self
            .workers
            .get(&report.worker)
            .is_some_and(|v| v.boot == report.boot && v.losing.is_some());
        if !known || losing {
            return Err(Error::new(
                ErrorKind::UnknownWorker,
                format!("worker {:?} boot {}: announce first", report.worker, report.boot),
            ));
        }
        let lease_expires = self.lease_end(now);
        let view = self.view(&report.worker, report.boot, now);
        view.lease_expires = view.lease_expires.max(lease_expires);
        view.heard = now.instant;
        let newest = view.sequence.is_none_or(|last| report.sequence > last);
        let mut ended = self.ended(state, report, now);
        if newest {
            self.take_running(report, now);
            self.learn(state, report, now);
            self.watch(state, report, now);
            ended.extend(self.reconcile(state, report, now));
        }
        if ended.is_empty() { Ok(Vec::new()) } else { Ok(vec![Command::Ended(ended)]) }
    }

    fn take_running(&mut self, report: &Report, now: Timestamp) {
        let Some(view) = self.workers.get_mut(&report.worker) else {
            return;
        };
        view.sequence = Some(report.sequence);
        view.lag = Duration::from_millis(report.lag_ms).min(LONGEST_LAG);
        let mut known =
            if report.full { std::mem::take(&mut view.running) } else { BTreeMap::new() };
        for task in &report.running {
            let before = known.remove(&task.task).or_else(|| view.running.remove(&task.task));
            let since =
                before.filter(|r| r.last.attempt == task.attempt).map_or(now.instant, |r| r.since);
            view.running.insert(task.task.clone(), Running { last: task.clone(), since });
        }
        for ended in &report.ended {
            if view.running.get(&ended.task).is_some_and(|r| r.last.attempt <= ended.attempt) {
                view.running.remove(&ended.task);
            }
        }
    }

    /// The ends in a report that can still change the state.
    fn ended(
        &mut self,
        state: &PlacementState,
        report: &Report,
        now: Timestamp,
    ) -> Vec<EndedAttempt> {
        let mut ended = Vec::new();
        for end in &report.ended {
            let Some(task) = state.task(&end.task) else {
                continue;
            };
            let current = holder(&task.state)
                .map_or(!is_over(&task.state), |(w, _)| *w == report.worker)
                && task.attempt == end.attempt;
            if !current {
                tracing::debug!(task = %end.task, attempt = end.attempt, "end of an old attempt");
                continue;
            }
            self.hold_back(end, task.failures, now);
            self.judge(state, report, end, now);
            ended.push(EndedAttempt {
                task: end.task.clone(),
                attempt: end.attempt,
                end: end.end.clone(),
                max_failures: self.policy.max_failures,
            });
        }
        ended
    }

    /// Learns from an end whether the worker or the job is at fault.
    fn judge(&mut self, state: &PlacementState, report: &Report, end: &EndedTask, now: Timestamp) {
        let Some(job) = state.job(&end.task.job) else {
            return;
        };
        let worker = &report.worker;
        match end.end {
            AttemptEnd::Finished => {
                self.quarantine.finished(worker);
                let running = self.workers.get(worker).and_then(|v| v.running.get(&end.task));
                if let Some(running) = running.filter(|_| job.spec.priority == Priority::Batch) {
                    let declared = Duration::from_millis(job.spec.run_time_ms);
                    let ran = now.instant.duration_since(running.since);
                    self.learned.usage.ran(&job.spec.class, declared, ran, now.instant);
                }
            }
            AttemptEnd::Failed { .. } | AttemptEnd::Refused { .. } => {
                // A job that failed on several other workers is at fault itself.
                let others = job.failed_on.iter().filter(|w| *w != worker).count();
                if others < JOB_AT_FAULT {
                    self.quarantine.failed(worker, &end.task, now);
                }
            }
            AttemptEnd::Evicted { .. } | AttemptEnd::Stopped => {}
        }
    }

    /// Keeps a task that failed or was refused waiting for a while.
    fn hold_back(&mut self, end: &EndedTask, failures: u32, now: Timestamp) {
        self.retry_at.remove(&end.task);
        if matches!(end.end, AttemptEnd::Failed { .. } | AttemptEnd::Refused { .. }) {
            let wait = FIRST_RETRY.saturating_mul(1 << failures.min(16)).min(LONGEST_RETRY);
            self.retry_at.insert(end.task.clone(), now.instant + wait);
        }
    }
}
