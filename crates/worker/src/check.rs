//! Checks of what workers send.

use cyclamenloft_placement::{Announcement, OrdersRequest, Report};
use cyclamenloft_types::{Error, ErrorKind, Result, TaskKey, check_name};

/// Longest wait for orders that a worker may ask for, in milliseconds.
pub const MAX_WAIT_MS: u64 = 30_000;
/// Most tasks that one report may name.
pub const MAX_REPORT_TASKS: usize = 4096;

/// Checks names and capacity of an announcement.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] naming the key.
pub fn check_announcement(announcement: &Announcement) -> Result<()> {
    check_name("worker", &announcement.worker)?;
    check_name("domain", &announcement.domain)?;
    check_name("rack", &announcement.rack)?;
    if announcement.capacity.cpu_millis == 0 || announcement.capacity.memory_mib == 0 {
        return Err(bad_request("key \"capacity\": expected processors and memory, found none"));
    }
    Ok(())
}

/// Checks names and sizes of a report.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] naming the key.
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

/// Checks a long poll for orders.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] naming the key.
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
