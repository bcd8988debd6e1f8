//! An index of workers by free capacity, so that a placement examines only
//! workers that may have enough of it.

use cyclamenloft_types::{Resources, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// The end of the index from which a search starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchFrom {
    /// Workers with the least free CPU that may be sufficient come first.
    LeastFree,
    /// Workers with the most free CPU come first.
    MostFree,
}

/// Free accelerators, then the levels of free CPU and memory.
type Cell = (u16, u8, u8);

/// Workers by free capacity, in cells of four levels per power of two.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeCapacityIndex {
    cells: BTreeMap<Cell, BTreeSet<WorkerId>>,
}

impl FreeCapacityIndex {
    /// Moves a worker from its cell for `before` to its cell for `after`. `None`
    /// means that the worker accepts no tasks and is in no cell.
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

    /// Returns the workers that may have enough free capacity for `need`. Every
    /// worker that has enough is included, as are some that have slightly too
    /// little.
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

/// A monotonic step function with four levels per power of two of `amount`.
fn level(amount: u32) -> u8 {
    let Some(octave) = amount.checked_ilog2() else {
        return 0;
    };
    let quarter = if octave >= 2 { (amount >> (octave - 2)) & 3 } else { 0 };
    // At most 31 * 4 + 3 + 1 = 128, which fits a `u8`.
    (octave * 4 + quarter + 1) as u8
}
