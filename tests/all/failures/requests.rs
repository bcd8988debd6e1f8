//! Failures while callers send requests.

use super::{DOMAIN, check_all_answered, layout, serving};
use crate::{
    cases,
    harness::{Callers, Deployment, Outcome, Traffic, wait_for},
};
use std::time::Duration;

cases! {
    a_planned_stop_of_an_entry_host_cuts_no_request => entry_stop();
    a_killed_entry_host_runs_no_request_twice => entry_killed();
    a_leaving_target_gets_no_new_request_and_cuts_none => target_leaves();
    a_target_that_leaves_in_a_partition_soon_gets_no_request => target_leaves_during_partition();
    a_killed_target_causes_no_false_outcome => target_killed();
    a_suspended_target_does_not_stop_other_requests => target_suspended();
    an_entry_host_cut_from_control_keeps_serving => cut_from_control();
    requests_are_served_without_any_control_replica => without_control();
    a_restarted_entry_host_has_the_newest_configuration => entry_restart();
}

/// A deadline that is longer than any wait in a passing test.
const LONG_DEADLINE: Duration = Duration::from_secs(30);

fn callers(deployment: &Deployment, deadline: Duration) -> Callers {
    Callers::start(&deployment.hosts, "matchdesk", "n", deadline)
}

fn answered(traffic: &Traffic) -> usize {
    traffic.values().filter(|sent| sent.outcome == Outcome::Answered).count()
}

/// Guards against a planned stop that closes connections before their requests are
/// answered.
async fn entry_stop() {
    let mut deployment = serving(Deployment::start(&layout(2, 1)), 2, "20ms").await;
    let callers = callers(&deployment, LONG_DEADLINE);
    callers.wait_for_answers(40).await;
    deployment.entries[0].terminate();
    deployment.entries[0].wait_for_exit().await;
    callers.wait_for_answers(40).await;
    check_all_answered(&deployment, callers).await;
}

/// Guards against requests that run twice or violate a target's slots after an entry
/// host is killed and restarted while it holds leases on slots.
async fn entry_killed() {
    let mut deployment = serving(Deployment::start(&layout(3, 1)), 3, "20ms").await;
    let callers = callers(&deployment, LONG_DEADLINE);
    callers.wait_for_answers(40).await;
    deployment.entries[1].kill();
    callers.wait_for_answers(60).await;
    deployment.entries[1].restart();
    deployment.wait_until_ready(&deployment.hosts).await;
    callers.wait_for_answers(60).await;
    deployment.evidence_with(callers).await.check();
}

/// Guards against requests that are cut off, or sent to a target that has announced that
/// it is leaving.
async fn target_leaves() {
    let mut deployment = serving(Deployment::start(&layout(2, 1)), 3, "20ms").await;
    let callers = callers(&deployment, LONG_DEADLINE);
    callers.wait_for_answers(40).await;
    deployment.stop_target(0);
    deployment.wait_for_targets(&deployment.hosts, "matchdesk", 2).await;
    callers.wait_for_answers(60).await;
    check_all_answered(&deployment, callers).await;
}

/// Guards against wrong outcomes for the requests in flight at a target that is
/// killed.
async fn target_killed() {
    let mut deployment = serving(Deployment::start(&layout(2, 1)), 3, "60ms").await;
    let callers = callers(&deployment, LONG_DEADLINE);
    callers.wait_for_answers(40).await;
    deployment.kill_stand_in(0);
    callers.wait_for_answers(60).await;
    let traffic = callers.stop().await;
    // The entry host is alive, so it must answer every request and close no connection
    // early.
    let cut = traffic.values().filter(|s| matches!(s.outcome, Outcome::Cut(_))).count();
    assert_eq!(cut, 0, "{traffic:?}");
    deployment.evidence().with(traffic).check();
}

/// Guards against a suspended target that gets requests until they time out, and against
/// an outcome "not-run" for a request that the target still runs when it is resumed.
async fn target_suspended() {
    let mut deployment = serving(Deployment::start(&layout(2, 1)), 3, "20ms").await;
    let callers = callers(&deployment, Duration::from_secs(2));
    callers.wait_for_answers(40).await;
    deployment.suspend_stand_in(0);
    // Without new announcements, the suspended target's record expires, and the other
    // targets get all requests.
    deployment.wait_for_targets(&deployment.hosts, "matchdesk", 2).await;
    callers.wait_for_answers(60).await;
    let traffic = callers.stop().await;
    // Requests that wait in the target's sockets run now, if at all. An outcome
    // "not-run" must still be true afterwards.
    deployment.stand_ins[0].resume();
    deployment.wait_for_targets(&deployment.hosts, "matchdesk", 3).await;
    assert!(answered(&traffic) >= 100);
    deployment.evidence().with(traffic).check();
}

/// Guards against an entry host that fails requests or misses configurations while it
/// is partitioned from the control replica.
async fn cut_from_control() {
    let deployment = Deployment::behind_proxies(&layout(2, 1), 11);
    let deployment = serving(deployment, 2, "5ms").await;
    let callers = callers(&deployment, LONG_DEADLINE);
    callers.wait_for_answers(40).await;
    deployment.links.cut(&["galway-yard-entry-1"], &["galway-yard-control-1"]);
    callers.wait_for_answers(80).await;
    let second = deployment.hosts[1];
    let text = "[services.matchdesk]\nslots = 8\ndeadline = \"3s\"\n";
    deployment.apply(&second, 2, text).await.unwrap();
    // The host without a control replica gets the configuration from the other host.
    deployment.wait_until_active(2).await;
    deployment.links.heal();
    callers.wait_for_answers(20).await;
    check_all_answered(&deployment, callers).await;
}

/// Guards against requests that fail without control replicas: all control replicas are
/// killed, then targets join and leave.
async fn without_control() {
    let mut deployment = serving(Deployment::start(&layout(2, 1)), 2, "10ms").await;
    let callers = callers(&deployment, LONG_DEADLINE);
    callers.wait_for_answers(40).await;
    deployment.controls.iter_mut().for_each(crate::harness::Process::kill);
    // Targets can still join and leave.
    deployment.start_target(DOMAIN, "matchdesk", "10ms");
    deployment.wait_for_targets(&deployment.hosts, "matchdesk", 3).await;
    deployment.stop_target(0);
    deployment.wait_for_targets(&deployment.hosts, "matchdesk", 2).await;
    callers.wait_for_answers(60).await;
    check_all_answered(&deployment, callers).await;
}

/// Guards against a restarted entry host that reports ready with an old
/// configuration.
async fn entry_restart() {
    let mut deployment = Deployment::start(&layout(2, 1));
    deployment.wait_until_all_ready().await;
    let [first, second] = [deployment.hosts[0], deployment.hosts[1]];
    for number in 1..=5 {
        let text = format!("[services.matchdesk]\nslots = {number}\n");
        deployment.apply(&second, number, &text).await.unwrap();
        if number == 2 {
            deployment.entries[0].kill();
        }
    }
    deployment.entries[0].restart();
    // Once the host reports ready, its active configuration must be the newest one.
    let ready = async || {
        let status = deployment.status(&first).await.ok()?;
        status.first().filter(|s| s.ready).map(|s| s.config)
    };
    wait_for("the host to be ready", async || ready().await.is_some()).await;
    assert_eq!(ready().await, Some(5));
}

/// Guards against failed requests when an entry host misses the departure of a target:
/// the host is partitioned from the other entry host and from the target while the target
/// leaves, and removes the target only when its last announcement expires.
async fn target_leaves_during_partition() {
    let deployment = Deployment::behind_proxies(&layout(2, 1), 12);
    let mut deployment = serving(deployment, 3, "20ms").await;
    let callers = callers(&deployment, LONG_DEADLINE);
    callers.wait_for_answers(40).await;
    let cut_off = ["galway-yard-entry-2"];
    deployment.links.cut(&cut_off, &["target-0", "galway-yard-entry-1"]);
    deployment.stop_target(0);
    deployment.wait_for_targets(&deployment.hosts, "matchdesk", 2).await;
    deployment.links.heal();
    callers.wait_for_answers(40).await;
    check_all_answered(&deployment, callers).await;
}
