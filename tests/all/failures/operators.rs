//! Operators and submitters who race, repeat themselves, and ask whichever
//! entry host, over links that delay and lose.

use super::{YARD, long_job, race, submit, three_domains};
use crate::{
    cases,
    checker::{Changes, Watch},
    harness::{Delay, Deployment, Operators},
};
use cyclamenloft_peer::calls::{JobSummary, SubmitResponse};
use cyclamenloft_types::{ErrorKind, JobSpec, Result};
use futures_util::future::join_all;
use std::time::Duration;

cases! {
    operators_who_race_over_bad_links_get_one_history => race_over_bad_links();
    a_domain_cut_off_learns_of_changes_after_the_cut => cut_domain();
    a_job_sent_to_all_at_once_exists_once => job_sent_to_all();
    an_entry_host_dies_in_a_partition_while_operators_race => entry_dies_in_partition();
}

/// Links between failure domains.
const FAR: Delay = Delay {
    latency: Duration::from_millis(5),
    loss_percent: 5,
    resend: Duration::from_millis(200),
};

async fn apart(seed: u64) -> Deployment {
    let mut deployment = Deployment::behind_proxies(&three_domains(2, 1), seed);
    deployment.ready().await;
    deployment.links.delay(FAR);
    deployment
}

async fn race_over_bad_links() {
    let deployment = apart(111).await;
    let watch = Watch::start(&deployment);
    let operators = Operators::start(&deployment.operators, &deployment.hosts, race(4, 8, 111));
    let proposals = operators.finish().await;
    let changes = Changes::read(&deployment, &deployment.hosts[5]).await;
    changes.check(&proposals);
    watch.check(changes.last()).await;
}

/// A whole domain is silent for a while; the others go on, and afterwards it
/// has what they have.
async fn cut_domain() {
    let deployment = apart(121).await;
    let watch = Watch::start(&deployment);
    let cut = deployment.names_of("clare-yard");
    let mut rest = deployment.names_of("galway-yard");
    rest.extend(deployment.names_of("mayo-yard"));
    deployment.links.cut(&cut, &rest);
    let hosts = &deployment.hosts[..4];
    let proposals = Operators::start(&deployment.operators, hosts, race(3, 5, 121)).finish().await;
    // The others still answer of their own, and say so of what they can't reach.
    let first = deployment.hosts[0];
    let here = JobSpec { home: Some(YARD.into()), ..long_job("here", 1, 50) };
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
    let changes = Changes::read(&deployment, &deployment.hosts[4]).await;
    changes.check(&proposals);
    watch.check(changes.last()).await;
}

/// The same job through every entry host at once, and other content under its name.
async fn job_sent_to_all() {
    let deployment = apart(131).await;
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

async fn entry_dies_in_partition() {
    let mut deployment = apart(141).await;
    let watch = Watch::start(&deployment);
    let cut = deployment.names_of("mayo-yard");
    let mut rest = deployment.names_of(YARD);
    rest.extend(deployment.names_of("clare-yard"));
    let operators = Operators::start(&deployment.operators, &deployment.hosts, race(4, 6, 141));
    deployment.links.cut(&cut, &rest);
    compio::time::sleep(Duration::from_millis(300)).await;
    deployment.entries[0].kill();
    compio::time::sleep(Duration::from_millis(700)).await;
    deployment.entries[0].restart();
    compio::time::sleep(Duration::from_millis(500)).await;
    deployment.links.heal();
    let proposals = operators.finish().await;
    deployment.settled(&deployment.hosts).await;
    let changes = Changes::read(&deployment, &deployment.hosts[0]).await;
    changes.check(&proposals);
    watch.check(changes.last()).await;
}
