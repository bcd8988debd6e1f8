//! Several failures at once, under load of requests, tasks and configuration changes.

use super::{
    DOMAIN, SERVICE_CONFIG, check_all_answered, layout, long_job, serving, submit, tasks::urgent,
    wait_for_job,
};
use crate::{
    cases,
    checker::{ConfigHistory, ConfigMonitor},
    harness::{Callers, Deployment, Operators, Race, wait_for},
};
use cyclamenloft_standin::journal::{Event, Line, TaskEnd};
use std::time::Duration;

cases! {
    a_rolling_restart_cuts_no_request_and_repeats_no_task => rolling_stop();
    a_rack_and_a_control_replica_fail_during_evictions => rack_lost();
}

fn is_start(line: &Line) -> bool {
    matches!(line.event, Event::TaskStarted { .. })
}

fn ended_as(line: &Line, how: impl Fn(TaskEnd) -> bool) -> bool {
    matches!(line.event, Event::TaskEnded { end, .. } if how(end))
}

/// A deadline that is longer than any wait in a passing test.
const LONG_DEADLINE: Duration = Duration::from_secs(30);

/// Guards against a planned restart that cuts off requests or interrupts tasks: every
/// entry and control process is stopped and started again, one after another, while
/// requests and tasks run.
async fn rolling_stop() {
    let mut deployment = serving(Deployment::start(&layout(3, 3)), 3, "20ms").await;
    deployment.start_worker(DOMAIN, "worker-1", 4);
    deployment.start_worker(DOMAIN, "worker-2", 4);
    submit(&deployment, 0, &long_job("long", 24, 1500)).await;
    let monitor = ConfigMonitor::start(&deployment);
    let callers = Callers::start(&deployment.hosts, "matchdesk", "rolling", LONG_DEADLINE);
    callers.wait_for_answers(40).await;
    for at in 0..deployment.entries.len() + deployment.controls.len() {
        let hosts = deployment.hosts.clone();
        let entries = deployment.entries.len();
        let process = match at.checked_sub(entries) {
            None => &mut deployment.entries[at],
            Some(at) => &mut deployment.controls[at],
        };
        process.terminate();
        process.wait_for_exit().await;
        process.restart();
        deployment.wait_until_ready(&hosts).await;
        callers.wait_for_answers(20).await;
    }
    wait_for_job(&deployment, 0, "long").await;
    let evidence = check_all_answered(&deployment, callers).await;
    assert_eq!(evidence.finished().len(), 24);
    let lost = evidence.count(|line| ended_as(line, |end| end != TaskEnd::Finished));
    assert_eq!(lost, 0, "a planned stop must not end a task early");
    monitor.check(1).await;
}

/// Guards against tasks that are lost or run twice when failures coincide: batch
/// tasks fill two racks, an urgent job evicts some of them, and meanwhile a rack and
/// a control replica are killed while operators change the configuration.
async fn rack_lost() {
    let mut deployment = serving(Deployment::start(&layout(2, 3)), 2, "20ms").await;
    for (number, rack) in [(1, "a"), (2, "a"), (3, "b"), (4, "b")] {
        deployment.start_worker_in_rack(DOMAIN, &format!("worker-{number}"), 4, rack);
    }
    let callers = Callers::start(&deployment.hosts, "matchdesk", "rack", LONG_DEADLINE);
    let monitor = ConfigMonitor::start(&deployment);
    submit(&deployment, 0, &long_job("long", 16, 2500)).await;
    wait_for("the tasks to run", async || deployment.evidence().count(is_start) >= 16).await;
    let race = Race { operators: 2, changes: 5, seed: 151, base: SERVICE_CONFIG };
    let operators = Operators::start(&deployment.operators, &deployment.hosts, race);
    submit(&deployment, 1, &urgent("urgent", 6)).await;
    let evicted = |line: &Line| ended_as(line, |end| end == TaskEnd::Evicted);
    wait_for("evictions", async || deployment.evidence().count(evicted) >= 1).await;
    // Stand-ins 0 and 1 are targets; 2 and 3 are the workers of rack a.
    deployment.kill_stand_in(2);
    deployment.kill_stand_in(3);
    deployment.controls[0].kill();
    wait_for_job(&deployment, 0, "urgent").await;
    wait_for_job(&deployment, 1, "long").await;
    deployment.controls[0].restart();
    let mut proposals = operators.finish().await;
    proposals.push(deployment.configure(SERVICE_CONFIG).await);
    let evidence = check_all_answered(&deployment, callers).await;
    assert_eq!(evidence.finished().len(), 22);
    let history = ConfigHistory::read(&deployment, &deployment.hosts[0]).await;
    history.check(&proposals);
    monitor.check(history.last()).await;
}
