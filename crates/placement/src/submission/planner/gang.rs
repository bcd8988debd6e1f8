//! Gangs: all tasks of a step at once, or none.

use super::{
    super::{command::Placed, spec::TaskId},
    Known, Wanted, best_seat,
    bin::{Held, Seat},
    round::hold_room,
};
use std::collections::BTreeSet;

/// Places all tasks of a gang at once, on one rack where that is wanted and
/// possible; where there is no room for all, none is placed, and the widest
/// workers are kept free of short tasks. `first` is the gang's first task.
pub(super) fn place_gang<'a>(
    first: Wanted<'a>,
    seats: &mut [Seat<'a>],
    known: Known<'_>,
    wall_ms: u64,
) -> Vec<Placed> {
    let Wanted { record, task, step } = first;
    let tasks = &record.tasks[task.occurrence as usize][usize::from(task.step)];
    if tasks.iter().any(|t| !t.runs.is_empty()) {
        // Members of the last try are still being stopped.
        return Vec::new();
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
            let member = Wanted { task: TaskId { index, ..task }, ..first };
            let Some(seat) = best_seat(member, &tried, known, wall_ms) else { break };
            tried[seat].take(step, member.task, known.interference);
            members.push(Placed { task: member.task, attempt, life: tried[seat].id });
        }
        if members.len() == tasks.len() {
            for seat in tried {
                if let Some(own) = seats.iter_mut().find(|s| s.id == seat.id) {
                    *own = seat;
                }
            }
            return members;
        }
    }
    for _ in 0..step.count {
        hold_room(first, seats, Held::Short);
    }
    Vec::new()
}
