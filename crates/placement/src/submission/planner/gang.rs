//! Gangs: all tasks of a step at once, or none.

use super::{
    super::{command::Placed, spec::TaskId, state::Record},
    Known, best_seat, hold_room,
    seat::{Held, Seat},
};
use std::collections::BTreeSet;

/// Places all tasks of a gang at once, on one rack where that is wanted and
/// possible; where there is no room for all, none is placed, and the widest
/// workers are kept free of short tasks.
pub(super) fn place_gang<'a>(
    record: &'a Record,
    first: TaskId,
    seats: &mut [Seat<'a>],
    known: Known<'_>,
    wall_ms: u64,
    placed: &mut Vec<Placed>,
) {
    let (k, s) = (first.occurrence as usize, usize::from(first.step));
    let (step, tasks) = (&record.spec.steps[s], &record.tasks[k][s]);
    if tasks.iter().any(|t| !t.runs.is_empty()) {
        // Members of the last try are still being stopped.
        return;
    }
    let attempt = tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1;
    let mut racks: Vec<Option<&str>> = vec![None];
    if step.same_rack {
        let named: BTreeSet<&str> = seats.iter().map(|s| &*s.life.worker.rack).collect();
        racks.splice(0..0, named.into_iter().map(Some));
    }
    for rack in racks {
        let mut tried: Vec<Seat<'a>> = seats
            .iter()
            .filter(|s| rack.is_none_or(|rack| *s.life.worker.rack == *rack))
            .cloned()
            .collect();
        let mut members = Vec::with_capacity(tasks.len());
        for index in 0..step.count {
            let id = TaskId { index, ..first };
            let Some(seat) = best_seat(record, step, id, &tried, known, wall_ms) else { break };
            tried[seat].take(step, id, known.interference);
            members.push(Placed { task: id, attempt, life: tried[seat].id });
        }
        if members.len() == tasks.len() {
            for seat in tried {
                if let Some(own) = seats.iter_mut().find(|s| s.id == seat.id) {
                    *own = seat;
                }
            }
            placed.extend(members);
            return;
        }
    }
    for _ in 0..step.count {
        hold_room(record, step, first, seats, Held::Short);
    }
}
