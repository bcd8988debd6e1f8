//! Orders to workers.

use super::Scheduler;
use crate::{
    messages::Order,
    state::{PlacementState, holder},
};
use cyclamenloft_types::{Priority, TaskKey, TaskState};

impl Scheduler {
    /// Queues the order that makes a task's worker follow the replicated state.
    pub(super) fn push_order_for(&mut self, state: &PlacementState, key: &TaskKey) {
        let Some((job, task)) = state.job(&key.job).zip(state.task(key)) else {
            return;
        };
        let Some((worker, attempt)) = holder(&task.state) else {
            return;
        };
        let order = if job.cancelled {
            Order::Stop { task: key.clone(), attempt }
        } else if matches!(task.state, TaskState::Evicting { .. }) {
            Order::Evict { task: key.clone(), attempt }
        } else {
            Order::Start {
                task: key.clone(),
                attempt,
                resources: task.reserved,
                checkpoint: task.checkpoint.clone(),
                payload: job.spec.payload.clone(),
                run_time_ms: job.spec.run_time_ms,
            }
        };
        self.push_order(worker, order);
    }

    /// Orders the worker to lift any throttle that a former leader may have set on
    /// a batch task.
    pub(super) fn lift_throttle(&mut self, state: &PlacementState, key: &TaskKey) {
        let batch = state.job(&key.job).filter(|j| j.spec.priority == Priority::Batch);
        let Some((worker, attempt)) =
            batch.and_then(|j| holder(&j.tasks.get(key.index as usize)?.state))
        else {
            return;
        };
        self.push_order(worker, Order::Throttle { task: key.clone(), attempt, cpu_percent: 100 });
    }

    pub(super) fn push_order(&mut self, worker: &str, order: Order) {
        if let Some(view) = self.workers.get_mut(worker) {
            self.last_order_number += 1;
            view.push(self.last_order_number, order);
        }
    }
}
