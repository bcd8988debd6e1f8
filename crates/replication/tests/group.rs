//! Groups of replicas under faults: what is acknowledged stays, once and in
//! order.
#![allow(clippy::unwrap_used)]

mod support;

use cyclamenloft_replication::MemberKind;
use cyclamenloft_types::ErrorKind;
use futures_util::future::join_all;
use std::time::Duration;
use support::{
    cluster::{Cluster, quick, voters},
    history::Told,
    net::Faults,
    until,
};

const ROUGH: Faults =
    Faults { loss: 0.05, repeat: 0.05, delay: Duration::from_millis(3), silent: false };

async fn one_replica_serves_and_recovers() {
    let cluster = Cluster::new(1, voters(1)).started().await;
    assert_eq!(cluster.propose(1).await, Told::Accepted);
    cluster.accept(20).await;
    cluster.crash(1);
    cluster.start(1).await;
    assert_eq!(cluster.propose(1).await, Told::Accepted);
    cluster.settle().await;
}

async fn three_replicas_agree_and_recover_together() {
    let cluster = Cluster::new(2, voters(3)).started().await;
    cluster.accept(50).await;
    for id in 1..=3 {
        cluster.crash(id);
    }
    for id in 1..=3 {
        cluster.start(id).await;
    }
    cluster.settle().await;
}

async fn a_follower_refuses_proposals() {
    let cluster = Cluster::new(3, voters(3)).started().await;
    let leader = cluster.leader().await;
    let follower = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
    assert_eq!(cluster.propose(follower).await, Told::Refused);
    let barrier = cluster.get(follower).unwrap().barrier().await;
    assert!(matches!(barrier.unwrap_err().kind, ErrorKind::NotLeader | ErrorKind::NoQuorum));
    cluster.settle().await;
}

async fn rough_links_lose_nothing() {
    let cluster = Cluster::new(4, voters(3)).started().await;
    cluster.net.set_faults(ROUGH);
    let clients = cluster.spawn_clients(8);
    until(|| cluster.history.borrow().accepted() >= 300).await;
    drop(clients);
    cluster.settle().await;
}

async fn crashes_at_random_lose_nothing() {
    let cluster =
        Cluster::adjusted(5, voters(3), |cfg| quick(cfg).snapshot_entries(40).segment_bytes(2000))
            .started()
            .await;
    cluster.net.set_faults(ROUGH);
    let clients = cluster.spawn_clients(6);
    for round in 1..=12 {
        until(|| cluster.history.borrow().accepted() >= round * 15).await;
        let victim = 1 + cluster.net.random(3);
        cluster.crash(victim);
        if round % 4 == 0 {
            for id in cluster.ids() {
                cluster.crash(id);
            }
        }
        cluster.election_timeouts(1).await;
        for id in 1..=3 {
            if cluster.get(id).is_none() {
                cluster.start(id).await;
            }
        }
    }
    drop(clients);
    cluster.settle().await;
}

async fn the_majority_goes_on_without_a_cut_off_leader() {
    let cluster = Cluster::new(6, voters(3)).started().await;
    cluster.accept(5).await;
    let old = cluster.leader().await;
    let rest: Vec<_> = cluster.ids().into_iter().filter(|id| *id != old).collect();
    cluster.net.partition(&[old], &rest);
    let stale = cluster.propose(old).await;
    assert_ne!(stale, Told::Accepted);
    cluster.leader_among(&rest).await;
    cluster.accept(5).await;
    assert_eq!(cluster.propose(old).await, Told::Refused);
    cluster.net.heal();
    cluster.settle().await;
}

async fn a_long_stale_tail_is_overwritten() {
    let cluster = Cluster::new(7, voters(3)).started().await;
    cluster.accept(5).await;
    let old = cluster.leader().await;
    let rest: Vec<_> = cluster.ids().into_iter().filter(|id| *id != old).collect();
    cluster.net.partition(&[old], &rest);
    let stale = join_all((0..500).map(|_| cluster.propose(old)));
    let (told, ()) = futures_util::join!(stale, async {
        cluster.leader_among(&rest).await;
        cluster.accept(20).await;
        cluster.net.heal();
    });
    assert!(told.iter().all(|t| *t != Told::Accepted));
    cluster.settle().await;
}

async fn a_leader_that_hears_nobody_steps_down() {
    let cluster = Cluster::new(8, voters(3)).started().await;
    let old = cluster.leader().await;
    for id in cluster.ids() {
        cluster.net.cut_one_way(id, old);
    }
    let rest: Vec<_> = cluster.ids().into_iter().filter(|id| *id != old).collect();
    cluster.leader_among(&rest).await;
    cluster.accept(5).await;
    cluster.net.heal();
    cluster.settle().await;
}

async fn a_follower_that_hears_nobody_disturbs_nobody() {
    let cluster = Cluster::new(9, voters(3)).started().await;
    let leader = cluster.leader().await;
    let deaf = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
    for id in cluster.ids() {
        cluster.net.cut_one_way(id, deaf);
    }
    cluster.election_timeouts(10).await;
    cluster.net.heal();
    cluster.settle().await;
}

/// The third replica hears the leader, so it must not help the one that is cut
/// off from the leader to office while the leader holds its lease.
async fn a_follower_cut_off_from_the_leader_gets_no_votes() {
    let cluster = Cluster::new(18, voters(3)).started().await;
    for _ in 0..3 {
        let leader = cluster.leader().await;
        let deaf = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
        cluster.net.partition(&[leader], &[deaf]);
        cluster.election_timeouts(6).await;
        cluster.net.heal();
        cluster.accept(2).await;
    }
    cluster.settle().await;
}

async fn a_minority_accepts_nothing() {
    let cluster = Cluster::new(10, voters(5)).started().await;
    cluster.accept(5).await;
    cluster.net.partition(&[1, 2], &[3, 4, 5]);
    cluster.leader_among(&[3, 4, 5]).await;
    cluster.accept(5).await;
    assert_ne!(cluster.propose(1).await, Told::Accepted);
    assert_ne!(cluster.propose(2).await, Told::Accepted);
    cluster.net.heal();
    cluster.settle().await;
}

async fn partitions_at_random_lose_nothing() {
    let cluster = Cluster::new(11, voters(5)).started().await;
    cluster.net.set_faults(Faults { silent: true, ..ROUGH });
    let clients = cluster.spawn_clients(6);
    for _ in 0..8 {
        let (a, b) = (1 + cluster.net.random(5), 1 + cluster.net.random(5));
        let rest: Vec<_> = (1..=5).filter(|id| *id != a && *id != b).collect();
        cluster.net.partition(&[a, b], &rest);
        cluster.net.cut_one_way(rest[0], rest[1]);
        cluster.election_timeouts(4).await;
        cluster.net.heal();
        cluster.election_timeouts(2).await;
    }
    drop(clients);
    cluster.settle().await;
}

async fn a_snapshot_brings_a_late_follower_up_to_date() {
    let cluster =
        Cluster::adjusted(12, voters(3), |cfg| quick(cfg).snapshot_entries(10)).started().await;
    let leader = cluster.leader().await;
    let late = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
    cluster.crash(late);
    cluster.net.set_faults(ROUGH);
    while cluster.history.borrow().accepted() < 40 {
        let leader = cluster.leader().await;
        cluster.propose_filled(leader, 20_000).await;
    }
    // Newer snapshots are made while one is being sent.
    let clients = cluster.spawn_clients(2);
    cluster.start(late).await;
    let replica = cluster.get(late).unwrap();
    until(|| replica.state(|list| list.filler.len()) >= 40 * 20_000).await;
    drop((clients, replica));
    cluster.settle().await;
    assert!(cluster.net.largest() <= 256 << 10);
    assert!(cluster.net.largest() > 200 << 10, "the snapshot took one small piece");
}

async fn messages_stay_within_their_bound() {
    let cluster = Cluster::new(13, voters(3)).started().await;
    let leader = cluster.leader().await;
    let late = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
    cluster.net.partition(&[late], &(1..=3).filter(|id| *id != late).collect::<Vec<_>>());
    for _ in 0..30 {
        assert_eq!(cluster.propose_filled(leader, 30_000).await, Told::Accepted);
    }
    let replica = cluster.get(leader).unwrap();
    let too_large = replica.propose((0, vec![0; 256 << 10])).await.unwrap_err();
    assert_eq!(too_large.kind, ErrorKind::TooLarge);
    cluster.net.heal();
    cluster.settle().await;
    assert!(cluster.net.largest() <= 256 << 10);
}

async fn a_planned_stop_hands_over() {
    // An election by timeout would take an hour.
    let cluster = Cluster::adjusted(14, voters(3), |cfg| {
        cfg.heartbeat(Duration::from_millis(10)).election_timeout(Duration::from_secs(3600))
    })
    .started()
    .await;
    cluster.accept(5).await;
    let old = cluster.leader().await;
    cluster.get(old).unwrap().shut_down().await;
    cluster.crash(old);
    assert_ne!(cluster.leader().await, old);
    cluster.start(old).await;
    cluster.settle().await;
}

async fn early_visibility_shows_what_is_not_durable() {
    let cluster =
        Cluster::adjusted(15, voters(3), |cfg| quick(cfg).early_visibility(true)).started().await;
    let leader = cluster.leader().await;
    let replica = cluster.get(leader).unwrap();
    let rest: Vec<_> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
    cluster.net.partition(&[leader], &rest);
    let (told, ()) = futures_util::join!(cluster.propose(leader), async {
        until(|| replica.speculative_state(|list| list.values.len()) == 1).await;
        assert_eq!(replica.state(|list| list.values.len()), 0);
    });
    assert_ne!(told, Told::Accepted);
    assert_eq!(replica.speculative_state(|list| list.values.len()), 0);
    cluster.net.heal();
    cluster.settle().await;
}

async fn clients_see_the_folder_in_use() {
    let cluster = Cluster::new(16, voters(1)).started().await;
    let refused = cluster.try_start(1).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::FolderInUse);
    cluster.settle().await;
}

async fn a_member_kind_is_checked() {
    let cluster = Cluster::new(17, voters(1)).started().await;
    let refused = cluster.get(1).unwrap().promote(2, MemberKind::Learner).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::BadRequest);
}

cases! {
    one_replica => one_replica_serves_and_recovers();
    three_replicas => three_replicas_agree_and_recover_together();
    follower_refuses => a_follower_refuses_proposals();
    rough_links => rough_links_lose_nothing();
    random_crashes => crashes_at_random_lose_nothing();
    cut_off_leader => the_majority_goes_on_without_a_cut_off_leader();
    stale_tail => a_long_stale_tail_is_overwritten();
    deaf_leader => a_leader_that_hears_nobody_steps_down();
    deaf_follower => a_follower_that_hears_nobody_disturbs_nobody();
    cut_off_follower => a_follower_cut_off_from_the_leader_gets_no_votes();
    minority => a_minority_accepts_nothing();
    random_partitions => partitions_at_random_lose_nothing();
    late_follower => a_snapshot_brings_a_late_follower_up_to_date();
    message_bound => messages_stay_within_their_bound();
    planned_stop => a_planned_stop_hands_over();
    early_visibility => early_visibility_shows_what_is_not_durable();
    folder_in_use => clients_see_the_folder_in_use();
    member_kind => a_member_kind_is_checked();
}
