//! Workers: registration, loss, and the index of their free capacity.

use super::{PlacementState, WorkerState};
use crate::command::{Applied, WorkerRecord};
use cyclamenloft_types::{BootId, LogIndex, Resources, TaskKey, WorkerId};
use std::collections::BTreeSet;

impl PlacementState {
    /// Makes a worker known and alive. A new boot ends the attempts of the
    /// former one. A capacity that shrank keeps the reservations, and takes no
    /// more until they fit again.
    pub(super) fn register(&mut self, index: LogIndex, record: &WorkerRecord) -> Applied {
        if let Some(known) = self.workers.get(&record.id) {
            if known.record == *record && known.alive {
                return Applied::Already;
            }
            if known.record.boot != record.boot {
                let (boot, registered) = (known.record.boot, known.registered);
                self.worker_lost(index, &record.id, boot, registered);
            }
        }
        let former = self.workers.get(&record.id).map(|w| w.record.capacity);
        self.change_worker(&record.id, |slot| match slot {
            Some(w) => {
                if !w.alive {
                    w.registered = index;
                }
                w.alive = true;
                w.record = record.clone();
            }
            None => {
                *slot = Some(WorkerState {
                    record: record.clone(),
                    alive: true,
                    registered: index,
                    reserved: Resources::ZERO,
                    tasks: BTreeSet::new(),
                });
            }
        });
        self.change_shapes(former, Some(record.capacity));
        Applied::Changed
    }

    /// Ends the attempts of a worker whose lease has surely expired. Void where
    /// the worker has registered again since the loss was decided.
    pub(super) fn worker_lost(
        &mut self,
        index: LogIndex,
        worker: &WorkerId,
        boot: BootId,
        registered: LogIndex,
    ) -> Applied {
        let Some(w) = self.workers.get(worker) else {
            return Applied::Already;
        };
        if w.record.boot != boot || w.registered != registered || !w.alive {
            return Applied::Already;
        }
        let tasks: Vec<TaskKey> = w.tasks.iter().cloned().collect();
        for key in &tasks {
            self.release(key);
            self.requeue(index, key);
        }
        self.change_worker(worker, |slot| {
            if let Some(w) = slot {
                w.alive = false;
            }
        });
        Applied::Changed
    }

    /// Forgets workers that are lost.
    pub(super) fn forget_worker(&mut self, worker: &WorkerId) -> Option<()> {
        let w = self.workers.get(worker).filter(|w| !w.alive && w.tasks.is_empty())?;
        let capacity = w.record.capacity;
        self.change_worker(worker, |slot| *slot = None);
        self.change_shapes(Some(capacity), None);
        Some(())
    }

    /// Workers whose lease has expired and that did not return.
    pub fn lost_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.index.lost.iter()
    }

    /// Changes a worker and brings every index of workers in line.
    pub(super) fn change_worker(
        &mut self,
        id: &WorkerId,
        change: impl FnOnce(&mut Option<WorkerState>),
    ) {
        let mut slot = self.workers.remove(id);
        let before = slot.as_ref().and_then(WorkerState::free);
        if let Some(w) = slot.as_ref().filter(|w| w.alive) {
            self.index.capacity.sub(&w.record.capacity);
            self.index.reserved.sub(&w.reserved);
        }
        change(&mut slot);
        let after = slot.as_ref().and_then(WorkerState::free);
        self.index.room.update(id, before, after);
        if let Some(w) = slot.as_ref().filter(|w| w.alive) {
            self.index.capacity.add(&w.record.capacity);
            self.index.reserved.add(&w.reserved);
        }
        let over = slot.as_ref().is_some_and(|w| w.alive && w.free().is_none());
        let lost = slot.as_ref().is_some_and(|w| !w.alive);
        set_member(&mut self.index.overcommitted, id, over);
        set_member(&mut self.index.lost, id, lost);
        if let Some(w) = slot {
            self.workers.insert(id.clone(), w);
        }
    }
}

fn set_member(set: &mut BTreeSet<WorkerId>, id: &WorkerId, member: bool) {
    if !member {
        set.remove(id);
    } else if !set.contains(id) {
        set.insert(id.clone());
    }
}
