//! Tests of the checker: it finds each kind of violation and accepts evidence without
//! violations.

use super::{ConfigHistory, Departure, DepartureKind, Evidence, Proposal};
use crate::harness::{Outcome, SentRequest};
use cyclamenloft_operator::messages::{ApplyResponse, ContentHash, HistoryEntry};
use cyclamenloft_standin::journal::{Event, Line, TaskEnd};
use cyclamenloft_types::{Error, ErrorKind, Resources};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Creates journal lines with one event per millisecond.
macro_rules! lines {
    ($($who:literal $event:expr;)*) => {{
        let events = vec![$(($who, $event)),*];
        let line = |(at, (who, event)): (usize, (&str, Event))| {
            Line { at_us: at as u64 * 1000, who: who.into(), event }
        };
        events.into_iter().enumerate().map(line).collect::<Vec<Line>>()
    }};
}

/// Defines a test for each case, with a part of the checker's panic message, or "" for
/// evidence without violations.
macro_rules! checker_cases {
    ($($name:ident: $evidence:expr => $part:literal;)*) => {$(
        #[test]
        fn $name() {
            expect_verdict(|| $evidence.check(), $part);
        }
    )*};
}

fn expect_verdict(check: impl FnOnce(), part: &str) {
    match catch_unwind(AssertUnwindSafe(check)) {
        Ok(()) => assert_eq!(part, "", "the checker found no violation"),
        Err(e) => {
            let text = e.downcast_ref::<String>().cloned().unwrap_or_default();
            assert!(!part.is_empty() && text.contains(part), "{text}");
        }
    }
}

fn worker() -> Event {
    Event::WorkerStarted { boot: 1, capacity: Resources::new(2000, 2000, 0) }
}

fn start(attempt: u32, cpu_millis: u32, checkpoint: Option<&str>) -> Event {
    let resources = Resources::new(cpu_millis, 1, 0);
    let checkpoint = checkpoint.map(Into::into);
    Event::TaskStarted { task: "job/0".into(), attempt, resources, checkpoint }
}

fn end(attempt: u32, end: TaskEnd, checkpoint: Option<&str>) -> Event {
    let checkpoint = checkpoint.map(Into::into);
    Event::TaskEnded { task: "job/0".into(), attempt, end, checkpoint }
}

fn began(number: &str, in_flight: usize) -> Event {
    Event::RequestBegan { number: number.into(), in_flight, leaving: false }
}

fn tasks(lines: Vec<Line>) -> Evidence {
    Evidence::new(lines, Vec::new(), 8)
}

fn departed(lines: Vec<Line>, who: &str, at_us: u64, kind: DepartureKind) -> Evidence {
    Evidence::new(lines, vec![Departure { who: who.into(), at_us, kind }], 8)
}

fn sent(idempotent: bool, outcome: Outcome, lines: Vec<Line>) -> Evidence {
    let traffic = [("n-1".into(), SentRequest { idempotent, outcome })].into();
    tasks(lines).with(traffic)
}

checker_cases! {
    a_single_run_passes: tasks(lines! {
        "a" worker(); "a" start(1, 1, None); "a" end(1, TaskEnd::Finished, None);
    }) => "";
    a_task_in_two_places_is_found: tasks(lines! {
        "a" worker(); "b" worker(); "a" start(1, 1, None); "b" start(2, 1, None);
    }) => "while a runs attempt 1";
    a_restart_elsewhere_after_a_kill_passes: departed(lines! {
        "a" worker(); "b" worker(); "a" start(1, 1, None); "b" start(2, 1, None);
    }, "a", 2500, DepartureKind::Killed) => "";
    a_kill_before_the_first_start_is_no_excuse: departed(lines! {
        "a" worker(); "b" worker(); "a" start(1, 1, None); "b" start(2, 1, None);
    }, "a", 500, DepartureKind::Killed) => "while a runs attempt 1";
    a_repeated_attempt_is_found: tasks(lines! {
        "a" worker(); "a" start(1, 1, None); "a" end(1, TaskEnd::Failed, None);
        "a" start(1, 1, None);
    }) => "starts attempt 1 after 1";
    a_rerun_of_a_finished_task_is_found: tasks(lines! {
        "a" worker(); "a" start(1, 1, None); "a" end(1, TaskEnd::Finished, None);
        "a" start(2, 1, None);
    }) => "after a finished it";
    an_old_attempt_that_finishes_is_found: departed(lines! {
        "a" worker(); "b" worker(); "a" start(1, 1, None); "b" start(2, 1, None);
        "a" end(1, TaskEnd::Finished, None);
    }, "a", 2500, DepartureKind::Suspended) => "finishes old attempt 1";
    a_worker_over_capacity_is_found: tasks(lines! {
        "a" worker(); "a" start(1, 2001, None);
    }) => "worker a runs";
    an_order_over_capacity_is_found: tasks(lines! {
        "a" worker(); "a" Event::StartRefused { task: "job/0".into(), attempt: 1 };
    }) => "over its capacity";
    a_resume_from_the_checkpoint_passes: tasks(lines! {
        "a" worker(); "a" start(1, 1, None); "a" end(1, TaskEnd::Evicted, Some("c"));
        "a" start(2, 1, Some("c"));
    }) => "";
    a_resume_from_the_beginning_is_found: tasks(lines! {
        "a" worker(); "a" start(1, 1, None); "a" end(1, TaskEnd::Evicted, Some("c"));
        "a" start(2, 1, None);
    }) => "does not resume from its checkpoint";

    an_answered_request_passes: sent(false, Outcome::Answered, lines! {
        "t" began("n-1", 8);
    }) => "";
    an_answer_without_a_run_is_found: sent(false, Outcome::Answered, Vec::new()) => "never ran";
    a_run_after_a_refusal_is_found: sent(true, Outcome::NotRun, lines! {
        "t" began("n-1", 1);
    }) => "refused as not run";
    a_second_run_of_a_non_idempotent_request_is_found: sent(false, Outcome::Unknown, lines! {
        "t" began("n-1", 1); "t" began("n-1", 1);
    }) => "ran 2 times";
    a_second_run_of_an_idempotent_request_passes: sent(true, Outcome::Unknown, lines! {
        "t" began("n-1", 1); "t" began("n-1", 1);
    }) => "";
    an_answer_to_another_request_is_found:
        sent(true, Outcome::Wrong("x".into()), Vec::new()) => "got another answer";
    a_target_over_its_slots_is_found: tasks(lines! {
        "t" began("n-1", 9);
    }) => "9 requests in flight";
    a_request_after_leaving_is_found: departed(vec![
        Line { at_us: 4_000_000, who: "t".into(), event: began("n-1", 1) },
    ], "t", 0, DepartureKind::Leaving) => "after it was told to leave";

    an_accepted_change_in_the_history_passes:
        history(&[(1, "ann")], &[(1, "ann", accepted(1, "ann"))]) => "";
    a_missing_accepted_change_is_found:
        history(&[], &[(1, "ann", accepted(1, "ann"))]) => "the history differs";
    a_replaced_accepted_change_is_found:
        history(&[(1, "bob")], &[(1, "ann", accepted(1, "ann"))]) => "the history differs";
    a_refused_change_in_the_history_is_found:
        history(&[(1, "ann")], &[(1, "ann", Err(Error::new(ErrorKind::NotLeader, "x")))])
            => "in the history though refused";
    an_unknown_change_in_the_history_passes:
        history(&[(1, "ann")], &[(1, "ann", Err(Error::new(ErrorKind::ChangeUnknown, "x")))]) => "";
    a_change_that_nobody_proposed_is_found: history(&[(1, "ann")], &[]) => "0 proposals";
    a_gap_in_the_numbers_is_found:
        history(&[(2, "ann")], &[(2, "ann", accepted(2, "ann"))]) => "follow each other";
}

type Answer = cyclamenloft_types::Result<ApplyResponse>;

struct History(ConfigHistory, Vec<Proposal>);

impl History {
    fn check(&self) {
        self.0.check(&self.1);
    }
}

fn history(accepted_changes: &[(u64, &str)], proposals: &[(u64, &str, Answer)]) -> History {
    let proposal = |(number, author, answer): &(u64, &str, Answer)| Proposal {
        number: *number,
        author: (*author).into(),
        answers: vec![answer.clone()],
    };
    let entries = accepted_changes.iter().map(|(number, author)| entry(*number, author));
    History(ConfigHistory::of(entries.collect()), proposals.iter().map(proposal).collect())
}

fn accepted(number: u64, author: &str) -> Answer {
    Ok(ApplyResponse::Accepted(entry(number, author)))
}

fn entry(number: u64, author: &str) -> HistoryEntry {
    HistoryEntry { number, hash: ContentHash(number), author: author.into(), at_unix_ms: 0 }
}
