//! The checker says no to each promise broken, and yes to what may happen.

use super::{Changes, Evidence, Gone, How, Proposal};
use crate::harness::{Outcome, Sent};
use cyclamenloft_operator::messages::{ApplyResponse, ContentHash, HistoryEntry};
use cyclamenloft_standin::journal::{Event, Line, TaskEnd};
use cyclamenloft_types::{Error, ErrorKind, Resources};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Journals with one event each millisecond.
macro_rules! lines {
    ($($who:literal $event:expr;)*) => {{
        let events = vec![$(($who, $event)),*];
        let line = |(at, (who, event)): (usize, (&str, Event))| {
            Line { at_us: at as u64 * 1000, who: who.into(), event }
        };
        events.into_iter().enumerate().map(line).collect::<Vec<Line>>()
    }};
}

/// Names each case with the part of the message that it must end in, or "" for
/// evidence that is in order.
macro_rules! judged {
    ($($name:ident: $evidence:expr => $part:literal;)*) => {$(
        #[test]
        fn $name() {
            judge(|| $evidence.check(), $part);
        }
    )*};
}

fn judge(check: impl FnOnce(), part: &str) {
    match catch_unwind(AssertUnwindSafe(check)) {
        Ok(()) => assert_eq!(part, "", "nothing was found"),
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

fn gone(lines: Vec<Line>, who: &str, at_us: u64, how: How) -> Evidence {
    Evidence::new(lines, vec![Gone { who: who.into(), at_us, how }], 8)
}

fn sent(idempotent: bool, outcome: Outcome, lines: Vec<Line>) -> Evidence {
    let traffic = [("n-1".into(), Sent { idempotent, outcome })].into();
    tasks(lines).with(traffic)
}

judged! {
    one_run: tasks(lines! { "a" worker(); "a" start(1, 1, None); "a" end(1, TaskEnd::Finished, None); }) => "";
    two_places: tasks(lines! {
        "a" worker(); "b" worker(); "a" start(1, 1, None); "b" start(2, 1, None);
    }) => "while a runs attempt 1";
    killed_before_the_second: gone(lines! {
        "a" worker(); "b" worker(); "a" start(1, 1, None); "b" start(2, 1, None);
    }, "a", 2500, How::Killed) => "";
    killed_before_the_first: gone(lines! {
        "a" worker(); "b" worker(); "a" start(1, 1, None); "b" start(2, 1, None);
    }, "a", 500, How::Killed) => "while a runs attempt 1";
    same_attempt_again: tasks(lines! {
        "a" worker(); "a" start(1, 1, None); "a" end(1, TaskEnd::Failed, None); "a" start(1, 1, None);
    }) => "starts attempt 1 after 1";
    finished_and_run_again: tasks(lines! {
        "a" worker(); "a" start(1, 1, None); "a" end(1, TaskEnd::Finished, None); "a" start(2, 1, None);
    }) => "after a finished it";
    old_attempt_goes_on: gone(lines! {
        "a" worker(); "b" worker(); "a" start(1, 1, None); "b" start(2, 1, None);
        "a" end(1, TaskEnd::Finished, None);
    }, "a", 2500, How::Frozen) => "finishes old attempt 1";
    over_capacity: tasks(lines! { "a" worker(); "a" start(1, 2001, None); }) => "worker a runs";
    ordered_over_capacity: tasks(lines! {
        "a" worker(); "a" Event::StartRefused { task: "job/0".into(), attempt: 1 };
    }) => "over its capacity";
    resumed: tasks(lines! {
        "a" worker(); "a" start(1, 1, None); "a" end(1, TaskEnd::Evicted, Some("c")); "a" start(2, 1, Some("c"));
    }) => "";
    resumed_from_the_beginning: tasks(lines! {
        "a" worker(); "a" start(1, 1, None); "a" end(1, TaskEnd::Evicted, Some("c")); "a" start(2, 1, None);
    }) => "resumes from elsewhere";

    answered: sent(false, Outcome::Answered, lines! { "t" began("n-1", 8); }) => "";
    answered_by_nobody: sent(false, Outcome::Answered, Vec::new()) => "never ran";
    refused_and_run: sent(true, Outcome::NotRun, lines! { "t" began("n-1", 1); }) => "refused as not run";
    run_twice: sent(false, Outcome::Unknown, lines! { "t" began("n-1", 1); "t" began("n-1", 1); }) => "ran 2 times";
    may_run_twice: sent(true, Outcome::Unknown, lines! { "t" began("n-1", 1); "t" began("n-1", 1); }) => "";
    another_answer: sent(true, Outcome::Wrong("x".into()), Vec::new()) => "got another answer";
    over_slots: tasks(lines! { "t" began("n-1", 9); }) => "9 requests in flight";
    work_after_leaving: gone(vec![
        Line { at_us: 4_000_000, who: "t".into(), event: began("n-1", 1) },
    ], "t", 0, How::Leaving) => "after it said it leaves";

    accepted_stands: history(&[(1, "ann")], &[(1, "ann", accepted(1, "ann"))]) => "";
    accepted_is_missing: history(&[], &[(1, "ann", accepted(1, "ann"))]) => "not as it stands";
    accepted_is_replaced: history(&[(1, "bob")], &[(1, "ann", accepted(1, "ann"))]) => "not as it stands";
    refused_stands: history(&[(1, "ann")], &[(1, "ann", Err(Error::new(ErrorKind::NotLeader, "x")))]) => "stands though refused";
    unknown_stands: history(&[(1, "ann")], &[(1, "ann", Err(Error::new(ErrorKind::ChangeUnknown, "x")))]) => "";
    nobody_proposed: history(&[(1, "ann")], &[]) => "proposed";
    a_number_is_missing: history(&[(2, "ann")], &[(2, "ann", accepted(2, "ann"))]) => "follow each other";
}

type Answer = cyclamenloft_types::Result<ApplyResponse>;

struct History(Changes, Vec<Proposal>);

impl History {
    fn check(&self) {
        self.0.check(&self.1);
    }
}

fn history(stands: &[(u64, &str)], proposals: &[(u64, &str, Answer)]) -> History {
    let proposal = |(number, author, answer): &(u64, &str, Answer)| Proposal {
        number: *number,
        author: (*author).into(),
        answers: vec![answer.clone()],
    };
    let entries = stands.iter().map(|(number, author)| entry(*number, author));
    History(Changes::of(entries.collect()), proposals.iter().map(proposal).collect())
}

fn accepted(number: u64, author: &str) -> Answer {
    Ok(ApplyResponse::Accepted(entry(number, author)))
}

fn entry(number: u64, author: &str) -> HistoryEntry {
    HistoryEntry { number, hash: ContentHash(number), author: author.into(), at_unix_ms: 0 }
}
