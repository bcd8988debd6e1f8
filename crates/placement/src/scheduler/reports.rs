//! Handling of reports from workers.

use super::{Scheduler, view::ReportedTask};
use crate::{
    command::{Command, EndedAttempt},
    messages::{AttemptEnd, EndedTask, Report},
    state::{PlacementState, holder, is_over},
    time::Timestamp,
};
use cyclamenloft_types::{Error, ErrorKind, Priority, Result};
use std::{collections::BTreeMap, time::Duration};

/// Maximum lag of the measurements that is accepted from a report.
const MAX_MEASUREMENT_LAG: Duration = Duration::from_secs(60);
/// Number of other workers on which a job must have failed before its failures
/// are attributed to the job instead of the worker.
const MIN_OTHER_FAILED_WORKERS: usize = 2;
/// Initial delay before a failed task is retried; it doubles with each failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest delay before a failed task is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

impl Scheduler {
    /// Handles a report and renews the worker's lease. The returned commands must be
    /// committed before the report is answered.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::UnknownWorker`] if the worker must announce itself first.
    pub fn report(
        &mut self,
        state: &PlacementState,
        report: &Report,
        now: Timestamp,
    ) -> Result<Vec<Command>> {
        let known =
            state.worker(&report.worker).is_some_and(|w| w.alive && w.record.boot == report.boot);
        // Once the worker's loss is proposed, a renewed lease would let it go on
        // running tasks that are about to be placed elsewhere.
        let loss_proposed = self
            .workers
            .get(&report.worker)
            .is_some_and(|v| v.boot == report.boot && v.loss_proposed_at.is_some());
        if !known || loss_proposed {
            return Err(Error::new(
                ErrorKind::UnknownWorker,
                format!(
                    "worker {:?} with boot {} must announce itself first",
                    report.worker, report.boot
                ),
            ));
        }
        let lease_expires = self.lease_expiry(now);
        let view = self.view_mut(&report.worker, report.boot, now);
        view.lease_expires = view.lease_expires.max(lease_expires);
        view.last_heard = now.instant;
        let newest = view.sequence.is_none_or(|last| report.sequence > last);
        let mut ended = self.process_ends(state, report, now);
        if newest {
            self.update_running(report, now);
            self.learn_from_report(state, report, now);
            self.track_services(state, report, now);
            ended.extend(self.reconcile(state, report, now));
        }
        if ended.is_empty() { Ok(Vec::new()) } else { Ok(vec![Command::Ended(ended)]) }
    }

    /// Updates the running tasks of a worker from its newest report.
    fn update_running(&mut self, report: &Report, now: Timestamp) {
        let Some(view) = self.workers.get_mut(&report.worker) else {
            return;
        };
        view.sequence = Some(report.sequence);
        view.measurement_lag = Duration::from_millis(report.lag_ms).min(MAX_MEASUREMENT_LAG);
        let mut previous =
            if report.full { std::mem::take(&mut view.running) } else { BTreeMap::new() };
        for task in &report.running {
            let before = previous.remove(&task.task).or_else(|| view.running.remove(&task.task));
            let since =
                before.filter(|r| r.last.attempt == task.attempt).map_or(now.instant, |r| r.since);
            view.running.insert(task.task.clone(), ReportedTask { last: task.clone(), since });
        }
        for ended in &report.ended {
            if view.running.get(&ended.task).is_some_and(|r| r.last.attempt <= ended.attempt) {
                view.running.remove(&ended.task);
            }
        }
    }

    /// Handles the attempt ends in a report. Returns those that still change the
    /// state.
    fn process_ends(
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
            self.delay_retry(end, task.failures, now);
            self.record_end(state, report, end, now);
            ended.push(EndedAttempt {
                task: end.task.clone(),
                attempt: end.attempt,
                end: end.end.clone(),
                max_failures: self.policy.max_failures,
            });
        }
        ended
    }

    /// Records the run time of a finished task, and attributes a failure to the
    /// worker or to the job.
    fn record_end(
        &mut self,
        state: &PlacementState,
        report: &Report,
        end: &EndedTask,
        now: Timestamp,
    ) {
        let Some(job) = state.job(&end.task.job) else {
            return;
        };
        let worker = &report.worker;
        match end.end {
            AttemptEnd::Finished => {
                self.quarantine.record_success(worker);
                let running = self.workers.get(worker).and_then(|v| v.running.get(&end.task));
                if let Some(running) = running.filter(|_| job.spec.priority == Priority::Batch) {
                    let declared = Duration::from_millis(job.spec.run_time_ms);
                    let ran = now.instant.duration_since(running.since);
                    self.learned.usage.record_run_time(&job.spec.class, declared, ran, now.instant);
                }
            }
            AttemptEnd::Failed { .. } | AttemptEnd::Refused { .. } => {
                // A job that failed on several other workers is itself the
                // cause.
                let others = job.failed_on.iter().filter(|w| *w != worker).count();
                if others < MIN_OTHER_FAILED_WORKERS {
                    self.quarantine.record_failure(worker, &end.task, now);
                }
            }
            AttemptEnd::Evicted { .. } | AttemptEnd::Stopped => {}
        }
    }

    /// Delays the retry of a task that failed or was refused.
    fn delay_retry(&mut self, end: &EndedTask, failures: u32, now: Timestamp) {
        self.retry_at.remove(&end.task);
        if matches!(end.end, AttemptEnd::Failed { .. } | AttemptEnd::Refused { .. }) {
            let delay =
                FIRST_RETRY_DELAY.saturating_mul(1 << failures.min(16)).min(MAX_RETRY_DELAY);
            self.retry_at.insert(end.task.clone(), now.instant + delay);
        }
    }
}
