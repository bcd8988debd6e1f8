//! The main operations through real processes: requests, jobs and configurations.

use crate::{
    cases,
    harness::{Deployment, DomainLayout, Process, until_ok, wait_for},
};
use cyclamenloft_operator::messages::ApplyResponse;
use cyclamenloft_peer::calls::{CancelResponse, JobSummary, StatusResponse, SubmitResponse};
use cyclamenloft_standin::{LoadSettings, load};
use cyclamenloft_types::{ErrorKind, JobSpec, JobState, Priority, Resources, Result, TaskState};
use std::time::Duration;

pub const SERVICE_CONFIG: &str = "[services.matchdesk]\nslots = 8\n";

cases! {
    a_request_is_answered_by_a_target => request_path();
    a_job_runs_on_a_worker => job_path();
    acknowledged_jobs_survive_the_loss_of_the_leader_and_a_restart_of_all => three_replicas();
    a_configuration_comes_into_force_at_every_host => config_path();
    a_job_is_owned_by_its_home_domain_whichever_host_is_asked => job_home();
    one_of_several_concurrent_proposals_of_a_number_is_accepted => config_race();
}

fn one_domain(entries: u8, controls: u8) -> Deployment {
    Deployment::start(&[DomainLayout { name: "cascadia-sea", entries, controls }])
}

/// Sends requests through both entry hosts and expects the right answer to each.
async fn request_path() {
    let mut deployment = one_domain(2, 1);
    deployment.wait_until_all_ready().await;
    let first = deployment.hosts[0];
    until_ok("a service", async || deployment.apply(&first, 1, SERVICE_CONFIG).await).await;
    deployment.wait_until_active(1).await;
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

/// Guards against a job that is lost, never finishes or exists twice when it is
/// submitted again through another entry host.
async fn job_path() {
    let mut deployment = one_domain(2, 1);
    deployment.wait_until_all_ready().await;
    deployment.start_worker("cascadia-sea", "worker-1", 4);
    let [first, second] = [deployment.hosts[0], deployment.hosts[1]];
    let spec = job("nightly-1", 6);
    let submitted: SubmitResponse = until_ok("a submission", async || {
        deployment.operators.post(first.operators, "/v1/jobs", &spec).await
    })
    .await;
    assert!(!submitted.already);
    // Submitting the same job again, through another entry host, changes nothing.
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

/// Guards against a repeated proposal that is not recognized as such, and against
/// accepting an invalid configuration or a gap in the configuration numbers.
async fn config_path() {
    let mut deployment = one_domain(3, 1);
    deployment.wait_until_all_ready().await;
    let first = deployment.hosts[0];
    deployment.apply(&first, 1, SERVICE_CONFIG).await.unwrap();
    deployment.wait_until_active(1).await;
    // Proposing the same content with the same number again gets the same answer.
    let again = deployment.apply(&deployment.hosts[1], 1, SERVICE_CONFIG).await.unwrap();
    assert!(matches!(again, ApplyResponse::Accepted(entry) if entry.number == 1));
    let bad = deployment.apply(&first, 2, "[services.matchdesk]\nslots = 0\n").await.unwrap();
    let ApplyResponse::Invalid(report) = bad else { panic!("{bad:?}") };
    let message = "key \"slots\" in 10-test.toml: expected 1..=1024, found 0";
    assert_eq!(&*report.problems[0].message, message);
    let gap = deployment.apply(&first, 3, SERVICE_CONFIG).await.unwrap();
    assert!(matches!(gap, ApplyResponse::Conflict { asked: 3, holder: None, .. }));
}

/// Guards against two accepted configurations with the same number: three operators
/// propose different ones concurrently through three entry hosts.
async fn config_race() {
    let mut deployment = one_domain(3, 1);
    deployment.wait_until_all_ready().await;
    let texts: Vec<String> =
        (1..=3).map(|slots| format!("[services.matchdesk]\nslots = {slots}\n")).collect();
    let proposals =
        deployment.hosts.iter().zip(&texts).map(|(host, text)| deployment.apply(host, 1, text));
    let answers = futures_util::future::join_all(proposals).await;
    let count = |predicate: fn(&ApplyResponse) -> bool| {
        answers.iter().filter(|e| e.as_ref().is_ok_and(predicate)).count()
    };
    let won = count(|a| matches!(a, ApplyResponse::Accepted(_)));
    let lost = count(|a| matches!(a, ApplyResponse::Conflict { holder: Some(_), .. }));
    assert_eq!((won, lost), (1, 2), "{answers:?}");
}

/// Every entry host of three domains must route a job to the same home, and find
/// and cancel it there. Otherwise a job submitted through two hosts could exist
/// twice.
async fn job_home() {
    let names = ["cascadia-sea", "cascadia-pdx", "cascadia-geg"];
    let layout = names.map(|name| DomainLayout { name, entries: 1, controls: 1 });
    let mut deployment = Deployment::start(&layout);
    deployment.wait_until_all_ready().await;
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
    assert_eq!(already, 12, "each job is new once and already submitted twice");
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

/// Guards against the loss of acknowledged jobs: the leader of the placement group
/// is killed after one submission, and all replicas are killed and restarted after
/// another.
async fn three_replicas() {
    let mut deployment = one_domain(2, 3);
    deployment.wait_until_all_ready().await;
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
    let leader_process = deployment.controls.iter_mut().find(|c| *c.name == *leader).unwrap();
    leader_process.kill();
    submit(&deployment, "after").await;
    deployment.controls.iter_mut().for_each(Process::kill);
    deployment.controls.iter_mut().for_each(Process::restart);
    deployment.wait_until_all_ready().await;
    for id in ["before", "after"] {
        assert!(submit(&deployment, id).await.already, "job {id} was lost");
    }
}
