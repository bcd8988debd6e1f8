//! Paths of the worker protocol on the platform listener; all take POST.

/// A worker announces itself.
pub const ANNOUNCE: &str = "/v1/workers/announce";
/// A worker reports.
pub const REPORT: &str = "/v1/workers/report";
/// A worker waits for orders.
pub const ORDERS: &str = "/v1/workers/orders";

/// Largest announcement in bytes.
pub const MAX_ANNOUNCEMENT_BYTES: usize = 4 * 1024;
/// Largest report in bytes.
pub const MAX_REPORT_BYTES: usize = 1024 * 1024;
/// Largest request for orders in bytes.
pub const MAX_ORDERS_REQUEST_BYTES: usize = 4 * 1024;
