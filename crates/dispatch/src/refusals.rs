//! Refusals of submissions that hold for every attempt to hand the submission in.
//!
//! A refusal states that the submission never runs. An earlier attempt of the same call may still be
//! on its way to the leader, held up by a partition, and the reason of the refusal may have passed
//! when it arrives. So the leader numbers its refusals, each attempt carries the number of the last
//! refusal that its sender knew of, and the leader rejects an attempt that was sent before the
//! submission was refused. The sender repeats it with the newer number if its caller still waits.

use cyclamenloft_types::Term;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Maximum number of refusals that a leader remembers: those of half a minute at 500 a second.
/// Attempts that were sent before the oldest of them have to be repeated.
const MAX_REMEMBERED: usize = 16_384;

/// Number of a refusal within a term, counted from 1.
pub type RefusalNumber = u64;

/// The last refusal that the sender of an attempt knew of. Stamps of later terms are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RefusalStamp {
    /// The leader's term.
    pub term: Term,
    /// Number of the refusal; 0 if the sender knew of none.
    pub number: RefusalNumber,
}

/// Identifies the submission that a call is about, by a hash of the host and path that the client
/// named. If two submissions have the same key, attempts are repeated without need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubmissionKey(u64);

impl SubmissionKey {
    /// Returns the key of a call.
    #[must_use]
    pub fn new(host: &str, path: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        (host, path).hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// The refusals of a leader during one term.
#[derive(Debug)]
pub struct Refusals {
    newest: RefusalStamp,
    /// Number of the newest refusal that was forgotten.
    forgotten: RefusalNumber,
    by_submission: BTreeMap<SubmissionKey, RefusalNumber>,
    /// The remembered refusals, oldest first. Those of a submission that was refused again have no
    /// effect.
    order: VecDeque<(RefusalNumber, SubmissionKey)>,
    /// Number of attempts for each submission that were admitted and are being committed.
    committing: BTreeMap<SubmissionKey, u32>,
}

impl Refusals {
    /// Returns the refusals at the beginning of a term: none.
    #[must_use]
    pub fn new(term: Term) -> Self {
        Self {
            newest: RefusalStamp { term, number: 0 },
            forgotten: 0,
            by_submission: BTreeMap::new(),
            order: VecDeque::new(),
            committing: BTreeMap::new(),
        }
    }

    /// Returns the stamp of an attempt that is sent after all refusals so far.
    #[must_use]
    pub fn newest(&self) -> RefusalStamp {
        self.newest
    }

    /// Returns whether an attempt may have been sent before its submission was refused. The refusals
    /// of a former leader aren't known, so an attempt that was sent to one counts as such.
    #[must_use]
    pub fn is_stale(&self, submission: SubmissionKey, stamp: RefusalStamp) -> bool {
        let refused = self.by_submission.get(&submission).copied().unwrap_or(0);
        stamp.term != self.newest.term || stamp.number < refused.max(self.forgotten)
    }

    /// Records that a submission is refused.
    pub fn record(&mut self, submission: SubmissionKey) {
        self.newest.number += 1;
        let number = self.newest.number;
        self.by_submission.insert(submission, number);
        self.order.push_back((number, submission));
        if self.order.len() > MAX_REMEMBERED
            && let Some((oldest, submission)) = self.order.pop_front()
        {
            self.forgotten = oldest;
            if self.by_submission.get(&submission) == Some(&oldest) {
                self.by_submission.remove(&submission);
            }
        }
    }

    /// Records that an attempt was admitted. The submission must not be refused before
    /// [`Self::end_commit`] is called, since it may be accepted by then.
    pub fn begin_commit(&mut self, submission: SubmissionKey) {
        *self.committing.entry(submission).or_default() += 1;
    }

    /// Records that the commit of an attempt has succeeded or failed.
    pub fn end_commit(&mut self, submission: SubmissionKey) {
        if let Some(count) = self.committing.get_mut(&submission) {
            *count -= 1;
            if *count == 0 {
                self.committing.remove(&submission);
            }
        }
    }

    /// Returns whether an attempt for the submission is being committed.
    #[must_use]
    pub fn is_committing(&self, submission: SubmissionKey) -> bool {
        self.committing.contains_key(&submission)
    }
}
