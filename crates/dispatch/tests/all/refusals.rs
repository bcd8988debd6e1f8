//! Which attempts a refusal holds for.

use cyclamenloft_dispatch::refusals::{RefusalStamp, Refusals, SubmissionKey};

const TERM: u64 = 4;

fn key(path: &str) -> SubmissionKey {
    SubmissionKey::new("h.example", path)
}

fn stamp(number: u64) -> RefusalStamp {
    RefusalStamp { term: TERM, number }
}

/// Guards against a submission that runs although its client was told that it doesn't: an attempt
/// from before the refusal arrives after it.
#[test]
fn an_attempt_from_before_the_refusal_is_rejected() {
    let mut refusals = Refusals::new(TERM);
    let sent = refusals.newest();
    assert!(!refusals.is_stale(key("/q/1"), sent));
    refusals.record(key("/q/1"));
    assert!(refusals.is_stale(key("/q/1"), sent));
}

/// A client whose submission was refused may hand it in again.
#[test]
fn an_attempt_from_after_the_refusal_is_not_rejected() {
    let mut refusals = Refusals::new(TERM);
    refusals.record(key("/q/1"));
    refusals.record(key("/q/2"));
    let sent = refusals.newest();
    assert!(!refusals.is_stale(key("/q/1"), sent));
    refusals.record(key("/q/1"));
    assert!(refusals.is_stale(key("/q/1"), sent));
}

#[test]
fn a_refusal_concerns_no_other_submission() {
    let mut refusals = Refusals::new(TERM);
    refusals.record(key("/q/1"));
    assert!(!refusals.is_stale(key("/q/2"), stamp(0)));
    assert!(!refusals.is_stale(SubmissionKey::new("other.example", "/q/1"), stamp(0)));
}

/// Guards against an attempt that was sent to a former leader, refused by the next one, and arrives
/// when the former leader leads again.
#[test]
fn an_attempt_of_another_term_is_rejected() {
    let refusals = Refusals::new(TERM);
    for term in [0, TERM - 1, TERM + 1] {
        assert!(refusals.is_stale(key("/q/1"), RefusalStamp { term, number: 9 }), "term {term}");
    }
}

/// The memory is bounded. Guards against a refusal that no longer holds once it is forgotten.
#[test]
fn an_attempt_from_before_a_forgotten_refusal_is_rejected() {
    let mut refusals = Refusals::new(TERM);
    let sent = refusals.newest();
    refusals.record(key("/q/1"));
    for n in 0..40_000 {
        refusals.record(key(&format!("/other/{n}")));
    }
    assert!(refusals.is_stale(key("/q/1"), sent));
    assert!(!refusals.is_stale(key("/q/1"), refusals.newest()));
    assert!(!refusals.is_stale(key("/q/1"), stamp(40_001)));
}

/// Guards against a refusal of a submission that an earlier attempt is about to bring in.
#[test]
fn an_attempt_that_is_being_committed_is_known() {
    let mut refusals = Refusals::new(TERM);
    refusals.begin_commit(key("/q/1"));
    refusals.begin_commit(key("/q/1"));
    refusals.end_commit(key("/q/1"));
    assert!(refusals.is_committing(key("/q/1")));
    assert!(!refusals.is_committing(key("/q/2")));
    refusals.end_commit(key("/q/1"));
    assert!(!refusals.is_committing(key("/q/1")));
}
