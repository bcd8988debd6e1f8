//! Validation of the messages that workers send.

use cyclamenloft_placement::{Announcement, OrdersRequest, Report};
use cyclamenloft_types::{Error, ErrorKind, Result, TaskKey, check_name};

/// Maximum duration of a long poll for orders, in milliseconds.
pub const MAX_WAIT_MS: u64 = 30_000;
/// Maximum number of tasks in a report.
pub const MAX_REPORT_TASKS: usize = 4096;

/// Validates the names and the capacity of an announcement.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] with the invalid key.
pub fn check_announcement(announcement: &Announcement) -> Result<()> {
    check_name("worker", &announcement.worker)?;
    check_name("domain", &announcement.domain)?;
    check_name("rack", &announcement.rack)?;
    if announcement.capacity.cpu_millis == 0 || announcement.capacity.memory_mib == 0 {
        return Err(bad_request("key \"capacity\": expected CPU and memory, found none"));
    }
    Ok(())
}

/// Validates the names and the number of tasks of a report.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] with the invalid key.
pub fn check_report(report: &Report) -> Result<()> {
    check_name("worker", &report.worker)?;
    let tasks = report.running.len() + report.ended.len();
    if tasks > MAX_REPORT_TASKS {
        return Err(bad_request(&format!(
            "report of {}: expected at most {MAX_REPORT_TASKS} tasks, found {tasks}",
            report.worker
        )));
    }
    report.running.iter().try_for_each(|r| check_task(&r.task))?;
    report.ended.iter().try_for_each(|e| check_task(&e.task))
}

/// Validates the worker name and the duration of a long poll for orders.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] with the invalid key.
pub fn check_orders_request(req: &OrdersRequest) -> Result<()> {
    check_name("worker", &req.worker)?;
    if req.wait_ms > MAX_WAIT_MS {
        return Err(bad_request(&format!(
            "key \"wait_ms\": expected 0..={MAX_WAIT_MS}, found {}",
            req.wait_ms
        )));
    }
    Ok(())
}

fn check_task(task: &TaskKey) -> Result<()> {
    check_name("task's job", &task.job).map(drop)
}

fn bad_request(detail: &str) -> Error {
    Error::new(ErrorKind::BadRequest, detail)
}
