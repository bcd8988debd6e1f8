//! The bounded queue of one service. Requests are served by priority, then by
//! deadline; while the queue is congested, they are served fairly between callers
//! instead of by deadline.

use crate::decision::{RequestMeta, Ticket};
use cyclamenloft_types::{CallerName, Priority, TargetId};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

const CLASSES: usize = 3;
/// Time for which the queue counts as congested after a request was refused
/// because it would have waited too long.
const CONGESTED_AFTER_REFUSAL: Duration = Duration::from_secs(1);
/// Width of the deadline buckets in which the requests ahead of a new one are
/// counted.
const RANK_BUCKET: Duration = Duration::from_millis(32);

/// A queued request.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) meta: RequestMeta,
    pub(crate) avoid: Box<[TargetId]>,
    pub(crate) since: Instant,
}

type QueueKey = (Instant, u64);

/// The queued requests of one priority.
#[derive(Default)]
struct Class {
    by_deadline: BTreeSet<QueueKey>,
    /// Callers with requests in this class, sorted by their turns
    /// ([`CallerQueue::served`]) and then by ID.
    by_served: BTreeSet<(u64, u32)>,
    /// The same callers, sorted by the number of their requests in this class and
    /// then by ID.
    by_count: BTreeSet<(usize, u32)>,
    /// Number of requests by the index of their deadline bucket, see
    /// [`RANK_BUCKET`].
    buckets: BTreeMap<u64, u32>,
}

struct CallerQueue {
    name: CallerName,
    /// Number of turns that the caller has had, plus the queue's virtual time when
    /// the caller was added, so that a new caller isn't preferred for the turns
    /// that others had before.
    served: u64,
    classes: [CallerClass; CLASSES],
}

/// One caller's requests in one class.
#[derive(Default)]
struct CallerClass {
    by_deadline: BTreeSet<QueueKey>,
    /// Tickets in order of arrival.
    arrivals: BTreeSet<u64>,
}

/// The queue of one service. Its owner enforces the bound; the queue itself uses
/// the bound to detect congestion and to compute fair shares.
pub(crate) struct FairQueue {
    bound: usize,
    /// Start of the first deadline bucket: the time at which the first request
    /// was queued, or `None` before that.
    epoch: Option<Instant>,
    requests: HashMap<u64, (Waiting, u32)>,
    classes: [Class; CLASSES],
    callers: HashMap<u32, CallerQueue>,
    caller_ids: HashMap<CallerName, u32>,
    next_caller: u32,
    virtual_time: u64,
    congested_until: Option<Instant>,
}

impl FairQueue {
    pub(crate) fn new(bound: usize) -> Self {
        Self {
            bound,
            epoch: None,
            requests: HashMap::new(),
            classes: Default::default(),
            callers: HashMap::new(),
            caller_ids: HashMap::new(),
            next_caller: 0,
            virtual_time: 0,
            congested_until: None,
        }
    }

    pub(crate) fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.len() >= self.bound
    }

    /// Records that a request was refused because it would have waited too long.
    pub(crate) fn record_refusal(&mut self, now: Instant) {
        self.congested_until = Some(now + CONGESTED_AFTER_REFUSAL);
    }

    /// Returns whether requests are served in turn by caller instead of by
    /// deadline.
    fn is_congested(&self, now: Instant) -> bool {
        self.len() * 2 > self.bound || self.congested_until.is_some_and(|t| t > now)
    }

    /// Returns how many queued requests would be served before a new one.
    pub(crate) fn ahead_of(&self, meta: &RequestMeta, now: Instant) -> usize {
        let class = class_index(meta.priority);
        let above: usize = self.classes[class + 1..].iter().map(|c| c.by_deadline.len()).sum();
        let own = &self.classes[class];
        let bucket = self.bucket(meta.deadline);
        let in_class = if self.is_congested(now) {
            let caller = self.caller_ids.get(&meta.caller).and_then(|id| self.callers.get(id));
            let own_count = caller.map_or(0, |c| c.classes[class].arrivals.len());
            let callers = own.by_served.len() + usize::from(own_count == 0);
            ((own_count + 1) * callers - 1).min(own.by_deadline.len())
        } else {
            own.buckets.range(..=bucket).map(|(_, n)| *n as usize).sum()
        };
        above + in_class
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.epoch.get_or_insert(waiting.since);
        let class = class_index(waiting.meta.priority);
        let key = (waiting.meta.deadline, waiting.ticket.0);
        let id = self.caller_id(&waiting.meta.caller);
        let bucket = self.bucket(waiting.meta.deadline);
        if let Some(caller) = self.callers.get_mut(&id) {
            let own = &mut caller.classes[class];
            let by_count = &mut self.classes[class].by_count;
            by_count.remove(&(own.arrivals.len(), id));
            own.arrivals.insert(key.1);
            own.by_deadline.insert(key);
            by_count.insert((own.arrivals.len(), id));
            self.classes[class].by_served.insert((caller.served, id));
        }
        self.classes[class].by_deadline.insert(key);
        *self.classes[class].buckets.entry(bucket).or_default() += 1;
        self.requests.insert(key.1, (waiting, id));
    }

    /// Removes and returns the next request to serve. In a congested queue, this
    /// counts as a turn of the request's caller.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<Waiting> {
        let congested = self.is_congested(now);
        let (index, class) =
            self.classes.iter().enumerate().rev().find(|(_, c)| !c.by_deadline.is_empty())?;
        let seq = if congested {
            let id = class.by_served.first()?.1;
            let seq = self.callers.get(&id)?.classes[index].by_deadline.first()?.1;
            self.charge(id);
            seq
        } else {
            class.by_deadline.first()?.1
        };
        self.remove(Ticket(seq))
    }

    /// Charges a caller for one turn.
    fn charge(&mut self, id: u32) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        self.virtual_time = self.virtual_time.max(caller.served);
        for (class, waiting) in self.classes.iter_mut().zip(&caller.classes) {
            if !waiting.arrivals.is_empty() {
                class.by_served.remove(&(caller.served, id));
                class.by_served.insert((caller.served + 1, id));
            }
        }
        caller.served += 1;
    }

    /// Removes and returns a request whose deadline is at most `limit`, if there
    /// is one.
    pub(crate) fn pop_due_by(&mut self, limit: Instant) -> Option<Waiting> {
        let due = |c: &Class| c.by_deadline.first().filter(|p| p.0 <= limit).map(|p| p.1);
        let seq = self.classes.iter().find_map(due)?;
        self.remove(Ticket(seq))
    }

    /// Removes and returns the request that a new one displaces from a full queue,
    /// if any. Requests of the lowest priority are displaced first. If none has a
    /// lower priority than the new request, and the new request's caller has less
    /// than its fair share of the queue, a request of the same priority is
    /// displaced. In either priority, it is the newest request of the caller with
    /// the most.
    pub(crate) fn displace_for(&mut self, meta: &RequestMeta) -> Option<Waiting> {
        let class = class_index(meta.priority);
        let lower = self.classes[..class].iter().position(|c| !c.by_deadline.is_empty());
        if let Some(lower) = lower {
            return self.remove_newest_of_largest(lower);
        }
        let own_count = self.caller_ids.get(&meta.caller).and_then(|id| self.callers.get(id));
        let own_count = own_count.map_or(0, |c| c.classes[class].arrivals.len());
        let callers = self.classes[class].by_served.len() + usize::from(own_count == 0);
        let fair = (self.bound / callers.max(1)).max(1);
        let largest = self.classes[class].by_count.last()?.0;
        if own_count >= fair || largest <= own_count + 1 {
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
        let (waiting, id) = self.requests.remove(&ticket.0)?;
        let index = class_index(waiting.meta.priority);
        let key = (waiting.meta.deadline, ticket.0);
        let bucket = self.bucket(waiting.meta.deadline);
        let class = &mut self.classes[index];
        class.by_deadline.remove(&key);
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
            own.by_deadline.remove(&key);
            if own.arrivals.is_empty() {
                class.by_served.remove(&(caller.served, id));
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

    /// Returns the ID of the caller, which is added if it has no requests yet.
    fn caller_id(&mut self, name: &CallerName) -> u32 {
        if let Some(id) = self.caller_ids.get(name) {
            return *id;
        }
        let id = self.next_caller;
        self.next_caller = self.next_caller.wrapping_add(1);
        let caller = CallerQueue {
            name: name.clone(),
            served: self.virtual_time,
            classes: Default::default(),
        };
        self.callers.insert(id, caller);
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
