//! Paths of the worker protocol on the platform listener. All use POST.

/// Path at which a worker announces itself.
pub const ANNOUNCE: &str = "/v1/workers/announce";
/// Path at which a worker reports its running and ended tasks.
pub const REPORT: &str = "/v1/workers/report";
/// Path at which a worker long-polls for orders.
pub const ORDERS: &str = "/v1/workers/orders";

/// Maximum size of an announcement, in bytes.
pub const MAX_ANNOUNCEMENT_BYTES: usize = 4 * 1024;
/// Maximum size of a report, in bytes.
pub const MAX_REPORT_BYTES: usize = 1024 * 1024;
/// Maximum size of a request for orders, in bytes.
pub const MAX_ORDERS_REQUEST_BYTES: usize = 4 * 1024;
