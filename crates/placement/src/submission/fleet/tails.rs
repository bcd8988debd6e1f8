//! The tail latencies of the latency-critical tasks on one worker. From them the
//! leader learns the interference between images and sets the pace of the
//! best-effort tasks on the worker.

use super::{
    super::{
        interference::{CpuUse, ImageIndex, Interference, ModelIndex, TailReport},
        pacing::{self, Victim},
        spec::TaskId,
        state::Incarnation,
    },
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
        incarnation: &Incarnation,
        interference: &mut Interference,
        now: Instant,
    ) {
        let capacity = f64::from(incarnation.worker.capacity.cpu_millis.max(1));
        let mut used: BTreeMap<usize, f64> = BTreeMap::new();
        for run in self.runs.values().filter(|run| run.step.fills && run.listed) {
            let index = interference.index(Some(&run.step.image));
            *used.entry(index).or_default() += f64::from(run.metric) / capacity;
        }
        let used: CpuUse = used.into_iter().collect();
        for run in self.runs.values_mut().filter(|run| run.is_serving()) {
            let Some(target_ms) = run.step.target_ms else { continue };
            let tail_ms = f64::from(run.metric);
            let report = TailReport { used: used.clone(), tail_ms, at: now };
            run.observe_tail(target_ms, report, interference);
        }
        self.pace_best_effort(capacity, interference, now);
    }

    /// Sets the wanted pace of each best-effort task.
    fn pace_best_effort(&mut self, capacity: f64, interference: &Interference, now: Instant) {
        let best_effort: Vec<(TaskId, Option<ImageIndex>, f64)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.step.fills)
            .map(|(task, run)| {
                let index = interference.known_index(Some(&run.step.image));
                (*task, index, run.step.cpu_millis / capacity)
            })
            .collect();
        if best_effort.is_empty() {
            return;
        }
        let effects = |model: Option<ModelIndex>| -> Vec<f64> {
            let weight = |index: &Option<ImageIndex>| interference.model_weight(model, *index);
            best_effort.iter().map(|(_, index, part)| weight(index) * part).collect()
        };
        let victims: Vec<(Victim, Vec<f64>)> = self
            .victims(now)
            .map(|(image, victim)| (victim, effects(interference.model_index(image))))
            .collect();
        let parts: Vec<f64> = best_effort.iter().map(|(_, _, part)| *part).collect();
        let allowed = pacing::allowed_paces(&victims, &parts);
        for ((task, ..), allowed) in best_effort.iter().zip(allowed) {
            if let Some(run) = self.runs.get_mut(task) {
                run.wanted_pace.update(allowed, now);
            }
        }
    }

    /// Returns the latency-critical tasks on the worker, with their images.
    pub(in super::super) fn victims(&self, now: Instant) -> impl Iterator<Item = (&str, Victim)> {
        self.runs.values().filter_map(move |run| {
            let target_ln = f64::from(run.step.target_ms?).ln();
            let over_for =
                run.over_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            let base_ln = run.base_ln.unwrap_or(target_ln + DEFAULT_BASE_FRACTION.ln());
            let peak_ln = run.peak_ln.map_or(base_ln, |(peak, _)| peak);
            Some((&*run.step.image, Victim { base_ln, peak_ln, target_ln, over_for }))
        })
    }
}
