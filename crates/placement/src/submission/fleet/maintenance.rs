//! Chooses the machines of a maintenance wave that go down next.
//!
//! A machine is drained first, as far as the wave's deadline allows. It gets no
//! new work, short tasks may end, and long-running tasks with a limit on
//! interruptions move away within that limit.

use super::{Fleet, step_of};
use crate::submission::{
    spec::{StepId, TaskId},
    state::{Incarnation, IncarnationId, SubmissionState},
    waves::{MachineId, Maintenance, Wave, WaveNumber},
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Longest time for draining a machine. Short tasks on the users' sites take
/// less.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(4);
/// Time that maintenance takes in addition to the machine's downtime, for the
/// order, the listing of machines and the commits.
const MAINTENANCE_OVERHEAD: Duration = Duration::from_millis(1_500);
/// Time for stopped tasks to save a checkpoint and end.
const STOP_TIME: Duration = Duration::from_secs(1);

/// An order to begin the maintenance of a machine now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceOrder {
    /// The wave.
    pub wave: WaveNumber,
    /// The machine.
    pub machine: MachineId,
    /// The incarnation that runs on the machine, if there is one.
    pub incarnation: Option<IncarnationId>,
}

impl Fleet {
    /// Returns whether the machine of an incarnation is being drained for
    /// maintenance.
    pub(in crate::submission) fn is_draining_for_maintenance(
        &self,
        incarnation: &Incarnation,
    ) -> bool {
        incarnation.worker.machine.as_ref().is_some_and(|m| self.draining.contains_key(m))
    }

    /// Chooses the machines of unfinished maintenance waves to drain and
    /// withdraws runs from them. Returns the maintenance orders to send now.
    /// `maintenance` is the expected downtime of a machine.
    pub fn advance_waves(
        &mut self,
        state: &SubmissionState,
        maintenance: Duration,
        now: Instant,
        wall_ms: u64,
    ) -> Vec<MaintenanceOrder> {
        let due = |m: &MachineId| {
            state.waves().any(|w| w.machines.get(m).is_some_and(|u| *u == Maintenance::Due))
        };
        self.draining.retain(|machine, _| due(machine));
        let by_machine: BTreeMap<&str, IncarnationId> = state
            .incarnations()
            .filter_map(|(id, i)| Some((i.worker.machine.as_deref()?, id)))
            .collect();
        let mut orders = Vec::new();
        for wave in state.waves().filter(|w| !w.is_complete()) {
            let drain_time = drain_time(wave, maintenance, wall_ms);
            let mut slots = usize::from(wave.cap.max(1)).saturating_sub(wave.under_way());
            for machine in self.due_machines(state, wave, &by_machine) {
                if slots == 0 {
                    break;
                }
                slots -= 1;
                let incarnation = by_machine.get(&*machine).copied();
                let since = *self.draining.entry(machine.clone()).or_insert(now);
                if incarnation
                    .is_none_or(|id| self.drain_worker(state, id, now >= since + drain_time, now))
                    || (now >= since + drain_time + STOP_TIME
                        && incarnation
                            .is_some_and(|id| self.interruption_limited(state, id).is_empty()))
                {
                    orders.push(MaintenanceOrder { wave: wave.number, machine, incarnation });
                }
            }
        }
        orders
    }

    /// Returns the machines of the wave whose maintenance has not been ordered
    /// yet: those being drained first, then those with the fewest runs.
    fn due_machines(
        &self,
        state: &SubmissionState,
        wave: &Wave,
        by_machine: &BTreeMap<&str, IncarnationId>,
    ) -> Vec<MachineId> {
        let runs = |m: &str| {
            by_machine.get(m).and_then(|id| state.incarnation(*id)).map_or(0, |i| i.runs.len())
        };
        let due = wave.machines.iter().filter(|(_, maintenance)| **maintenance == Maintenance::Due);
        let mut due: Vec<&MachineId> = due.map(|(machine, _)| machine).collect();
        due.sort_by_key(|m| (!self.draining.contains_key(*m), runs(m)));
        due.into_iter().cloned().collect()
    }

    /// Withdraws runs from an incarnation that is being drained. Returns true
    /// once the only runs left are long-running tasks without a limit on
    /// interruptions.
    fn drain_worker(
        &mut self,
        state: &SubmissionState,
        id: IncarnationId,
        late: bool,
        now: Instant,
    ) -> bool {
        let Some(incarnation) = state.incarnation(id) else { return true };
        for task in self.interruption_limited(state, id) {
            if self.may_interrupt(state, task, now) {
                self.withdraw(id, task, now);
            }
        }
        let mut left = false;
        for task in &incarnation.runs {
            let Some(step) = step_of(state, *task) else { continue };
            let interruption_limited = step.lasting && step.max_interrupted.is_some();
            left |= !step.lasting || interruption_limited;
            if late && !step.lasting && step.checkpoints {
                self.withdraw(id, *task, now);
            }
        }
        !left
    }

    /// Returns the long-running tasks on an incarnation whose step has a limit on
    /// interruptions.
    fn interruption_limited(&self, state: &SubmissionState, id: IncarnationId) -> Vec<TaskId> {
        let Some(incarnation) = state.incarnation(id) else { return Vec::new() };
        let interruption_limited = |task: &&TaskId| {
            step_of(state, **task).is_some_and(|s| s.lasting && s.max_interrupted.is_some())
        };
        incarnation.runs.iter().filter(interruption_limited).copied().collect()
    }

    /// Returns whether a long-running task may be interrupted now, given the number
    /// of tasks of its step that aren't ready.
    #[must_use]
    pub fn may_interrupt(&self, state: &SubmissionState, task: TaskId, now: Instant) -> bool {
        let Some(most) = step_of(state, task).and_then(|s| s.max_interrupted) else { return true };
        self.count_not_ready(state, task.step_id(), now) < usize::from(most)
    }

    /// Returns the number of tasks of a step that aren't ready.
    fn count_not_ready(&self, state: &SubmissionState, step: StepId, now: Instant) -> usize {
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
        indices.filter(|index| !self.is_ready(state, id(*index), now)).count()
    }

    fn is_ready(&self, state: &SubmissionState, task: TaskId, now: Instant) -> bool {
        let runs = state.record(task.submission).and_then(|r| r.task(task)).map(|t| &t.runs);
        runs.into_iter().flatten().any(|run| {
            let view = self.views.get(&run.incarnation).filter(|v| v.is_reachable(now));
            let run_view = view.and_then(|v| v.runs.get(&task));
            run_view.is_some_and(|r| r.listed && r.percent == 100 && !r.withdrawn)
        })
    }
}

/// Returns the time that each machine of a wave may be drained for, so that the
/// whole wave can end before its deadline.
fn drain_time(wave: &Wave, maintenance: Duration, wall_ms: u64) -> Duration {
    let turns = wave.due().div_ceil(usize::from(wave.cap.max(1))).max(1);
    let left = Duration::from_millis(wave.deadline_ms.saturating_sub(wall_ms));
    let turn = left / u32::try_from(turns).unwrap_or(u32::MAX);
    turn.saturating_sub(maintenance + MAINTENANCE_OVERHEAD).min(MAX_DRAIN_TIME)
}
