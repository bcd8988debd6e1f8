//! Concurrent operators and submitters that resend and use any entry host, while the
//! network between failure domains delays and loses packets.

use super::{DOMAIN, long_job, race, submit, three_domains};
use crate::{
    cases,
    checker::{ConfigHistory, ConfigMonitor},
    harness::{Delay, Deployment, Operators},
};
use cyclamenloft_peer::calls::{JobSummary, SubmitResponse};
use cyclamenloft_types::{ErrorKind, JobSpec, Result};
use futures_util::future::join_all;
use std::time::Duration;

cases! {
    racing_operators_over_lossy_links_see_one_history => race_over_bad_links();
    a_partitioned_domain_catches_up_after_the_partition => cut_domain();
    a_job_submitted_to_all_hosts_at_once_exists_once => job_sent_to_all();
    a_killed_entry_host_and_a_partition_lose_no_change => entry_dies_in_partition();
}

/// The delay of links between failure domains.
const INTER_DOMAIN_DELAY: Delay = Delay {
    latency: Duration::from_millis(5),
    loss_percent: 5,
    resend: Duration::from_millis(200),
};

async fn start_three_domains(seed: u64) -> Deployment {
    let mut deployment = Deployment::behind_proxies(&three_domains(2, 1), seed);
    deployment.wait_until_all_ready().await;
    deployment.links.delay(INTER_DOMAIN_DELAY);
    deployment
}

/// Guards against a history that contradicts an answer: operators in three domains
/// propose concurrently and resend over links that delay and lose packets.
async fn race_over_bad_links() {
    let deployment = start_three_domains(111).await;
    let monitor = ConfigMonitor::start(&deployment);
    let operators = Operators::start(&deployment.operators, &deployment.hosts, race(4, 8, 111));
    let proposals = operators.finish().await;
    let history = ConfigHistory::read(&deployment, &deployment.hosts[5]).await;
    history.check(&proposals);
    monitor.check(history.last()).await;
}

/// Guards against a partitioned domain that blocks the others, accepts changes alone
/// or doesn't catch up after the partition.
async fn cut_domain() {
    let deployment = start_three_domains(121).await;
    let monitor = ConfigMonitor::start(&deployment);
    let cut = deployment.process_names("clare-yard");
    let mut rest = deployment.process_names("galway-yard");
    rest.extend(deployment.process_names("mayo-yard"));
    deployment.links.cut(&cut, &rest);
    let hosts = &deployment.hosts[..4];
    let proposals = Operators::start(&deployment.operators, hosts, race(3, 5, 121)).finish().await;
    // The other domains still accept their own jobs, and a job whose home can't be
    // reached is refused with an error that says so.
    let first = deployment.hosts[0];
    let here = JobSpec { home: Some(DOMAIN.into()), ..long_job("here", 1, 50) };
    submit(&deployment, 0, &here).await;
    let listed: Vec<JobSummary> =
        deployment.operators.get(first.operators, "/v1/jobs").await.unwrap();
    assert_eq!(listed.len(), 1);
    let away = JobSpec { home: Some("clare-yard".into()), ..long_job("away", 1, 50) };
    let away: Result<SubmitResponse> =
        deployment.operators.post(first.operators, "/v1/jobs", &away).await;
    let kind = away.unwrap_err().kind;
    assert!(matches!(kind, ErrorKind::ChangeUnknown | ErrorKind::HomeUnreachable), "{kind:?}");
    let alone = deployment.propose(&deployment.hosts[4], 1, "alone", "[teams.alone]\n").await;
    assert!(alone.is_err(), "{alone:?}");
    deployment.links.heal();
    let history = ConfigHistory::read(&deployment, &deployment.hosts[4]).await;
    history.check(&proposals);
    monitor.check(history.last()).await;
}

/// Guards against a job that exists twice or changes its content: the same job is
/// submitted through every entry host at once, and then different content with the
/// same id.
async fn job_sent_to_all() {
    let deployment = start_three_domains(131).await;
    for number in 0..4 {
        let spec = JobSpec { home: None, ..long_job(&format!("job-{number}"), 2, 50) };
        let sent = (0..deployment.hosts.len()).map(|host| submit(&deployment, host, &spec));
        let new = join_all(sent).await.into_iter().filter(|answer| !answer.already).count();
        assert!(new <= 1, "job {} was new {new} times", spec.id);
        let other = JobSpec { tasks: 3, ..spec };
        let host = deployment.hosts[number];
        let taken: Result<SubmitResponse> =
            deployment.operators.post(host.operators, "/v1/jobs", &other).await;
        assert_eq!(taken.unwrap_err().kind, ErrorKind::Conflict);
    }
    for host in &deployment.hosts {
        let listed: Vec<JobSummary> =
            deployment.operators.get(host.operators, "/v1/jobs").await.unwrap();
        assert_eq!(listed.len(), 4, "{listed:?}");
        assert!(listed.iter().all(|job| job.tasks == 2), "{listed:?}");
    }
}

/// Guards against lost changes when failures coincide: operators propose while one
/// domain is partitioned and an entry host of another is killed and restarted.
async fn entry_dies_in_partition() {
    let mut deployment = start_three_domains(141).await;
    let monitor = ConfigMonitor::start(&deployment);
    let cut = deployment.process_names("mayo-yard");
    let mut rest = deployment.process_names(DOMAIN);
    rest.extend(deployment.process_names("clare-yard"));
    let operators = Operators::start(&deployment.operators, &deployment.hosts, race(4, 6, 141));
    deployment.links.cut(&cut, &rest);
    compio::time::sleep(Duration::from_millis(300)).await;
    deployment.entries[0].kill();
    compio::time::sleep(Duration::from_millis(700)).await;
    deployment.entries[0].restart();
    compio::time::sleep(Duration::from_millis(500)).await;
    deployment.links.heal();
    let proposals = operators.finish().await;
    deployment.wait_until_ready(&deployment.hosts).await;
    let history = ConfigHistory::read(&deployment, &deployment.hosts[0]).await;
    history.check(&proposals);
    monitor.check(history.last()).await;
}
