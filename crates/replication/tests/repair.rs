//! Formation of a group, wiped disks, membership changes and witnesses.
#![allow(clippy::unwrap_used)]

mod support;

use cyclamenloft_replication::{Config, Member, MemberKind};
use cyclamenloft_types::{ErrorKind, ReplicaId};
use std::time::Duration;
use support::{
    cluster::{Cluster, fast_timeouts, stable_leader, voters},
    net::Faults,
    wait_until,
};

/// Time that is much longer than an election takes, in election timeouts.
const LONG_ELECTION_TIMEOUTS: u32 = 15;

fn others(cluster: &Cluster, id: ReplicaId) -> Vec<ReplicaId> {
    cluster.ids().into_iter().filter(|other| *other != id).collect()
}

/// Settings that contradict each other must be refused before a replica starts.
async fn settings_are_checked() {
    let learner = Member { id: 1, kind: MemberKind::Learner };
    let too_short = |cfg: Config| cfg.election_timeout(Duration::from_millis(299));
    let unchanged = |cfg: Config| cfg;
    let refused = |members: Vec<Member>, adjust_config: fn(Config) -> Config| {
        adjust_config(Config::new("test", 1, members, "unused")).check().unwrap_err().kind
    };
    assert_eq!(refused(vec![learner], unchanged), ErrorKind::BadSetting);
    assert_eq!(refused(voters(0), unchanged), ErrorKind::BadSetting);
    assert_eq!(refused([voters(2), voters(1)].concat(), unchanged), ErrorKind::BadSetting);
    assert_eq!(refused(voters(3), too_short), ErrorKind::BadSetting);
    assert_eq!(refused(voters(3), |cfg| cfg.snapshot_entries(0)), ErrorKind::BadSetting);
    assert!(Config::new("test", 1, voters(3), "unused").check().is_ok());
}

/// If two of three initial voters could form a group, a wiped majority could
/// form a second one without the old entries.
async fn a_group_forms_only_with_all_initial_voters() {
    let cluster = Cluster::new(21, voters(3));
    cluster.start(1).await;
    cluster.start(2).await;
    cluster.run_for_election_timeouts(LONG_ELECTION_TIMEOUTS).await;
    assert_eq!(cluster.claimed_leader(), None);
    cluster.start(3).await;
    cluster.check_converged().await;
}

/// A replica that lost its disk must be readmitted without an operator.
async fn a_wiped_replica_gets_its_vote_back(wiped: ReplicaId) {
    let cluster = Cluster::new(22, voters(3)).start_all().await;
    cluster.commit_values(30).await;
    cluster.wipe(wiped).await;
    cluster.start(wiped).await;
    cluster.wait_for_vote_restored(wiped).await;
    cluster.check_converged().await;
}

/// Hosts are lost in turn, each as soon as the previous one is repaired. If a
/// repaired replica got its vote back before it had caught up, the next loss of
/// a host could lose accepted values.
async fn wipes_right_after_repairs_lose_nothing() {
    let cluster =
        Cluster::with_config(23, voters(3), |cfg| fast_timeouts(cfg).snapshot_entries(20))
            .start_all()
            .await;
    for wiped in [1, 2, 3, 1] {
        cluster.commit_values(15).await;
        cluster.wipe(wiped).await;
        cluster.start(wiped).await;
        cluster.wait_for_vote_restored(wiped).await;
    }
    cluster.check_converged().await;
}

/// Two replicas acknowledged entries; then one of them is wiped and the other
/// cut off. If the wiped replica still had its vote, it and the replica that
/// never received the entries could elect a leader without them.
async fn a_wiped_replica_does_not_vote(wiped: ReplicaId, absent: ReplicaId) {
    let cluster = Cluster::new(24, voters(3)).start_all().await;
    cluster.commit_values(5).await;
    let holder = (1..=3).find(|id| *id != wiped && *id != absent).unwrap();
    cluster.network.partition(&[absent], &[wiped, holder]);
    cluster.leader_among(&[wiped, holder]).await;
    cluster.commit_values(10).await;
    cluster.wipe(wiped).await;
    cluster.network.heal();
    cluster.network.partition(&[holder], &[wiped, absent]);
    cluster.start(wiped).await;
    cluster.run_for_election_timeouts(LONG_ELECTION_TIMEOUTS).await;
    assert!(cluster.claimed_leader().is_none_or(|id| id == holder));
    cluster.network.heal();
    cluster.wait_for_vote_restored(wiped).await;
    cluster.check_converged().await;
}

/// One replica of five is wiped while another may be down, over faulty links.
async fn wiped_disks_at_random_lose_nothing() {
    let cluster =
        Cluster::with_config(25, voters(5), |cfg| fast_timeouts(cfg).snapshot_entries(30))
            .start_all()
            .await;
    let faulty_links =
        Faults { loss: 0.03, repeat: 0.03, delay: Duration::from_millis(2), ..Faults::default() };
    cluster.network.set_faults(faulty_links);
    let clients = cluster.spawn_clients(4);
    for round in 1..=5 {
        wait_until(|| cluster.history.borrow().accepted() >= round * 20).await;
        let wiped = 1 + cluster.network.random(5);
        let crashed = 1 + (wiped + cluster.network.random(4)) % 5;
        cluster.wipe(wiped).await;
        if crashed != wiped {
            cluster.crash(crashed);
        }
        cluster.start(wiped).await;
        cluster.wait_for_vote_restored(wiped).await;
        if crashed != wiped {
            cluster.start(crashed).await;
        }
    }
    drop(clients);
    cluster.check_converged().await;
}

/// A learner is added and promoted, a voter is removed, and the changed group
/// must survive the loss of its leader.
async fn members_are_added_and_removed() {
    let cluster = Cluster::with_config(26, voters(3), stable_leader).start_all().await;
    cluster.commit_values(5).await;
    cluster.start(4).await;
    let leader = cluster.leader().await;
    let replica = cluster.get(leader).unwrap();
    replica.add_learner(4).await.unwrap();
    assert_eq!(replica.add_learner(4).await.unwrap_err().kind, ErrorKind::Conflict);
    let goal = replica.status().committed;
    wait_until(|| cluster.get(4).unwrap().status().applied >= goal).await;
    loop {
        match replica.promote(4, MemberKind::Voter).await {
            Ok(()) => break,
            // The learner has the entries, but the leader may not know it yet.
            Err(e) => assert!(matches!(e.kind, ErrorKind::Conflict | ErrorKind::NoQuorum), "{e}"),
        }
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(replica.remove(leader).await.unwrap_err().kind, ErrorKind::Conflict);
    let leaving = others(&cluster, leader).into_iter().find(|id| *id != 4).unwrap();
    replica.remove(leaving).await.unwrap();
    cluster.crash(leaving);
    assert_eq!(replica.status().members.len(), 3);
    cluster.commit_values(5).await;
    drop(replica);
    cluster.crash(leader);
    cluster.leader_among(&others(&cluster, leader)).await;
    cluster.start(leader).await;
    cluster.check_converged().await;
}

/// With one of three voters down, the group needs both others. Removing one of
/// them or promoting a learner that isn't running must be refused.
async fn changes_that_would_lose_the_quorum_are_refused() {
    let cluster = Cluster::with_config(27, voters(3), stable_leader).start_all().await;
    cluster.commit_values(5).await;
    let leader = cluster.leader().await;
    let replica = cluster.get(leader).unwrap();
    let rest = others(&cluster, leader);
    cluster.crash(rest[0]);
    // The last response of the crashed replica must be too old to count.
    cluster.run_for_election_timeouts(40).await;
    let refused = replica.remove(rest[1]).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::NoQuorum);
    replica.add_learner(9).await.unwrap();
    let refused = replica.promote(9, MemberKind::Voter).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::Conflict);
    cluster.commit_values(5).await;
}

fn with_witness() -> Vec<Member> {
    let mut members = voters(2);
    members.push(Member { id: 3, kind: MemberKind::Witness });
    members
}

/// With a witness, a group of two full replicas must survive the loss of
/// either.
async fn a_witness_keeps_the_quorum_and_never_leads() {
    let cluster = Cluster::new(28, with_witness()).start_all().await;
    for crashed in [1, 2, 1] {
        cluster.commit_values(5).await;
        cluster.crash(crashed);
        assert_eq!(cluster.leader().await, 3 - crashed);
        cluster.commit_values(5).await;
        cluster.start(crashed).await;
    }
    cluster.check_converged().await;
}

/// Of the replicas that are running, only the witness has the newest entries.
/// It must become leader, replicate them and transfer leadership.
async fn a_witness_replicates_entries_that_it_alone_has() {
    let cluster = Cluster::new(29, with_witness()).start_all().await;
    cluster.commit_values(5).await;
    let leader = cluster.leader().await;
    let behind = 3 - leader;
    cluster.network.partition(&[behind], &[leader, 3]);
    cluster.leader_among(&[leader]).await;
    cluster.commit_values(10).await;
    cluster.crash(leader);
    cluster.network.heal();
    assert_eq!(cluster.leader().await, behind);
    cluster.commit_values(5).await;
    cluster.start(leader).await;
    cluster.check_converged().await;
}

/// A wiped witness must become a witness again, not a full voter.
async fn a_wiped_witness_is_a_witness_again() {
    let cluster = Cluster::new(30, with_witness()).start_all().await;
    cluster.commit_values(5).await;
    cluster.wipe(3).await;
    cluster.start(3).await;
    cluster.wait_for_vote_restored(3).await;
    let members = cluster.get(3).unwrap().status().members;
    assert_eq!(members.iter().find(|m| m.id == 3).unwrap().kind, MemberKind::Witness);
    cluster.crash(1);
    assert_eq!(cluster.leader().await, 2);
    cluster.commit_values(1).await;
    cluster.start(1).await;
    cluster.check_converged().await;
}

cases! {
    invalid_settings_are_refused => settings_are_checked();
    formation_needs_all_initial_voters => a_group_forms_only_with_all_initial_voters();
    wiped_coordinator_regains_its_vote => a_wiped_replica_gets_its_vote_back(1);
    wiped_member_regains_its_vote => a_wiped_replica_gets_its_vote_back(3);
    wipe_after_repair_loses_nothing => wipes_right_after_repairs_lose_nothing();
    wiped_coordinator_does_not_vote => a_wiped_replica_does_not_vote(1, 2);
    wiped_member_does_not_vote => a_wiped_replica_does_not_vote(3, 2);
    wiped_voter_with_absent_coordinator_does_not_vote => a_wiped_replica_does_not_vote(2, 1);
    random_wipes_lose_nothing => wiped_disks_at_random_lose_nothing();
    member_is_added_and_removed => members_are_added_and_removed();
    change_that_loses_quorum_is_refused => changes_that_would_lose_the_quorum_are_refused();
    witness_keeps_quorum_and_never_leads => a_witness_keeps_the_quorum_and_never_leads();
    witness_replicates_entries_it_alone_has => a_witness_replicates_entries_that_it_alone_has();
    wiped_witness_returns_as_witness => a_wiped_witness_is_a_witness_again();
}
