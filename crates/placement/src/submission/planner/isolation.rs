//! Workers that are kept for tasks suspected of crashing their workers.

use super::{
    super::{fleet::Fleet, state::SubmissionState},
    bin::Bin,
};
use std::time::Instant;

/// At most one worker in this many, and one at least, is kept for suspects at a time.
const MAX_ISOLATED_ONE_IN: usize = 8;
/// Maximum number of workers that are kept for suspects at a time, which bounds the time of a
/// round after many workers have crashed at once.
const MAX_ISOLATED: usize = 16;

/// Returns how many workers may be kept for suspects at a time. Further suspects are placed like
/// any other task.
pub(super) fn max_isolated(workers: usize) -> usize {
    (workers / MAX_ISOLATED_ONE_IN).clamp(1, MAX_ISOLATED)
}

/// Marks the workers on which a suspect has not yet proven harmless.
pub(super) fn isolate_suspects(
    state: &SubmissionState,
    fleet: &Fleet,
    bins: &mut [Bin<'_>],
    now: Instant,
) {
    for task in state.crashes().suspects() {
        let runs = state.record(task.submission).and_then(|r| r.task(task)).map(|t| &t.runs);
        for run in runs.into_iter().flatten() {
            if fleet.has_proven_harmless(run.incarnation, task, now) {
                continue;
            }
            if let Ok(bin) = bins.binary_search_by_key(&run.incarnation, |b| b.id) {
                bins[bin].isolated_for = Some(task.submission);
            }
        }
    }
}
