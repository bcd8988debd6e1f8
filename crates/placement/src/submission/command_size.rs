//! Bounds of the commands whose size follows from what callers and workers send. The group rejects
//! a command that exceeds a log entry, so their content is split over several, or cut where the
//! rest can be done without.

use super::{
    command::{Checkpoints, Command, RunEnd, Silence, SilentRun},
    interference::LearnedPair,
    open_starts::RunId,
    record::IncarnationId,
    spec::SubmissionId,
};
use cyclamenloft_replication::MAX_COMMAND_BYTES;
use serde::Serialize;

/// Longest checkpoint that is kept. A task whose checkpoint is longer resumes from its last one
/// that isn't.
pub const MAX_CHECKPOINT_BYTES: usize = 64 << 10;
/// Maximum number of runs in what is known of an unreachable worker.
pub const MAX_SILENT_RUNS: usize = 4_000;
/// Maximum number of unreachable workers in one log entry, so that it stays small.
const MAX_SILENCES: usize = 32;
/// Space for the content of a command, without its variant, its lengths and its incarnation.
const MAX_CONTENT_BYTES: usize = MAX_COMMAND_BYTES - 64;

impl Command {
    /// Returns the commands that record the ends of runs on one incarnation, in their order.
    #[must_use]
    pub fn ended(incarnation: IncarnationId, mut ends: Vec<RunEnd>) -> Vec<Self> {
        for end in ends.iter_mut().filter(|e| e.checkpoint.len() > MAX_CHECKPOINT_BYTES) {
            end.checkpoint = "".into();
        }
        let parts = split(ends, MAX_CONTENT_BYTES, usize::MAX);
        parts.into_iter().map(|ends| Self::Ended { incarnation, ends }).collect()
    }

    /// Returns the command that ends an incarnation. A task whose checkpoint doesn't fit resumes
    /// from the last one that was committed.
    #[must_use]
    pub fn lost(incarnation: IncarnationId, mut checkpoints: Checkpoints) -> Self {
        checkpoints.retain(|(_, checkpoint)| checkpoint.len() <= MAX_CHECKPOINT_BYTES);
        Self::Lost { incarnation, checkpoints: first_part(checkpoints) }
    }

    /// Returns the commands that record what ran on unreachable incarnations.
    #[must_use]
    pub fn silent(silences: Vec<Silence>) -> Vec<Self> {
        let bounded: Vec<Silence> = silences.into_iter().flat_map(split_silence).collect();
        let parts = split(bounded, MAX_CONTENT_BYTES, MAX_SILENCES);
        parts.into_iter().map(Self::Silent).collect()
    }

    /// Returns the commands that remove the records of submissions.
    #[must_use]
    pub fn forget(ids: Vec<SubmissionId>) -> Vec<Self> {
        let parts = split(ids, MAX_CONTENT_BYTES, usize::MAX);
        parts.into_iter().map(Self::Forget).collect()
    }

    /// Returns the commands that record that starts can't be carried out any more.
    #[must_use]
    pub fn settled(runs: Vec<RunId>) -> Vec<Self> {
        let parts = split(runs, MAX_CONTENT_BYTES, usize::MAX);
        parts.into_iter().map(Self::Settled).collect()
    }

    /// Returns the commands that record by when runs have ended that starts begin.
    #[must_use]
    pub fn waits(waits: Vec<(RunId, u64)>) -> Vec<Self> {
        let parts = split(waits, MAX_CONTENT_BYTES, usize::MAX);
        parts.into_iter().map(Self::Waits).collect()
    }

    /// Returns the command that stores the learned interference, as far as it fits.
    #[must_use]
    pub fn learned(pairs: Vec<LearnedPair>) -> Self {
        Self::Learned(first_part(pairs))
    }
}

/// Splits the checkpoints of a silence. Each part has all runs, so that the order in which the
/// parts are applied doesn't matter, and neither does it if only some are.
fn split_silence(silence: Silence) -> Vec<Silence> {
    let Silence { incarnation, at_ms, mut runs, mut checkpoints } = silence;
    if runs.len() > MAX_SILENT_RUNS {
        // The youngest runs are those that may have crashed the worker.
        runs.sort_by_key(SilentRun::age);
        runs.truncate(MAX_SILENT_RUNS);
    }
    checkpoints.retain(|(_, checkpoint)| checkpoint.len() <= MAX_CHECKPOINT_BYTES);
    let whole = Silence { incarnation, at_ms, runs, checkpoints: Vec::new() };
    // The length of the checkpoints takes a few bytes more than that of none.
    let left = MAX_CONTENT_BYTES.saturating_sub(encoded_len(&whole) + 8);
    if checkpoints.is_empty() {
        return vec![whole];
    }
    let parts = split(checkpoints, left, usize::MAX);
    parts.into_iter().map(|checkpoints| Silence { checkpoints, ..whole.clone() }).collect()
}

/// Splits items into consecutive parts of at most `max_bytes` and `max_count` each. An item that is
/// larger has a part of its own.
fn split<T: Serialize>(items: Vec<T>, max_bytes: usize, max_count: usize) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut size = 0;
    for item in items {
        let len = encoded_len(&item);
        match parts.last_mut().filter(|p| size + len <= max_bytes && p.len() < max_count) {
            Some(part) => {
                part.push(item);
                size += len;
            }
            None => {
                parts.push(vec![item]);
                size = len;
            }
        }
    }
    parts
}

/// Returns the items up to the first that exceeds the space for content.
fn first_part<T: Serialize>(mut items: Vec<T>) -> Vec<T> {
    let mut size = 0;
    let exceeds = |item: &T| {
        size += encoded_len(item);
        size > MAX_CONTENT_BYTES
    };
    if let Some(end) = items.iter().position(exceeds) {
        items.truncate(end);
    }
    items
}

pub(super) fn encoded_len(item: &impl Serialize) -> usize {
    postcard::to_stdvec(item).map_or(usize::MAX / 2, |bytes| bytes.len())
}
