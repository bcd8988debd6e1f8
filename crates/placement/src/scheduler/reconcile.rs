//! Reconciliation of workers with the replicated state where a report differs
//! from it: a start that was lost, a task that vanished, or an attempt that
//! should not run.

use super::{
    Scheduler,
    view::{OrderKind, SentOrder},
};
use crate::{
    command::EndedAttempt,
    messages::{AttemptEnd, Order, Report},
    state::{PlacementState, holder},
    time::Timestamp,
};
use cyclamenloft_types::{AttemptNumber, TaskKey};
use std::time::Duration;

/// Number of report periods for which a difference may last before it is
/// corrected.
const GRACE_PERIODS: u32 = 3;
/// Time that an eviction with its checkpoint may take before the order is
/// repeated.
const CHECKPOINT_GRACE: Duration = Duration::from_secs(60);

/// How a difference between a report and the state is corrected.
enum Correction {
    /// Send the order that follows from the state again.
    Repeat,
    /// Order the stop of the attempt, after which the worker refuses to start it.
    Stop,
    /// Record the attempt as ended, because it can't run any more.
    End,
}

impl Scheduler {
    /// Compares a worker's newest report with the state and queues corrections.
    /// Returns the attempts that cannot run any more although no end was reported.
    pub(super) fn reconcile(
        &mut self,
        state: &PlacementState,
        report: &Report,
        now: Timestamp,
    ) -> Vec<EndedAttempt> {
        self.stop_stray_attempts(state, report, now);
        let Some(worker) = state.worker(&report.worker).filter(|_| report.full) else {
            return Vec::new();
        };
        let mut ended = Vec::new();
        for key in &worker.tasks {
            let Some((_, attempt)) = state.task(key).and_then(|t| holder(&t.state)) else {
                continue;
            };
            if report.ended.iter().any(|e| e.task == *key && e.attempt == attempt) {
                continue;
            }
            match self.correction(report, key, attempt, now) {
                None => {}
                Some(Correction::Repeat) => self.push_order_for(state, key),
                Some(Correction::Stop) => {
                    self.push_order(&report.worker, Order::Stop { task: key.clone(), attempt });
                }
                Some(Correction::End) => {
                    tracing::info!(task = %key, attempt, worker = %report.worker, "task vanished");
                    ended.push(EndedAttempt {
                        task: key.clone(),
                        attempt,
                        end: AttemptEnd::Stopped,
                        max_failures: self.policy.max_failures,
                    });
                }
            }
        }
        ended
    }

    /// Orders the stop of attempts that run although the state does not place them
    /// on the worker.
    fn stop_stray_attempts(&mut self, state: &PlacementState, report: &Report, now: Timestamp) {
        let grace = self.grace(report);
        let Some(view) = self.workers.get_mut(&report.worker) else {
            return;
        };
        let mut stray_attempts = Vec::new();
        let mut stops = Vec::new();
        for (key, running) in &view.running {
            let attempt = running.last.attempt;
            let placed = state.task(key).and_then(|t| holder(&t.state));
            if placed != Some((&report.worker, attempt)) {
                stray_attempts.push((key.clone(), attempt));
            }
        }
        for (task, attempt) in stray_attempts {
            let stop = |s: &&mut SentOrder| s.kind == OrderKind::Stop && s.attempt == attempt;
            let handled = view.handled();
            let due = match view.sent_orders.get_mut(&task).filter(stop) {
                None => true,
                Some(sent) => {
                    let since = *sent.differs_since.get_or_insert(now.instant);
                    sent.number <= handled && now.instant.duration_since(since) >= grace
                }
            };
            if due {
                tracing::info!(%task, attempt, worker = %report.worker, "stop a stray attempt");
                stops.push(Order::Stop { task, attempt });
            }
        }
        // Orders are kept for tasks that run on the worker or are placed on it.
        let running = &view.running;
        view.sent_orders.retain(|key, _| {
            let placed = || state.task(key).and_then(|t| holder(&t.state));
            running.contains_key(key) || placed().is_some_and(|(w, _)| *w == report.worker)
        });
        for stop in stops {
            self.push_order(&report.worker, stop);
        }
    }

    /// Returns the correction that a placed task needs now, if any.
    fn correction(
        &mut self,
        report: &Report,
        key: &TaskKey,
        attempt: AttemptNumber,
        now: Timestamp,
    ) -> Option<Correction> {
        let grace = self.grace(report);
        let view = self.workers.get_mut(&report.worker)?;
        let runs = view.running.get(key).is_some_and(|r| r.last.attempt == attempt);
        let handled = view.handled();
        let Some(sent) = view.sent_orders.get_mut(key).filter(|s| s.attempt == attempt) else {
            return if runs { None } else { Some(Correction::Repeat) };
        };
        if sent.kind == OrderKind::Start && runs {
            sent.differs_since = None;
            return None;
        }
        if sent.number > handled {
            return None;
        }
        let since = *sent.differs_since.get_or_insert(now.instant);
        let wait = if runs && sent.kind == OrderKind::Evict { CHECKPOINT_GRACE } else { grace };
        if now.instant.duration_since(since) < wait {
            return None;
        }
        Some(match (sent.kind, runs) {
            (OrderKind::Stop, true) => Correction::Stop,
            (OrderKind::Start | OrderKind::Evict, true) => Correction::Repeat,
            (OrderKind::Start, false) if sent.send_count == 1 => Correction::Repeat,
            // The attempt must not be recorded as ended yet: a start may still be
            // in flight, and a worker ignores it only after handling a stop.
            (OrderKind::Start | OrderKind::Evict, false) => Correction::Stop,
            (OrderKind::Stop, false) => Correction::End,
        })
    }

    /// Returns for how long a difference may last, given the lag of the report.
    fn grace(&self, report: &Report) -> Duration {
        self.policy.report_period * GRACE_PERIODS + Duration::from_millis(report.lag_ms)
    }
}
