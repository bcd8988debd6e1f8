//! The one checker of promises, over the journals that stand-ins wrote.

use cyclamenloft_standin::journal::{Event, Line};
use std::collections::{BTreeMap, BTreeSet};

/// Checks the promises on tasks: an attempt starts once, attempts grow, and no
/// attempt starts while an earlier one of the same task may still run. `lost`
/// names the workers that were killed: their attempts have no end.
///
/// # Panics
///
/// Naming the promise that was broken.
pub fn check_tasks(journals: &[Vec<Line>], lost: &[&str]) {
    let mut lines: Vec<&Line> = journals.iter().flatten().collect();
    lines.sort_by_key(|line| line.at_us);
    let mut running: BTreeMap<&str, (&str, u32)> = BTreeMap::new();
    let mut last: BTreeMap<&str, u32> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::TaskStarted { task, attempt, .. } => {
                let before = last.insert(task, *attempt).unwrap_or(0);
                assert!(before < *attempt, "task {task}: attempt {attempt} after {before}");
                if let Some((worker, earlier)) = running.insert(task, (&line.who, *attempt)) {
                    assert!(
                        lost.contains(&worker),
                        "task {task}: attempt {attempt} started on {} while {earlier} ran on {worker}",
                        line.who
                    );
                }
            }
            Event::TaskEnded { task, attempt, .. } => {
                if running.get(&**task) == Some(&(&*line.who, *attempt)) {
                    running.remove(&**task);
                }
            }
            Event::RequestBegan { .. } | Event::RequestEnded { .. } => {}
        }
    }
}

/// Counts the tasks that ran to their end, by name; a task must end once.
///
/// # Panics
///
/// Where a task finished twice.
pub fn finished_tasks(journals: &[Vec<Line>]) -> BTreeSet<Box<str>> {
    let mut finished = BTreeSet::new();
    for line in journals.iter().flatten() {
        if let Event::TaskEnded { task, end, .. } = &line.event
            && &**end == "finished"
        {
            assert!(finished.insert(task.clone()), "task {task} finished twice");
        }
    }
    finished
}

/// Checks the promises on requests: none began twice unless it may, a request
/// refused as not run never began, and no target had more than `slots` in flight.
///
/// # Panics
///
/// Naming the promise that was broken.
pub fn check_requests(journals: &[Vec<Line>], refused: &[Box<str>], slots: usize) {
    let mut began: BTreeMap<&str, usize> = BTreeMap::new();
    for line in journals.iter().flatten() {
        if let Event::RequestBegan { number, in_flight, .. } = &line.event {
            *began.entry(number).or_default() += 1;
            assert!(*in_flight <= slots, "{}: {in_flight} requests in flight", line.who);
        }
    }
    for number in refused {
        assert!(!began.contains_key(&**number), "request {number} was refused as not run, and ran");
    }
    for (number, times) in began {
        assert_eq!(times, 1, "request {number} began {times} times");
    }
}
