//! Groups of replicas under faults. An accepted value must never be lost,
//! duplicated or reordered, and a refused one must not appear.
#![allow(clippy::unwrap_used)]

mod support;

use cyclamenloft_replication::MemberKind;
use cyclamenloft_types::ErrorKind;
use futures_util::future::join_all;
use std::time::Duration;
use support::{
    cluster::{Cluster, fast_timeouts, stable_leader, voters},
    history::Outcome,
    net::Faults,
    wait_until,
};

const FAULTY_LINKS: Faults =
    Faults { loss: 0.05, repeat: 0.05, delay: Duration::from_millis(3), silent: false };

/// A group of one replica must serve without peers and recover its values after
/// a crash.
async fn one_replica_serves_and_recovers() {
    let cluster = Cluster::new(1, voters(1)).start_all().await;
    assert_eq!(cluster.propose(1).await, Outcome::Accepted);
    cluster.commit_values(20).await;
    cluster.crash(1);
    cluster.start(1).await;
    assert_eq!(cluster.propose(1).await, Outcome::Accepted);
    cluster.check_converged().await;
}

/// After a crash of all replicas at once, the group must recover from its disks
/// alone.
async fn three_replicas_agree_and_recover_together() {
    let cluster = Cluster::new(2, voters(3)).start_all().await;
    cluster.commit_values(50).await;
    for id in 1..=3 {
        cluster.crash(id);
    }
    for id in 1..=3 {
        cluster.start(id).await;
    }
    cluster.check_converged().await;
}

/// A follower that accepted proposals or reads would bypass the leader's log.
async fn a_follower_refuses_proposals() {
    let cluster = Cluster::with_config(3, voters(3), stable_leader).start_all().await;
    let leader = cluster.leader().await;
    let follower = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
    assert_eq!(cluster.propose(follower).await, Outcome::Refused);
    let barrier = cluster.get(follower).unwrap().barrier().await;
    assert!(matches!(barrier.unwrap_err().kind, ErrorKind::NotLeader | ErrorKind::NoQuorum));
    cluster.check_converged().await;
}

/// Lost, repeated and delayed messages must not lose or duplicate values.
async fn accepted_values_survive_faulty_links() {
    let cluster = Cluster::new(4, voters(3)).start_all().await;
    cluster.network.set_faults(FAULTY_LINKS);
    let clients = cluster.spawn_clients(8);
    wait_until(|| cluster.history.borrow().accepted() >= 300).await;
    drop(clients);
    cluster.check_converged().await;
}

/// Replicas crash at random, every fourth time all of them. Links are faulty,
/// and snapshots and new segments are frequent.
async fn accepted_values_survive_random_crashes() {
    let cluster = Cluster::with_config(5, voters(3), |cfg| {
        fast_timeouts(cfg).snapshot_entries(40).segment_bytes(2000)
    })
    .start_all()
    .await;
    cluster.network.set_faults(FAULTY_LINKS);
    let clients = cluster.spawn_clients(6);
    for round in 1..=12 {
        wait_until(|| cluster.history.borrow().accepted() >= round * 15).await;
        let crashed = 1 + cluster.network.random(3);
        cluster.crash(crashed);
        if round % 4 == 0 {
            for id in cluster.ids() {
                cluster.crash(id);
            }
        }
        cluster.run_for_election_timeouts(1).await;
        for id in 1..=3 {
            if cluster.get(id).is_none() {
                cluster.start(id).await;
            }
        }
    }
    drop(clients);
    cluster.check_converged().await;
}

/// A leader that is cut off from the other replicas must not accept values, and
/// the others must elect a new one.
async fn the_majority_replaces_an_isolated_leader() {
    let cluster = Cluster::new(6, voters(3)).start_all().await;
    cluster.commit_values(5).await;
    let old = cluster.leader().await;
    let rest: Vec<_> = cluster.ids().into_iter().filter(|id| *id != old).collect();
    cluster.network.partition(&[old], &rest);
    let stale = cluster.propose(old).await;
    assert_ne!(stale, Outcome::Accepted);
    cluster.leader_among(&rest).await;
    cluster.commit_values(5).await;
    assert_eq!(cluster.propose(old).await, Outcome::Refused);
    cluster.network.heal();
    cluster.check_converged().await;
}

/// An isolated leader appends 500 entries that are never committed. After the
/// partition, the entries of the new leader must replace them.
async fn an_uncommitted_tail_is_overwritten() {
    let cluster = Cluster::new(7, voters(3)).start_all().await;
    cluster.commit_values(5).await;
    let old = cluster.leader().await;
    let rest: Vec<_> = cluster.ids().into_iter().filter(|id| *id != old).collect();
    cluster.network.partition(&[old], &rest);
    let stale = join_all((0..500).map(|_| cluster.propose(old)));
    let (outcome, ()) = futures_util::join!(stale, async {
        cluster.leader_among(&rest).await;
        cluster.commit_values(20).await;
        cluster.network.heal();
    });
    assert!(outcome.iter().all(|t| *t != Outcome::Accepted));
    cluster.check_converged().await;
}

/// The leader can send but receives nothing. Its heartbeats keep the followers
/// from electing another leader, so it must step down by itself.
async fn a_leader_without_responses_steps_down() {
    let cluster = Cluster::new(8, voters(3)).start_all().await;
    let old = cluster.leader().await;
    for id in cluster.ids() {
        cluster.network.block_one_way(id, old);
    }
    let rest: Vec<_> = cluster.ids().into_iter().filter(|id| *id != old).collect();
    cluster.leader_among(&rest).await;
    cluster.commit_values(5).await;
    cluster.network.heal();
    cluster.check_converged().await;
}

/// A follower that can send but receives nothing keeps trying to be elected.
/// All replicas must converge once it is reconnected.
async fn a_follower_that_receives_nothing_does_not_disrupt() {
    let cluster = Cluster::new(9, voters(3)).start_all().await;
    let leader = cluster.leader().await;
    let isolated = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
    for id in cluster.ids() {
        cluster.network.block_one_way(id, isolated);
    }
    cluster.run_for_election_timeouts(10).await;
    cluster.network.heal();
    cluster.check_converged().await;
}

/// The third replica hears from the leader. If it voted for the follower that
/// is cut off, that follower would become leader while the old one still relies
/// on its lease.
async fn a_follower_cut_off_from_the_leader_gets_no_votes() {
    let cluster = Cluster::new(18, voters(3)).start_all().await;
    for _ in 0..3 {
        let leader = cluster.leader().await;
        let isolated = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
        cluster.network.partition(&[leader], &[isolated]);
        cluster.run_for_election_timeouts(6).await;
        cluster.network.heal();
        cluster.commit_values(2).await;
    }
    cluster.check_converged().await;
}

/// A pre-vote that one voter has refused can't be won while the third voter is silent. If the
/// candidate waited for the silent one, the next attempt would come an election timeout later,
/// and the group of hosts that restart one after another would have a leader that much later.
async fn a_silent_voter_does_not_delay_the_next_pre_vote() {
    let cluster = Cluster::with_config(19, voters(3), stable_leader).start_all().await;
    cluster.commit_values(1).await;
    let leader = cluster.leader().await;
    let others: Vec<_> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
    cluster.network.set_faults(Faults { silent: true, ..Faults::default() });
    cluster.network.partition(&[leader], &[others[0]]);
    let before = cluster.network.sent(others[0], others[1]);
    // With an attempt per election timeout of 2 s, eighty take longer than a test may.
    wait_until(|| cluster.network.sent(others[0], others[1]) >= before + 80).await;
    cluster.network.heal();
    cluster.check_converged().await;
}

/// Two of five replicas are cut off. They must not accept values, while the
/// other three must.
async fn a_minority_accepts_nothing() {
    let cluster = Cluster::new(10, voters(5)).start_all().await;
    cluster.commit_values(5).await;
    cluster.network.partition(&[1, 2], &[3, 4, 5]);
    cluster.leader_among(&[3, 4, 5]).await;
    cluster.commit_values(5).await;
    assert_ne!(cluster.propose(1).await, Outcome::Accepted);
    assert_ne!(cluster.propose(2).await, Outcome::Accepted);
    cluster.network.heal();
    cluster.check_converged().await;
}

/// Random network partitions and links blocked in one direction must not lose
/// or duplicate values. The sender of a lost message gets no error.
async fn accepted_values_survive_random_partitions() {
    let cluster = Cluster::new(11, voters(5)).start_all().await;
    cluster.network.set_faults(Faults { silent: true, ..FAULTY_LINKS });
    let clients = cluster.spawn_clients(6);
    for _ in 0..8 {
        let (a, b) = (1 + cluster.network.random(5), 1 + cluster.network.random(5));
        let rest: Vec<_> = (1..=5).filter(|id| *id != a && *id != b).collect();
        cluster.network.partition(&[a, b], &rest);
        cluster.network.block_one_way(rest[0], rest[1]);
        cluster.run_for_election_timeouts(4).await;
        cluster.network.heal();
        cluster.run_for_election_timeouts(2).await;
    }
    drop(clients);
    cluster.check_converged().await;
}

/// The log no longer has the entries that the follower missed, so the leader
/// must send its snapshot in pieces over faulty links, each message within the
/// size limit.
async fn a_snapshot_brings_a_late_follower_up_to_date() {
    let cluster =
        Cluster::with_config(12, voters(3), |cfg| fast_timeouts(cfg).snapshot_entries(10))
            .start_all()
            .await;
    let leader = cluster.leader().await;
    let late = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
    cluster.crash(late);
    cluster.network.set_faults(FAULTY_LINKS);
    while cluster.history.borrow().accepted() < 40 {
        let leader = cluster.leader().await;
        cluster.propose_with_filler(leader, 20_000).await;
    }
    // The clients cause newer snapshots while one is being sent.
    let clients = cluster.spawn_clients(2);
    cluster.start(late).await;
    let replica = cluster.get(late).unwrap();
    wait_until(|| replica.state(|list| list.filler.len()) >= 40 * 20_000).await;
    drop((clients, replica));
    cluster.check_converged().await;
    assert!(cluster.network.largest_message() <= 256 << 10);
    assert!(cluster.network.largest_message() > 200 << 10, "no full-size snapshot piece was sent");
}

/// A follower that missed about 900 kB of entries must receive them in several
/// messages, and a command that doesn't fit into one must be refused.
async fn messages_stay_within_the_size_limit() {
    let cluster = Cluster::with_config(13, voters(3), stable_leader).start_all().await;
    let leader = cluster.leader().await;
    let late = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
    cluster.network.partition(&[late], &(1..=3).filter(|id| *id != late).collect::<Vec<_>>());
    for _ in 0..30 {
        assert_eq!(cluster.propose_with_filler(leader, 30_000).await, Outcome::Accepted);
    }
    let replica = cluster.get(leader).unwrap();
    let too_large = replica.propose((0, vec![0; 256 << 10])).await.unwrap_err();
    assert_eq!(too_large.kind, ErrorKind::TooLarge);
    cluster.network.heal();
    cluster.check_converged().await;
    assert!(cluster.network.largest_message() <= 256 << 10);
}

/// A stopping leader must transfer leadership, so that the group doesn't have
/// to wait for an election timeout.
async fn a_planned_stop_transfers_leadership() {
    // Without a transfer, there would be no election for at least an hour.
    let cluster = Cluster::with_config(14, voters(3), |cfg| {
        cfg.heartbeat(Duration::from_millis(10)).election_timeout(Duration::from_secs(3600))
    })
    .start_all()
    .await;
    cluster.commit_values(5).await;
    let old = cluster.leader().await;
    cluster.get(old).unwrap().shut_down().await;
    cluster.crash(old);
    assert_ne!(cluster.leader().await, old);
    cluster.start(old).await;
    cluster.check_converged().await;
}

/// Few large entries must not stay in memory and on disk until there are as many as small ones.
async fn a_snapshot_is_taken_after_a_number_of_bytes() {
    let cluster =
        Cluster::with_config(18, voters(3), |cfg| fast_timeouts(cfg).snapshot_bytes(20_000))
            .start_all()
            .await;
    let leader = cluster.leader().await;
    let newest_snapshot = |id| {
        let files = std::fs::read_dir(cluster.path(id)).unwrap().flatten();
        let names = files.map(|f| f.file_name().to_string_lossy().into_owned());
        names.filter(|name| name.starts_with("snapshot-")).max()
    };
    let first: Vec<_> = cluster.ids().into_iter().map(newest_snapshot).collect();
    for _ in 0..30 {
        cluster.propose_with_filler(leader, 1_000).await;
    }
    let is_newer = |(id, first): (_, &Option<String>)| newest_snapshot(id) > *first;
    wait_until(|| cluster.ids().into_iter().zip(&first).all(is_newer)).await;
    cluster.check_converged().await;
}

/// The speculative state of an isolated leader must show an entry before it is
/// committed, and must drop it when the leader steps down; the applied state
/// must never show it.
async fn early_visibility_shows_uncommitted_entries() {
    let cluster =
        Cluster::with_config(15, voters(3), |cfg| stable_leader(cfg).early_visibility(true))
            .start_all()
            .await;
    let leader = cluster.leader().await;
    let replica = cluster.get(leader).unwrap();
    let rest: Vec<_> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
    cluster.network.partition(&[leader], &rest);
    let (outcome, ()) = futures_util::join!(cluster.propose(leader), async {
        wait_until(|| replica.speculative_state(|list| list.values.len()) == 1).await;
        assert_eq!(replica.state(|list| list.values.len()), 0);
    });
    assert_ne!(outcome, Outcome::Accepted);
    assert_eq!(replica.speculative_state(|list| list.values.len()), 0);
    cluster.network.heal();
    cluster.check_converged().await;
}

/// Two replicas that write to one folder would corrupt it.
async fn a_second_open_of_a_folder_is_refused() {
    let cluster = Cluster::new(16, voters(1)).start_all().await;
    let refused = cluster.try_start(1).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::FolderInUse);
    cluster.check_converged().await;
}

/// A promotion to a role that doesn't vote must be refused.
async fn promotion_to_a_learner_is_refused() {
    let cluster = Cluster::new(17, voters(1)).start_all().await;
    let refused = cluster.get(1).unwrap().promote(2, MemberKind::Learner).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::BadRequest);
}

cases! {
    one_replica_recovers => one_replica_serves_and_recovers();
    three_replicas_recover => three_replicas_agree_and_recover_together();
    follower_refuses_proposals => a_follower_refuses_proposals();
    faulty_links_lose_nothing => accepted_values_survive_faulty_links();
    random_crashes_lose_nothing => accepted_values_survive_random_crashes();
    majority_replaces_isolated_leader => the_majority_replaces_an_isolated_leader();
    uncommitted_tail_is_overwritten => an_uncommitted_tail_is_overwritten();
    leader_without_responses_steps_down => a_leader_without_responses_steps_down();
    isolated_follower_does_not_disrupt => a_follower_that_receives_nothing_does_not_disrupt();
    follower_cut_off_from_leader_gets_no_votes => a_follower_cut_off_from_the_leader_gets_no_votes();
    minority_accepts_nothing => a_minority_accepts_nothing();
    random_partitions_lose_nothing => accepted_values_survive_random_partitions();
    snapshot_brings_late_follower_up_to_date => a_snapshot_brings_a_late_follower_up_to_date();
    snapshot_after_a_number_of_bytes => a_snapshot_is_taken_after_a_number_of_bytes();
    message_size_is_limited => messages_stay_within_the_size_limit();
    planned_stop_transfers_leadership => a_planned_stop_transfers_leadership();
    early_visibility_shows_entries_before_commit => early_visibility_shows_uncommitted_entries();
    folder_in_use_is_refused => a_second_open_of_a_folder_is_refused();
    silent_voter_does_not_delay_pre_vote => a_silent_voter_does_not_delay_the_next_pre_vote();
    promote_refuses_learner_kind => promotion_to_a_learner_is_refused();
}
