//! Leases, reports and orders of a leader.

use crate::common::*;
use cyclamenloft_placement::{
    AttemptEnd, Command, EndedAttempt, Order, PlacementPolicy, state::holder,
};
use cyclamenloft_types::{AttemptNumber, Resources, TaskState, WorkerId};
use std::time::Duration;

const PERIOD_MS: u64 = 2000;
/// The default lease with its drift margin, and a moment more.
const PAST_LEASE_MS: u64 = 10_501;

fn with_one_task() -> Group {
    let mut group = Group::new(PlacementPolicy::default());
    group.announce("w0", 1, cores(4));
    group.submit(job("j", 1, 1)).unwrap();
    group.tick();
    group
}

fn place_of(group: &Group) -> Option<(WorkerId, AttemptNumber)> {
    holder(&group.state.task(&key("j", 0)).unwrap().state).map(|(w, a)| (w.clone(), a))
}

fn starts(orders: &[Order]) -> Vec<AttemptNumber> {
    orders
        .iter()
        .filter_map(|o| match o {
            Order::Start { attempt, .. } => Some(*attempt),
            _ => None,
        })
        .collect()
}

fn stops(orders: &[Order]) -> Vec<AttemptNumber> {
    orders
        .iter()
        .filter_map(|o| match o {
            Order::Stop { attempt, .. } => Some(*attempt),
            _ => None,
        })
        .collect()
}

#[test]
fn a_task_is_placed_and_its_start_ordered_once() {
    let mut group = with_one_task();
    assert_eq!(place_of(&group), Some(("w0".into(), 1)));
    assert!(group.tick().is_empty());
    assert_eq!(starts(&group.take_orders("w0", 1)), [1]);
    assert!(group.take_orders("w0", 1).is_empty());
}

#[test]
fn a_renewed_lease_keeps_the_tasks() {
    let mut group = with_one_task();
    for sequence in 1..20 {
        group.pass(PERIOD_MS);
        group.report(&full("w0", 1, sequence, vec![running("j", 0, 1)])).unwrap();
        assert!(group.tick().is_empty());
    }
    assert_eq!(place_of(&group), Some(("w0".into(), 1)));
}

#[test]
fn an_expired_lease_moves_the_task_and_the_old_attempt_stays_over() {
    let mut group = with_one_task();
    group.announce("w1", 1, cores(4));
    group.pass(PAST_LEASE_MS);
    group.report(&full("w1", 1, 1, vec![])).unwrap();
    group.tick();
    assert!(!group.state.worker("w0").unwrap().alive);
    group.tick();
    assert_eq!(place_of(&group), Some(("w1".into(), 2)));
    // The worker stopped its tasks, and comes back with the same boot.
    assert!(group.refused(&full("w0", 1, 9, vec![running("j", 0, 1)])));
    group.announce("w0", 1, cores(4));
    let mut report = full("w0", 1, 10, vec![]);
    report.ended.push(ended("j", 0, 1, AttemptEnd::Stopped));
    group.report(&report).unwrap();
    assert_eq!(place_of(&group), Some(("w1".into(), 2)));
    assert_eq!(group.state.worker("w0").unwrap().reserved, Resources::ZERO);
}

#[test]
fn a_worker_that_returns_with_its_boot_gets_orders_above_those_it_handled() {
    let mut group = with_one_task();
    let handled = group.orders("w0", 1, 0).last().unwrap().number;
    group.orders("w0", 1, handled);
    group.pass(PAST_LEASE_MS);
    group.tick();
    group.announce("w0", 1, cores(4));
    group.tick();
    let orders = group.orders("w0", 1, handled);
    assert_eq!(orders.len(), 1);
    assert!(orders[0].number > handled);
}

#[test]
fn order_numbers_go_on_above_those_of_a_leader_whose_clock_was_ahead() {
    let mut group = with_one_task();
    let ahead = group.orders("w0", 1, 0).last().unwrap().number + (1 << 40);
    let orders = group.orders("w0", 1, ahead);
    assert_eq!(orders.len(), 1);
    assert!(orders[0].number > ahead);
    assert!(group.orders("w0", 1, orders[0].number).is_empty());
    // The handled start is not repeated while the task runs.
    group.report(&full("w0", 1, 1, vec![running("j", 0, 1)])).unwrap();
    assert!(group.orders("w0", 1, orders[0].number).is_empty());
    group.submit(job("k", 1, 1)).unwrap();
    group.tick();
    assert_eq!(group.orders("w0", 1, orders[0].number).len(), 1);
    assert!(group.orders("w0", 1, u64::MAX).is_empty());
}

#[test]
fn no_report_renews_a_lease_whose_loss_is_on_its_way() {
    let mut group = with_one_task();
    group.pass(PAST_LEASE_MS);
    let lost = group.scheduler.tick(&group.state, group.now);
    assert!(matches!(lost[..], [Command::WorkerLost { .. }]));
    // Not committed yet.
    assert!(group.refused(&full("w0", 1, 1, vec![running("j", 0, 1)])));
    // The worker announces itself again before the loss is committed.
    let again = group.scheduler.announce(&announcement("w0", 1, cores(4)), group.now);
    for command in lost.into_iter().chain([again]) {
        group.commit(command).unwrap();
    }
    assert!(group.state.worker("w0").unwrap().alive);
    assert_eq!(place_of(&group), None);
    group.report(&full("w0", 1, 2, vec![])).unwrap();
    group.tick();
    assert_eq!(place_of(&group), Some(("w0".into(), 2)));
}

#[test]
fn a_proposed_loss_is_repeated_where_it_was_not_committed() {
    let mut group = with_one_task();
    group.pass(PAST_LEASE_MS);
    assert_eq!(group.scheduler.tick(&group.state, group.now).len(), 1);
    group.pass(1000);
    assert!(group.scheduler.tick(&group.state, group.now).is_empty());
    group.pass(PAST_LEASE_MS);
    assert_eq!(group.scheduler.tick(&group.state, group.now).len(), 1);
}

#[test]
fn a_new_boot_ends_the_attempts_of_the_former() {
    let mut group = with_one_task();
    group.announce("w0", 2, cores(4));
    assert_eq!(place_of(&group), None);
    group.tick();
    assert_eq!(place_of(&group), Some(("w0".into(), 2)));
    assert!(group.refused(&full("w0", 1, 5, vec![running("j", 0, 1)])));
    assert!(group.take_orders("w0", 1).is_empty());
    assert_eq!(starts(&group.take_orders("w0", 2)), [2]);
}

#[test]
fn a_new_leader_waits_out_leases_and_repeats_orders() {
    let mut group = with_one_task();
    let before = group.orders("w0", 1, 0);
    group.pass(9000);
    group.lead_anew(PlacementPolicy::default());
    group.pass(9000);
    assert!(group.tick().is_empty());
    let after = group.orders("w0", 1, 0);
    assert!(after[0].number > before[0].number);
    assert_eq!(after[0].order, before[0].order);
    group.pass(1501);
    assert!(matches!(group.tick()[..], [Command::WorkerLost { .. }, ..]));
}

#[test]
fn a_new_leader_with_a_shorter_lease_waits_out_the_longer() {
    let mut group = Group::new(PlacementPolicy {
        lease: Duration::from_secs(30),
        ..PlacementPolicy::default()
    });
    assert_eq!(group.scheduler.lease().lease_ms, 10_000);
    assert_eq!(group.tick(), [Command::LeaseBound { lease_ms: 30_000 }]);
    assert_eq!(group.scheduler.lease().lease_ms, 30_000);
    group.announce("w0", 1, cores(4));
    group.lead_anew(PlacementPolicy::default());
    assert_eq!(group.scheduler.lease().lease_ms, 10_000);
    group.tick();
    group.pass(30_400);
    assert!(group.tick().is_empty());
    group.pass(200);
    let commands = group.tick();
    assert!(commands.contains(&Command::LeaseBound { lease_ms: 10_000 }));
    assert!(commands.iter().any(|c| matches!(c, Command::WorkerLost { .. })));
}

#[test]
fn duplicate_and_reordered_reports_change_nothing() {
    let mut group = with_one_task();
    group.take_orders("w0", 1);
    group.pass(PERIOD_MS);
    let mut report = full("w0", 1, 3, vec![]);
    report.ended.push(ended("j", 0, 1, AttemptEnd::Evicted { checkpoint: Some("c1".into()) }));
    group.report(&report).unwrap();
    group.tick();
    assert_eq!(place_of(&group), Some(("w0".into(), 2)));
    group.report(&report).unwrap();
    // An older report that lists the former attempt asks for no stop either.
    group.report(&full("w0", 1, 2, vec![running("j", 0, 1)])).unwrap();
    assert_eq!(place_of(&group), Some(("w0".into(), 2)));
    let orders = group.take_orders("w0", 1);
    assert!(stops(&orders).is_empty());
    let resumed: Vec<_> = orders
        .iter()
        .filter_map(|o| match o {
            Order::Start { checkpoint, attempt, .. } => Some((checkpoint.as_deref(), *attempt)),
            _ => None,
        })
        .collect();
    assert_eq!(resumed, [(Some("c1"), 2)]);
}

#[test]
fn a_lost_start_is_repeated_then_stopped_and_only_then_ended() {
    let mut group = with_one_task();
    let mut sequence = 0;
    let mut seen = Vec::new();
    while place_of(&group) == Some(("w0".into(), 1)) && sequence < 40 {
        sequence += 1;
        group.pass(PERIOD_MS);
        seen.extend(group.take_orders("w0", 1));
        group.report(&full("w0", 1, sequence, vec![])).unwrap();
    }
    assert_eq!(starts(&seen), [1, 1]);
    assert_eq!(stops(&seen), [1]);
    assert!(matches!(seen.last(), Some(Order::Stop { .. })));
    assert_eq!(place_of(&group), None);
    group.tick();
    assert_eq!(place_of(&group), Some(("w0".into(), 2)));
}

#[test]
fn an_attempt_is_not_ended_while_its_stop_is_unhandled() {
    let mut group = with_one_task();
    for sequence in 1..60 {
        group.pass(PERIOD_MS);
        group.report(&full("w0", 1, sequence, vec![])).unwrap();
    }
    assert_eq!(place_of(&group), Some(("w0".into(), 1)));
}

#[test]
fn an_attempt_that_the_state_does_not_know_is_stopped() {
    let mut group = with_one_task();
    group.take_orders("w0", 1);
    let strays = vec![running("j", 0, 1), running("other", 3, 7)];
    group.report(&full("w0", 1, 1, strays.clone())).unwrap();
    let stop = [Order::Stop { task: key("other", 3), attempt: 7 }];
    assert_eq!(group.take_orders("w0", 1), stop);
    group.report(&full("w0", 1, 2, strays.clone())).unwrap();
    assert!(group.take_orders("w0", 1).is_empty());
    group.pass(4 * PERIOD_MS);
    group.report(&full("w0", 1, 3, strays)).unwrap();
    assert_eq!(group.take_orders("w0", 1), stop);
    assert_eq!(place_of(&group), Some(("w0".into(), 1)));
}

#[test]
fn a_cancelled_job_is_stopped_and_its_room_freed_on_confirmation() {
    let mut group = with_one_task();
    group.take_orders("w0", 1);
    group.commit(Command::Cancel(vec!["j".into()])).unwrap();
    assert_eq!(stops(&group.take_orders("w0", 1)), [1]);
    assert_ne!(group.state.worker("w0").unwrap().reserved, Resources::ZERO);
    let mut report = full("w0", 1, 1, vec![]);
    report.ended.push(ended("j", 0, 1, AttemptEnd::Stopped));
    group.report(&report).unwrap();
    assert_eq!(group.state.worker("w0").unwrap().reserved, Resources::ZERO);
    assert_eq!(group.state.task(&key("j", 0)).unwrap().state, TaskState::Cancelled);
}

#[test]
fn a_failing_task_is_held_back_and_given_up() {
    let mut group = Group::new(PlacementPolicy::default());
    for worker in ["w0", "w1"] {
        group.announce(worker, 1, cores(4));
    }
    group.submit(job("j", 1, 1)).unwrap();
    let mut sequence = 0;
    let mut attempts = 0;
    while group.state.task(&key("j", 0)).unwrap().state != TaskState::Failed && sequence < 500 {
        sequence += 1;
        group.pass(PERIOD_MS);
        group.tick();
        let place = place_of(&group);
        for worker in ["w0", "w1"] {
            let mut report = full(worker, 1, sequence, vec![]);
            if let Some((_, attempt)) = place.as_ref().filter(|(w, _)| **w == *worker) {
                attempts += 1;
                let reason = "broken".into();
                report.ended.push(ended("j", 0, *attempt, AttemptEnd::Failed { reason }));
            }
            group.report(&report).unwrap();
        }
        if place.is_some() {
            assert!(group.tick().is_empty(), "the task is tried again without a wait");
        }
    }
    let job = group.state.job("j").unwrap();
    assert_eq!(job.tasks[0].state, TaskState::Failed);
    // Five where two workers failed it, fifteen where one did.
    assert_eq!(attempts, if job.failed_on.len() > 1 { 5 } else { 15 });
}

#[test]
fn finished_jobs_are_forgotten_beyond_their_count() {
    let policy = PlacementPolicy { retained_jobs: 100, ..PlacementPolicy::default() };
    let mut group = Group::new(policy);
    for n in 0..400 {
        group.submit(job(&format!("j{n}"), 1, 1)).unwrap();
        group.commit(Command::Cancel(vec![format!("j{n}").into()])).unwrap();
    }
    for _ in 0..10 {
        group.pass(10_000);
        group.tick();
    }
    assert_eq!(group.state.done_counts().0, 100);
    assert!(group.state.job("j399").is_some());
    assert!(group.state.job("j0").is_none());
}

#[test]
fn a_worker_that_stays_away_is_forgotten_after_a_day() {
    let mut group = with_one_task();
    group.pass(PAST_LEASE_MS);
    group.tick();
    group.pass(61_000);
    group.tick();
    assert!(group.state.worker("w0").is_some());
    group.pass(24 * 3_600_000);
    group.tick();
    assert!(group.state.worker("w0").is_none());
}

#[test]
fn an_end_of_an_unknown_attempt_is_no_log_entry() {
    let mut group = with_one_task();
    let mut report = full("w0", 1, 1, vec![running("j", 0, 1)]);
    report.ended.push(ended("gone", 0, 1, AttemptEnd::Stopped));
    report.ended.push(ended("j", 0, 9, AttemptEnd::Refused { reason: "full".into() }));
    assert!(group.scheduler.report(&group.state, &report, group.now).unwrap().is_empty());
    let stray =
        EndedAttempt { task: key("j", 0), attempt: 9, end: AttemptEnd::Stopped, max_failures: 5 };
    group.commit(Command::Ended(vec![stray])).unwrap();
    assert_eq!(place_of(&group), Some(("w0".into(), 1)));
}

#[test]
fn a_worker_whose_capacity_shrank_evicts_until_the_rest_fits() {
    let mut group = Group::new(PlacementPolicy::default());
    group.announce("w0", 1, cores(8));
    group.submit(job("j", 8, 1)).unwrap();
    group.tick();
    let mut list: Vec<_> = (0..8).map(|index| running("j", index, 1)).collect();
    for (index, task) in list.iter_mut().enumerate() {
        task.unsaved_ms = 1000 * (8 - index as u64);
    }
    group.report(&full("w0", 1, 1, list.clone())).unwrap();
    group.announce("w0", 1, cores(6));
    // The two with the least unsaved work.
    let expected = Command::Evict(vec![(key("j", 7), 1), (key("j", 6), 1)]);
    assert_eq!(group.tick(), [expected]);
    assert!(group.tick().is_empty());
    let evicted = |index| ended("j", index, 1, AttemptEnd::Evicted { checkpoint: None });
    let mut report = full("w0", 1, 2, list.drain(..6).collect());
    report.ended = vec![evicted(6), evicted(7)];
    group.report(&report).unwrap();
    assert!(group.tick().is_empty());
    assert_eq!(group.state.worker("w0").unwrap().reserved.cpu_millis, 6000);
    assert_eq!(group.state.waiting().count(), 2);
}
