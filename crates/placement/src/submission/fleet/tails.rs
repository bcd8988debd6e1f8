//! The tails of serving tasks on one worker: learning from them, and pacing the
//! tasks that fill beside them.

use super::{
    super::{
        interference::Interference,
        pacing::{self, Victim},
        spec::TaskId,
        state::{Life, SubmissionState},
    },
    run::RunView,
    step_of,
    worker::WorkerView,
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Part of the target that the tail of a serving task is taken for before it was
/// seen.
const UNKNOWN_BASE: f64 = 0.45;

impl WorkerView {
    pub(super) fn note_tails(
        &mut self,
        state: &SubmissionState,
        life: &Life,
        interference: &mut Interference,
        now: Instant,
    ) {
        let capacity = f64::from(life.worker.capacity.cpu_millis.max(1));
        let mut used: BTreeMap<usize, f64> = BTreeMap::new();
        for (task, run) in &self.runs {
            let Some(step) = step_of(state, *task).filter(|s| s.fills && run.listed) else {
                continue;
            };
            let index = interference.index(step.image.as_deref());
            *used.entry(index).or_default() += f64::from(run.figure) / capacity;
        }
        let used = used.into_iter().collect();
        for (task, run) in &mut self.runs {
            let Some(step) = step_of(state, *task) else { continue };
            if let Some(target) = step.target_ms
                && run.is_serving()
            {
                let serving = step.image.as_deref().unwrap_or_default();
                interference.note(serving, &used, f64::from(run.figure), now);
                run.note_tail(serving, target, &used, interference, now);
            }
        }
        self.pace_fill(state, capacity, interference, now);
    }

    /// Decides at which share each task that fills may work.
    fn pace_fill(
        &mut self,
        state: &SubmissionState,
        capacity: f64,
        interference: &Interference,
        now: Instant,
    ) {
        let victims = self.victims(state, now);
        let fill: Vec<(TaskId, Option<usize>, f64)> = self
            .runs
            .keys()
            .filter_map(|task| {
                let step = step_of(state, *task).filter(|s| s.fills)?;
                let part = f64::from(step.demand.cpu_millis) / capacity;
                Some((*task, interference.known(step.image.as_deref()), part))
            })
            .collect();
        let pressure = |image: &str, index, part| interference.weight(image, index) * part;
        let all: Vec<f64> = victims
            .iter()
            .map(|(image, _)| fill.iter().map(|(_, i, c)| pressure(image, *i, *c)).sum())
            .collect();
        for (task, index, part) in &fill {
            let pressures = victims
                .iter()
                .zip(&all)
                .map(|((image, victim), all)| (*victim, pressure(image, *index, *part), *all));
            let share = pacing::share(pressures);
            if let Some(run) = self.runs.get_mut(task) {
                run.wanted_pace.note(share, now);
            }
        }
    }

    /// The serving tasks at work here, with their images.
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
            let base_ln = run.base_ln.unwrap_or(target_ln + UNKNOWN_BASE.ln());
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
