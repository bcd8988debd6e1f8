//! Failed writes and syncs. After such a failure, the state on disk is unknown,
//! so the replica must end before it acknowledges anything more.
#![allow(clippy::unwrap_used)]

mod support;

use cyclamenloft_types::ErrorKind;
use fail::FailScenario;
use support::{
    cluster::{Cluster, fast_timeouts, voters},
    history::Outcome,
    wait_until,
};

/// Runs a group of one replica in which the fail point `point` fails after it
/// was passed `passes` times without a failure. Snapshots and new segments come
/// every few entries, so that every fail point is reached.
async fn a_failure_ends_the_replica(point: &str, passes: u32) {
    let scenario = FailScenario::setup();
    let cluster = Cluster::with_config(41, voters(1), |cfg| {
        fast_timeouts(cfg).snapshot_entries(6).segment_bytes(200)
    })
    .start_all()
    .await;
    cluster.commit_values(3).await;
    let replica = cluster.get(1).unwrap();
    fail::cfg(point, &format!("{passes}*off->return(no space left)")).unwrap();
    let mut outcome = Vec::new();
    while !outcome.contains(&Outcome::Unknown) && !outcome.contains(&Outcome::Refused) {
        outcome.push(cluster.propose(1).await);
    }
    let error = replica.failed().await;
    assert_eq!(error.kind, ErrorKind::DiskFailed);
    assert!(error.detail.contains("no space left"), "{error}");
    fail::remove(point);
    assert_eq!(cluster.propose(1).await, Outcome::Refused);
    assert!(replica.barrier().await.is_err());
    assert!(replica.handle(&[]).await.is_err());
    drop(replica);
    cluster.crash(1);
    cluster.start(1).await;
    cluster.check_converged().await;
    scenario.teardown();
}

/// The log sync of one of three replicas, chosen at random, fails. The other
/// two must continue to accept values.
async fn a_group_survives_one_failed_replica() {
    let scenario = FailScenario::setup();
    let cluster = Cluster::new(42, voters(3)).start_all().await;
    cluster.commit_values(10).await;
    fail::cfg("log-sync", "20*off->1*return(bad sector)->off").unwrap();
    let clients = cluster.spawn_clients(4);
    let status = |id| cluster.get(id).map(|r| r.status());
    wait_until(|| {
        cluster.observe();
        let failed = |id: &u64| {
            let mut failed = Box::pin(cluster.get(*id).unwrap().failed());
            let mut cx = std::task::Context::from_waker(std::task::Waker::noop());
            std::future::Future::poll(failed.as_mut(), &mut cx).is_ready()
        };
        let Some(failed_id) = cluster.ids().into_iter().find(failed) else { return false };
        assert!(status(failed_id).is_some());
        cluster.crash(failed_id);
        true
    })
    .await;
    cluster.commit_values(20).await;
    drop(clients);
    for id in 1..=3 {
        if cluster.get(id).is_none() {
            cluster.start(id).await;
        }
    }
    cluster.check_converged().await;
    scenario.teardown();
}

/// A failure during the creation of a folder must be returned by `open`, and a
/// later `open` must succeed.
async fn a_failure_is_returned_by_open(point: &str) {
    let scenario = FailScenario::setup();
    let cluster = Cluster::new(43, voters(1));
    fail::cfg(point, "return(no space left)").unwrap();
    assert_eq!(cluster.try_start(1).await.unwrap_err().kind, ErrorKind::DiskFailed);
    fail::remove(point);
    cluster.start(1).await;
    cluster.check_converged().await;
    scenario.teardown();
}

cases! {
    log_write_failure_ends_replica => a_failure_ends_the_replica("log-write", 2);
    log_sync_failure_ends_replica => a_failure_ends_the_replica("log-sync", 0);
    later_log_sync_failure_ends_replica => a_failure_ends_the_replica("log-sync", 3);
    sync_point_write_failure_ends_replica => a_failure_ends_the_replica("sync-point-write", 1);
    segment_create_failure_ends_replica => a_failure_ends_the_replica("segment-create", 0);
    snapshot_write_failure_ends_replica => a_failure_ends_the_replica("file-write", 0);
    snapshot_sync_failure_ends_replica => a_failure_ends_the_replica("file-sync", 1);
    folder_sync_failure_ends_replica => a_failure_ends_the_replica("folder-sync", 2);
    group_survives_one_failed_replica => a_group_survives_one_failed_replica();
    segment_create_failure_fails_open => a_failure_is_returned_by_open("segment-create");
    file_write_failure_fails_open => a_failure_is_returned_by_open("file-write");
    folder_sync_failure_fails_open => a_failure_is_returned_by_open("folder-sync");
}
