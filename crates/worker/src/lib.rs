//! The worker protocol: its HTTP paths, and the validation that each message
//! passes before the scheduler uses it.

pub mod check;
pub mod paths;

pub use check::{check_announcement, check_orders_request, check_report};
pub use cyclamenloft_placement::messages;
