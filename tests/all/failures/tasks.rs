//! Failures while tasks run.

use super::{DOMAIN, SERVICE_CONFIG, layout, long_job, submit, wait_for_job};
use crate::{
    cases,
    harness::{Deployment, wait_for},
};
use cyclamenloft_standin::journal::{Event, Line, TaskEnd};
use cyclamenloft_types::{JobSpec, Priority, Resources};

cases! {
    tasks_of_a_killed_worker_run_elsewhere => worker_killed();
    a_suspended_worker_stops_its_tasks_when_it_resumes => worker_suspended();
    a_worker_cut_off_for_longer_than_its_lease_stops_its_tasks => worker_cut();
    tasks_of_a_restarted_worker_run_again => worker_restarted();
    evicted_tasks_resume_from_their_checkpoints => evicted();
}

/// Starts a worker and four tasks that run for longer than its lease.
async fn with_running_tasks(mut deployment: Deployment) -> Deployment {
    deployment.wait_until_all_ready().await;
    deployment.configure(SERVICE_CONFIG).await;
    deployment.start_worker(DOMAIN, "worker-1", 4);
    submit(&deployment, 0, &long_job("long", 4, 4000)).await;
    wait_for_starts(&deployment, 4).await;
    deployment
}

/// Waits until `count` attempts have started.
async fn wait_for_starts(deployment: &Deployment, count: usize) {
    let starts = || deployment.evidence().count(is_start);
    wait_for("the tasks to run", async || starts() >= count).await;
}

fn is_start(line: &Line) -> bool {
    matches!(line.event, Event::TaskStarted { .. })
}

fn is_end(line: &Line, who: &str, reason: TaskEnd) -> bool {
    &*line.who == who && matches!(line.event, Event::TaskEnded { end, .. } if end == reason)
}

/// Waits for the job "long" to finish, and checks all invariants and the number of
/// finished tasks.
async fn check_all_finish(deployment: &Deployment, tasks: usize) {
    wait_for_job(deployment, 0, "long").await;
    let evidence = deployment.evidence();
    evidence.check();
    assert_eq!(evidence.finished().len(), tasks);
}

/// Guards against tasks that are lost with a killed worker: they must run on another one.
async fn worker_killed() {
    let mut deployment = with_running_tasks(Deployment::start(&layout(2, 1))).await;
    deployment.kill_stand_in(0);
    deployment.start_worker(DOMAIN, "worker-2", 4);
    check_all_finish(&deployment, 4).await;
}

/// Guards against tasks that run twice after a suspension: a suspended worker can't stop
/// its tasks when its lease expires, so it must stop them as soon as it resumes.
async fn worker_suspended() {
    let mut deployment = with_running_tasks(Deployment::start(&layout(2, 1))).await;
    deployment.suspend_stand_in(0);
    deployment.start_worker(DOMAIN, "worker-2", 4);
    wait_for_starts(&deployment, 8).await;
    deployment.stand_ins[0].resume();
    let stopped = || deployment.evidence().count(|l| is_end(l, "worker-1", TaskEnd::LeaseExpired));
    wait_for("the resumed worker to stop its tasks", async || stopped() == 4).await;
    check_all_finish(&deployment, 4).await;
}

/// Guards against tasks that run twice during a partition: a worker must stop its tasks
/// when its lease expires, before they are started elsewhere.
async fn worker_cut() {
    let deployment = Deployment::behind_proxies(&layout(2, 1), 21);
    let mut deployment = with_running_tasks(deployment).await;
    let entries = ["galway-yard-entry-1", "galway-yard-entry-2"];
    deployment.links.cut(&["worker-1"], &entries);
    deployment.start_worker(DOMAIN, "worker-2", 4);
    wait_for_starts(&deployment, 8).await;
    deployment.links.heal();
    check_all_finish(&deployment, 4).await;
    let expired = deployment.evidence().count(|l| is_end(l, "worker-1", TaskEnd::LeaseExpired));
    assert_eq!(expired, 4);
    // After the partition, the worker must accept tasks again.
    deployment.kill_stand_in(1);
    submit(&deployment, 0, &long_job("after", 4, 50)).await;
    wait_for_job(&deployment, 0, "after").await;
    deployment.evidence().check();
}

/// Guards against tasks that still count as running after their worker has restarted
/// under the same name: they ended with the old process and must run again on any worker.
async fn worker_restarted() {
    let mut deployment = with_running_tasks(Deployment::start(&layout(2, 1))).await;
    deployment.kill_stand_in(0);
    deployment.stand_ins[0].restart();
    check_all_finish(&deployment, 4).await;
}

/// Guards against lost progress of evicted tasks: an urgent job evicts two batch
/// tasks, which must resume from their checkpoints.
async fn evicted() {
    let deployment = with_running_tasks(Deployment::start(&layout(2, 1))).await;
    submit(&deployment, 1, &urgent("urgent", 2)).await;
    wait_for_job(&deployment, 0, "urgent").await;
    check_all_finish(&deployment, 6).await;
    let evicted = deployment.evidence().count(|l| is_end(l, "worker-1", TaskEnd::Evicted));
    assert_eq!(evicted, 2);
}

/// Returns an urgent job with tasks of one core each.
pub(super) fn urgent(id: &str, tasks: u32) -> JobSpec {
    let resources = Resources::new(1000, 512, 0);
    JobSpec { priority: Priority::Urgent, resources, ..long_job(id, tasks, 500) }
}
