//! Failures brought about with real processes.

use crate::{
    cases,
    checker::{check_requests, check_tasks, finished_tasks},
    harness::{Deployment, DomainLayout, read_journal, until_ok, wait_for},
    paths::{SERVICE, job},
};
use cyclamenloft_peer::calls::SubmitAnswer;
use cyclamenloft_standin::{LoadSettings, journal::Event, load};
use cyclamenloft_types::{JobState, Result, TaskState};
use std::time::Duration;

cases! {
    a_planned_stop_of_an_entry_host_cuts_nothing => entry_stop();
    a_leaving_target_gets_nothing_and_cuts_nothing => target_leaves();
    tasks_of_a_killed_worker_run_elsewhere => worker_killed();
    a_frozen_worker_stops_its_tasks_when_it_thaws => worker_frozen();
    a_restarted_entry_host_has_the_newest_configuration => entry_restart();
}

fn layout(entries: u8) -> [DomainLayout; 1] {
    [DomainLayout { name: "galway-yard", entries, controls: 1 }]
}

async fn with_targets(entries: u8, targets: usize) -> Deployment {
    let mut deployment = Deployment::start(&layout(entries));
    deployment.ready().await;
    let first = deployment.hosts[0];
    until_ok("a service", async || deployment.apply(&first, 1, SERVICE).await).await;
    deployment.in_force(1).await;
    for _ in 0..targets {
        deployment.start_target("galway-yard", "matchdesk", "20ms");
    }
    for host in &deployment.hosts {
        let all = async || deployment.targets(host, "matchdesk").await == targets;
        wait_for("the targets", all).await;
    }
    deployment
}

fn journals(deployment: &Deployment) -> Vec<Vec<cyclamenloft_standin::journal::Line>> {
    deployment.stand_ins.iter().map(|p| read_journal(&deployment.journal(&p.name))).collect()
}

fn load_settings(deployment: &Deployment, hosts: &[usize], prefix: &str) -> LoadSettings {
    LoadSettings {
        entries: hosts.iter().map(|i| deployment.hosts[*i].callers).collect(),
        service: "matchdesk".into(),
        rate: 100.0,
        time: Duration::from_secs(3),
        deadline: Duration::from_secs(20),
        prefix: prefix.into(),
    }
}

/// A balancer stops sending to a host that isn't ready; requests sent before
/// that are answered whole.
async fn entry_stop() {
    let mut deployment = with_targets(2, 2).await;
    let doomed = load_settings(&deployment, &[0], "doomed");
    let doomed = LoadSettings { time: Duration::from_millis(900), ..doomed };
    let other = load_settings(&deployment, &[1], "other");
    let running = compio::runtime::spawn(load::run(doomed));
    let beside = compio::runtime::spawn(load::run(other));
    compio::time::sleep(Duration::from_millis(750)).await;
    // The lame-duck time of 300 ms covers the rest of the load.
    deployment.entries[0].terminate();
    let report = running.await.unwrap().unwrap();
    assert_eq!((report.answered, report.sent), (90, 90), "{report:?}");
    let report = beside.await.unwrap().unwrap();
    assert_eq!((report.answered, report.sent), (300, 300), "{report:?}");
    wait_for("the process to end", async || deployment.entries[0].log().contains("entry stopped"))
        .await;
    let ended = deployment.entries[0].ended();
    assert!(ended.is_none_or(|status| status.success()));
    check_requests(&journals(&deployment), &[], 8);
}

async fn target_leaves() {
    let deployment = with_targets(2, 3).await;
    let running = compio::runtime::spawn(load::run(load_settings(&deployment, &[0, 1], "leave")));
    compio::time::sleep(Duration::from_millis(500)).await;
    deployment.stand_ins[0].terminate();
    let report = running.await.unwrap().unwrap();
    assert_eq!((report.answered, report.sent), (300, 300), "{report:?}");
    for host in &deployment.hosts {
        let gone = async || deployment.targets(host, "matchdesk").await == 2;
        wait_for("the target to be gone", gone).await;
    }
    check_requests(&journals(&deployment), &[], 8);
}

/// Starts a worker with a lease of 2 s and four tasks that run for as long on it.
async fn with_running_tasks() -> Deployment {
    let mut deployment = Deployment::start(&layout(2));
    deployment.ready().await;
    let first = deployment.hosts[0];
    let short_lease = "[placement]\nlease = \"2s\"\nreport_period = \"500ms\"\n";
    until_ok("a lease", async || deployment.apply(&first, 1, short_lease).await).await;
    deployment.start_worker("galway-yard", "worker-1", 4);
    let mut spec = job("long", 4);
    spec.run_time_ms = 2000;
    let _: SubmitAnswer = until_ok("a submission", async || {
        deployment.operators.post(first.operators, "/v1/jobs", &spec).await
    })
    .await;
    wait_for("the tasks to run", async || {
        journals(&deployment).iter().map(Vec::len).sum::<usize>() == 4
    })
    .await;
    deployment
}

async fn job_finished(deployment: &Deployment) {
    wait_for("the job to finish", async || {
        let state: Result<JobState> =
            deployment.operators.get(deployment.hosts[0].operators, "/v1/jobs/long").await;
        state.is_ok_and(|s| s.tasks.iter().all(|t| *t == TaskState::Finished))
    })
    .await;
}

async fn worker_killed() {
    let mut deployment = with_running_tasks().await;
    deployment.stand_ins[0].kill();
    deployment.start_worker("galway-yard", "worker-2", 4);
    job_finished(&deployment).await;
    let journals = journals(&deployment);
    check_tasks(&journals, &["worker-1"]);
    assert_eq!(finished_tasks(&journals).len(), 4);
}

/// A frozen worker can't stop its tasks in time, but once it runs again it
/// must not let them go on.
async fn worker_frozen() {
    let mut deployment = with_running_tasks().await;
    deployment.stand_ins[0].freeze();
    deployment.start_worker("galway-yard", "worker-2", 4);
    job_finished(&deployment).await;
    deployment.stand_ins[0].thaw();
    let stopped = || {
        let lines = read_journal(&deployment.journal("worker-1"));
        lines.iter().filter(|l| matches!(l.event, Event::TaskEnded { .. })).count()
    };
    wait_for("the thawed worker to stop its tasks", async || stopped() == 4).await;
    let journals = journals(&deployment);
    check_tasks(&journals, &["worker-1"]);
    assert_eq!(finished_tasks(&journals).len(), 4);
}

async fn entry_restart() {
    let mut deployment = Deployment::start(&layout(2));
    deployment.ready().await;
    let [first, second] = [deployment.hosts[0], deployment.hosts[1]];
    for number in 1..=5 {
        let text = format!("[services.matchdesk]\nslots = {number}\n");
        until_ok("a change", async || deployment.apply(&second, number, &text).await).await;
        if number == 2 {
            deployment.entries[0].kill();
        }
    }
    deployment.entries[0].restart();
    // The first answer of a ready host already has the newest number.
    let ready = async || {
        let status = deployment.status(&first).await.ok()?;
        status.first().filter(|s| s.ready).map(|s| s.config)
    };
    wait_for("the host to be ready", async || ready().await.is_some()).await;
    assert_eq!(ready().await, Some(5));
}
