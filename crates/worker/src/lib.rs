//! Towards workers: the HTTP paths of their protocol and the checks that each
//! message passes before it reaches a decision.

pub mod check;
pub mod paths;

pub use check::{check_announcement, check_orders_request, check_report};
pub use cyclamenloft_placement::messages;
