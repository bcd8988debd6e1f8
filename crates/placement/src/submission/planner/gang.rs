//! Placement of gangs: either all tasks of a step are placed, or none.

use super::{
    super::{command::Placement, spec::TaskId},
    Context, PendingTask, best_bin,
    bin::{Bin, ReservedFrom},
    round::{reserve_room, room_later},
};
use std::collections::BTreeSet;

/// Places all tasks of a gang, on one rack if the step asks for it and a rack
/// has room. If there isn't room for all tasks, none is placed. If there will be
/// once short tasks have ended, the room on the workers with the most free CPU is
/// reserved, which excludes short tasks.
/// `first` is the gang's first task.
pub(super) fn place_gang<'a>(
    first: PendingTask<'a>,
    bins: &mut [Bin<'a>],
    cx: Context<'_>,
    wall_ms: u64,
) -> Vec<Placement> {
    let PendingTask { record, task, step } = first;
    let tasks = &record.tasks[task.occurrence as usize][usize::from(task.step)];
    if tasks.iter().any(|t| !t.runs.is_empty()) {
        // Members of the previous attempt are still being stopped.
        return Vec::new();
    }
    let attempt = tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1;
    let mut racks: Vec<Option<&str>> = vec![None];
    if step.same_rack {
        let named: BTreeSet<&str> = bins.iter().map(|b| &*b.incarnation.worker.rack).collect();
        racks.splice(0..0, named.into_iter().map(Some));
    }
    for rack in racks {
        let mut tried: Vec<Bin<'a>> = bins
            .iter()
            .filter(|b| rack.is_none_or(|rack| *b.incarnation.worker.rack == *rack))
            .cloned()
            .collect();
        let mut members = Vec::with_capacity(tasks.len());
        for index in 0..step.count {
            let member = PendingTask { task: TaskId { index, ..task }, ..first };
            let Some(bin) = best_bin(member, &tried, cx, wall_ms) else { break };
            tried[bin].take(step, member.task, cx.interference);
            members.push(Placement { task: member.task, attempt, incarnation: tried[bin].id });
        }
        if members.len() == tasks.len() {
            for bin in tried {
                if let Some(own) = bins.iter_mut().find(|b| b.id == bin.id) {
                    *own = bin;
                }
            }
            return members;
        }
    }
    let later: usize = bins.iter().map(|bin| room_later(first, bin, cx)).sum();
    if later >= usize::from(step.count) {
        for _ in 0..step.count {
            reserve_room(first, bins, cx, ReservedFrom::Short);
        }
    }
    Vec::new()
}
