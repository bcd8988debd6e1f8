//! Queues whose policy allows only some workers, as only an advisor knows.

use super::cluster::{Advisor, Cluster, step, submission, worker};
use cyclamenloft_placement::submission::{
    Phase, Step, advice::AdvisorTiming, planner::LARGEST_BATCH,
};

const NAMES: [&str; 6] = ["wa", "wb", "wc", "wd", "we", "wf"];

fn timing(valid_ms: u32) -> AdvisorTiming {
    AdvisorTiming { decision_ms: 50, per_worker_ms: 2, valid_ms }
}

fn cluster(approves: &[&str], valid_ms: u32) -> Cluster {
    let mut w = Cluster::new(NAMES.map(|n| worker(n, 4)));
    w.advisor = Some(Advisor::new(approves.iter().copied(), timing(valid_ms)));
    w
}

/// The stand-in asserts that each start carries a valid ticket of an allowed
/// worker.
#[test]
fn tasks_start_only_where_the_advisor_allows() {
    let mut w = cluster(&["wb", "we"], 3_000);
    w.submit(submission(1, vec![step(12), Step { depends_on: vec![0], ..step(4) }]));
    w.run(8_000);
    assert_eq!(w.phase(1), Phase::Complete);
    assert!(w.starts.iter().all(|(_, on, _)| ["wb", "we"].contains(&&**on)), "{:?}", w.starts);
}

/// Answers are remembered: what the advisor refused is not asked again while the
/// step lasts.
#[test]
fn what_was_refused_is_not_asked_again() {
    let mut w = cluster(&["wb"], 60_000);
    w.submit(submission(1, vec![step(40)]));
    w.run(20_000);
    assert_eq!(w.phase(1), Phase::Complete);
    let calls = &w.advisor.as_ref().unwrap().calls;
    assert_eq!(calls.iter().sum::<usize>(), NAMES.len(), "{calls:?}");
}

/// Tickets expire long before a wide step is through; new ones are asked for the
/// allowed workers alone.
#[test]
fn expired_tickets_are_renewed() {
    let mut w = cluster(&["wb", "wc"], 1_500);
    w.submit(submission(1, vec![step(60)]));
    w.run(20_000);
    assert_eq!(w.phase(1), Phase::Complete);
    let calls = &w.advisor.as_ref().unwrap().calls;
    assert!(calls.len() > 1, "{calls:?}");
    assert!(calls[1..].iter().all(|n| *n <= 2), "{calls:?}");
}

/// A new leader has no tickets: what was placed and not begun is placed anew.
#[test]
fn a_new_leader_asks_again() {
    let mut w = cluster(&["wb", "wc"], 3_000);
    w.submit(submission(1, vec![step(30)]));
    for _ in 0..6 {
        w.run(700);
        w.elect();
    }
    w.run(15_000);
    assert_eq!(w.phase(1), Phase::Complete);
}

/// Other queues do not wait for the advisor.
#[test]
fn starts_without_an_advisor_wait_for_none() {
    let mut w = cluster(&[], 3_000);
    w.submit(submission(1, vec![step(4)]));
    w.advisor = None;
    w.submit(submission(2, vec![step(4)]));
    w.run(2_000);
    assert_eq!(w.phase(2), Phase::Complete);
    assert_eq!(w.phase(1), Phase::Open);
}

/// No call names more workers than the advisor takes.
#[test]
fn a_wide_step_is_asked_in_batches() {
    let names: Vec<String> = (0..300).map(|n| format!("w{n}")).collect();
    let mut w = Cluster::new(names.iter().map(|n| worker(n, 1)));
    w.advisor = Some(Advisor::new(names.iter().map(|n| &**n), timing(30_000)));
    w.submit(submission(1, vec![step(250)]));
    w.run(4_000);
    assert_eq!(w.phase(1), Phase::Complete);
    let calls = &w.advisor.as_ref().unwrap().calls;
    assert_eq!(calls[..3], [LARGEST_BATCH, LARGEST_BATCH, 50], "{calls:?}");
}
