//! The bounded queue of one service: by priority, then by deadline, and fair
//! between callers while it is crowded.

use crate::decision::{RequestFacts, Ticket};
use cyclamenloft_types::{CallerName, Priority, TargetId};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

const CLASSES: usize = 3;
/// How long after a refusal for want of time the queue counts as crowded.
const CROWDED_AFTER_REFUSAL: Duration = Duration::from_secs(1);
/// Width of the buckets in which requests ahead are counted.
const RANK_BUCKET: Duration = Duration::from_millis(32);

/// A request that waits.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) facts: RequestFacts,
    pub(crate) avoid: Box<[TargetId]>,
    pub(crate) since: Instant,
}

type Place = (Instant, u64);

#[derive(Default)]
struct Class {
    by_deadline: BTreeSet<Place>,
    /// Callers with requests in this class, those served least first.
    turns: BTreeSet<(u64, u32)>,
    /// Callers by the number of requests that they have in this class.
    by_count: BTreeSet<(usize, u32)>,
    /// Requests per [`RANK_BUCKET`] of deadlines.
    buckets: BTreeMap<u64, u32>,
}

struct CallerEntries {
    name: CallerName,
    /// Turns taken, on the queue's virtual clock.
    served: u64,
    classes: [CallerClass; CLASSES],
}

/// One caller's requests in one class.
#[derive(Default)]
struct CallerClass {
    by_deadline: BTreeSet<Place>,
    /// Tickets in order of arrival.
    arrivals: BTreeSet<u64>,
}

/// The queue. Its owner checks the bound; the queue knows when it is crowded.
pub(crate) struct FairQueue {
    bound: usize,
    /// Start of the buckets' scale: when the first request came to wait.
    epoch: Option<Instant>,
    entries: HashMap<u64, (Waiting, u32)>,
    classes: [Class; CLASSES],
    callers: HashMap<u32, CallerEntries>,
    caller_ids: HashMap<CallerName, u32>,
    next_caller: u32,
    virtual_time: u64,
    crowded_until: Option<Instant>,
}

impl FairQueue {
    pub(crate) fn new(bound: usize) -> Self {
        Self {
            bound,
            epoch: None,
            entries: HashMap::new(),
            classes: Default::default(),
            callers: HashMap::new(),
            caller_ids: HashMap::new(),
            next_caller: 0,
            virtual_time: 0,
            crowded_until: None,
        }
    }

    pub(crate) fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.len() >= self.bound
    }

    /// Notes that a request was refused because it would have waited too long.
    pub(crate) fn note_refusal(&mut self, now: Instant) {
        self.crowded_until = Some(now + CROWDED_AFTER_REFUSAL);
    }

    /// Whether turns go by caller instead of by deadline.
    fn is_crowded(&self, now: Instant) -> bool {
        self.len() * 2 > self.bound || self.crowded_until.is_some_and(|t| t > now)
    }

    /// How many waiting requests would go before a new one.
    pub(crate) fn ahead_of(&self, facts: &RequestFacts, now: Instant) -> usize {
        let class = class_index(facts.priority);
        let above: usize = self.classes[class + 1..].iter().map(|c| c.by_deadline.len()).sum();
        let own = &self.classes[class];
        let bucket = self.bucket(facts.deadline);
        let in_class = if self.is_crowded(now) {
            let entries = self.caller_ids.get(&facts.caller).and_then(|id| self.callers.get(id));
            let mine = entries.map_or(0, |c| c.classes[class].arrivals.len());
            let callers = own.turns.len() + usize::from(mine == 0);
            ((mine + 1) * callers - 1).min(own.by_deadline.len())
        } else {
            own.buckets.range(..=bucket).map(|(_, n)| *n as usize).sum()
        };
        above + in_class
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.epoch.get_or_insert(waiting.since);
        let class = class_index(waiting.facts.priority);
        let place = (waiting.facts.deadline, waiting.ticket.0);
        let id = self.caller(&waiting.facts.caller);
        let bucket = self.bucket(waiting.facts.deadline);
        if let Some(caller) = self.callers.get_mut(&id) {
            let own = &mut caller.classes[class];
            let by_count = &mut self.classes[class].by_count;
            by_count.remove(&(own.arrivals.len(), id));
            own.arrivals.insert(place.1);
            own.by_deadline.insert(place);
            by_count.insert((own.arrivals.len(), id));
            self.classes[class].turns.insert((caller.served, id));
        }
        self.classes[class].by_deadline.insert(place);
        *self.classes[class].buckets.entry(bucket).or_default() += 1;
        self.entries.insert(place.1, (waiting, id));
    }

    /// Takes the request whose turn it is; in a crowded queue that is a turn of
    /// its caller.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<Waiting> {
        let crowded = self.is_crowded(now);
        let (index, class) =
            self.classes.iter().enumerate().rev().find(|(_, c)| !c.by_deadline.is_empty())?;
        let seq = if crowded {
            let id = class.turns.first()?.1;
            let seq = self.callers.get(&id)?.classes[index].by_deadline.first()?.1;
            self.charge(id);
            seq
        } else {
            class.by_deadline.first()?.1
        };
        self.remove(Ticket(seq))
    }

    /// Counts one turn against a caller.
    fn charge(&mut self, id: u32) {
        let Some(entries) = self.callers.get_mut(&id) else { return };
        self.virtual_time = self.virtual_time.max(entries.served);
        for (class, waiting) in self.classes.iter_mut().zip(&entries.classes) {
            if !waiting.arrivals.is_empty() {
                class.turns.remove(&(entries.served, id));
                class.turns.insert((entries.served + 1, id));
            }
        }
        entries.served += 1;
    }

    /// Takes out a request whose deadline is at most `limit`, if there is one.
    pub(crate) fn pop_due_by(&mut self, limit: Instant) -> Option<Waiting> {
        let due = |c: &Class| c.by_deadline.first().filter(|p| p.0 <= limit).map(|p| p.1);
        let seq = self.classes.iter().find_map(due)?;
        self.remove(Ticket(seq))
    }

    /// The newest request that should give way to a new one in a full queue: one
    /// of a lower priority, or else one of the same priority, if the new
    /// request's caller holds less than its fair share. It is taken from the
    /// caller that holds the most.
    pub(crate) fn displace_for(&mut self, facts: &RequestFacts) -> Option<Waiting> {
        let class = class_index(facts.priority);
        let lower = self.classes[..class].iter().position(|c| !c.by_deadline.is_empty());
        if let Some(lower) = lower {
            return self.remove_newest_of_largest(lower);
        }
        let mine = self.caller_ids.get(&facts.caller).and_then(|id| self.callers.get(id));
        let mine = mine.map_or(0, |c| c.classes[class].arrivals.len());
        let callers = self.classes[class].turns.len() + usize::from(mine == 0);
        let fair = (self.bound / callers.max(1)).max(1);
        let largest = self.classes[class].by_count.last()?.0;
        if mine >= fair || largest <= mine + 1 {
            return None;
        }
        self.remove_newest_of_largest(class)
    }

    fn remove_newest_of_largest(&mut self, class: usize) -> Option<Waiting> {
        let id = self.classes[class].by_count.last()?.1;
        let newest = *self.callers.get(&id)?.classes[class].arrivals.last()?;
        self.remove(Ticket(newest))
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let (waiting, id) = self.entries.remove(&ticket.0)?;
        let index = class_index(waiting.facts.priority);
        let place = (waiting.facts.deadline, ticket.0);
        let bucket = self.bucket(waiting.facts.deadline);
        let class = &mut self.classes[index];
        class.by_deadline.remove(&place);
        if let Some(count) = class.buckets.get_mut(&bucket) {
            *count -= 1;
            if *count == 0 {
                class.buckets.remove(&bucket);
            }
        }
        if let Some(caller) = self.callers.get_mut(&id) {
            let own = &mut caller.classes[index];
            class.by_count.remove(&(own.arrivals.len(), id));
            own.arrivals.remove(&ticket.0);
            own.by_deadline.remove(&place);
            if own.arrivals.is_empty() {
                class.turns.remove(&(caller.served, id));
            } else {
                class.by_count.insert((own.arrivals.len(), id));
            }
            if caller.classes.iter().all(|c| c.arrivals.is_empty()) {
                self.caller_ids.remove(&caller.name);
                self.callers.remove(&id);
            }
        }
        Some(waiting)
    }

    fn caller(&mut self, name: &CallerName) -> u32 {
        if let Some(id) = self.caller_ids.get(name) {
            return *id;
        }
        let id = self.next_caller;
        self.next_caller = self.next_caller.wrapping_add(1);
        let entries = CallerEntries {
            name: name.clone(),
            served: self.virtual_time,
            classes: Default::default(),
        };
        self.callers.insert(id, entries);
        self.caller_ids.insert(name.clone(), id);
        id
    }

    fn bucket(&self, deadline: Instant) -> u64 {
        let epoch = self.epoch.unwrap_or(deadline);
        let since = deadline.saturating_duration_since(epoch).as_millis();
        (since / RANK_BUCKET.as_millis()) as u64
    }
}

fn class_index(priority: Priority) -> usize {
    match priority {
        Priority::Batch => 0,
        Priority::Service => 1,
        Priority::Urgent => 2,
    }
}
