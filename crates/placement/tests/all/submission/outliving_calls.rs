//! Starts that are carried out after the worker to which they were sent counts as lost, by whichever
//! life is up then. The simulated cluster checks at each tick that no task runs twice and that none
//! starts that is done.

use super::cluster::{Cluster, Link, NextLife, step, submission, worker};
use cyclamenloft_placement::submission::{Phase, Step, TaskId, WorkerInfo};
use std::time::Duration;

const TASK: TaskId = TaskId { submission: 1, occurrence: 0, step: 0, index: 0 };
/// How long the starts are held up, in milliseconds. Calls are carried out up to 12 s late.
const DELAYS_MS: [u64; 3] = [6_000, 9_000, 11_900];
const LONGEST_CALL_DELAY_MS: u64 = 12_000;
/// Longest lease that workers accept in the tests of liveness, twice as long as what the leader
/// grants.
const LONGEST_ACCEPTED: Duration = Duration::from_secs(6);
/// Rate of the slowest clock that a worker may have.
const SLOWEST_CLOCK: f64 = 0.975;
/// Time within which a task is placed again once nothing stands in the way.
const PROMPT_MS: u64 = 2_000;
/// Time from the end of a worker until runs that it listed are placed elsewhere: a lease that it got
/// with the last poll, on the slowest clock, and the margins.
const LISTED_RUNS_MS: u64 = 3_700;

fn lasting(count: u16) -> Step {
    Step { lasting: true, ..step(count) }
}

fn other() -> WorkerInfo {
    WorkerInfo { addr: "10.0.1.1:80".parse().unwrap(), ..worker("wb", 8) }
}

/// A life that begins four seconds after the one before has ended, when that one counts as lost.
const AFTER_LOSS: NextLife = NextLife { down_ms: 4_000, report_ms: 100, link: Link::Open };
const CUT_OFF: NextLife = NextLife { link: Link::Cut, ..AFTER_LOSS };
/// Its report arrives after all starts that are held up.
const LATE_REPORT: NextLife = NextLife { report_ms: 8_500, ..AFTER_LOSS };

/// Returns a cluster in which the task has just been placed on `wa`, whose clock is far ahead of the
/// one of its next life, and the start is held up for `delay_ms`.
fn held_up(step: Step, delay_ms: u64) -> Cluster {
    let mut w = Cluster::new([worker("wa", 4)]).with_reports(None);
    w.run(20_010);
    w.worker("wa").link = Link::Delayed(delay_ms);
    w.submit(submission(1, vec![step]));
    w.run(100);
    assert_eq!(w.sent.len(), 1, "starts that were sent");
    w
}

/// Runs the cluster until each call has been carried out and the lease that it brings is over.
fn outlast_calls(w: &mut Cluster) {
    w.run(2 * LONGEST_CALL_DELAY_MS);
}

/// Ends the life that was sent the start and lets `next` begin.
fn crash(w: &mut Cluster, next: NextLife) {
    w.join(other());
    w.crash_for("wa", next);
}

/// Checks that the task runs, or is done if it doesn't last.
fn check_outcome(w: &Cluster, step: &Step) {
    match step.lasting {
        true => assert_eq!(w.running(TASK), ["wb".into()]),
        false => assert_eq!(w.phase(1), Phase::Complete),
    }
}

fn is_lost(w: &Cluster) -> bool {
    w.state.newest_incarnation("wa").is_none()
}

fn next_life_behind_a_cut() {
    for delay_ms in DELAYS_MS {
        let mut w = held_up(lasting(1), delay_ms);
        crash(&mut w, CUT_OFF);
        w.run(AFTER_LOSS.down_ms);
        assert!(is_lost(&w), "wa counts as lost when its next life begins");
        outlast_calls(&mut w);
        assert_eq!(w.running(TASK), ["wb".into()]);
    }
}

fn next_life_reports_late() {
    for delay_ms in DELAYS_MS {
        let mut w = held_up(lasting(1), delay_ms);
        crash(&mut w, LATE_REPORT);
        outlast_calls(&mut w);
        assert_eq!(w.running(TASK).len(), 1);
    }
}

fn done_elsewhere() {
    for (delay_ms, next) in DELAYS_MS.into_iter().flat_map(|d| [(d, CUT_OFF), (d, LATE_REPORT)]) {
        let mut w = held_up(step(1), delay_ms);
        crash(&mut w, next);
        outlast_calls(&mut w);
        assert_eq!(w.phase(1), Phase::Complete);
    }
}

fn connections_are_refused(step: Step) {
    for delay_ms in DELAYS_MS {
        let mut w = held_up(step.clone(), delay_ms);
        w.worker("wa").link = Link::Open;
        crash(&mut w, NextLife { link: Link::Refused, ..LATE_REPORT });
        outlast_calls(&mut w);
        check_outcome(&w, &step);
    }
}

fn leader_elected_before_the_loss(step: Step) {
    for delay_ms in DELAYS_MS {
        let mut w = held_up(step.clone(), delay_ms);
        crash(&mut w, CUT_OFF);
        w.run(1_000);
        assert!(!is_lost(&w));
        w.elect();
        outlast_calls(&mut w);
        check_outcome(&w, &step);
    }
}

fn leader_elected_after_the_loss(step: Step) {
    for delay_ms in DELAYS_MS {
        let mut w = held_up(step.clone(), delay_ms);
        w.crash_for("wa", CUT_OFF);
        w.run(AFTER_LOSS.down_ms);
        assert!(is_lost(&w));
        w.restart();
        w.join(other());
        outlast_calls(&mut w);
        check_outcome(&w, &step);
    }
}

/// The second copy of the start is answered, and the worker lists the run.
fn sent_again() {
    for delay_ms in DELAYS_MS {
        let mut w = held_up(lasting(1), delay_ms);
        w.worker("wa").link = Link::Open;
        w.run(1_400);
        assert_eq!(w.running(TASK), ["wa".into()]);
        crash(&mut w, NextLife { down_ms: 3_700, ..CUT_OFF });
        outlast_calls(&mut w);
        assert_eq!(w.running(TASK), ["wb".into()]);
    }
}

/// The run on `wa` ends by a stop, so the task is free before its worker crashes.
fn withdrawn() {
    for delay_ms in DELAYS_MS {
        let mut w = held_up(lasting(1), delay_ms);
        w.worker("wa").link = Link::Open;
        w.drain("wa");
        w.run(1_400);
        let task = w.state.record(1).unwrap().task(TASK).unwrap();
        assert!(task.runs.is_empty(), "the withdrawn run has ended");
        w.crash_for("wa", NextLife { down_ms: 1_000, ..CUT_OFF });
        w.run(1_500);
        w.join(other());
        outlast_calls(&mut w);
        assert_eq!(w.running(TASK), ["wb".into()]);
    }
}

/// The second copy of the start is answered and its run is done, and the first copy arrives in the
/// next life.
fn sent_again_and_done() {
    for delay_ms in DELAYS_MS {
        let mut w = held_up(step(1), delay_ms);
        w.calls_cross_lives = true;
        w.worker("wa").link = Link::Open;
        w.run(2_500);
        assert_eq!(w.phase(1), Phase::Complete);
        crash(&mut w, NextLife { down_ms: 1_000, ..CUT_OFF });
        outlast_calls(&mut w);
    }
}

/// A start for the former life is carried out by the next one, and its run is done before that life
/// reports. The polls meanwhile are those for the former life, of which four ends are acknowledged.
fn acknowledged_for_the_former_life() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.calls_cross_lives = true;
    w.submit(submission(1, vec![step(4)]));
    w.run(2_010);
    assert_eq!(w.phase(1), Phase::Complete);
    w.crash_for("wa", NextLife { down_ms: 0, report_ms: 1_500, link: Link::Open });
    w.submit(submission(2, vec![step(1)]));
    w.run(4_000);
    assert_eq!(w.phase(2), Phase::Complete);
}

fn reachable_next_life() {
    for delay_ms in DELAYS_MS {
        let mut w = held_up(lasting(1), delay_ms);
        crash(&mut w, AFTER_LOSS);
        outlast_calls(&mut w);
        assert_eq!(w.running(TASK).len(), 1);
    }
}

/// The next life reports once, and no call to it is answered.
fn next_life_begins_before_the_loss() {
    for delay_ms in DELAYS_MS {
        let mut w = held_up(lasting(1), delay_ms);
        let link = Link::Delayed(3 * LONGEST_CALL_DELAY_MS);
        crash(&mut w, NextLife { down_ms: 1_000, link, ..AFTER_LOSS });
        outlast_calls(&mut w);
        assert_eq!(w.running(TASK), ["wb".into()]);
    }
}

fn refused_lasting() {
    connections_are_refused(lasting(1));
}

fn refused_ending() {
    connections_are_refused(step(1));
}

fn elected_before_lasting() {
    leader_elected_before_the_loss(lasting(1));
}

fn elected_before_ending() {
    leader_elected_before_the_loss(step(1));
}

fn elected_after_lasting() {
    leader_elected_after_the_loss(lasting(1));
}

fn elected_after_ending() {
    leader_elected_after_the_loss(step(1));
}

cases! {
    "Guards against a start that a later life of a lost worker carries out while the task runs elsewhere.";
    a_start_outlives_its_worker_behind_a_cut: next_life_behind_a_cut;
    a_start_outlives_its_worker_before_the_next_life_reports: next_life_reports_late;
    a_start_outlives_its_worker_while_connections_are_refused: refused_lasting;
    a_start_outlives_its_worker_and_the_leader: elected_before_lasting;
    a_start_outlives_its_worker_and_all_replicas: elected_after_lasting;
    a_copy_of_an_answered_start_outlives_its_worker: sent_again;
    a_start_outlives_its_worker_after_a_stop: withdrawn;
    a_reachable_next_life_rejects_a_late_start: reachable_next_life;
    a_late_start_is_waited_for_if_the_next_life_begins_before_the_loss:
        next_life_begins_before_the_loss;
}

cases! {
    "Guards against a start that a later life of a lost worker carries out after the task is done.";
    a_start_outlives_its_worker_and_its_task: done_elsewhere;
    a_start_outlives_its_worker_and_its_task_while_connections_are_refused:
        refused_ending;
    a_start_outlives_its_worker_its_task_and_the_leader: elected_before_ending;
    a_start_outlives_its_worker_its_task_and_all_replicas: elected_after_ending;
    a_copy_of_a_start_outlives_its_worker_and_its_task: sent_again_and_done;
}

/// The next life answers a start for the former one, with which it gets the longest lease that it
/// accepts, and reports only after the lease of the former one is over.
fn answered_by_the_next_life() {
    let mut w = Cluster::new([worker("wa", 4)]).with_reports(None);
    w.calls_cross_lives = true;
    w.worker("wa").longest_accepted = LONGEST_ACCEPTED;
    w.fleet.set_longest_accepted(LONGEST_ACCEPTED);
    w.run(1_010);
    w.crash_for("wa", NextLife { down_ms: 0, report_ms: 5_000, link: Link::Open });
    w.submit(submission(1, vec![lasting(1)]));
    w.run(100);
    assert_eq!(w.running(TASK), ["wa".into()]);
    w.join(other());
    outlast_calls(&mut w);
}

cases! {
    "Guards against a start that is answered by a life that goes on for longer than the lease of the life for which it was meant.";
    a_start_that_the_next_life_answers_outlives_the_lease: answered_by_the_next_life;
}

cases! {
    "Guards against a task that runs again since its end was removed from the next life's list by an acknowledgment for the life before.";
    an_acknowledgment_for_a_former_life_removes_no_end: acknowledged_for_the_former_life;
}

/// The task is placed on `wa`, whose link is cut before a start is answered or, if `began`, after
/// the run was listed. The same life returns after its lease is over.
fn returns(began: bool, with_other: bool) {
    let mut w = Cluster::new([worker("wa", 4)]).with_reports(None);
    w.run(1_010);
    if !began {
        w.worker("wa").link = Link::Cut;
    }
    w.submit(submission(1, vec![lasting(1)]));
    w.run(if began { 500 } else { 100 });
    assert_eq!(w.sent.len(), 1, "starts that were sent");
    w.worker("wa").link = Link::Cut;
    if with_other {
        w.join(other());
    }
    w.run(5_000);
    assert!(is_lost(&w));
    w.worker("wa").link = Link::Open;
    w.run(PROMPT_MS);
    assert_eq!(w.running(TASK).len(), 1, "began: {began}, other worker: {with_other}");
    w.run(LONGEST_CALL_DELAY_MS);
}

fn same_life_returns() {
    for (began, with_other) in [(false, false), (false, true), (true, false), (true, true)] {
        returns(began, with_other);
    }
}

fn next_life_answers() {
    for with_other in [false, true] {
        let mut w = held_up(lasting(1), DELAYS_MS[1]);
        if with_other {
            w.join(other());
        }
        w.crash_for("wa", AFTER_LOSS);
        w.run(AFTER_LOSS.down_ms + AFTER_LOSS.report_ms + PROMPT_MS);
        assert_eq!(w.running(TASK).len(), 1, "other worker: {with_other}");
        outlast_calls(&mut w);
        assert_eq!(w.running(TASK).len(), 1, "other worker: {with_other}");
    }
}

/// All starts were answered and their runs listed.
fn gone_with_listed_runs() {
    for link in [Link::Open, Link::Cut] {
        let mut w = Cluster::new([worker("wa", 4)]).with_reports(None);
        w.run(1_000);
        w.submit(submission(1, vec![lasting(3)]));
        w.run(500);
        w.join(other());
        w.worker("wa").link = link;
        w.end_life("wa");
        w.run(LISTED_RUNS_MS);
        for index in 0..3 {
            assert_eq!(w.running(TaskId { index, ..TASK }), ["wb".into()], "{link:?}");
        }
    }
}

/// Another worker registers at the address, before or after the loss.
fn address_is_taken() {
    for wait_ms in [1_000, 6_000] {
        let mut w = held_up(lasting(1), DELAYS_MS[1]);
        w.end_life("wa");
        w.run(wait_ms);
        let (addr, started_ms) = (w.worker("wa").info.addr, w.instant_ms());
        w.join(WorkerInfo { addr, started_ms, ..worker("wc", 8) });
        w.run(PROMPT_MS);
        assert_eq!(w.running(TASK), ["wc".into()], "registered after {wait_ms} ms");
        outlast_calls(&mut w);
        assert_eq!(w.running(TASK), ["wc".into()], "registered after {wait_ms} ms");
    }
}

fn gone_with_an_unanswered_start() {
    let mut w = held_up(lasting(1), DELAYS_MS[1]);
    w.worker("wa").longest_accepted = LONGEST_ACCEPTED;
    w.fleet.set_longest_accepted(LONGEST_ACCEPTED);
    w.join(other());
    w.end_life("wa");
    // It is polled for as long as it doesn't count as lost.
    while !is_lost(&w) {
        w.run(5);
    }
    let lease = LONGEST_ACCEPTED.div_f64(SLOWEST_CLOCK).as_millis();
    w.run(LONGEST_CALL_DELAY_MS + u64::try_from(lease).unwrap() + 1_000);
    assert_eq!(w.running(TASK), ["wb".into()]);
}

/// The next life carries out the held-up start before it reports. Its stops take a while and, if
/// `is_cut`, it is cut off before one arrives.
fn stray_is_stopped(is_cut: bool) {
    for delay_ms in DELAYS_MS {
        let mut w = held_up(lasting(1), delay_ms);
        crash(&mut w, LATE_REPORT);
        w.run(AFTER_LOSS.down_ms + 5);
        w.worker("wa").stop_ms = 900;
        while w.state.newest_incarnation("wa").is_none() {
            w.run(5);
        }
        w.run(if is_cut { 5 } else { 2_000 });
        w.worker("wa").link = if is_cut { Link::Cut } else { Link::Open };
        outlast_calls(&mut w);
        assert_eq!(w.running(TASK).len(), 1, "starts held up for {delay_ms} ms");
    }
}

fn stray_is_stopped_slowly() {
    stray_is_stopped(false);
}

fn stray_is_cut_off() {
    stray_is_stopped(true);
}

/// The start is sent to a life that has ended and answered by the next one, which is cut off before
/// it reports and accepts a longer lease.
fn taken_by_the_next_life() {
    let mut w = Cluster::new([worker("wa", 4)]);
    w.calls_cross_lives = true;
    w.fleet.set_longest_accepted(LONGEST_ACCEPTED);
    w.run(20_005);
    w.submit(submission(1, vec![lasting(1)]));
    w.run(25);
    w.start_again("wa", 20_000);
    w.worker("wa").longest_accepted = LONGEST_ACCEPTED;
    while w.starts.is_empty() {
        w.run(5);
    }
    w.run(10);
    w.worker("wa").link = Link::Cut;
    w.join(other());
    outlast_calls(&mut w);
    assert_eq!(w.running(TASK).len(), 1);
}

/// Whether a leader was elected, rather than the start sent twice, long before the worker is gone.
fn gone_long_after(is_elected: bool) {
    let mut w = held_up(lasting(1), DELAYS_MS[2]);
    w.worker("wa").link = Link::Open;
    w.run(if is_elected { 0 } else { 1_400 });
    if is_elected {
        w.elect();
    }
    w.run(2 * LONGEST_CALL_DELAY_MS);
    assert_eq!(w.running(TASK), ["wa".into()]);
    w.join(other());
    w.end_life("wa");
    w.run(LISTED_RUNS_MS);
    assert_eq!(w.running(TASK), ["wb".into()]);
}

fn gone_long_after_a_second_call() {
    gone_long_after(false);
}

fn gone_long_after_an_election() {
    gone_long_after(true);
}

cases! {
    "Guards against a run on a later life that goes on, while it is being stopped or out of reach, beside the next run of the task.";
    a_task_waits_for_the_stop_of_a_late_run: stray_is_stopped_slowly;
    a_task_waits_for_a_late_run_that_is_cut_off: stray_is_cut_off;
    a_task_waits_for_a_run_that_the_next_life_has_taken: taken_by_the_next_life;
}

cases! {
    "Guards against a task that waits for calls which its worker's answers have long proved over.";
    a_second_call_to_start_a_run_is_over_after_a_while: gone_long_after_a_second_call;
    the_calls_of_a_former_leader_are_over_after_a_while: gone_long_after_an_election;
}

/// Leaders change while the task waits, and none of them starts the wait anew.
fn gone_under_several_leaders() {
    let mut w = held_up(lasting(1), DELAYS_MS[1]);
    w.join(other());
    w.end_life("wa");
    while !is_lost(&w) {
        w.run(5);
    }
    let lost_at = w.instant_ms();
    let longest_ms = LONGEST_CALL_DELAY_MS + 3_000;
    for _ in 0..3 {
        w.run(4_000);
        w.restart();
    }
    while w.running(TASK).is_empty() {
        w.run(5);
    }
    assert!(w.instant_ms() < lost_at + longest_ms + 1_500, "placed at {}", w.instant_ms());
}

cases! {
    "Guards against a wait for calls that begins anew with each change of the leader.";
    a_task_waits_no_longer_because_leaders_change: gone_under_several_leaders;
}

cases! {
    "Guards against a task that waits longer than for the last call that could start it.";
    a_task_is_placed_soon_after_its_worker_has_returned: same_life_returns;
    a_task_is_placed_soon_after_the_next_life_has_answered: next_life_answers;
    listed_runs_of_a_lost_worker_are_placed_when_its_lease_is_over: gone_with_listed_runs;
    a_task_is_placed_soon_after_its_worker_s_address_was_taken: address_is_taken;
    a_task_of_a_worker_that_is_gone_is_placed_when_no_call_can_start_it:
        gone_with_an_unanswered_start;
}
