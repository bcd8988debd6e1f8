//! The announcements known to an entry host, one for each target.
//!
//! The content does not depend on the order in which announcements arrive: for
//! each target, the highest sequence wins, and among equal sequences `leaving`
//! wins.

use crate::announcement::{ANNOUNCEMENT_TTL, TargetAnnouncement, TargetPhase};
use cyclamenloft_types::{ServiceName, TargetId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// How long a sequence number is kept after its announcement has expired. A delayed
/// announcement with a lower number can't make the target valid again during this time.
const SEQUENCE_RETENTION: Duration = Duration::from_secs(60);

/// Identifies a target of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceTarget {
    /// The service.
    pub service: ServiceName,
    /// The target.
    pub target: TargetId,
}

#[derive(Clone, Debug)]
struct Entry {
    announcement: TargetAnnouncement,
    received_at: Instant,
}

/// The announcements known to one entry host.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<ServiceTarget, Entry>,
}

impl Registry {
    /// Stores an announcement received at `now`. Returns false if the stored one of the
    /// same target is as recent or more recent.
    pub fn update(&mut self, announcement: &TargetAnnouncement, now: Instant) -> bool {
        let key = ServiceTarget {
            service: announcement.service.clone(),
            target: announcement.target.clone(),
        };
        if let Some(current) = self.entries.get(&key)
            && rank(&current.announcement) >= rank(announcement)
        {
            return false;
        }
        self.entries.insert(key, Entry { announcement: announcement.clone(), received_at: now });
        true
    }

    /// Returns the announcements that are valid at `now`.
    pub fn valid(&self, now: Instant) -> impl Iterator<Item = &TargetAnnouncement> {
        self.entries
            .values()
            .filter(move |e| e.received_at + ANNOUNCEMENT_TTL > now)
            .map(|e| &e.announcement)
    }

    /// Removes announcements whose sequence no longer needs to be kept.
    pub fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, e| e.received_at + ANNOUNCEMENT_TTL + SEQUENCE_RETENTION > now);
    }
}

fn rank(announcement: &TargetAnnouncement) -> (u64, bool) {
    (announcement.sequence, announcement.phase == TargetPhase::Leaving)
}
