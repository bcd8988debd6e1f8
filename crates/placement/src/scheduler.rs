//! What the leader of a placement group knows besides the agreed state:
//! leases, reports and orders on their way. This first version places tasks
//! on the first worker with room.

use crate::{
    command::{Command, EndedAttempt, Placement, WorkerRecord},
    messages::{Announcement, Lease, NumberedOrder, Order, Report},
    policy::PlacementPolicy,
    state::{PlacementState, holder},
    time::Timestamp,
};
use cyclamenloft_types::{
    BootId, Error, ErrorKind, Resources, Result, TaskKey, TaskState, WorkerId,
};
use std::{collections::BTreeMap, time::Instant};

/// Most tasks placed by one log entry.
const MAX_BATCH: usize = 256;

#[derive(Debug)]
struct WorkerView {
    boot: BootId,
    lease_expires: Instant,
    sequence: u64,
    orders: Vec<NumberedOrder>,
    next_order: u64,
}

/// The volatile side of a placement group's leader.
#[derive(Debug)]
pub struct Scheduler {
    policy: PlacementPolicy,
    workers: BTreeMap<WorkerId, WorkerView>,
    first_order: u64,
}

impl Scheduler {
    /// A scheduler for a replica that has just begun to lead. Since the
    /// predecessor may have renewed any lease a moment ago, every lease is
    /// counted from `now`. Orders of placements that the predecessor may not
    /// have delivered are queued again; workers ignore attempts they have seen.
    #[must_use]
    pub fn lead(policy: PlacementPolicy, state: &PlacementState, now: Timestamp) -> Self {
        // Numbers start above the predecessors': each lead lasts over a millisecond.
        let first_order = now.unix_ms() << 16;
        let mut scheduler = Self { policy, workers: BTreeMap::new(), first_order };
        for worker in state.workers().filter(|w| w.alive) {
            scheduler.view(&worker.record.id, worker.record.boot, now);
            for task in &worker.tasks {
                scheduler.order_for(state, task);
            }
        }
        scheduler
    }

    /// Takes a changed policy into force.
    pub fn set_policy(&mut self, policy: PlacementPolicy) {
        self.policy = policy;
    }

    /// The lease that answers an announcement or report.
    #[must_use]
    pub fn lease(&self) -> Lease {
        Lease {
            lease_ms: self.policy.lease.as_millis() as u64,
            report_ms: self.policy.report_period.as_millis() as u64,
        }
    }

    /// Takes in an announcement; the command makes the worker known.
    pub fn announce(&mut self, announcement: &Announcement, now: Timestamp) -> Command {
        self.view(&announcement.worker, announcement.boot, now);
        Command::Register(WorkerRecord {
            id: announcement.worker.clone(),
            boot: announcement.boot,
            domain: announcement.domain.clone(),
            rack: announcement.rack.clone(),
            capacity: announcement.capacity,
        })
    }

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
        if !known {
            return Err(Error::new(
                ErrorKind::UnknownWorker,
                format!("worker {:?} boot {}: announce first", report.worker, report.boot),
            ));
        }
        let lease = self.policy.lease + self.policy.drift_margin;
        let view = self.view(&report.worker, report.boot, now);
        view.lease_expires = now.instant + lease;
        view.sequence = view.sequence.max(report.sequence);
        let ended: Vec<EndedAttempt> = report
            .ended
            .iter()
            .map(|e| EndedAttempt { task: e.task.clone(), attempt: e.attempt, end: e.end.clone() })
            .collect();
        if ended.is_empty() { Ok(Vec::new()) } else { Ok(vec![Command::Ended(ended)]) }
    }

    /// Decides what is due: expired leases, jobs that can't run, placements.
    pub fn tick(&mut self, state: &PlacementState, now: Timestamp) -> Vec<Command> {
        let mut commands: Vec<Command> = self.expired(state, now);
        commands.extend(self.feasibility(state));
        let placements = self.placements(state);
        if !placements.is_empty() {
            commands.push(Command::Place(placements));
        }
        commands
    }

    /// Queues the orders that follow from a committed command.
    pub fn committed(&mut self, state: &PlacementState, command: &Command) {
        match command {
            Command::Place(placements) => {
                for p in placements {
                    self.order_for(state, &p.task);
                }
            }
            Command::Evict(tasks) => {
                for (task, _) in tasks {
                    self.order_for(state, task);
                }
            }
            Command::Cancel(jobs) => {
                for job in jobs.iter().filter_map(|id| state.jobs.get(id)) {
                    for (index, task) in job.tasks.iter().enumerate() {
                        if let Some((worker, attempt)) = holder(&task.state) {
                            let key = TaskKey { job: job.spec.id.clone(), index: index as u32 };
                            self.push(&worker.clone(), Order::Stop { task: key, attempt });
                        }
                    }
                }
            }
            _ => {}
        }
    }

    /// The orders that a worker has not handled yet.
    pub fn orders(&mut self, worker: &str, boot: BootId, handled: u64) -> Vec<NumberedOrder> {
        match self.workers.get_mut(worker) {
            Some(view) if view.boot == boot => {
                view.orders.retain(|o| o.number > handled);
                view.orders.clone()
            }
            _ => Vec::new(),
        }
    }

    fn view(&mut self, worker: &WorkerId, boot: BootId, now: Timestamp) -> &mut WorkerView {
        let lease_expires = now.instant + self.policy.lease + self.policy.drift_margin;
        let next_order = self.first_order;
        let fresh =
            || WorkerView { boot, lease_expires, sequence: 0, orders: Vec::new(), next_order };
        let view = self.workers.entry(worker.clone()).or_insert_with(fresh);
        if view.boot != boot {
            *view = fresh();
        }
        view
    }

    fn expired(&self, state: &PlacementState, now: Timestamp) -> Vec<Command> {
        self.workers
            .iter()
            .filter(|(_, view)| view.lease_expires <= now.instant)
            .filter(|(id, view)| {
                state.worker(id).is_some_and(|w| w.alive && w.record.boot == view.boot)
            })
            .map(|(id, view)| {
                tracing::info!(worker = %id, boot = view.boot, "lease expired");
                Command::WorkerLost { worker: id.clone(), boot: view.boot }
            })
            .collect()
    }

    fn feasibility(&self, state: &PlacementState) -> Vec<Command> {
        let largest = state.workers().fold(Resources::ZERO, |most, w| most.max(&w.record.capacity));
        let any_worker = state.workers().next().is_some();
        state
            .jobs()
            .filter(|job| !job.cancelled && any_worker)
            .filter(|job| job.spec.resources.fits_in(&largest) != job.feasible)
            .map(|job| Command::Feasible { job: job.spec.id.clone(), feasible: !job.feasible })
            .collect()
    }

    fn placements(&self, state: &PlacementState) -> Vec<Placement> {
        let mut free: Vec<_> = state
            .workers()
            .filter(|w| w.alive)
            .filter_map(|w| Some((w, w.record.capacity.checked_sub(&w.reserved)?)))
            .collect();
        let mut placements = Vec::new();
        for key in state.waiting().take(MAX_BATCH) {
            let Some((job, task)) = state.jobs.get(&key.job).zip(state.task(key)) else {
                continue;
            };
            let needed = job.spec.resources;
            let Some((worker, room)) = free.iter_mut().find(|(_, room)| needed.fits_in(room))
            else {
                continue;
            };
            *room = room.checked_sub(&needed).unwrap_or(Resources::ZERO);
            tracing::info!(task = %key, worker = %worker.record.id, reason = "first-fit", "place");
            placements.push(Placement {
                task: key.clone(),
                attempt: task.attempt + 1,
                worker: worker.record.id.clone(),
                boot: worker.record.boot,
                reserved: needed,
            });
        }
        placements
    }

    /// Queues the order that brings a task's worker in line with the state.
    fn order_for(&mut self, state: &PlacementState, key: &TaskKey) {
        let Some((job, task)) = state.jobs.get(&key.job).zip(state.task(key)) else {
            return;
        };
        let order = match &task.state {
            TaskState::Placed { attempt, .. } if job.cancelled => {
                Order::Stop { task: key.clone(), attempt: *attempt }
            }
            TaskState::Placed { attempt, .. } => Order::Start {
                task: key.clone(),
                attempt: *attempt,
                resources: task.reserved,
                checkpoint: task.checkpoint.clone(),
                payload: job.spec.payload.clone(),
                run_time_ms: job.spec.run_time_ms,
            },
            TaskState::Evicting { attempt, .. } => {
                Order::Evict { task: key.clone(), attempt: *attempt }
            }
            _ => return,
        };
        if let Some((worker, _)) = holder(&task.state) {
            self.push(&worker.clone(), order);
        }
    }

    fn push(&mut self, worker: &str, order: Order) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.next_order += 1;
            view.orders.push(NumberedOrder { number: view.next_order, order });
        }
    }
}
