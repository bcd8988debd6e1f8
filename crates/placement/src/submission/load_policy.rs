//! Which parts of the handling of overload are switched on. Loads handled: none itself; the
//! operator switches a part off to compare a service with and without it.

/// Switches of the parts that change decisions while the service has more work than room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadPolicy {
    /// Whether a submission that surely can't be served in time is refused at once.
    pub refuse_late: bool,
    /// Whether free room goes to urgent short tasks before first starts of long-running tasks
    /// while the short tasks are short of room.
    pub reserve_for_urgent: bool,
}

impl Default for LoadPolicy {
    fn default() -> Self {
        Self { refuse_late: true, reserve_for_urgent: true }
    }
}
