//! Decides what an entry host does with a client's request while it can't reach a leader:
//! forward it, hold it, or refuse it with a time after which to retry.
//!
//! Load handled: the requests that arrive between the loss of a leader, or of all core hosts,
//! and the election of the next one. Holding a request saves its client a retry if a leader is
//! back within the client's time limit. A request that is held although no leader can be back
//! in time costs its client that time, and the entry host memory.

use cyclamenloft_types::ReplicaId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after the last answer of any replica during which a new leader is expected. An election
/// takes 0.9 to 1.8 s, and the leader's last answer may be a status period (0.7 s) older than
/// its loss.
pub const ELECTION_TIME: Duration = Duration::from_millis(2_500);
/// Time for which a leader is expected once enough replicas answer to elect one. Elections that
/// end without a winner are repeated after half a second; after this time the leader is rather
/// one that this host can't reach.
pub const GROUP_TIME: Duration = Duration::from_secs(5);
/// Time after a replica's last answer during which it counts as answering: longer than a status
/// query's timeout and the pause before the next one.
pub const ANSWER_VALIDITY: Duration = Duration::from_millis(1_000);
/// Requests that were held and are refused because no replica answers are refused over this
/// time, so that their clients don't return at the same moment.
pub const REFUSAL_SPREAD: Duration = Duration::from_millis(500);
/// Time between two held requests that are sent to a leader that was lost.
pub const RELEASE_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a leader up to which the held requests are sent without a limit. No more of them
/// have arrived than a leader that stays gets in this time.
pub const BRIEF_LOSS: Duration = Duration::from_millis(250);
/// Maximum number of held requests: as many as are sent at [`RELEASE_INTERVAL`] within the 2.4 s
/// for which a request is held at most. Each has a body of up to 256 KB, and an entry host has
/// 160 MB.
pub const MAX_HELD: usize = 120;

/// Range of the time after which to retry, in seconds, by the time since the last answer of a
/// leader, each up to that time. A client has four retries. These ranges spread them over ten
/// seconds, so that a restart of all core hosts doesn't use them up.
const RETRY_RANGES: [(Duration, u32, u32); 2] =
    [(Duration::from_millis(4_000), 1, 2), (Duration::from_millis(6_000), 2, 3)];
/// Range of the time after which to retry after a longer loss, in seconds.
const LONGEST_RETRY: (u32, u32) = (3, 4);
/// Range of the time after which to retry while enough replicas answer to elect a leader, in
/// seconds.
const GROUP_RETRY: (u32, u32) = (1, 2);

/// Whether a leader may have received a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// No replica has received it.
    NotSent,
    /// It was handed to a connection and may have been carried out. It must not be refused,
    /// since a refusal states that nothing was done.
    MayHaveArrived,
}

/// A client's request that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingRequest {
    /// Latest time of the answer.
    pub deadline: Instant,
    /// Whether a leader may have received it.
    pub delivery: Delivery,
    /// Whether it is held already.
    pub held: bool,
    /// A random number, which spreads the times at which clients return.
    pub choice: u64,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the known leader.
    Forward,
    /// Wait until this time for a leader, then decide again.
    Hold {
        /// When to decide again.
        until: Instant,
    },
    /// Answer that nothing was done.
    Refuse {
        /// Delay before a retry, in seconds.
        retry_after_s: u32,
    },
}

/// The answers of a replica that doesn't lead.
#[derive(Clone, Copy, Debug)]
struct Answers {
    /// First of the answers without a gap longer than [`ANSWER_VALIDITY`].
    since: Instant,
    last: Instant,
}

/// What an entry host knows about the leader and the other replicas.
#[derive(Debug)]
pub struct LeaderLoss {
    /// The last answer of a leader, or the start of this host.
    leader_at: Instant,
    /// When a call to the leader failed after its last answer.
    suspected_at: Option<Instant>,
    /// How long no leader was known before the last answer of one.
    last_loss: Duration,
    /// The replicas that have answered since the last answer of a leader.
    answers: BTreeMap<ReplicaId, Answers>,
    member_count: usize,
}

impl LeaderLoss {
    /// Returns the knowledge of a host that starts now and knows no leader.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            leader_at: now,
            suspected_at: Some(now),
            last_loss: Duration::ZERO,
            answers: BTreeMap::new(),
            member_count: 0,
        }
    }

    /// Records an answer of the leader.
    pub fn record_leader(&mut self, now: Instant) {
        self.leader_at = now;
        if let Some(at) = self.suspected_at.take() {
            self.last_loss = now.saturating_duration_since(at);
        }
        self.answers.clear();
    }

    /// Records that a call to the leader failed, or that it no longer leads.
    pub fn record_failure(&mut self, now: Instant) {
        self.suspected_at.get_or_insert(now);
    }

    /// Records an answer of a replica that doesn't lead.
    pub fn record_answer(&mut self, replica: ReplicaId, now: Instant) {
        let answers = self.answers.entry(replica).or_insert(Answers { since: now, last: now });
        if now.saturating_duration_since(answers.last) > ANSWER_VALIDITY {
            answers.since = now;
        }
        answers.last = now;
    }

    /// Sets the number of members of the group.
    pub fn set_member_count(&mut self, count: usize) {
        self.member_count = count;
    }

    /// Returns whether the leader's last answer is its newest sign, so that requests are sent to
    /// it.
    #[must_use]
    pub fn has_leader(&self) -> bool {
        self.suspected_at.is_none()
    }

    /// Returns the time between two held requests that are sent to the leader.
    #[must_use]
    pub fn release_interval(&self) -> Duration {
        if self.last_loss <= BRIEF_LOSS { Duration::ZERO } else { RELEASE_INTERVAL }
    }

    /// Returns the time since the last answer of a leader.
    #[must_use]
    pub fn lost_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.leader_at)
    }

    /// Decides what to do with a request.
    #[must_use]
    pub fn decide(&self, req: &PendingRequest, now: Instant) -> Decision {
        if self.has_leader() {
            return Decision::Forward;
        }
        if req.delivery == Delivery::MayHaveArrived {
            return Decision::Hold { until: req.deadline };
        }
        let spread = match req.held {
            true => REFUSAL_SPREAD.mul_f64(req.choice as f64 / u64::MAX as f64),
            false => Duration::ZERO,
        };
        let until = self.leader_expected_until(now) + spread;
        if now < until {
            return Decision::Hold { until: until.min(req.deadline) };
        }
        Decision::Refuse { retry_after_s: self.retry_after_s(req.choice, now) }
    }

    /// Returns the time until which a leader is expected; in the past if none is.
    fn leader_expected_until(&self, now: Instant) -> Instant {
        if let Some(since) = self.group_since(now) {
            return since + GROUP_TIME;
        }
        // Each replica that comes back may complete a majority.
        let newest = self.answering(now).map(|a| a.since).max();
        let last = self.answers.values().map(|a| a.last).max();
        newest.or(last).unwrap_or(self.leader_at).max(self.leader_at) + ELECTION_TIME
    }

    /// Returns the number of replicas that answer but don't lead.
    #[must_use]
    pub fn answering_count(&self, now: Instant) -> usize {
        self.answering(now).count()
    }

    fn answering(&self, now: Instant) -> impl Iterator<Item = &Answers> {
        self.answers
            .values()
            .filter(move |a| now.saturating_duration_since(a.last) <= ANSWER_VALIDITY)
    }

    /// Returns since when half of the members have answered, if they do. Half is enough, since
    /// some of the members may have no vote.
    fn group_since(&self, now: Instant) -> Option<Instant> {
        let needed = self.member_count.div_ceil(2).max(1);
        let mut since: Vec<Instant> = self.answering(now).map(|a| a.since).collect();
        since.sort_unstable();
        since.get(needed - 1).copied().filter(|_| self.member_count > 0)
    }

    /// Returns the delay before a retry of a request that is refused now, in seconds. It grows
    /// with the time since the loss.
    #[must_use]
    pub fn retry_after_s(&self, choice: u64, now: Instant) -> u32 {
        let lost_for = self.lost_for(now);
        let by_time = || RETRY_RANGES.iter().find(|(up_to, ..)| lost_for < *up_to);
        let (least, most) = match self.group_since(now) {
            Some(_) => GROUP_RETRY,
            None => by_time().map_or(LONGEST_RETRY, |(_, least, most)| (*least, *most)),
        };
        let span = u64::from(most - least + 1);
        least + u32::try_from(choice % span).unwrap_or(0)
    }
}

/// Number of a held request.
pub type HeldId = u64;

/// What happens when a request is to be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is held.
    Held(HeldId),
    /// It is held, and another one is dropped for it.
    Replaced {
        /// The request that is held.
        held: HeldId,
        /// The request that is dropped.
        dropped: HeldId,
    },
    /// It isn't held, because as many with earlier deadlines are.
    Full,
}

/// The held requests of an entry host.
#[derive(Debug)]
pub struct HeldRequests {
    /// In the order in which they are given up when there are too many.
    held: BTreeMap<(Priority, HeldId), ()>,
    last_id: HeldId,
    next_release: Instant,
}

/// Requests that may have arrived are kept first, since they can't be refused, then those with
/// the earliest deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    may_be_refused: bool,
    deadline: Instant,
}

impl HeldRequests {
    /// Returns no requests.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { held: BTreeMap::new(), last_id: 0, next_release: now }
    }

    /// Holds a request, if need be in place of one with a later deadline.
    pub fn hold(&mut self, req: &PendingRequest) -> Admission {
        let held = self.last_id + 1;
        let may_be_refused = req.delivery == Delivery::NotSent;
        let priority = Priority { may_be_refused, deadline: req.deadline };
        let last = self.held.last_key_value().map(|(key, ())| *key);
        let dropped = match last.filter(|_| self.held.len() >= MAX_HELD) {
            Some((last, _)) if last <= priority => return Admission::Full,
            other => other,
        };
        self.last_id = held;
        self.held.insert((priority, held), ());
        match dropped {
            Some(key) => {
                self.held.remove(&key);
                Admission::Replaced { held, dropped: key.1 }
            }
            None => Admission::Held(held),
        }
    }

    /// Removes a request that is answered.
    pub fn remove(&mut self, id: HeldId) {
        self.held.retain(|(_, held), ()| *held != id);
    }

    /// Returns the number of held requests.
    #[must_use]
    pub fn count(&self) -> usize {
        self.held.len()
    }

    /// Removes and returns the request with the earliest deadline, if one may be sent to the
    /// leader now. The next one may be sent after `interval`.
    pub fn release(&mut self, interval: Duration, now: Instant) -> Option<HeldId> {
        if now < self.next_release {
            return None;
        }
        let key = *self.held.keys().min_by_key(|(priority, id)| (priority.deadline, *id))?;
        self.held.remove(&key);
        self.next_release = now + interval;
        Some(key.1)
    }

    /// Returns the time of the next release.
    #[must_use]
    pub fn next_release(&self) -> Instant {
        self.next_release
    }
}
