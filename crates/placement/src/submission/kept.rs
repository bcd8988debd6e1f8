//! Estimates the memory that an accepted submission takes at each replica.

use super::{
    record::Task,
    spec::{Step, Submission},
};

/// Number of copies of a record: in the state, and in the snapshots that a replica keeps, writes and
/// sends.
const COPIES: usize = 4;
/// Memory of an empty list in another one, with what the allocator adds.
const LIST_BYTES: usize = size_of::<Vec<Task>>() + 16;
/// Size of a task in a snapshot.
const ENCODED_TASK_BYTES: usize = 8;

/// Returns the estimated number of bytes that the record of a submission takes. What workers save
/// of its tasks isn't counted.
#[must_use]
pub fn kept_bytes(spec: &Submission) -> usize {
    let steps: usize = spec.steps.iter().map(Step::held_bytes).sum();
    let text = spec.payload.len() + spec.queue.len() + steps;
    let task = size_of::<Task>() + (COPIES - 1) * ENCODED_TASK_BYTES;
    let tasks = |step: &Step| LIST_BYTES + usize::from(step.count) * task;
    let tasks: usize = spec.steps.iter().map(tasks).sum();
    let left = LIST_BYTES + spec.steps.len() * size_of::<u16>();
    let occurrence = LIST_BYTES + tasks + left;
    COPIES * text + occurrence.saturating_mul(spec.occurrences as usize)
}
