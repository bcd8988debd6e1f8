//! Failures of real processes and their network. Each test ends with a run of the
//! invariant checker.

mod combined;
mod control;
mod operators;
mod requests;
mod tasks;

use crate::{
    checker::Evidence,
    harness::{Callers, Deployment, DomainLayout, Race, until_ok, wait_for},
    paths::job,
};
use cyclamenloft_peer::calls::SubmitResponse;
use cyclamenloft_types::{JobSpec, JobState, Result, TaskState};

/// The domain of tests with one domain, and the first domain of tests with three.
const DOMAIN: &str = "galway-yard";

/// A configuration with one service and with leases that are short enough for a test
/// but allow for a busy machine.
const SERVICE_CONFIG: &str = "[services.matchdesk]\nslots = 8\n\
[placement]\nlease = \"2s\"\nreport_period = \"300ms\"\ndrift_margin = \"1s\"\n";

fn layout(entries: u8, controls: u8) -> [DomainLayout; 1] {
    [DomainLayout { name: DOMAIN, entries, controls }]
}

fn three_domains(entries: u8, controls: u8) -> [DomainLayout; 3] {
    ["galway-yard", "mayo-yard", "clare-yard"].map(|name| DomainLayout { name, entries, controls })
}

/// Waits for a deployment to be ready, configures one service and starts `count`
/// targets in the first domain.
async fn serving(mut deployment: Deployment, count: usize, service_time: &str) -> Deployment {
    deployment.wait_until_all_ready().await;
    deployment.configure(SERVICE_CONFIG).await;
    let domain = deployment.hosts[0].domain;
    for _ in 0..count {
        deployment.start_target(domain, "matchdesk", service_time);
    }
    let hosts: Vec<_> = deployment.hosts.iter().copied().filter(|h| h.domain == domain).collect();
    deployment.wait_for_targets(&hosts, "matchdesk", count).await;
    deployment
}

/// Returns a job of `tasks` tasks that each take `run_time_ms`.
fn long_job(id: &str, tasks: u32, run_time_ms: u64) -> JobSpec {
    JobSpec { run_time_ms, home: Some(DOMAIN.into()), ..job(id, tasks) }
}

/// Submits a job through a host and retries until it is acknowledged.
async fn submit(deployment: &Deployment, host: usize, spec: &JobSpec) -> SubmitResponse {
    let host = deployment.hosts[host];
    until_ok("a submission", async || {
        deployment.operators.post(host.operators, "/v1/jobs", spec).await
    })
    .await
}

async fn wait_for_job(deployment: &Deployment, host: usize, id: &str) {
    let host = deployment.hosts[host];
    wait_for("the job to finish", async || {
        let state: Result<JobState> =
            deployment.operators.get(host.operators, &format!("/v1/jobs/{id}")).await;
        state.is_ok_and(|s| s.tasks.iter().all(|t| *t == TaskState::Finished))
    })
    .await;
}

fn race(operators: u64, changes: usize, seed: u64) -> Race {
    Race { operators, changes, seed, base: "" }
}

/// Stops the callers and checks all invariants and that every request was answered.
async fn check_all_answered(deployment: &Deployment, callers: Callers) -> Evidence {
    let evidence = deployment.evidence_with(callers).await;
    evidence.check();
    evidence.check_all_answered();
    evidence
}
