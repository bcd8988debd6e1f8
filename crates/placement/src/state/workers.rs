//! Registration, loss and removal of workers, and the indexes over workers.

use super::{PlacementState, WorkerState};
use crate::command::{Applied, WorkerRecord};
use cyclamenloft_types::{BootId, LogIndex, Resources, TaskKey, WorkerId};
use std::collections::BTreeSet;

impl PlacementState {
    /// Registers a worker and marks it as alive. A new boot ends the attempts of
    /// the previous boot. If the capacity shrank, the reservations are kept, and
    /// no task is added until they fit again.
    pub(super) fn register(&mut self, index: LogIndex, record: &WorkerRecord) -> Applied {
        if let Some(existing) = self.workers.get(&record.id) {
            if existing.record == *record && existing.alive {
                return Applied::Already;
            }
            if existing.record.boot != record.boot {
                let (boot, registered) = (existing.record.boot, existing.registered);
                self.worker_lost(index, &record.id, boot, registered);
            }
        }
        let previous = self.workers.get(&record.id).map(|w| w.record.capacity);
        self.change_worker(&record.id, |entry| match entry {
            Some(w) => {
                if !w.alive {
                    w.registered = index;
                }
                w.alive = true;
                w.record = record.clone();
            }
            None => {
                *entry = Some(WorkerState {
                    record: record.clone(),
                    alive: true,
                    registered: index,
                    reserved: Resources::ZERO,
                    tasks: BTreeSet::new(),
                });
            }
        });
        self.change_capacity_counts(previous, Some(record.capacity));
        Applied::Changed
    }

    /// Ends the attempts of a worker whose lease has certainly expired. Does
    /// nothing if the worker has registered again since it was found lost.
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
        self.change_worker(worker, |entry| {
            if let Some(w) = entry {
                w.alive = false;
            }
        });
        Applied::Changed
    }

    /// Removes a worker that is lost.
    pub(super) fn remove_worker(&mut self, worker: &WorkerId) -> Option<()> {
        let w = self.workers.get(worker).filter(|w| !w.alive && w.tasks.is_empty())?;
        let capacity = w.record.capacity;
        self.change_worker(worker, |entry| *entry = None);
        self.change_capacity_counts(Some(capacity), None);
        Some(())
    }

    /// Returns the workers that were declared lost and have not returned.
    pub fn lost_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.index.lost.iter()
    }

    /// Changes a worker and updates every index of workers.
    pub(super) fn change_worker(
        &mut self,
        id: &WorkerId,
        change: impl FnOnce(&mut Option<WorkerState>),
    ) {
        let mut entry = self.workers.remove(id);
        let before = entry.as_ref().and_then(WorkerState::free);
        if let Some(w) = entry.as_ref().filter(|w| w.alive) {
            self.index.capacity.sub(&w.record.capacity);
            self.index.reserved.sub(&w.reserved);
        }
        change(&mut entry);
        let after = entry.as_ref().and_then(WorkerState::free);
        self.index.free_capacity.update(id, before, after);
        if let Some(w) = entry.as_ref().filter(|w| w.alive) {
            self.index.capacity.add(&w.record.capacity);
            self.index.reserved.add(&w.reserved);
        }
        let overcommitted = entry.as_ref().is_some_and(|w| w.alive && w.free().is_none());
        let lost = entry.as_ref().is_some_and(|w| !w.alive);
        set_member(&mut self.index.overcommitted, id, overcommitted);
        set_member(&mut self.index.lost, id, lost);
        if let Some(w) = entry {
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
