//! Which submissions are taken. What surely can't be served is refused at once,
//! with a time after which another try makes sense.

use cyclamenloft_placement::submission::{Submission, SubmissionState};

/// Most open submissions of one queue: what the sites' busiest queue brings in a
/// minute, past which waiting is hopeless.
const MAX_OPEN: usize = 2_000;
/// Advice after a refusal for a full queue, in seconds.
const FULL_RETRY_S: u32 = 5;

/// Whether a submission is taken; else the seconds after which to come back.
pub(crate) fn admit(state: &SubmissionState, submission: &Submission) -> Result<(), u32> {
    let known = state.record(submission.id).is_some();
    if !known && state.open().count() >= MAX_OPEN {
        return Err(FULL_RETRY_S);
    }
    Ok(())
}
