//! Index of the free capacity of workers, so that a placement looks at the
//! workers that have room instead of at all of them.

use cyclamenloft_types::{Resources, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// Which end of the index a search starts from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchFrom {
    /// The workers with the least free processors that may suffice.
    LeastFree,
    /// The workers with the most free processors.
    MostFree,
}

/// Free accelerators, then the levels of free processors and memory.
type Cell = (u16, u8, u8);

/// Workers by their free capacity, in cells of four levels to each doubling.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeCapacityIndex {
    cells: BTreeMap<Cell, BTreeSet<WorkerId>>,
}

impl FreeCapacityIndex {
    /// Moves a worker from its cell for `before` to that for `after`; `None`
    /// stands for a worker that takes no tasks.
    pub(crate) fn update(
        &mut self,
        worker: &WorkerId,
        before: Option<Resources>,
        after: Option<Resources>,
    ) {
        let (before, after) = (before.map(cell), after.map(cell));
        if before == after {
            return;
        }
        if let Some(cell) = before
            && let Some(workers) = self.cells.get_mut(&cell)
        {
            workers.remove(worker);
            if workers.is_empty() {
                self.cells.remove(&cell);
            }
        }
        if let Some(cell) = after {
            self.cells.entry(cell).or_default().insert(worker.clone());
        }
    }

    /// The workers that may have room for `need`: each worker that has is
    /// among them, some have a little too little.
    pub(crate) fn candidates(
        &self,
        need: Resources,
        from: SearchFrom,
    ) -> Box<dyn Iterator<Item = &WorkerId> + '_> {
        let (accelerators, cpu, memory) = cell(need);
        let cells = self
            .cells
            .range((accelerators, cpu, 0)..)
            .filter(move |((_, c, m), _)| *c >= cpu && *m >= memory);
        match from {
            SearchFrom::LeastFree => Box::new(cells.flat_map(|(_, workers)| workers)),
            SearchFrom::MostFree => Box::new(cells.rev().flat_map(|(_, workers)| workers)),
        }
    }
}

fn cell(free: Resources) -> Cell {
    (free.accelerators, level(free.cpu_millis), level(free.memory_mib))
}

/// A monotone step function with four levels to each doubling of `amount`.
fn level(amount: u32) -> u8 {
    let Some(octave) = amount.checked_ilog2() else {
        return 0;
    };
    let quarter = if octave >= 2 { (amount >> (octave - 2)) & 3 } else { 0 };
    // At most 31 * 4 + 3 + 1, which fits a byte.
    (octave * 4 + quarter + 1) as u8
}
