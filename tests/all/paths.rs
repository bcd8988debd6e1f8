//! The three paths through real processes: a request, a job, a configuration.

use crate::{
    cases,
    harness::{Deployment, DomainLayout, Process, until_ok, wait_for},
};
use cyclamenloft_operator::messages::ApplyResponse;
use cyclamenloft_peer::calls::{CancelResponse, JobSummary, StatusResponse, SubmitResponse};
use cyclamenloft_standin::{LoadSettings, load};
use cyclamenloft_types::{ErrorKind, JobSpec, JobState, Priority, Resources, Result, TaskState};
use std::time::Duration;

pub const SERVICE: &str = "[services.matchdesk]\nslots = 8\n";

cases! {
    a_request_is_answered_by_a_target => request_path();
    a_job_runs_on_a_worker => job_path();
    three_replicas_agree_and_outlive_their_leader => three_replicas();
    a_configuration_comes_into_force_everywhere => config_path();
    a_job_lives_in_its_home_whoever_is_asked => job_home();
    races_under_one_number_have_one_winner => config_race();
}

fn one_domain(entries: u8, controls: u8) -> Deployment {
    Deployment::start(&[DomainLayout { name: "cascadia-sea", entries, controls }])
}

async fn request_path() {
    let mut deployment = one_domain(2, 1);
    deployment.ready().await;
    let first = deployment.hosts[0];
    until_ok("a service", async || deployment.apply(&first, 1, SERVICE).await).await;
    deployment.in_force(1).await;
    for _ in 0..3 {
        deployment.start_target("cascadia-sea", "matchdesk", "2ms");
    }
    for host in &deployment.hosts {
        wait_for("the targets", async || deployment.targets(host, "matchdesk").await == 3).await;
    }
    let report = load::run(LoadSettings {
        entries: deployment.hosts.iter().map(|h| h.callers).collect(),
        service: "matchdesk".into(),
        rate: 100.0,
        time: Duration::from_secs(1),
        deadline: Duration::from_secs(20),
        prefix: "path".into(),
    })
    .await
    .unwrap();
    assert_eq!((report.sent, report.answered, report.wrong), (100, 100, 0));
}

pub fn job(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        team: "reconcile".into(),
        class: "nightly".into(),
        priority: Priority::Batch,
        tasks,
        resources: Resources::new(1000, 512, 0),
        run_time_ms: 50,
        deadline_ms: None,
        home: None,
        payload: "".into(),
    }
}

async fn job_path() {
    let mut deployment = one_domain(2, 1);
    deployment.ready().await;
    deployment.start_worker("cascadia-sea", "worker-1", 4);
    let [first, second] = [deployment.hosts[0], deployment.hosts[1]];
    let spec = job("nightly-1", 6);
    let submitted: SubmitResponse = until_ok("a submission", async || {
        deployment.operators.post(first.operators, "/v1/jobs", &spec).await
    })
    .await;
    assert!(!submitted.already);
    // The same job again, through another entry host, changes nothing.
    let again: SubmitResponse =
        deployment.operators.post(second.operators, "/v1/jobs", &spec).await.unwrap();
    assert!(again.already);
    wait_for("the job to finish", async || {
        let state: Result<JobState> =
            deployment.operators.get(second.operators, "/v1/jobs/nightly-1").await;
        state.is_ok_and(|s| s.tasks.iter().all(|t| *t == TaskState::Finished))
    })
    .await;
    let missing: Result<JobState> =
        deployment.operators.get(first.operators, "/v1/jobs/none").await;
    assert_eq!(missing.unwrap_err().kind, ErrorKind::UnknownJob);
}

async fn config_path() {
    let mut deployment = one_domain(3, 1);
    deployment.ready().await;
    let first = deployment.hosts[0];
    deployment.apply(&first, 1, SERVICE).await.unwrap();
    deployment.in_force(1).await;
    // The same content under the same number gets the same answer.
    let again = deployment.apply(&deployment.hosts[1], 1, SERVICE).await.unwrap();
    assert!(matches!(again, ApplyResponse::Accepted(entry) if entry.number == 1));
    let bad = deployment.apply(&first, 2, "[services.matchdesk]\nslots = 0\n").await.unwrap();
    let ApplyResponse::Invalid(report) = bad else { panic!("{bad:?}") };
    let message = "key \"slots\" in 10-test.toml: expected 1..=1024, found 0";
    assert_eq!(&*report.problems[0].message, message);
    let gap = deployment.apply(&first, 3, SERVICE).await.unwrap();
    assert!(matches!(gap, ApplyResponse::Conflict { asked: 3, holder: None, .. }));
}

async fn config_race() {
    let mut deployment = one_domain(3, 1);
    deployment.ready().await;
    let texts: Vec<String> =
        (1..=3).map(|slots| format!("[services.matchdesk]\nslots = {slots}\n")).collect();
    let races =
        deployment.hosts.iter().zip(&texts).map(|(host, text)| deployment.apply(host, 1, text));
    let ended = futures_util::future::join_all(races).await;
    let count = |wanted: fn(&ApplyResponse) -> bool| {
        ended.iter().filter(|e| e.as_ref().is_ok_and(wanted)).count()
    };
    let won = count(|a| matches!(a, ApplyResponse::Accepted(_)));
    let lost = count(|a| matches!(a, ApplyResponse::Conflict { holder: Some(_), .. }));
    assert_eq!((won, lost), (1, 2), "{ended:?}");
}

/// Three domains: every entry host sends a job to the same home, and every one
/// finds and cancels it.
async fn job_home() {
    let names = ["cascadia-sea", "cascadia-pdx", "cascadia-geg"];
    let layout = names.map(|name| DomainLayout { name, entries: 1, controls: 1 });
    let mut deployment = Deployment::start(&layout);
    deployment.ready().await;
    let mut already = 0;
    for id in ["a", "b", "c", "d", "e", "f"] {
        for host in &deployment.hosts {
            let submitted: SubmitResponse = until_ok("a submission", async || {
                deployment.operators.post(host.operators, "/v1/jobs", &job(id, 1)).await
            })
            .await;
            already += usize::from(submitted.already);
        }
    }
    assert_eq!(already, 12, "each job is new once and known twice");
    for host in &deployment.hosts {
        let listed: Vec<JobSummary> =
            deployment.operators.get(host.operators, "/v1/jobs").await.unwrap();
        assert_eq!(listed.len(), 6);
        let state: JobState = deployment.operators.get(host.operators, "/v1/jobs/a").await.unwrap();
        assert_eq!(&*state.spec.id, "a");
    }
    let ids = ["a", "f", "none"];
    let answer: CancelResponse = deployment
        .operators
        .post(deployment.hosts[1].operators, "/v1/jobs/cancel", &ids)
        .await
        .unwrap();
    assert_eq!(answer.cancelled, [Box::from("a"), Box::from("f")]);
    assert_eq!(answer.unknown, [Box::from("none")]);
}

/// What was acknowledged stays when the leader dies and when all restart.
async fn three_replicas() {
    let mut deployment = one_domain(2, 3);
    deployment.ready().await;
    let [first, second] = [deployment.hosts[0], deployment.hosts[1]];
    let submit = async |deployment: &Deployment, id: &str| -> SubmitResponse {
        let spec = job(id, 1);
        until_ok("a submission", async || {
            deployment.operators.post(first.operators, "/v1/jobs", &spec).await
        })
        .await
    };
    submit(&deployment, "before").await;
    let all = deployment.status(&second).await.unwrap();
    let leads = |s: &StatusResponse| {
        s.groups.iter().any(|g| &*g.group == "placement" && &*g.role == "leader")
    };
    let leader = all.iter().find(|s| leads(s)).unwrap().host.clone();
    let doomed = deployment.controls.iter_mut().find(|c| *c.name == *leader).unwrap();
    doomed.kill();
    submit(&deployment, "after").await;
    deployment.controls.iter_mut().for_each(Process::kill);
    deployment.controls.iter_mut().for_each(Process::restart);
    deployment.ready().await;
    for id in ["before", "after"] {
        assert!(submit(&deployment, id).await.already, "job {id} was forgotten");
    }
}
