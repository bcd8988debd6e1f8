//! The latest time at which a worker may carry out a start. A start that is delayed behind a cut
//! must not be carried out long after the state that allowed it has changed, so it carries a
//! deadline on the worker's own clock.

use std::time::Duration;

/// Part of the bound on evacuations that is left for the acknowledgment, which the operator may
/// receive up to a second after the order is in force, and for clocks that run apart by 2%.
const EVACUATION_MARGIN: Duration = Duration::from_secs(1);

/// Returns the latest time, on the worker's clock in milliseconds, at which the worker may carry
/// out a start that is sent now; `None` if nothing limits it. `clock_ms` is a time that the
/// worker's clock has surely reached ([`WorkerLease::clock_ms`]), so that the result is early
/// rather than late.
///
/// [`WorkerLease::clock_ms`]: crate::submission::lease::WorkerLease::clock_ms
#[must_use]
pub fn latest_start_ms(clock_ms: Option<u64>, bound: Option<Duration>) -> Option<u64> {
    let bound_ms = u64::try_from(bound?.as_millis()).unwrap_or(u64::MAX);
    Some(clock_ms?.saturating_add(bound_ms))
}

/// Returns how long after it was sent a start may be carried out, so that none is carried out in a
/// domain whose evacuation was acknowledged more than `evacuate` before.
#[must_use]
pub fn evacuation_start_bound(evacuate: Duration) -> Duration {
    // With a bound of two seconds or less, the margin would leave no time for starts.
    evacuate.saturating_sub(EVACUATION_MARGIN).max(evacuate / 2)
}
