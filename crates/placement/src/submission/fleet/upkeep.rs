//! Which machine of a wave goes down next. It is emptied first, as far as the
//! wave's deadline allows: it gets no new work, short tasks may end, and lasting
//! tasks of which only so many may be interrupted move away one by one.

use super::{Fleet, step_of};
use crate::submission::{
    spec::{StepId, TaskId},
    state::{Life, LifeId, SubmissionState},
    waves::{MachineId, Upkeep, Wave, WaveNumber},
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Longest time that a machine is emptied: short tasks of the users' sites
/// work for less.
const LONGEST_EMPTYING: Duration = Duration::from_secs(4);
/// Time that an upkeep takes beside the machine's own: order, listing, agreement.
const OVERHEAD: Duration = Duration::from_millis(1_500);
/// Time for tasks that were stopped to save a checkpoint and end.
const STOPPING: Duration = Duration::from_secs(1);

/// An upkeep that is to be ordered now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpkeepOrder {
    /// The wave.
    pub wave: WaveNumber,
    /// The machine.
    pub machine: MachineId,
    /// The life that runs there, if one does.
    pub life: Option<LifeId>,
}

impl Fleet {
    /// Whether a life's machine is being emptied for its upkeep.
    pub(in crate::submission) fn is_emptied(&self, life: &Life) -> bool {
        life.worker.machine.as_ref().is_some_and(|m| self.emptying.contains_key(m))
    }

    /// Chooses machines, gives up runs on those that are emptied, and gives the
    /// upkeeps to order now. `maintenance` is how long a machine is down.
    pub fn tend_waves(
        &mut self,
        state: &SubmissionState,
        maintenance: Duration,
        now: Instant,
        wall_ms: u64,
    ) -> Vec<UpkeepOrder> {
        let due = |m: &MachineId| {
            state.waves().any(|w| w.machines.get(m).is_some_and(|u| *u == Upkeep::Due))
        };
        self.emptying.retain(|machine, _| due(machine));
        let homes: BTreeMap<&str, LifeId> =
            state.lives().filter_map(|(id, l)| Some((l.worker.machine.as_deref()?, id))).collect();
        let mut orders = Vec::new();
        for wave in state.waves().filter(|w| !w.is_complete()) {
            let patience = patience(wave, maintenance, wall_ms);
            let mut slots = usize::from(wave.cap.max(1)).saturating_sub(wave.under_way());
            for machine in self.chosen(state, wave, &homes) {
                if slots == 0 {
                    break;
                }
                slots -= 1;
                let life = homes.get(&*machine).copied();
                let since = *self.emptying.entry(machine.clone()).or_insert(now);
                if life.is_none_or(|id| self.empty(state, id, now >= since + patience, now))
                    || (now >= since + patience + STOPPING
                        && life.is_some_and(|id| self.guarded(state, id).is_empty()))
                {
                    orders.push(UpkeepOrder { wave: wave.number, machine, life });
                }
            }
        }
        orders
    }

    /// Machines whose upkeep is due: those being emptied first, then those with
    /// the fewest runs.
    fn chosen(
        &self,
        state: &SubmissionState,
        wave: &Wave,
        homes: &BTreeMap<&str, LifeId>,
    ) -> Vec<MachineId> {
        let runs =
            |m: &str| homes.get(m).and_then(|id| state.life(*id)).map_or(0, |l| l.runs.len());
        let due = wave.machines.iter().filter(|(_, upkeep)| **upkeep == Upkeep::Due);
        let mut due: Vec<&MachineId> = due.map(|(machine, _)| machine).collect();
        due.sort_by_key(|m| (!self.emptying.contains_key(*m), runs(m)));
        due.into_iter().cloned().collect()
    }

    /// Gives up runs on a life that is emptied; true once nothing is left that
    /// is worth waiting for.
    fn empty(&mut self, state: &SubmissionState, id: LifeId, late: bool, now: Instant) -> bool {
        let Some(life) = state.life(id) else { return true };
        for task in self.guarded(state, id) {
            if self.may_interrupt(state, task, now) {
                self.withdraw(id, task, now);
            }
        }
        let mut left = false;
        for task in &life.runs {
            let Some(step) = step_of(state, *task) else { continue };
            let guarded = step.lasting && step.max_interrupted.is_some();
            left |= !step.lasting || guarded;
            if late && !step.lasting && step.checkpoints {
                self.withdraw(id, *task, now);
            }
        }
        !left
    }

    /// Lasting tasks on a life of which only so many may be interrupted at once.
    fn guarded(&self, state: &SubmissionState, id: LifeId) -> Vec<TaskId> {
        let Some(life) = state.life(id) else { return Vec::new() };
        let guarded = |task: &&TaskId| {
            step_of(state, **task).is_some_and(|s| s.lasting && s.max_interrupted.is_some())
        };
        life.runs.iter().filter(guarded).copied().collect()
    }

    /// Whether a lasting task may be interrupted now, given how many others of
    /// its step are not at work.
    #[must_use]
    pub fn may_interrupt(&self, state: &SubmissionState, task: TaskId, now: Instant) -> bool {
        let Some(most) = step_of(state, task).and_then(|s| s.max_interrupted) else { return true };
        self.away(state, task.step_id(), now) < usize::from(most)
    }

    /// Tasks of a step that are not at work.
    fn away(&self, state: &SubmissionState, step: StepId, now: Instant) -> usize {
        let tasks = state
            .record(step.submission)
            .and_then(|r| r.tasks.get(step.occurrence as usize)?.get(usize::from(step.step)));
        let indices = 0..tasks.map_or(0, Vec::len);
        let id = |index| TaskId {
            submission: step.submission,
            occurrence: step.occurrence,
            step: step.step,
            index: u16::try_from(index).unwrap_or(u16::MAX),
        };
        indices.filter(|index| !self.is_at_work(state, id(*index), now)).count()
    }

    fn is_at_work(&self, state: &SubmissionState, task: TaskId, now: Instant) -> bool {
        let runs = state.record(task.submission).and_then(|r| r.task(task)).map(|t| &t.runs);
        runs.into_iter().flatten().any(|run| {
            let view = self.views.get(&run.life).filter(|v| v.is_reachable(now));
            let run_view = view.and_then(|v| v.runs.get(&task));
            run_view.is_some_and(|r| r.listed && r.percent == 100 && !r.withdrawn)
        })
    }
}

/// How long machines of a wave may be emptied, so that all get their turn.
fn patience(wave: &Wave, maintenance: Duration, wall_ms: u64) -> Duration {
    let turns = wave.due().div_ceil(usize::from(wave.cap.max(1))).max(1);
    let left = Duration::from_millis(wave.deadline_ms.saturating_sub(wall_ms));
    let turn = left / u32::try_from(turns).unwrap_or(u32::MAX);
    turn.saturating_sub(maintenance + OVERHEAD).min(LONGEST_EMPTYING)
}
