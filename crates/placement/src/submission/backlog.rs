//! Which new submissions of short tasks can't be served in time, and when their callers should
//! return.
//!
//! Load handled: short submissions that arrive faster than room for their tasks becomes free,
//! because other work holds the workers. What is accepted beyond that rate waits until it is
//! worth nothing, while its caller could have been told at once.
//!
//! The estimate works by class: the short tasks of one queue that need workers with the same
//! label. For each class it counts the tasks that start while others wait without room, by need
//! of processor room. Time counts only while rounds are planned, most workers are usable and at
//! least two submissions wait, so that neither a pause of the leader nor a lack of demand
//! looks like a lack of room.
//!
//! A new submission waits for the tasks that are placed before it. Once it has waited for half
//! of its spare time, newer ones are placed before it, and then it starts only if tasks start
//! faster than new ones arrive. It is refused if it would start too late to end within
//! [`USEFUL_OBJECTIVES`] of its objective.

use super::{
    planner::Timing,
    routes::QueuePolicy,
    spec::{Step, Submission, SubmissionId},
    state::Phase,
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Multiple of a submission's objective after which its result is worth nothing to its caller.
pub const USEFUL_OBJECTIVES: u32 = 3;

/// Classes of processor need; each is twice as wide as the one before.
const NEEDS: usize = 10;
/// Largest processor need of the first class, in thousandths of a core.
const FIRST_NEED_MILLIS: u32 = 125;
/// Time constant with which starts and the time in which they were counted decay.
const RATE_DECAY: Duration = Duration::from_secs(4);
/// Time constant with which arrivals decay. It is longer than a burst of 4 to 6 s and as long as
/// a wave, so that either alone doesn't look like a lasting lack of room.
const ARRIVALS_DECAY: Duration = Duration::from_secs(12);
/// Longest time between two rounds that counts as observed. An idle leader's rounds are 100 ms
/// apart, those of one whose planning takes 100 ms are 500 ms apart; longer gaps mean that the
/// leader was held up, for example by an election.
const MAX_ROUND_GAP: Duration = Duration::from_millis(600);
/// Observed time that a rate needs: longer than a round trip to all workers and the commit of
/// a full round.
const MIN_OBSERVED_S: f64 = 1.5;
/// Starts missing by the observed rate from which on starts count as having stopped. By chance,
/// none of 5 expected starts comes once in 150 times.
const MAX_MISSED_STARTS: f64 = 5.0;
/// Shortest time without a start for which starts count as having stopped: longer than a
/// full round and its commit take.
const MIN_GAP_S: f64 = 1.0;
/// Time after the last round in which tasks waited without room for which they count as
/// waiting.
const WAITING_HOLD: Duration = Duration::from_secs(2);
/// Time without waiting tasks after which observed rates are dropped: longer than the trough of
/// a wave of 13 s.
const RATE_VALIDITY: Duration = Duration::from_secs(15);
/// Submissions that must wait without room for a class to count as waiting, so that one
/// large submission, or one that fits no worker, causes no refusal.
const MIN_WAITING: u32 = 2;
/// Time constant with which the results of predictions decay.
const ACCURACY_DECAY: Duration = Duration::from_secs(30);
/// Decayed number of checked predictions that tells whether predictions are too long.
const MIN_CHECKED: f64 = 5.0;
/// Largest share of checked predictions that may have been too long.
const MAX_TOO_LONG: f64 = 0.25;
/// Part of a prediction that is within the rhythm of rounds, commits and polls.
const TOLERANCE: Duration = Duration::from_millis(300);
/// Submissions that must have waited too long for a refusal while fewer than [`MIN_CHECKED`]
/// predictions have been checked.
const MIN_OVERDUE: u32 = 3;
/// Maximum number of refused submissions that are remembered: those of a minute at 40 a second.
const MAX_REFUSED: usize = 2_400;
/// Maximum number of predictions to check.
const MAX_ACCEPTED: usize = 2_400;
/// Time after the announced return for which room is kept for a caller.
const RETURN_GRACE: Duration = Duration::from_millis(500);
/// Time for which an accepted id is remembered. A submission is committed or failed long before.
const ACCEPTED_MEMORY: Duration = Duration::from_secs(60);
/// Returns that a refused caller should have within the time in which a start is of use to it.
const RETURNS: u32 = 3;
/// Part of the time after which newer submissions are placed first that the expected wait may
/// take while a lack of room lasts. Waits vary about the expected one.
const LASTING_MARGIN: f64 = 0.75;
/// Largest Retry-After, in seconds.
const MAX_RETRY_S: u32 = 30;
/// Share of the tasks that start by which arrivals may exceed them before a lack of room counts as
/// lasting.
const LASTING_EXCESS: f64 = 1.1;

/// Returns whether the step's tasks are short: neither long-running nor best-effort.
#[must_use]
pub fn is_short(step: &Step) -> bool {
    !step.lasting && !step.fills
}

/// Returns a lower bound of the time from acceptance for which a submission with this step is
/// worth something, in milliseconds. It is cheap, since it looks at one step only.
#[must_use]
pub fn least_useful_ms(step: &Step, policy: &QueuePolicy) -> u64 {
    let stretched = u64::from(step.estimate_ms) * u64::from(policy.slack_millis) / 1000;
    (stretched + u64::from(policy.target_ms)) * u64::from(USEFUL_OBJECTIVES)
}

fn need_of(step: &Step) -> usize {
    let widest = |need: &usize| step.demand.cpu_millis <= FIRST_NEED_MILLIS << need;
    (0..NEEDS).find(widest).unwrap_or(NEEDS - 1)
}

/// Names a class of short tasks: a queue, and the label that its workers must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassName<'a> {
    queue: &'a str,
    label: &'a str,
}

impl<'a> ClassName<'a> {
    /// Returns the class of a step's tasks.
    #[must_use]
    pub fn of(queue: &'a str, step: &'a Step) -> Self {
        Self { queue, label: step.label.as_deref().unwrap_or_default() }
    }
}

/// Number of tasks of one class in one planning round, by need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShortTally {
    started: [u32; NEEDS],
    /// Submissions with a task for which no worker has room.
    unplaced: [u32; NEEDS],
    last_unplaced: Option<SubmissionId>,
}

impl ShortTally {
    /// Counts a task that got a worker.
    pub fn record_started(&mut self, step: &Step, _id: SubmissionId) {
        self.started[need_of(step)] += 1;
    }

    /// Counts a submission whose task has no worker.
    pub fn record_unplaced(&mut self, step: &Step, id: SubmissionId) {
        if self.last_unplaced.replace(id) != Some(id) {
            self.unplaced[need_of(step)] += 1;
        }
    }
}

/// A new submission, as far as its admission depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Its id.
    pub id: SubmissionId,
    /// Its class.
    pub class: ClassName<'a>,
    /// Its times by the client's estimates.
    pub timing: Timing,
    /// Time that its longest chain of tasks takes, by observed run times.
    pub work: Duration,
    need: usize,
    tasks: u32,
}

impl<'a> Ask<'a> {
    /// Returns the description of a submission that may be refused because of the backlog;
    /// `None` if the rule doesn't apply: the submission has a start time, or tasks that aren't
    /// short, form a gang or wait for an advisor.
    #[must_use]
    pub fn of(submission: &'a Submission, policy: &QueuePolicy) -> Option<Self> {
        let Submission { id, queue, steps, first_due_ms: 0, occurrences: 1, .. } = submission
        else {
            return None;
        };
        if policy.advisor.is_some() || !steps.iter().all(|s| is_short(s) && !s.gang) {
            return None;
        }
        let widest = steps.iter().max_by_key(|s| s.demand.cpu_millis)?;
        let timing = Timing::of(submission, policy);
        Some(Self {
            id: *id,
            class: ClassName::of(queue, widest),
            timing,
            work: timing.chain,
            need: need_of(widest),
            tasks: steps.iter().map(|s| u32::from(s.count)).sum(),
        })
    }

    /// Returns whether a step's tasks are of the submission's class and need no more room.
    #[must_use]
    pub fn competes_with(&self, queue: &str, step: &Step) -> bool {
        is_short(step) && ClassName::of(queue, step) == self.class && need_of(step) <= self.need
    }

    /// Returns the time from the first request of the caller after which a start comes too
    /// late to be of use.
    fn latest_start(&self) -> Duration {
        (self.timing.objective * USEFUL_OBJECTIVES).saturating_sub(self.work)
    }
}

/// The tasks that compete with a new submission and need no more room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Competition {
    /// Waiting tasks of submissions that are placed before it.
    pub ahead: u32,
    /// Waiting tasks of submissions that are placed before any that has waited for long, whatever
    /// their objectives.
    pub in_front: u32,
    /// The largest number of waiting tasks that belong to one submission.
    pub largest: u32,
    /// All waiting tasks of submissions that are still of use.
    pub waiting: u32,
    /// Submissions that have waited for so long that newer ones are placed before them.
    pub overdue: u32,
}

impl Competition {
    /// Returns whether most waiting tasks belong to one submission, which alone must not lead to
    /// a refusal.
    fn is_one_submission(self) -> bool {
        self.largest * 2 > self.waiting
    }
}

/// The decision on a new submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Assessment {
    /// The submission is accepted.
    Accepted {
        /// Time since which it counts as accepted: a returning caller is placed before those that
        /// asked first while it was away.
        backdated: Duration,
    },
    /// The submission would start too late.
    Refused(Figures),
}

/// The figures that a refusal rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Expected time until the tasks ahead have started.
    pub direct: Duration,
    /// Expected time until the first task starts, which is longer if newer submissions are placed
    /// first meanwhile; `None` if more tasks arrive than start.
    pub wait: Option<Duration>,
    /// Waiting tasks that are placed before the submission.
    pub ahead: u32,
    /// Tasks of the class that start per second.
    pub rate: f64,
    /// Tasks of the class that arrive per second.
    pub arrivals: f64,
    /// Time from acceptance to the objective.
    pub objective: Duration,
    /// Time since the caller's first request.
    pub asked_ago: Duration,
    /// Delay before a retry, in seconds.
    pub retry_after_s: u32,
}

/// A prediction of a start, checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckedStart {
    /// The submission.
    pub id: SubmissionId,
    /// Predicted time from acceptance to the first start.
    pub predicted: Duration,
    /// Actual time.
    pub actual: Duration,
    /// Whether the submission had started by then.
    pub started: bool,
    /// Whether the prediction was too long.
    pub too_long: bool,
}

#[derive(Clone, Debug)]
struct Class {
    /// Decayed time in which submissions waited without room, in seconds, by need.
    observed: [f64; NEEDS],
    /// Decayed number of tasks of at most this need that started in that time.
    started: [f64; NEEDS],
    /// Observed time since the last start, in seconds, by need.
    gap: [f64; NEEDS],
    /// Whether the last round left a task waiting.
    left_waiting: [bool; NEEDS],
    /// Time of the last round that left several submissions waiting.
    waited_at: [Option<Instant>; NEEDS],
    round_at: Instant,
    arrivals: Decayed,
    /// Decayed counts of the checked predictions: all, and those that were too long.
    checked: Decayed,
    too_long: Decayed,
}

/// A count that decays.
#[derive(Clone, Copy, Debug)]
struct Decayed {
    value: f64,
    at: Instant,
    since: Instant,
    time: Duration,
}

impl Decayed {
    fn new(time: Duration, now: Instant) -> Self {
        Self { value: 0.0, at: now, since: now, time }
    }

    fn get(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-passed / self.time.as_secs_f64()).exp()
    }

    fn add(&mut self, more: f64, now: Instant) {
        self.value = self.get(now) + more;
        self.at = now;
    }

    /// Returns the count per second. Less than a second of observation counts as a second.
    fn rate(&self, now: Instant) -> f64 {
        let time = self.time.as_secs_f64();
        let passed = now.saturating_duration_since(self.since).as_secs_f64();
        let observed = time * (1.0 - (-passed / time).exp());
        self.get(now) / observed.max(1.0)
    }
}

impl Class {
    fn new(now: Instant) -> Self {
        Self {
            observed: [0.0; NEEDS],
            started: [0.0; NEEDS],
            gap: [0.0; NEEDS],
            left_waiting: [false; NEEDS],
            waited_at: [None; NEEDS],
            round_at: now,
            arrivals: Decayed::new(ARRIVALS_DECAY, now),
            checked: Decayed::new(ACCURACY_DECAY, now),
            too_long: Decayed::new(ACCURACY_DECAY, now),
        }
    }

    fn record_round(&mut self, tally: &ShortTally, now: Instant) {
        let passed = now.saturating_duration_since(self.round_at).min(MAX_ROUND_GAP).as_secs_f64();
        self.round_at = now;
        let kept = (-passed / RATE_DECAY.as_secs_f64()).exp();
        let (mut started, mut unplaced) = (0, 0);
        for need in 0..NEEDS {
            started += tally.started[need];
            unplaced += tally.unplaced[need];
            if self.waited_at[need].is_some_and(|at| now >= at + RATE_VALIDITY) {
                (self.observed[need], self.started[need]) = (0.0, 0.0);
                self.waited_at[need] = None;
            }
            // Only a time at whose start something waited tells how fast room becomes free.
            if std::mem::replace(&mut self.left_waiting[need], unplaced > 0) {
                self.observed[need] = self.observed[need] * kept + passed;
                self.started[need] = self.started[need] * kept + f64::from(started);
                self.gap[need] += passed;
            }
            if started > 0 {
                if self.has_stopped(need) {
                    // What was observed before the gap tells nothing about what follows it.
                    (self.observed[need], self.started[need]) = (0.0, 0.0);
                }
                self.gap[need] = 0.0;
            }
            if unplaced >= MIN_WAITING {
                self.waited_at[need] = Some(now);
            }
        }
    }

    fn waits(&self, need: usize, now: Instant) -> bool {
        self.waited_at[need].is_some_and(|at| now < at + WAITING_HOLD)
    }

    /// Returns the tasks of at most this need that start per second while others wait; `None`
    /// unless some wait now and the rate has been observed for long enough. The count is raised
    /// by one, because a short time without a start doesn't rule out that the next one is near.
    fn rate(&self, need: usize, now: Instant) -> Option<f64> {
        let known = self.waits(need, now)
            && now < self.round_at + MAX_ROUND_GAP
            && self.observed[need] >= MIN_OBSERVED_S;
        known.then(|| match self.has_stopped(need) {
            true => 1.0 / self.gap[need],
            false => (self.started[need] + 1.0) / self.observed[need],
        })
    }

    /// Returns whether none of the tasks has started for so long that the rate observed before
    /// no longer holds.
    fn has_stopped(&self, need: usize) -> bool {
        let rate = self.started[need] / self.observed[need].max(MIN_OBSERVED_S);
        self.gap[need] >= MIN_GAP_S && self.gap[need] * rate > MAX_MISSED_STARTS
    }

    /// Returns whether refusals are allowed: of the predictions checked recently, at most
    /// [`MAX_TOO_LONG`] were too long. While too few were checked, enough submissions must be
    /// waiting for longer than they should.
    fn is_proven(&self, overdue: u32, now: Instant) -> bool {
        let checked = self.checked.get(now);
        let too_long = self.too_long.get(now);
        match checked >= MIN_CHECKED {
            true => too_long <= checked * MAX_TOO_LONG,
            false => too_long < 1.0 && overdue >= MIN_OVERDUE,
        }
    }
}

/// A refused submission whose caller may return.
#[derive(Clone, Debug)]
struct Refused {
    class: OwnedClassName,
    need: usize,
    tasks: u32,
    /// Time of the first refusal.
    first: Instant,
    /// When the caller should return, unless that is too late for it.
    returns_at: Option<Instant>,
    forget_at: Instant,
}

/// An accepted submission that has not started.
#[derive(Clone, Debug)]
struct Accepted {
    at: Instant,
    /// Predicted time until the first start.
    predicted: Duration,
    /// Whether the submission's class had to wait, so that there was something to predict.
    waits: bool,
    /// Time after which the prediction is known not to have been too long: it has passed, or a
    /// start comes too late to be of use.
    due: Instant,
    class: OwnedClassName,
    checked: bool,
}

type OwnedClassName = (Box<str>, Box<str>);

fn owned(class: ClassName<'_>) -> OwnedClassName {
    (class.queue.into(), class.label.into())
}

/// The backlog of all classes.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    classes: BTreeMap<OwnedClassName, Class>,
    refused: BTreeMap<SubmissionId, Refused>,
    /// Accepted submissions that have not started.
    accepted: BTreeMap<SubmissionId, Accepted>,
    /// Ids that were accepted, with the time. Their submissions may not be committed yet.
    proposed: BTreeMap<SubmissionId, Instant>,
    checked: Vec<CheckedStart>,
}

impl Backlog {
    /// Adds the counts of a round.
    pub fn record_round(&mut self, round: &BTreeMap<ClassName<'_>, ShortTally>, now: Instant) {
        for class in round.keys() {
            self.class_mut(*class, now);
        }
        for ((queue, label), class) in &mut self.classes {
            let tally = round.get(&ClassName { queue, label }).copied().unwrap_or_default();
            class.record_round(&tally, now);
        }
    }

    fn class_mut(&mut self, class: ClassName<'_>, now: Instant) -> &mut Class {
        self.classes.entry(owned(class)).or_insert_with(|| Class::new(now))
    }

    /// Records that a submission was accepted, whether the backlog was asked or not.
    pub fn record_accepted(&mut self, id: SubmissionId, now: Instant) {
        self.proposed.insert(id, now);
    }

    /// Returns whether a submission with this id was accepted and may not be committed yet.
    #[must_use]
    pub fn is_accepted(&self, id: SubmissionId) -> bool {
        self.proposed.contains_key(&id)
    }

    /// Returns whether the submission may be refused, because tasks of its class that need no
    /// more room wait. If not, what competes with it need not be counted.
    #[must_use]
    pub fn may_refuse(&self, ask: &Ask<'_>, now: Instant) -> bool {
        let class = self.classes.get(&owned(ask.class));
        class.is_some_and(|c| c.rate(ask.need, now).is_some())
    }

    /// Returns the time since the caller's first refusal.
    #[must_use]
    pub fn asked_ago(&self, id: SubmissionId, now: Instant) -> Option<Duration> {
        self.refused.get(&id).map(|r| now.saturating_duration_since(r.first))
    }

    /// Decides on a new submission. `competition` is `None` if there is certainly room for it.
    pub fn decide(
        &mut self,
        ask: &Ask<'_>,
        competition: Option<Competition>,
        now: Instant,
    ) -> Assessment {
        let returned = self.refused.get(&ask.id).map(|r| r.first);
        if returned.is_none() {
            let tasks = f64::from(ask.tasks);
            self.class_mut(ask.class, now).arrivals.add(tasks, now);
        }
        let asked_ago = returned.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let backdated = asked_ago.min(ask.timing.overtaken_after / 2);
        let estimate = competition.and_then(|c| self.estimate(ask, c, asked_ago, now));
        match estimate {
            Some((figures, true)) => {
                self.refuse(ask, &figures, now);
                Assessment::Refused(figures)
            }
            estimate => {
                let direct = estimate.map(|(figures, _)| figures.direct);
                self.accept(ask, direct, asked_ago, now);
                Assessment::Accepted { backdated }
            }
        }
    }

    /// Returns the figures for a submission, and whether it must be refused; `None` if there
    /// are too few observations.
    fn estimate(
        &self,
        ask: &Ask<'_>,
        competition: Competition,
        asked_ago: Duration,
        now: Instant,
    ) -> Option<(Figures, bool)> {
        let class = self.classes.get(&owned(ask.class))?;
        let rate = class.rate(ask.need, now)?;
        let arrivals = class.arrivals.rate(now);
        let ahead = competition.ahead;
        let expected = self.expected_returns(ask, now);
        let direct = seconds(f64::from(ahead + expected + 1) / rate);
        // The same for a returning caller, which would otherwise be refused where a newer one is
        // accepted.
        let placed_first = ask.timing.overtaken_after;
        let left = ask.latest_start().saturating_sub(asked_ago);
        let is_lasting = arrivals > rate * LASTING_EXCESS;
        // While more arrives than starts, what is accepted too late waits for good.
        let margin = if is_lasting { LASTING_MARGIN } else { 1.0 };
        // While more arrives than starts, enough newer submissions with an earlier objective come to
        // take the place of those that wait with a later one.
        let in_front = if is_lasting { competition.in_front.max(ahead) } else { ahead };
        let in_turn = seconds(f64::from(in_front + expected + 1) / rate);
        let wait = if in_turn <= placed_first.mul_f64(margin) {
            Some(direct)
        } else if is_lasting {
            // Newer ones will be placed first for as long as more arrives than starts.
            None
        } else {
            let rest = f64::from(competition.waiting.max(ahead) + expected + 1);
            Some(seconds(rest / rate))
        };
        let too_late = wait.is_none_or(|wait| wait > left);
        let is_refused = too_late
            && !competition.is_one_submission()
            && class.is_proven(competition.overdue, now);
        let excess = direct.saturating_sub(placed_first);
        let retry_after_s = retry_after_s(excess, left, is_lasting);
        let objective = ask.timing.objective;
        let figures =
            Figures { direct, wait, ahead, rate, arrivals, objective, asked_ago, retry_after_s };
        Some((figures, is_refused))
    }

    /// Returns the tasks of callers that asked first before this one, were refused and are due
    /// to return before a new submission would start.
    fn expected_returns(&self, ask: &Ask<'_>, now: Instant) -> u32 {
        let first = self.refused.get(&ask.id).map_or(now, |r| r.first);
        let soon = now + ask.timing.overtaken_after;
        let is_expected = |(id, r): &(&SubmissionId, &Refused)| {
            let returns = r.returns_at.is_some_and(|at| at < soon && now < at + RETURN_GRACE);
            returns
                && (r.first, **id) < (first, ask.id)
                && r.need <= ask.need
                && (&*r.class.0, &*r.class.1) == (ask.class.queue, ask.class.label)
        };
        self.refused.iter().filter(is_expected).map(|(_, r)| r.tasks).sum()
    }

    fn refuse(&mut self, ask: &Ask<'_>, figures: &Figures, now: Instant) {
        let first = self.refused.get(&ask.id).map_or(now, |r| r.first);
        let delay = Duration::from_secs(u64::from(figures.retry_after_s));
        let left = ask.latest_start().saturating_sub(figures.asked_ago);
        self.refused.retain(|_, r| now < r.forget_at);
        if self.refused.len() >= MAX_REFUSED
            && let Some((_, id)) = self.refused.iter().map(|(id, r)| (r.forget_at, *id)).min()
        {
            self.refused.remove(&id);
        }
        let refused = Refused {
            class: owned(ask.class),
            need: ask.need,
            tasks: ask.tasks,
            first,
            returns_at: (delay <= left).then_some(now + delay),
            forget_at: now + delay * 3,
        };
        self.refused.insert(ask.id, refused);
    }

    fn accept(
        &mut self,
        ask: &Ask<'_>,
        direct: Option<Duration>,
        asked_ago: Duration,
        now: Instant,
    ) {
        self.refused.remove(&ask.id);
        let left = ask.latest_start().saturating_sub(asked_ago);
        let predicted = direct.unwrap_or(Duration::ZERO);
        if self.accepted.len() < MAX_ACCEPTED {
            let accepted = Accepted {
                at: now,
                predicted,
                waits: direct.is_some(),
                due: now + predicted.min(left),
                class: owned(ask.class),
                checked: false,
            };
            self.accepted.insert(ask.id, accepted);
        }
    }

    /// Records that a task of a submission has started.
    pub fn record_start(&mut self, id: SubmissionId, now: Instant) {
        let Some(accepted) = self.accepted.remove(&id) else { return };
        let actual = now.saturating_duration_since(accepted.at);
        let too_long = accepted.predicted > actual * 2 + TOLERANCE;
        self.check(id, &accepted, actual, Some(too_long), now);
    }

    /// Checks the predictions of submissions that have not started although they should have,
    /// and drops those that no longer are open.
    /// `phase` returns the phase of a committed submission.
    pub fn check_waiting(&mut self, phase: impl Fn(SubmissionId) -> Option<Phase>, now: Instant) {
        self.proposed.retain(|id, at| phase(*id).is_none() && now < *at + ACCEPTED_MEMORY);
        let is_open = |id| phase(id) == Some(Phase::Open);
        let overdue: Vec<SubmissionId> = self
            .accepted
            .iter()
            .filter(|(_, a)| a.waits && !a.checked && now >= a.due)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let Some(accepted) = self.accepted.get_mut(&id) else { continue };
            accepted.checked = true;
            let accepted = accepted.clone();
            let actual = now.saturating_duration_since(accepted.at);
            self.check(id, &accepted, actual, None, now);
        }
        self.accepted.retain(|id, a| now < a.at + TOLERANCE || is_open(*id));
    }

    fn check(
        &mut self,
        id: SubmissionId,
        accepted: &Accepted,
        actual: Duration,
        too_long: Option<bool>,
        now: Instant,
    ) {
        let started = too_long.is_some();
        let too_long = too_long.unwrap_or(false);
        // A prediction is counted once, and only if there was something to predict.
        if accepted.waits
            && !accepted.checked
            && let Some(class) = self.classes.get_mut(&accepted.class)
        {
            class.checked.add(1.0, now);
            class.too_long.add(f64::from(u8::from(too_long)), now);
        }
        let predicted = accepted.predicted;
        self.checked.push(CheckedStart { id, predicted, actual, started, too_long });
    }

    /// Returns the predictions that were checked since the last call.
    pub fn take_checked(&mut self) -> Vec<CheckedStart> {
        std::mem::take(&mut self.checked)
    }

    /// Returns the number of refused submissions that are remembered.
    #[must_use]
    pub fn refused_count(&self) -> usize {
        self.refused.len()
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Returns the delay before a retry: until the tasks ahead have started, but early enough for a
/// second return, unless more arrives than can start for long. Then a return would only take the
/// place of a caller that can still be served on time.
fn retry_after_s(excess: Duration, left: Duration, is_lasting: bool) -> u32 {
    let whole = |span: Duration| u32::try_from(span.as_secs()).unwrap_or(MAX_RETRY_S);
    let wanted = whole(excess.saturating_add(Duration::from_millis(999)));
    let delay = match is_lasting {
        true => wanted.max(whole(left) + 1),
        false => wanted.min(whole(left / RETURNS)),
    };
    delay.clamp(1, MAX_RETRY_S)
}
