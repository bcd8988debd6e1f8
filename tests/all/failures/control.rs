//! Failures of control replicas: kills, partitions, lost disks.

use super::{WITH_SERVICE, YARD, job_finished, layout, long_job, race, submit, tasks::urgent};
use crate::{
    cases,
    checker::{Changes, Proposal, Watch},
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
    killed_control_replicas_lose_no_change_again => kills_at_random(32);
    frozen_control_replicas_take_nothing_back => freezes_at_random(33);
    a_leader_killed_in_each_step_of_placing_starts_nothing_twice => leader_killed();
    a_leader_killed_in_each_step_of_evicting_resumes_once => leader_killed_evicting();
    workers_follow_when_their_leader_is_cut_off => leader_cut_from_workers();
    a_minority_refuses_and_catches_up => minority();
    a_leader_that_hears_but_is_not_heard_is_replaced => one_way();
    a_wiped_disk_comes_back_whole => wiped();
    a_second_loss_right_after_a_repair_loses_nothing => second_loss();
    five_hundred_changes_survive_the_death_of_all => restart_of_all();
    an_answer_lost_on_its_way_is_no_refusal => lost_answer();
}

const CONFIG: &str = "config";
const PLACEMENT: &str = "placement";

async fn replicated(seed: u64) -> Deployment {
    let mut deployment = Deployment::behind_proxies(&layout(2, 3), seed);
    deployment.ready().await;
    deployment
}

/// What every case on configurations ends with.
async fn nothing_lost(deployment: &Deployment, watch: Watch, proposals: &[Proposal]) {
    let changes = Changes::read(deployment, &deployment.hosts[0]).await;
    changes.check(proposals);
    watch.check(changes.last()).await;
}

/// Operators race and resend while control replicas are killed and restarted.
async fn kills_at_random(seed: u64) {
    let mut deployment = replicated(seed).await;
    let watch = Watch::start(&deployment);
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
    deployment.settled(&deployment.hosts).await;
    nothing_lost(&deployment, watch, &proposals).await;
}

/// Operators race while leaders stop for longer than any lease and go on
/// afterwards as if nothing had happened.
async fn freezes_at_random(seed: u64) {
    let mut deployment = replicated(seed).await;
    let watch = Watch::start(&deployment);
    let mut rng = SmallRng::seed_from_u64(seed);
    let race = race(3, 12, seed);
    let operators = Operators::start(&deployment.operators, &deployment.hosts, race);
    while !operators.finished() {
        let leader = deployment.leader(&deployment.hosts[0], CONFIG).await;
        deployment.control(&leader).freeze();
        compio::time::sleep(Duration::from_millis(rng.random_range(500..2500))).await;
        deployment.control(&leader).thaw();
        compio::time::sleep(Duration::from_millis(rng.random_range(0..1000))).await;
    }
    let proposals = operators.finish().await;
    deployment.settled(&deployment.hosts).await;
    nothing_lost(&deployment, watch, &proposals).await;
}

/// Batch fills the only worker; each urgent job evicts some of it, and the
/// leader dies a little later each time: before the eviction is ordered, before
/// its checkpoint is reported, before the task resumes.
async fn leader_killed_evicting() {
    let mut deployment = replicated(42).await;
    deployment.configure(WITH_SERVICE).await;
    deployment.start_worker(YARD, "worker-1", 4);
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
        job_finished(&deployment, 1, &name).await;
        deployment.control(&leader).restart();
    }
    job_finished(&deployment, 1, "long").await;
    let evidence = deployment.evidence();
    evidence.check();
    assert_eq!(evidence.finished().len(), 12);
    let evicted = evidence
        .count(|l| matches!(l.event, Event::TaskEnded { end, .. } if end == TaskEnd::Evicted));
    assert!(evicted >= 2, "{evicted} evictions");
}

/// The leader dies a little later after each submission: before the job is
/// accepted, placed, started, reported.
async fn leader_killed() {
    let mut deployment = replicated(41).await;
    deployment.configure(WITH_SERVICE).await;
    deployment.start_worker(YARD, "worker-1", 4);
    deployment.start_worker(YARD, "worker-2", 4);
    let first = deployment.hosts[0];
    for step in 0..6_u64 {
        let leader = deployment.leader(&first, PLACEMENT).await;
        let spec = long_job(&format!("job-{step}"), 3, 150);
        let submitting = {
            let (client, host, spec) = (deployment.operators.clone(), first, spec.clone());
            // Its answer may be lost with the leader; the job is sent again below.
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
        job_finished(&deployment, 1, &format!("job-{step}")).await;
    }
    let evidence = deployment.evidence();
    evidence.check();
    assert_eq!(evidence.finished().len(), 18);
}

/// A worker waits for orders of a leader that is then cut off without a sign:
/// it must get those of the next leader.
async fn leader_cut_from_workers() {
    let mut deployment = replicated(43).await;
    deployment.configure(WITH_SERVICE).await;
    deployment.start_worker(YARD, "worker-1", 4);
    submit(&deployment, 0, &long_job("before", 2, 50)).await;
    job_finished(&deployment, 0, "before").await;
    let leader = deployment.leader(&deployment.hosts[0], PLACEMENT).await;
    let rest: Vec<_> =
        deployment.names_of(YARD).into_iter().filter(|name| *name != leader).collect();
    deployment.links.cut(&[leader], &rest);
    submit(&deployment, 1, &long_job("after", 2, 50)).await;
    job_finished(&deployment, 1, "after").await;
    deployment.links.heal();
    deployment.settled(&deployment.hosts).await;
    let evidence = deployment.evidence();
    evidence.check();
    assert_eq!(evidence.finished().len(), 4);
}

/// The replica that leads is cut off with one entry host.
async fn minority() {
    let deployment = replicated(51).await;
    let [first, second] = [deployment.hosts[0], deployment.hosts[1]];
    let watch = Watch::start(&deployment);
    let before = Operators::start(&deployment.operators, &[first], race(1, 3, 51)).finish().await;
    let leader = deployment.leader(&first, CONFIG).await;
    let cut_off = [leader, "galway-yard-entry-1".to_owned()];
    let rest: Vec<_> =
        deployment.names_of(YARD).into_iter().filter(|name| !cut_off.contains(name)).collect();
    deployment.links.cut(&cut_off, &rest);
    let minority = async {
        let answer = deployment.propose(&first, 4, "minority", "[teams.minority]\n").await;
        Proposal { number: 4, author: "minority".into(), answers: vec![answer] }
    };
    let majority = Operators::start(&deployment.operators, &[second], race(2, 5, 52));
    let (refused, mut proposals) = futures_util::join!(minority, majority.finish());
    // A minority may say "not accepted" or "unknown", but it accepts nothing.
    assert!(refused.accepted().is_none(), "{refused:?}");
    deployment.links.heal();
    deployment.settled(&deployment.hosts).await;
    proposals.extend(before);
    proposals.push(refused);
    nothing_lost(&deployment, watch, &proposals).await;
}

/// Nothing that the leader sends arrives, while it hears the others.
async fn one_way() {
    let deployment = replicated(61).await;
    let [first, second] = [deployment.hosts[0], deployment.hosts[1]];
    let watch = Watch::start(&deployment);
    let leader = deployment.leader(&first, CONFIG).await;
    let rest: Vec<_> =
        deployment.names_of(YARD).into_iter().filter(|name| *name != leader).collect();
    deployment.links.silence(&[&leader], &rest);
    let operators = Operators::start(&deployment.operators, &[first, second], race(2, 5, 61));
    let proposals = operators.finish().await;
    assert_ne!(deployment.leader(&second, CONFIG).await, leader);
    deployment.links.heal();
    deployment.settled(&deployment.hosts).await;
    nothing_lost(&deployment, watch, &proposals).await;
}

/// A replica whose files are lost must not vote with an empty memory.
async fn wiped() {
    let mut deployment = replicated(71).await;
    let hosts = deployment.hosts.clone();
    let watch = Watch::start(&deployment);
    let mut proposals =
        Operators::start(&deployment.operators, &hosts, race(2, 5, 71)).finish().await;
    let leader = deployment.leader(&hosts[0], CONFIG).await;
    deployment.control(&leader).kill();
    deployment.wipe(&leader);
    deployment.control(&leader).restart();
    let known = proposals.iter().filter_map(|p| p.accepted()).map(|e| e.number).max();
    proposals.extend(more_changes(&deployment, known.unwrap_or(0), "wiped", 5).await);
    nothing_lost(&deployment, watch, &proposals).await;
}

/// A disk is replaced; as soon as the replica is back, another is lost for good.
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
    // The repair is over once the replica votes in both groups again.
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
    let changes = Changes::read(&deployment, &hosts[1]).await;
    changes.check(&proposals);
}

/// Changes of one operator who knows the last number.
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

async fn restart_of_all() {
    let mut deployment = Deployment::start(&layout(2, 3));
    deployment.ready().await;
    let hosts = deployment.hosts.clone();
    let proposals =
        Operators::start(&deployment.operators, &hosts, race(4, 125, 91)).finish().await;
    for process in deployment.controls.iter_mut().chain(&mut deployment.entries) {
        process.kill();
    }
    for process in deployment.controls.iter_mut().chain(&mut deployment.entries) {
        process.restart();
    }
    deployment.settled(&deployment.hosts).await;
    deployment.in_force(500).await;
    let changes = Changes::read(&deployment, &hosts[0]).await;
    assert_eq!(changes.last(), 500);
    changes.check(&proposals);
}

/// The leader accepts a change, and its answer does not arrive: whoever asked
/// must not be told that the change was refused.
async fn lost_answer() {
    let deployment = replicated(101).await;
    let [first, second] = [deployment.hosts[0], deployment.hosts[1]];
    let leader = deployment.leader(&first, CONFIG).await;
    deployment.links.silence(&[&leader], &["galway-yard-entry-1"]);
    let answer = deployment.propose(&first, 1, "lost", "[teams.lost]\n").await;
    deployment.links.heal();
    let unknown = |e: &Error| e.info().outcome == Outcome::Unknown;
    assert!(answer.as_ref().is_err_and(unknown), "{answer:?}");
    let again = deployment.propose(&second, 1, "other", "[teams.other]\n").await.unwrap();
    let ApplyResponse::Conflict { holder: Some(holder), .. } = again else { panic!("{again:?}") };
    assert_eq!(&*holder.author, "lost");
}
