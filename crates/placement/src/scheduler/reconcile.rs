//! Bringing workers in line with the state where a full report differs: a
//! start that was lost, a task that vanished, an attempt that should not run.

use super::{
    Scheduler,
    view::{OrderKind, Sent},
};
use crate::{
    command::EndedAttempt,
    messages::{AttemptEnd, Order, Report},
    state::{PlacementState, holder},
    time::Timestamp,
};
use cyclamenloft_types::{AttemptNumber, TaskKey};
use std::time::Duration;

/// Report periods for which a difference may last before it is acted on.
const GRACE_PERIODS: u32 = 3;
/// Time that an ordered checkpoint may take before the order is repeated.
const CHECKPOINT_GRACE: Duration = Duration::from_secs(60);

/// What a difference between a report and the state calls for.
enum Mend {
    /// Repeat the order that the state calls for.
    Again,
    /// Have the worker refuse the attempt from now on.
    Stop,
    /// The attempt is surely over.
    End,
}

impl Scheduler {
    /// Compares a worker's newest report with the state. Returns the attempts
    /// that are surely over although no end was reported.
    pub(super) fn reconcile(
        &mut self,
        state: &PlacementState,
        report: &Report,
        now: Timestamp,
    ) -> Vec<EndedAttempt> {
        self.stop_strays(state, report, now);
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
            match self.difference(report, key, attempt, now) {
                None => {}
                Some(Mend::Again) => self.order_for(state, key),
                Some(Mend::Stop) => {
                    self.push(&report.worker, Order::Stop { task: key.clone(), attempt });
                }
                Some(Mend::End) => {
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

    /// Orders the stop of attempts that run without the state's consent.
    fn stop_strays(&mut self, state: &PlacementState, report: &Report, now: Timestamp) {
        let grace = self.grace(report);
        let Some(view) = self.workers.get_mut(&report.worker) else {
            return;
        };
        let mut strays = Vec::new();
        let mut stops = Vec::new();
        for (key, running) in &view.running {
            let attempt = running.last.attempt;
            let placed = state.task(key).and_then(|t| holder(&t.state));
            if placed != Some((&report.worker, attempt)) {
                strays.push((key.clone(), attempt));
            }
        }
        for (task, attempt) in strays {
            let stop = |s: &&mut Sent| s.kind == OrderKind::Stop && s.attempt == attempt;
            let handled = view.handled();
            let due = match view.sent.get_mut(&task).filter(stop) {
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
        // Orders of tasks that are gone from both sides need no memory.
        let running = &view.running;
        view.sent.retain(|key, _| {
            let placed = || state.task(key).and_then(|t| holder(&t.state));
            running.contains_key(key) || placed().is_some_and(|(w, _)| *w == report.worker)
        });
        for stop in stops {
            self.push(&report.worker, stop);
        }
    }

    fn difference(
        &mut self,
        report: &Report,
        key: &TaskKey,
        attempt: AttemptNumber,
        now: Timestamp,
    ) -> Option<Mend> {
        let grace = self.grace(report);
        let view = self.workers.get_mut(&report.worker)?;
        let runs = view.running.get(key).is_some_and(|r| r.last.attempt == attempt);
        let handled = view.handled();
        let Some(sent) = view.sent.get_mut(key).filter(|s| s.attempt == attempt) else {
            return if runs { None } else { Some(Mend::Again) };
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
            (OrderKind::Stop, true) => Mend::Stop,
            (OrderKind::Start | OrderKind::Evict, true) => Mend::Again,
            (OrderKind::Start, false) if sent.times == 1 => Mend::Again,
            // The attempt may not be ended yet: a start may still be underway,
            // and only a worker that has handled a stop ignores it.
            (OrderKind::Start | OrderKind::Evict, false) => Mend::Stop,
            (OrderKind::Stop, false) => Mend::End,
        })
    }

    fn grace(&self, report: &Report) -> Duration {
        self.policy.report_period * GRACE_PERIODS + Duration::from_millis(report.lag_ms)
    }
}
