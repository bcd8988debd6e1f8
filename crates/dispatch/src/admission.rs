//! Which submissions are taken. What surely can't be served is refused at once,
//! with a time after which another try makes sense.

use cyclamenloft_placement::submission::{Fleet, Submission, SubmissionState, routes::QueuePolicy};
use cyclamenloft_types::Resources;
use std::time::Instant;

/// Most open submissions: what the sites' busiest queue brings in a minute, past
/// which waiting is hopeless.
const MAX_OPEN_SUBMISSIONS: usize = 2_000;
/// Advice after a refusal for a full queue, in seconds.
const FULL_RETRY_S: u32 = 5;
/// Advice where no worker is large enough, in seconds: a worker of another kind
/// may come.
const TOO_LARGE_RETRY_S: u32 = 30;
/// Advice while work of an image stands still, in seconds: what disturbs what
/// changes within seconds.
const STALLED_RETRY_S: u32 = 8;

/// Why a submission is refused, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason, as logs name it.
    pub reason: &'static str,
    /// When another try makes sense, in seconds.
    pub retry_after_s: u32,
}

/// Checks whether a new submission may be taken.
///
/// # Errors
///
/// The reason, and when to come back.
pub fn admit(
    state: &SubmissionState,
    fleet: Option<&Fleet>,
    submission: &Submission,
    policy: &QueuePolicy,
    now: Instant,
) -> Result<(), Refusal> {
    if state.record(submission.id).is_some() {
        // It is the same submission again.
        return Ok(());
    }
    if state.open_count() >= MAX_OPEN_SUBMISSIONS {
        return Err(Refusal { reason: "full", retry_after_s: FULL_RETRY_S });
    }
    if is_too_large(state, submission, policy) {
        return Err(Refusal { reason: "too-large", retry_after_s: TOO_LARGE_RETRY_S });
    }
    let mut images = submission.steps.iter().filter(|s| s.fills).filter_map(|s| s.image.as_deref());
    if images.any(|image| fleet.is_some_and(|f| f.start_rates.is_stalled(image, now))) {
        return Err(Refusal { reason: "stalled", retry_after_s: STALLED_RETRY_S });
    }
    Ok(())
}

/// Whether a task fits on no worker of the service, even if it were empty.
fn is_too_large(state: &SubmissionState, submission: &Submission, policy: &QueuePolicy) -> bool {
    let workers = || state.incarnations().filter(|(_, l)| l.worker.service == policy.service);
    let fits = |need: &Resources| workers().any(|(_, l)| need.fits_in(&l.worker.capacity));
    workers().next().is_some() && submission.steps.iter().any(|s| !fits(&s.reserved()))
}
