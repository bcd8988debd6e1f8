//! Failures of control replicas: kills, suspensions, network partitions and lost disks.

use super::{DOMAIN, SERVICE_CONFIG, layout, long_job, race, submit, tasks::urgent, wait_for_job};
use crate::{
    cases,
    checker::{ConfigHistory, ConfigMonitor, Proposal},
    harness::{Deployment, Operators, wait_for},
};
use compio::runtime::spawn;
use cyclamenloft_operator::messages::ApplyResponse;
use cyclamenloft_peer::calls::SubmitResponse;
use cyclamenloft_standin::journal::{Event, Line, TaskEnd};
use cyclamenloft_types::{Error, Outcome, Result};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

cases! {
    killed_control_replicas_lose_no_change => kills_at_random(31);
    killed_control_replicas_lose_no_change_with_another_seed => kills_at_random(32);
    suspended_leaders_lose_no_change => suspends_at_random(33);
    a_leader_killed_in_each_step_of_placing_starts_no_task_twice => leader_killed();
    a_leader_killed_in_each_step_of_evicting_resumes_each_task_once => leader_killed_evicting();
    workers_get_orders_from_the_next_leader_after_a_partition => leader_cut_from_workers();
    a_minority_accepts_no_change_and_catches_up => minority();
    a_leader_that_receives_but_cannot_send_is_replaced => one_way();
    a_replica_with_a_wiped_disk_loses_no_change => wiped();
    a_second_disk_loss_right_after_a_repair_loses_no_change => second_loss();
    five_hundred_changes_survive_a_restart_of_all_processes => restart_of_all();
    a_lost_answer_is_not_reported_as_a_refusal => lost_answer();
}

const CONFIG: &str = "config";
const PLACEMENT: &str = "placement";

async fn replicated(seed: u64) -> Deployment {
    let mut deployment = Deployment::behind_proxies(&layout(2, 3), seed);
    deployment.wait_until_all_ready().await;
    deployment
}

/// Checks the configuration history against the proposals, and that the configuration
/// number at each process never decreased.
async fn check_history(deployment: &Deployment, monitor: ConfigMonitor, proposals: &[Proposal]) {
    let history = ConfigHistory::read(deployment, &deployment.hosts[0]).await;
    history.check(proposals);
    monitor.check(history.last()).await;
}

/// Guards against accepted changes that are lost with a replica: operators propose
/// concurrently and resend while random control replicas are killed and restarted.
async fn kills_at_random(seed: u64) {
    let mut deployment = replicated(seed).await;
    let monitor = ConfigMonitor::start(&deployment);
    let mut rng = SmallRng::seed_from_u64(seed);
    let operators = Operators::start(&deployment.operators, &deployment.hosts, race(3, 12, seed));
    while !operators.finished() {
        let victim = rng.random_range(0..3);
        compio::time::sleep(Duration::from_millis(rng.random_range(50..400))).await;
        deployment.controls[victim].kill();
        compio::time::sleep(Duration::from_millis(rng.random_range(0..600))).await;
        deployment.controls[victim].restart();
        compio::time::sleep(Duration::from_millis(rng.random_range(200..1500))).await;
    }
    let proposals = operators.finish().await;
    deployment.wait_until_ready(&deployment.hosts).await;
    check_history(&deployment, monitor, &proposals).await;
}

/// Guards against a leader that still acts on an expired lease: leaders are suspended for
/// longer than their lease and resumed while operators propose concurrently.
async fn suspends_at_random(seed: u64) {
    let mut deployment = replicated(seed).await;
    let monitor = ConfigMonitor::start(&deployment);
    let mut rng = SmallRng::seed_from_u64(seed);
    let race = race(3, 12, seed);
    let operators = Operators::start(&deployment.operators, &deployment.hosts, race);
    while !operators.finished() {
        let leader = deployment.leader(&deployment.hosts[0], CONFIG).await;
        deployment.control(&leader).suspend();
        compio::time::sleep(Duration::from_millis(rng.random_range(500..2500))).await;
        deployment.control(&leader).resume();
        compio::time::sleep(Duration::from_millis(rng.random_range(0..1000))).await;
    }
    let proposals = operators.finish().await;
    deployment.wait_until_ready(&deployment.hosts).await;
    check_history(&deployment, monitor, &proposals).await;
}

/// Guards against an eviction that is lost or repeated by the next leader. Batch
/// tasks fill the only worker, each urgent job evicts some of them, and the leader
/// is killed a little later each time: before the eviction is ordered, before its
/// checkpoint is reported, before the task resumes.
async fn leader_killed_evicting() {
    let mut deployment = replicated(42).await;
    deployment.configure(SERVICE_CONFIG).await;
    deployment.start_worker(DOMAIN, "worker-1", 4);
    let first = deployment.hosts[0];
    submit(&deployment, 0, &long_job("long", 4, 6000)).await;
    let starts = |l: &Line| matches!(l.event, Event::TaskStarted { .. });
    wait_for("the tasks to run", async || deployment.evidence().count(starts) >= 4).await;
    for step in 0..4_u64 {
        let leader = deployment.leader(&first, PLACEMENT).await;
        let name = format!("urgent-{step}");
        submit(&deployment, 1, &urgent(&name, 2)).await;
        compio::time::sleep(Duration::from_millis(step * 80)).await;
        deployment.control(&leader).kill();
        wait_for_job(&deployment, 1, &name).await;
        deployment.control(&leader).restart();
    }
    wait_for_job(&deployment, 1, "long").await;
    let evidence = deployment.evidence();
    evidence.check();
    assert_eq!(evidence.finished().len(), 12);
    let evicted = evidence
        .count(|l| matches!(l.event, Event::TaskEnded { end, .. } if end == TaskEnd::Evicted));
    assert!(evicted >= 2, "{evicted} evictions");
}

/// Guards against jobs that are lost or tasks that run twice when the leader
/// changes. The leader is killed a little later after each submission: before the
/// job is accepted, placed, started or reported.
async fn leader_killed() {
    let mut deployment = replicated(41).await;
    deployment.configure(SERVICE_CONFIG).await;
    deployment.start_worker(DOMAIN, "worker-1", 4);
    deployment.start_worker(DOMAIN, "worker-2", 4);
    let first = deployment.hosts[0];
    for step in 0..6_u64 {
        let leader = deployment.leader(&first, PLACEMENT).await;
        let spec = long_job(&format!("job-{step}"), 3, 150);
        let submitting = {
            let (client, host, spec) = (deployment.operators.clone(), first, spec.clone());
            // The answer may be lost with the leader; the job is resubmitted below.
            spawn(async move {
                let _: Result<SubmitResponse> =
                    client.post(host.operators, "/v1/jobs", &spec).await;
            })
        };
        compio::time::sleep(Duration::from_millis(step * 60)).await;
        deployment.control(&leader).kill();
        submitting.await.unwrap();
        let again = submit(&deployment, 0, &spec).await;
        assert_eq!(again.job, spec.id);
        assert!(submit(&deployment, 1, &spec).await.already);
        deployment.control(&leader).restart();
    }
    for step in 0..6 {
        wait_for_job(&deployment, 1, &format!("job-{step}")).await;
    }
    let evidence = deployment.evidence();
    evidence.check();
    assert_eq!(evidence.finished().len(), 18);
}

/// Guards against a worker that keeps waiting in a long poll at a leader that is
/// partitioned while its connections stay open: the worker must get the orders of the
/// next leader.
async fn leader_cut_from_workers() {
    let mut deployment = replicated(43).await;
    deployment.configure(SERVICE_CONFIG).await;
    deployment.start_worker(DOMAIN, "worker-1", 4);
    submit(&deployment, 0, &long_job("before", 2, 50)).await;
    wait_for_job(&deployment, 0, "before").await;
    let leader = deployment.leader(&deployment.hosts[0], PLACEMENT).await;
    let rest: Vec<_> =
        deployment.process_names(DOMAIN).into_iter().filter(|name| *name != leader).collect();
    deployment.links.cut(&[leader], &rest);
    submit(&deployment, 1, &long_job("after", 2, 50)).await;
    wait_for_job(&deployment, 1, "after").await;
    deployment.links.heal();
    deployment.wait_until_ready(&deployment.hosts).await;
    let evidence = deployment.evidence();
    evidence.check();
    assert_eq!(evidence.finished().len(), 4);
}

/// Guards against a minority that accepts changes: the leader and one entry host are
/// partitioned from the others, and operators propose on both sides.
async fn minority() {
    let deployment = replicated(51).await;
    let [first, second] = [deployment.hosts[0], deployment.hosts[1]];
    let monitor = ConfigMonitor::start(&deployment);
    let before = Operators::start(&deployment.operators, &[first], race(1, 3, 51)).finish().await;
    let leader = deployment.leader(&first, CONFIG).await;
    let cut_off = [leader, "galway-yard-entry-1".to_owned()];
    let rest: Vec<_> = deployment
        .process_names(DOMAIN)
        .into_iter()
        .filter(|name| !cut_off.contains(name))
        .collect();
    deployment.links.cut(&cut_off, &rest);
    let minority = async {
        let answer = deployment.propose(&first, 4, "minority", "[teams.minority]\n").await;
        Proposal { number: 4, author: "minority".into(), answers: vec![answer] }
    };
    let majority = Operators::start(&deployment.operators, &[second], race(2, 5, 52));
    let (refused, mut proposals) = futures_util::join!(minority, majority.finish());
    // A minority may refuse a change or answer "unknown", but must not accept it.
    assert!(refused.accepted().is_none(), "{refused:?}");
    deployment.links.heal();
    deployment.wait_until_ready(&deployment.hosts).await;
    proposals.extend(before);
    proposals.push(refused);
    check_history(&deployment, monitor, &proposals).await;
}

/// Guards against a group that keeps a leader that can't act in a one-way partition:
/// nothing that the leader sends arrives, while it receives everything.
async fn one_way() {
    let deployment = replicated(61).await;
    let [first, second] = [deployment.hosts[0], deployment.hosts[1]];
    let monitor = ConfigMonitor::start(&deployment);
    let leader = deployment.leader(&first, CONFIG).await;
    let rest: Vec<_> =
        deployment.process_names(DOMAIN).into_iter().filter(|name| *name != leader).collect();
    deployment.links.block(&[&leader], &rest);
    let operators = Operators::start(&deployment.operators, &[first, second], race(2, 5, 61));
    let proposals = operators.finish().await;
    assert_ne!(deployment.leader(&second, CONFIG).await, leader);
    deployment.links.heal();
    deployment.wait_until_ready(&deployment.hosts).await;
    check_history(&deployment, monitor, &proposals).await;
}

/// Guards against a replica that lost its files and votes as if it had acknowledged
/// nothing, so that an accepted change is lost.
async fn wiped() {
    let mut deployment = replicated(71).await;
    let hosts = deployment.hosts.clone();
    let monitor = ConfigMonitor::start(&deployment);
    let mut proposals =
        Operators::start(&deployment.operators, &hosts, race(2, 5, 71)).finish().await;
    let leader = deployment.leader(&hosts[0], CONFIG).await;
    deployment.control(&leader).kill();
    deployment.wipe(&leader);
    deployment.control(&leader).restart();
    let known = proposals.iter().filter_map(|p| p.accepted()).map(|e| e.number).max();
    proposals.extend(more_changes(&deployment, known.unwrap_or(0), "wiped", 5).await);
    check_history(&deployment, monitor, &proposals).await;
}

/// Guards against a replica that votes again before it has recovered all entries: one
/// replica loses its disk, and as soon as it has recovered, another one is killed, loses
/// its disk and is not restarted.
async fn second_loss() {
    let mut deployment = replicated(81).await;
    let hosts = deployment.hosts.clone();
    let mut proposals =
        Operators::start(&deployment.operators, &hosts, race(2, 5, 81)).finish().await;
    let last = proposals.iter().filter_map(|p| p.accepted()).map(|e| e.number).max().unwrap();
    let repaired = "galway-yard-control-2";
    deployment.control(repaired).kill();
    deployment.wipe(repaired);
    deployment.control(repaired).restart();
    // The replica has recovered once it is a voter of both groups again.
    wait_for("the repair", async || {
        let all = deployment.status(&hosts[0]).await.unwrap_or_default();
        let own = all.iter().find(|s| &*s.host == repaired && s.ready);
        own.is_some_and(|s| s.groups.iter().all(|g| &*g.role != "learner"))
    })
    .await;
    let lost = deployment.leader(&hosts[0], CONFIG).await;
    let lost = if lost == repaired { "galway-yard-control-1".to_owned() } else { lost };
    deployment.control(&lost).kill();
    deployment.wipe(&lost);
    proposals.extend(more_changes(&deployment, last, "second", 3).await);
    let history = ConfigHistory::read(&deployment, &hosts[1]).await;
    history.check(&proposals);
}

/// Proposes `count` changes one after another, with the numbers that follow `last`, and
/// resends each until it is accepted.
async fn more_changes(
    deployment: &Deployment,
    mut last: u64,
    author: &str,
    count: usize,
) -> Vec<Proposal> {
    let mut proposals = Vec::new();
    for _ in 0..count {
        last += 1;
        let author = format!("{author}-{last}");
        let text = format!("[teams.{author}]\nweight = {last}\n");
        let proposal = Proposal { number: last, author: author.into(), answers: Vec::new() };
        let proposal = std::cell::RefCell::new(proposal);
        wait_for("the change to be accepted", async || {
            let host = &deployment.hosts[last as usize % deployment.hosts.len()];
            let author = proposal.borrow().author.clone();
            let answer = deployment.propose(host, last, &author, &text).await;
            let accepted = matches!(answer, Ok(ApplyResponse::Accepted(_)));
            proposal.borrow_mut().answers.push(answer);
            accepted
        })
        .await;
        proposals.push(proposal.into_inner());
    }
    proposals
}

/// Guards against changes that are lost when all processes restart: every process is
/// killed and restarted after 500 accepted changes.
async fn restart_of_all() {
    let mut deployment = Deployment::start(&layout(2, 3));
    deployment.wait_until_all_ready().await;
    let hosts = deployment.hosts.clone();
    let proposals =
        Operators::start(&deployment.operators, &hosts, race(4, 125, 91)).finish().await;
    for process in deployment.controls.iter_mut().chain(&mut deployment.entries) {
        process.kill();
    }
    for process in deployment.controls.iter_mut().chain(&mut deployment.entries) {
        process.restart();
    }
    deployment.wait_until_ready(&deployment.hosts).await;
    deployment.wait_until_active(500).await;
    let history = ConfigHistory::read(&deployment, &hosts[0]).await;
    assert_eq!(history.last(), 500);
    history.check(&proposals);
}

/// Guards against reporting an accepted change as refused: the leader accepts the
/// change, but its answer doesn't reach the entry host, whose answer must be
/// "unknown".
async fn lost_answer() {
    let deployment = replicated(101).await;
    let [first, second] = [deployment.hosts[0], deployment.hosts[1]];
    let leader = deployment.leader(&first, CONFIG).await;
    deployment.links.block(&[&leader], &["galway-yard-entry-1"]);
    let answer = deployment.propose(&first, 1, "lost", "[teams.lost]\n").await;
    deployment.links.heal();
    let unknown = |e: &Error| e.info().outcome == Outcome::Unknown;
    assert!(answer.as_ref().is_err_and(unknown), "{answer:?}");
    let again = deployment.propose(&second, 1, "other", "[teams.other]\n").await.unwrap();
    let ApplyResponse::Conflict { holder: Some(holder), .. } = again else { panic!("{again:?}") };
    assert_eq!(&*holder.author, "lost");
}
