//! Tests of the queue order, the choice of workers, preemption and quarantine.

use crate::common::*;
use cyclamenloft_placement::{
    AttemptEnd, Command, FitPolicy, Placement, PlacementPolicy, TeamPolicy,
    scheduler::HoldReason,
    state::{Totals, holder},
};
use cyclamenloft_types::{JobSpec, Priority, Resources, TaskState, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

fn placements(commands: &[Command]) -> Vec<Placement> {
    commands
        .iter()
        .filter_map(|c| match c {
            Command::Place(p) => Some(p.clone()),
            _ => None,
        })
        .flatten()
        .collect()
}

fn placed_jobs(commands: &[Command]) -> Vec<Box<str>> {
    placements(commands).into_iter().map(|p| p.task.job).collect()
}

fn with(priority: Priority, mut spec: JobSpec) -> JobSpec {
    spec.priority = priority;
    spec
}

fn of_team(team: &str, mut spec: JobSpec) -> JobSpec {
    spec.team = team.into();
    spec
}

fn worker_of(group: &Group, job: &str, index: u32) -> Option<WorkerId> {
    holder(&group.state.task(&key(job, index)).unwrap().state).map(|(w, _)| w.clone())
}

#[test]
fn urgent_goes_before_services_and_services_before_batch() {
    let mut group = Group::new(PlacementPolicy::default());
    group.submit(job("batch", 2, 1)).unwrap();
    group.submit(with(Priority::Service, job("service", 2, 1))).unwrap();
    group.submit(with(Priority::Urgent, job("urgent", 2, 1))).unwrap();
    group.announce("w0", 1, cores(3));
    let jobs = placed_jobs(&group.tick());
    assert_eq!(jobs, ["urgent".into(), "urgent".into(), "service".into()]);
}

#[test]
fn batch_near_its_latest_start_goes_before_the_fair_order() {
    let mut group = Group::new(PlacementPolicy::default());
    group.submit(of_team("a", job("early", 1, 1))).unwrap();
    let mut near_due = of_team("b", job("near-due", 1, 1));
    near_due.deadline_ms = Some(near_due.run_time_ms + 60_000);
    group.submit(near_due).unwrap();
    group.announce("w0", 1, cores(1));
    assert_eq!(placed_jobs(&group.tick()), ["near-due".into()]);
}

#[test]
fn teams_share_by_dominant_share_and_weight() {
    let policy = PlacementPolicy {
        teams: vec![TeamPolicy { team: "heavy".into(), weight: 2, quota: None }],
        ..PlacementPolicy::default()
    };
    let mut group = Group::new(policy);
    group.announce("w0", 1, cores(9));
    group.submit(of_team("light", job("a", 9, 1))).unwrap();
    group.submit(of_team("heavy", job("b", 9, 1))).unwrap();
    let jobs = placed_jobs(&group.tick());
    let heavy = jobs.iter().filter(|j| ***j == *"b").count();
    assert_eq!((jobs.len(), heavy), (9, 6));
}

#[test]
fn a_quota_bounds_a_team_and_blocks_no_other_team() {
    let quota = Totals { cpu_millis: 2000, memory_mib: 1 << 30, accelerators: 0 };
    let policy = PlacementPolicy {
        teams: vec![TeamPolicy { team: "a".into(), weight: 1, quota: Some(quota) }],
        ..PlacementPolicy::default()
    };
    let mut group = Group::new(policy);
    group.announce("w0", 1, cores(8));
    group.submit(of_team("a", job("a", 5, 1))).unwrap();
    group.submit(of_team("b", job("b", 3, 1))).unwrap();
    let jobs = placed_jobs(&group.tick());
    assert_eq!(jobs.iter().filter(|j| ***j == *"a").count(), 2);
    assert_eq!(jobs.iter().filter(|j| ***j == *"b").count(), 3);
    assert_eq!(group.scheduler.hold_reason(&group.state, "a"), Some(HoldReason::Quota));
    assert_eq!(group.scheduler.hold_reason(&group.state, "b"), None);
}

#[test]
fn a_large_task_without_room_blocks_no_smaller_one() {
    let mut group = Group::new(PlacementPolicy::default());
    group.announce("w0", 1, cores(4));
    group.submit(job("first", 1, 2)).unwrap();
    group.tick();
    group.submit(job("large", 1, 4)).unwrap();
    group.submit(job("small", 1, 2)).unwrap();
    assert_eq!(placed_jobs(&group.tick()), ["small".into()]);
    assert_eq!(group.scheduler.hold_reason(&group.state, "large"), Some(HoldReason::NoRoom));
}

#[test]
fn replicas_are_spread_over_racks_and_workers() {
    let mut group = Group::new(PlacementPolicy::default());
    for n in 0..32 {
        group.announce(&format!("w{n}"), 1, cores(16));
    }
    group.submit(with(Priority::Service, job("service", 8, 2))).unwrap();
    let mut racks: BTreeMap<Box<str>, u32> = BTreeMap::new();
    let mut workers = BTreeSet::new();
    for p in placements(&group.tick()) {
        let rack = group.state.worker(&p.worker).unwrap().record.rack.clone();
        *racks.entry(rack).or_default() += 1;
        workers.insert(p.worker);
    }
    assert_eq!(workers.len(), 8);
    assert_eq!(racks.values().copied().collect::<Vec<_>>(), [2, 2, 2, 2]);
}

#[test]
fn a_task_without_accelerators_avoids_workers_that_have_them() {
    let mut group = Group::new(PlacementPolicy::default());
    group.announce("w0", 1, Resources::new(16_000, 65_536, 4));
    group.announce("w1", 1, Resources::new(16_000, 65_536, 0));
    group.submit(job("plain", 1, 2)).unwrap();
    let mut accelerated = job("accelerated", 1, 2);
    accelerated.resources.accelerators = 2;
    group.submit(accelerated).unwrap();
    group.tick();
    assert_eq!(worker_of(&group, "plain", 0), Some("w1".into()));
    assert_eq!(worker_of(&group, "accelerated", 0), Some("w0".into()));
}

/// Guards against a late start: if a worker no longer reports because it is
/// gone, a task placed on it waits until the worker's lease expires.
#[test]
fn a_worker_without_recent_reports_is_not_chosen_while_others_have_room() {
    let mut group = Group::new(PlacementPolicy::default());
    for worker in ["w0", "w1"] {
        group.announce(worker, 1, cores(4));
    }
    group.submit(job("full", 1, 2)).unwrap();
    group.tick();
    // The fuller worker would be chosen if it had sent its last reports.
    assert_eq!(worker_of(&group, "full", 0), Some("w0".into()));
    for sequence in 1..4 {
        group.advance(2000);
        group.report(&full_report("w1", 1, sequence, vec![])).unwrap();
    }
    group.submit(with(Priority::Urgent, job("urgent", 1, 1))).unwrap();
    group.tick();
    assert_eq!(worker_of(&group, "urgent", 0), Some("w1".into()));
}

/// Guards against proposing a task or the same room twice: the placements of the
/// first round are not committed when the second round runs.
#[test]
fn proposed_placements_count_until_they_expire() {
    let mut group = Group::new(PlacementPolicy::default());
    group.announce("w0", 1, cores(4));
    group.submit(job("j", 6, 1)).unwrap();
    let first = group.scheduler.tick(&group.state, group.now);
    assert_eq!(placements(&first).len(), 4);
    assert!(group.scheduler.tick(&group.state, group.now).is_empty());
    // A proposal that is not committed within 5 s no longer counts.
    group.advance(5001);
    assert_eq!(placements(&group.scheduler.tick(&group.state, group.now)).len(), 4);
}

macro_rules! baseline {
    ($name:ident, $fit:expr, $worker:expr) => {
        #[test]
        fn $name() {
            let policy = PlacementPolicy { fit: $fit, ..PlacementPolicy::default() };
            let mut group = Group::new(policy);
            group.announce("w0", 1, cores(16));
            group.announce("w1", 1, cores(4));
            group.submit(job("j", 1, 2)).unwrap();
            group.tick();
            assert_eq!(worker_of(&group, "j", 0), Some($worker.into()));
        }
    };
}

baseline!(first_fit_takes_the_first_worker, FitPolicy::FirstFit, "w0");
baseline!(best_fit_takes_the_fullest_worker, FitPolicy::BestFit, "w1");

#[test]
fn the_learned_size_of_a_class_is_reserved_up_to_the_largest_worker() {
    let mut group = Group::new(PlacementPolicy::default());
    group.announce("w0", 1, cores(4));
    group.submit(job("j", 1, 1)).unwrap();
    group.tick();
    for sequence in 1..40 {
        group.advance(2000);
        let mut task = running_task("j", 0, 1);
        task.usage = Resources::new(2900, 900, 0);
        group.report(&full_report("w0", 1, sequence, vec![task])).unwrap();
    }
    group.announce("w1", 1, cores(8));
    group.submit(job("k", 1, 1)).unwrap();
    let reserved = placements(&group.tick())[0].reserved;
    // About three times the declared CPU; a histogram bucket spans an eighth of a
    // doubling.
    assert!((2900..=3170).contains(&reserved.cpu_millis), "{reserved}");
    assert_eq!(reserved.memory_mib, 1024);
    group.submit(job("wide", 1, 7)).unwrap();
    group.announce("w2", 1, cores(8));
    let wide = placements(&group.tick());
    assert_eq!(wide[0].reserved.cpu_millis, 8000);
}

#[test]
fn an_urgent_task_without_room_evicts_the_cheapest_batch_task_and_gets_its_room() {
    let mut group = Group::new(PlacementPolicy::default());
    for worker in ["w0", "w1"] {
        group.announce(worker, 1, cores(4));
    }
    group.submit(job("batch", 4, 2)).unwrap();
    group.tick();
    let mut lists: BTreeMap<WorkerId, Vec<_>> = BTreeMap::new();
    for index in 0..4 {
        let mut task = running_task("batch", index, 1);
        task.unsaved_ms = if index == 2 { 100 } else { 60_000 };
        lists.entry(worker_of(&group, "batch", index).unwrap()).or_default().push(task);
    }
    for (worker, list) in &lists {
        group.report(&full_report(worker, 1, 1, list.clone())).unwrap();
    }
    group.submit(with(Priority::Urgent, job("urgent", 1, 2))).unwrap();
    group.submit(with(Priority::Batch, job("small", 1, 1))).unwrap();
    assert_eq!(group.tick(), [Command::Evict(vec![(key("batch", 2), 1)])]);
    assert!(group.tick().is_empty(), "room is freed twice for the same task");
    let worker = worker_of(&group, "batch", 2).unwrap();
    let mut report = full_report(&worker, 1, 2, vec![]);
    report.full = false;
    let checkpoint = Some("c1".into());
    report.ended.push(ended_task("batch", 2, 1, AttemptEnd::Evicted { checkpoint }));
    group.advance(500);
    group.report(&report).unwrap();
    assert_eq!(placed_jobs(&group.tick()), ["urgent".into()]);
    assert_eq!(worker_of(&group, "urgent", 0), Some(worker));
    let state = &group.state.task(&key("batch", 2)).unwrap().state;
    assert_eq!(*state, TaskState::Waiting { checkpoint: Some("c1".into()) });
}

#[test]
fn room_being_freed_is_kept_from_tasks_of_lower_priority() {
    let mut group = Group::new(PlacementPolicy::default());
    group.announce("w0", 1, cores(4));
    group.submit(job("batch", 1, 3)).unwrap();
    group.tick();
    group.submit(with(Priority::Urgent, job("urgent", 1, 4))).unwrap();
    assert_eq!(group.tick(), [Command::Evict(vec![(key("batch", 0), 1)])]);
    group.submit(job("small", 1, 1)).unwrap();
    group.submit(with(Priority::Service, job("service", 1, 1))).unwrap();
    assert!(group.tick().is_empty());
    let mut report = full_report("w0", 1, 1, vec![]);
    report.ended.push(ended_task("batch", 0, 1, AttemptEnd::Evicted { checkpoint: None }));
    group.report(&report).unwrap();
    assert_eq!(placed_jobs(&group.tick()), ["urgent".into()]);
}

#[test]
fn a_batch_task_preempts_nothing() {
    let mut group = Group::new(PlacementPolicy::default());
    group.announce("w0", 1, cores(4));
    group.submit(job("a", 2, 2)).unwrap();
    group.tick();
    group.submit(job("b", 1, 2)).unwrap();
    assert!(group.tick().is_empty());
}

/// Reports the current attempt of a job's first task as failed.
fn fail(group: &mut Group, job: &str, worker: &str, sequence: u64) {
    let attempt = group.state.task(&key(job, 0)).unwrap().attempt;
    let mut report = full_report(worker, 1, sequence, vec![]);
    let reason = "broken".into();
    report.ended.push(ended_task(job, 0, attempt, AttemptEnd::Failed { reason }));
    group.report(&report).unwrap();
}

#[test]
fn a_worker_that_fails_several_jobs_is_quarantined_and_probed() {
    let mut group = Group::new(PlacementPolicy::default());
    group.announce("w0", 1, cores(4));
    for n in 0..3 {
        group.submit(job(&format!("j{n}"), 1, 1)).unwrap();
    }
    group.tick();
    for n in 0..3 {
        fail(&mut group, &format!("j{n}"), "w0", n + 1);
    }
    let quarantined =
        |group: &Group| group.scheduler.status(&group.state, group.now).workers[0].quarantined_ms;
    assert_eq!(quarantined(&group), Some(60_000));
    let mut sequence = 10;
    let mut report_idle = |group: &mut Group, seconds: u64| {
        for _ in 0..seconds / 2 {
            sequence += 1;
            group.advance(2000);
            group.report(&full_report("w0", 1, sequence, vec![])).unwrap();
        }
    };
    report_idle(&mut group, 58);
    assert!(group.tick().is_empty());
    report_idle(&mut group, 4);
    // One probe is placed, although there is room for all three tasks.
    let probe = placements(&group.tick());
    assert_eq!(probe.len(), 1);
    assert!(group.tick().is_empty());
    let probe = probe[0].task.job.clone();
    fail(&mut group, &probe, "w0", 100);
    // The backoff has doubled.
    assert_eq!(quarantined(&group), Some(120_000));
    group.announce("w1", 1, cores(4));
    group.advance(3000);
    assert_eq!(placements(&group.tick()).len(), 3);
    assert!((0..3).all(|n| worker_of(&group, &format!("j{n}"), 0) == Some("w1".into())));
}

/// Guards against quarantining healthy workers for jobs that fail everywhere.
#[test]
fn a_job_that_fails_on_several_workers_quarantines_none_of_them() {
    let mut group = Group::new(PlacementPolicy { max_failures: 9, ..PlacementPolicy::default() });
    for worker in ["w0", "w1", "w2", "w3"] {
        group.announce(worker, 1, cores(4));
    }
    for n in 0..5 {
        group.submit(job(&format!("j{n}"), 1, 1)).unwrap();
    }
    for sequence in 1..400 {
        group.advance(2000);
        group.tick();
        for worker in ["w0", "w1", "w2", "w3"] {
            let mut report = full_report(worker, 1, sequence, vec![]);
            for n in 0..5 {
                let id = format!("j{n}");
                if worker_of(&group, &id, 0).as_deref() == Some(worker) {
                    let attempt = group.state.task(&key(&id, 0)).unwrap().attempt;
                    let end = AttemptEnd::Failed { reason: "broken".into() };
                    report.ended.push(ended_task(&id, 0, attempt, end));
                }
            }
            group.report(&report).unwrap();
        }
    }
    assert!(group.state.jobs().all(|j| j.tasks[0].state == TaskState::Failed));
    let attempts: Vec<u32> = group.state.jobs().map(|j| j.tasks[0].attempt).collect();
    assert_eq!(attempts, [9, 9, 9, 9, 9]);
}

/// Guards against a delay of urgent tasks by a large queue of batch tasks that is
/// cancelled at once.
#[test]
fn urgent_tasks_are_placed_in_the_first_round_after_a_mass_cancellation() {
    let mut group = Group::new(PlacementPolicy::default());
    for n in 0..50 {
        group.announce(&format!("w{n}"), 1, cores(16));
    }
    for n in 0..5000 {
        group.submit(of_team(&format!("t{}", n % 50), job(&format!("b{n}"), 1, 1))).unwrap();
    }
    for n in 0..20 {
        group.submit(with(Priority::Urgent, job(&format!("u{n}"), 1, 1))).unwrap();
    }
    let cancelled = (0..5000).map(|n| format!("b{n}").into()).collect();
    group.commit(Command::Cancel(cancelled)).unwrap();
    let jobs = placed_jobs(&group.tick());
    assert_eq!(jobs.len(), 20);
    assert!(jobs.iter().all(|j| j.starts_with('u')));
    assert_eq!(group.state.done_counts().0, 5000);
}
