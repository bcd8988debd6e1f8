//! The tail latencies of the latency-critical tasks on one worker. From them the
//! leader learns the interference between images and sets the pace of the
//! best-effort tasks on the worker.

use super::{
    super::{
        interference::{Interference, ModelIndex},
        pacing::{self, Victim},
        spec::TaskId,
        state::{Incarnation, SubmissionState},
    },
    run::RunView,
    step_of,
    worker::WorkerView,
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Tail latency that a latency-critical task is assumed to have before its
/// first report, as a fraction of its target.
const DEFAULT_BASE_FRACTION: f64 = 0.45;

impl WorkerView {
    pub(super) fn observe_tails(
        &mut self,
        state: &SubmissionState,
        incarnation: &Incarnation,
        interference: &mut Interference,
        now: Instant,
    ) {
        let capacity = f64::from(incarnation.worker.capacity.cpu_millis.max(1));
        let mut used: BTreeMap<usize, f64> = BTreeMap::new();
        for (task, run) in &self.runs {
            let Some(step) = step_of(state, *task).filter(|s| s.fills && run.listed) else {
                continue;
            };
            let index = interference.index(step.image.as_deref());
            *used.entry(index).or_default() += f64::from(run.metric) / capacity;
        }
        let used = used.into_iter().collect();
        for (task, run) in &mut self.runs {
            let Some(step) = step_of(state, *task) else { continue };
            if let Some(target) = step.target_ms
                && run.is_serving()
            {
                let serving = step.image.as_deref().unwrap_or_default();
                interference.observe(serving, &used, f64::from(run.metric), now);
                run.observe_tail(serving, target, &used, interference, now);
            }
        }
        self.pace_best_effort(state, capacity, interference, now);
    }

    /// Sets the wanted pace of each best-effort task.
    fn pace_best_effort(
        &mut self,
        state: &SubmissionState,
        capacity: f64,
        interference: &Interference,
        now: Instant,
    ) {
        let best_effort: Vec<(TaskId, Option<usize>, f64)> = self
            .runs
            .keys()
            .filter_map(|task| {
                let step = step_of(state, *task).filter(|s| s.fills)?;
                let part = f64::from(step.demand.cpu_millis) / capacity;
                Some((*task, interference.known_index(step.image.as_deref()), part))
            })
            .collect();
        if best_effort.is_empty() {
            return;
        }
        let victims: Vec<(Option<ModelIndex>, Victim)> = self
            .victims(state, now)
            .into_iter()
            .map(|(image, victim)| (interference.model_index(image), victim))
            .collect();
        let pressure = |model, index, part| interference.model_weight(model, index) * part;
        let all: Vec<f64> = victims
            .iter()
            .map(|(model, _)| best_effort.iter().map(|(_, i, c)| pressure(*model, *i, *c)).sum())
            .collect();
        for (task, index, part) in &best_effort {
            let pressures = victims
                .iter()
                .zip(&all)
                .map(|((model, victim), all)| (*victim, pressure(*model, *index, *part), *all));
            let allowed = pacing::allowed_pace(pressures);
            if let Some(run) = self.runs.get_mut(task) {
                run.wanted_pace.update(allowed, now);
            }
        }
    }

    /// Returns the latency-critical tasks on the worker, with their images.
    pub(in super::super) fn victims<'a>(
        &self,
        state: &'a SubmissionState,
        now: Instant,
    ) -> Vec<(&'a str, Victim)> {
        let victim = |(task, run): (&TaskId, &RunView)| {
            let step = step_of(state, *task)?;
            let target_ln = f64::from(step.target_ms?).ln();
            let over_for =
                run.over_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            let base_ln = run.base_ln.unwrap_or(target_ln + DEFAULT_BASE_FRACTION.ln());
            Some((
                step.image.as_deref().unwrap_or_default(),
                Victim {
                    base_ln,
                    peak_ln: run.peak_ln.map_or(base_ln, |(peak, _)| peak),
                    target_ln,
                    over_for,
                },
            ))
        };
        self.runs.iter().filter_map(victim).collect()
    }
}
