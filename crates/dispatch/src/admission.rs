//! Admission control for submissions. A submission that certainly can't be
//! served is refused at once, with a time after which to retry.

use cyclamenloft_placement::submission::{
    Fleet, Submission, SubmissionState,
    backlog::{Assessment, Figures},
    routes::QueuePolicy,
};
use cyclamenloft_types::Resources;
use std::time::{Duration, Instant};

/// Maximum number of open submissions: as many as arrive in a minute at the busiest
/// queue. A submission behind a longer backlog can't meet its deadline.
const MAX_OPEN_SUBMISSIONS: usize = 2_000;
/// Largest submission that may use all of the memory for submissions, in bytes. Larger ones leave a
/// quarter to these.
const SMALL_BYTES: usize = 64 << 10;
/// Retry delay after a refusal because of too many open submissions, in seconds.
const FULL_RETRY_S: u32 = 5;
/// Retry delay if no worker is large enough, in seconds: a larger worker may join.
const TOO_LARGE_RETRY_S: u32 = 30;
/// Retry delay, in seconds, while waiting tasks of one of the submission's best-effort
/// images don't start. The interference that prevents their start changes within seconds.
const STALLED_RETRY_S: u32 = 8;

/// Why a submission is refused, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason, as it appears in logs and metrics.
    pub reason: &'static str,
    /// Delay before a retry, in seconds.
    pub retry_after_s: u32,
}

/// Checks whether a new submission may be accepted.
///
/// # Errors
///
/// The reason of the refusal, and when to retry.
pub fn admit(
    state: &SubmissionState,
    fleet: Option<&Fleet>,
    submission: &Submission,
    policy: &QueuePolicy,
    now: Instant,
) -> Result<(), Refusal> {
    if state.record(submission.id).is_some() {
        // This is a resend of a submission that was accepted before.
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

/// Checks whether the replicas have the memory to keep a new submission of `bytes`, of `limit` in
/// all, beside those that are kept and being committed.
///
/// # Errors
///
/// The reason of the refusal, and when to retry.
pub fn admit_bytes(bytes: usize, kept: usize, limit: usize) -> Result<(), Refusal> {
    let limit = if bytes <= SMALL_BYTES { limit } else { limit / 4 * 3 };
    match kept.saturating_add(bytes) <= limit {
        true => Ok(()),
        false => Err(Refusal { reason: "memory", retry_after_s: FULL_RETRY_S }),
    }
}

/// Checks whether a new submission that [`admit`] accepts can be served in time. Returns the time
/// by which its acceptance is backdated, so that a returning caller isn't placed after newer ones.
///
/// # Errors
///
/// The submission would start too late to be of use. When to retry.
pub fn admit_in_time(
    state: &SubmissionState,
    fleet: &mut Fleet,
    submission: &Submission,
    policy: &QueuePolicy,
    now: Instant,
    wall_ms: u64,
) -> Result<Duration, Refusal> {
    match fleet.assess(state, submission, policy, now, wall_ms) {
        Assessment::Accepted { backdated } => Ok(backdated),
        Assessment::Refused(figures) => {
            log_figures(submission, &figures);
            Err(Refusal { reason: "late", retry_after_s: figures.retry_after_s })
        }
    }
}

fn log_figures(submission: &Submission, figures: &Figures) {
    let Figures { direct, wait, ahead, rate, arrivals, objective, asked_ago, retry_after_s } =
        *figures;
    let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    tracing::info!(
        event = "refusal", submission = %format_args!("{:016x}", submission.id),
        queue = %submission.queue, direct_ms = millis(direct), wait_ms = wait.map(millis), ahead, rate, arrivals,
        objective_ms = millis(objective), asked_ago_ms = millis(asked_ago), retry_after_s
    );
}

/// Returns whether the submission has a task that exceeds the capacity of every worker of
/// the service, also when none is reduced. Returns false while the service has no workers.
fn is_too_large(state: &SubmissionState, submission: &Submission, policy: &QueuePolicy) -> bool {
    let workers = || state.incarnations().filter(|(_, l)| l.worker.service == policy.service);
    let has_room = |id, need: &Resources| {
        state.largest_capacity(id).is_some_and(|largest| need.fits_in(&largest))
    };
    let fits = |need: &Resources| workers().any(|(id, _)| has_room(id, need));
    workers().next().is_some() && submission.steps.iter().any(|s| !fits(&s.reserved()))
}
