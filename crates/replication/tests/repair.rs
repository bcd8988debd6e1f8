//! Formation, wiped disks, membership changes and witnesses.
#![allow(clippy::unwrap_used)]

mod support;

use cyclamenloft_replication::{Config, Member, MemberKind};
use cyclamenloft_types::{ErrorKind, ReplicaId};
use std::time::Duration;
use support::{
    cluster::{Cluster, quick, voters},
    history::Told,
    net::Faults,
    until,
};

/// Far longer than an election takes, in election timeouts.
const LONG: u32 = 15;

fn others(cluster: &Cluster, id: ReplicaId) -> Vec<ReplicaId> {
    cluster.ids().into_iter().filter(|other| *other != id).collect()
}

async fn settings_are_checked() {
    let learner = Member { id: 1, kind: MemberKind::Learner };
    let too_quick = |cfg: Config| cfg.election_timeout(Duration::from_millis(299));
    let unchanged = |cfg: Config| cfg;
    let refused = |members: Vec<Member>, adjust: fn(Config) -> Config| {
        adjust(Config::new("test", 1, members, "unused")).check().unwrap_err().kind
    };
    assert_eq!(refused(vec![learner], unchanged), ErrorKind::BadSetting);
    assert_eq!(refused(voters(0), unchanged), ErrorKind::BadSetting);
    assert_eq!(refused([voters(2), voters(1)].concat(), unchanged), ErrorKind::BadSetting);
    assert_eq!(refused(voters(3), too_quick), ErrorKind::BadSetting);
    assert_eq!(refused(voters(3), |cfg| cfg.snapshot_entries(0)), ErrorKind::BadSetting);
    assert!(Config::new("test", 1, voters(3), "unused").check().is_ok());
}

async fn a_group_forms_only_with_all_initial_voters() {
    let cluster = Cluster::new(21, voters(3));
    cluster.start(1).await;
    cluster.start(2).await;
    cluster.election_timeouts(LONG).await;
    assert_eq!(cluster.claims_to_lead(), None);
    cluster.start(3).await;
    cluster.settle().await;
}

async fn a_wiped_replica_gets_its_vote_back(victim: ReplicaId) {
    let cluster = Cluster::new(22, voters(3)).started().await;
    cluster.accept(30).await;
    cluster.wipe(victim).await;
    cluster.start(victim).await;
    cluster.repaired(victim).await;
    cluster.settle().await;
}

/// The second host goes as soon as the first is repaired, and the third too.
async fn losses_right_after_repairs_lose_nothing() {
    let cluster =
        Cluster::adjusted(23, voters(3), |cfg| quick(cfg).snapshot_entries(20)).started().await;
    for victim in [1, 2, 3, 1] {
        cluster.accept(15).await;
        cluster.wipe(victim).await;
        cluster.start(victim).await;
        cluster.repaired(victim).await;
    }
    cluster.settle().await;
}

/// Entries were acknowledged by two replicas; one of them is wiped, the other
/// cut off. The wiped one and the one that never had the entries must not elect
/// a leader between them.
async fn a_wiped_replica_does_not_vote(victim: ReplicaId, absent: ReplicaId) {
    let cluster = Cluster::new(24, voters(3)).started().await;
    cluster.accept(5).await;
    let keeper = (1..=3).find(|id| *id != victim && *id != absent).unwrap();
    cluster.net.partition(&[absent], &[victim, keeper]);
    cluster.leader_among(&[victim, keeper]).await;
    cluster.accept(10).await;
    cluster.wipe(victim).await;
    cluster.net.heal();
    cluster.net.partition(&[keeper], &[victim, absent]);
    cluster.start(victim).await;
    cluster.election_timeouts(LONG).await;
    assert!(cluster.claims_to_lead().is_none_or(|id| id == keeper));
    cluster.net.heal();
    cluster.repaired(victim).await;
    cluster.settle().await;
}

async fn wiped_disks_at_random_lose_nothing() {
    let cluster =
        Cluster::adjusted(25, voters(5), |cfg| quick(cfg).snapshot_entries(30)).started().await;
    let rough =
        Faults { loss: 0.03, repeat: 0.03, delay: Duration::from_millis(2), ..Faults::default() };
    cluster.net.set_faults(rough);
    let clients = cluster.spawn_clients(4);
    for round in 1..=5 {
        until(|| cluster.history.borrow().accepted() >= round * 20).await;
        let victim = 1 + cluster.net.random(5);
        let crashed = 1 + (victim + cluster.net.random(4)) % 5;
        cluster.wipe(victim).await;
        if crashed != victim {
            cluster.crash(crashed);
        }
        cluster.start(victim).await;
        cluster.repaired(victim).await;
        if crashed != victim {
            cluster.start(crashed).await;
        }
    }
    drop(clients);
    cluster.settle().await;
}

async fn members_come_and_go() {
    let cluster = Cluster::new(26, voters(3)).started().await;
    cluster.accept(5).await;
    cluster.start(4).await;
    let leader = cluster.leader().await;
    let replica = cluster.get(leader).unwrap();
    replica.add_learner(4).await.unwrap();
    assert_eq!(replica.add_learner(4).await.unwrap_err().kind, ErrorKind::Conflict);
    let goal = replica.status().committed;
    until(|| cluster.get(4).unwrap().status().applied >= goal).await;
    loop {
        match replica.promote(4, MemberKind::Voter).await {
            Ok(()) => break,
            // The learner has the entries; the leader may not know yet.
            Err(e) => assert!(matches!(e.kind, ErrorKind::Conflict | ErrorKind::NoQuorum), "{e}"),
        }
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(replica.remove(leader).await.unwrap_err().kind, ErrorKind::Conflict);
    let leaving = others(&cluster, leader).into_iter().find(|id| *id != 4).unwrap();
    replica.remove(leaving).await.unwrap();
    cluster.crash(leaving);
    assert_eq!(replica.status().members.len(), 3);
    cluster.accept(5).await;
    drop(replica);
    cluster.crash(leader);
    cluster.leader_among(&others(&cluster, leader)).await;
    cluster.start(leader).await;
    cluster.settle().await;
}

async fn changes_that_would_lose_the_quorum_are_refused() {
    let cluster = Cluster::new(27, voters(3)).started().await;
    cluster.accept(5).await;
    let leader = cluster.leader().await;
    let replica = cluster.get(leader).unwrap();
    let rest = others(&cluster, leader);
    cluster.crash(rest[0]);
    // What the dead replica answered last must have aged.
    cluster.election_timeouts(2).await;
    let refused = replica.remove(rest[1]).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::NoQuorum);
    replica.add_learner(9).await.unwrap();
    let refused = replica.promote(9, MemberKind::Voter).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::Conflict);
    cluster.accept(5).await;
}

fn with_witness() -> Vec<Member> {
    let mut members = voters(2);
    members.push(Member { id: 3, kind: MemberKind::Witness });
    members
}

async fn a_witness_keeps_the_quorum_and_never_leads() {
    let cluster = Cluster::new(28, with_witness()).started().await;
    for victim in [1, 2, 1] {
        cluster.accept(5).await;
        cluster.crash(victim);
        assert_eq!(cluster.leader().await, 3 - victim);
        cluster.accept(5).await;
        cluster.start(victim).await;
    }
    cluster.settle().await;
}

/// Only the witness has the newest entries of the living; it passes them on.
async fn a_witness_passes_on_what_it_alone_has() {
    let cluster = Cluster::new(29, with_witness()).started().await;
    cluster.accept(5).await;
    let leader = cluster.leader().await;
    let behind = 3 - leader;
    cluster.net.partition(&[behind], &[leader, 3]);
    cluster.leader_among(&[leader]).await;
    cluster.accept(10).await;
    cluster.crash(leader);
    cluster.net.heal();
    assert_eq!(cluster.leader().await, behind);
    cluster.accept(5).await;
    cluster.start(leader).await;
    cluster.settle().await;
}

async fn a_wiped_witness_is_a_witness_again() {
    let cluster = Cluster::new(30, with_witness()).started().await;
    cluster.accept(5).await;
    cluster.wipe(3).await;
    cluster.start(3).await;
    cluster.repaired(3).await;
    let members = cluster.get(3).unwrap().status().members;
    assert_eq!(members.iter().find(|m| m.id == 3).unwrap().kind, MemberKind::Witness);
    cluster.crash(1);
    assert_eq!(cluster.leader().await, 2);
    assert_eq!(cluster.propose(2).await, Told::Accepted);
    cluster.start(1).await;
    cluster.settle().await;
}

cases! {
    settings => settings_are_checked();
    formation => a_group_forms_only_with_all_initial_voters();
    wiped_coordinator => a_wiped_replica_gets_its_vote_back(1);
    wiped_member => a_wiped_replica_gets_its_vote_back(3);
    second_loss => losses_right_after_repairs_lose_nothing();
    wiped_coordinator_does_not_vote => a_wiped_replica_does_not_vote(1, 2);
    wiped_member_does_not_vote => a_wiped_replica_does_not_vote(3, 2);
    wiped_voter_and_absent_coordinator => a_wiped_replica_does_not_vote(2, 1);
    random_wipes => wiped_disks_at_random_lose_nothing();
    members => members_come_and_go();
    quorum_kept => changes_that_would_lose_the_quorum_are_refused();
    witness => a_witness_keeps_the_quorum_and_never_leads();
    witness_alone_has_it => a_witness_passes_on_what_it_alone_has();
    wiped_witness => a_wiped_witness_is_a_witness_again();
}
