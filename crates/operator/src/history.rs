//! The history of accepted configurations by number, in bounded memory.
//!
//! The last [`MAX_RECENT`] accepted configurations are kept in full. Older ones,
//! up to [`MAX_RETAINED`] in total, are kept as hash, time and author index (see
//! `Authors`), which is enough to answer a resent or a conflicting proposal. For
//! older numbers, the history only knows that they are taken.

use crate::state::AcceptedConfig;
use cyclamenloft_types::ConfigNumber;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of accepted configurations kept in full.
pub const MAX_RECENT: usize = 1024;
/// Maximum number of accepted configurations whose hash, time and author are
/// kept: ten days at 6,000 configurations per day.
pub const MAX_RETAINED: usize = 65_536;

/// Whether a configuration number is taken, and by which accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NumberStatus {
    /// The number is not taken.
    Free,
    /// The number is taken by this configuration.
    Known(AcceptedConfig),
    /// The number was taken so long ago that its configuration is no longer known.
    Unretained,
}

/// The accepted configurations, oldest first, with consecutive numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct History {
    authors: Authors,
    past: VecDeque<CompactEntry>,
    recent: Vec<AcceptedConfig>,
}

/// An accepted configuration without its number, and with an index into [`Authors`]
/// instead of the author name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CompactEntry {
    /// Little-endian bytes, because variable-length encoding does not shorten a
    /// hash.
    hash: [u8; 8],
    at_unix_ms: u64,
    author: u32,
}

impl History {
    pub(crate) fn last(&self) -> Option<&AcceptedConfig> {
        self.recent.last()
    }

    pub(crate) fn recent(&self) -> &[AcceptedConfig] {
        &self.recent
    }

    pub(crate) fn push(&mut self, accepted: AcceptedConfig) {
        self.recent.push(accepted);
        if self.recent.len() > MAX_RECENT {
            let old = self.recent.remove(0);
            let author = self.authors.intern(&old.author);
            let hash = old.hash.to_le_bytes();
            self.past.push_back(CompactEntry { hash, at_unix_ms: old.at_unix_ms, author });
        }
        if self.past.len() + self.recent.len() > MAX_RETAINED
            && let Some(oldest) = self.past.pop_front()
        {
            self.authors.release(oldest.author);
        }
    }

    pub(crate) fn number_status(&self, number: ConfigNumber) -> NumberStatus {
        let Some(first) = self.recent.first() else {
            return NumberStatus::Free;
        };
        if number == 0 || self.last().is_none_or(|last| number > last.number) {
            return NumberStatus::Free;
        }
        if let Some(index) = number.checked_sub(first.number) {
            let recent = usize::try_from(index).ok().and_then(|index| self.recent.get(index));
            return recent.cloned().map_or(NumberStatus::Unretained, NumberStatus::Known);
        }
        let distance = usize::try_from(first.number - number).ok();
        let past = distance.and_then(|distance| self.past.len().checked_sub(distance));
        match past.and_then(|index| self.past.get(index)) {
            Some(past) => NumberStatus::Known(self.expand(number, past)),
            None => NumberStatus::Unretained,
        }
    }

    fn expand(&self, number: ConfigNumber, past: &CompactEntry) -> AcceptedConfig {
        AcceptedConfig {
            number,
            hash: u64::from_le_bytes(past.hash),
            author: self.authors.name(past.author).into(),
            at_unix_ms: past.at_unix_ms,
        }
    }

    /// Returns whether numbers are consecutive, limits are respected and every
    /// author is known.
    pub(crate) fn is_consistent(&self) -> bool {
        let Some(first) = self.recent.first() else {
            return self.past.is_empty() && self.authors.is_consistent(&self.past);
        };
        let follows =
            |pair: &[AcceptedConfig]| pair[0].number.checked_add(1) == Some(pair[1].number);
        self.recent.windows(2).all(follows)
            && self.recent.len() <= MAX_RECENT
            && self.past.len() + self.recent.len() <= MAX_RETAINED
            && (self.past.is_empty() || self.recent.len() == MAX_RECENT)
            && (self.past.len() as u64) < first.number
            && self.authors.is_consistent(&self.past)
    }
}

/// Interned author names with reference counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Authors {
    entries: Vec<Author>,
}

/// An author name and the number of compact entries that refer to it. An entry
/// with 0 uses is free.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Author {
    name: Box<str>,
    uses: u32,
}

impl Authors {
    fn intern(&mut self, name: &str) -> u32 {
        let same = self.entries.iter().position(|a| a.uses > 0 && *a.name == *name);
        let free = || self.entries.iter().position(|a| a.uses == 0);
        let index = same.or_else(free).unwrap_or(self.entries.len());
        match self.entries.get_mut(index) {
            Some(author) if author.uses > 0 => author.uses += 1,
            Some(free) => *free = Author { name: name.into(), uses: 1 },
            None => self.entries.push(Author { name: name.into(), uses: 1 }),
        }
        // There are at most MAX_RETAINED entries, so an index fits into a u32.
        index as u32
    }

    fn release(&mut self, index: u32) {
        if let Some(author) = self.entries.get_mut(index as usize) {
            author.uses = author.uses.saturating_sub(1);
            if author.uses == 0 {
                author.name = Box::default();
            }
        }
    }

    fn name(&self, index: u32) -> &str {
        self.entries.get(index as usize).map_or("", |author| &author.name)
    }

    fn is_consistent(&self, past: &VecDeque<CompactEntry>) -> bool {
        let mut uses = vec![0; self.entries.len()];
        for past in past {
            match uses.get_mut(past.author as usize) {
                Some(uses) => *uses += 1,
                None => return false,
            }
        }
        self.entries.iter().map(|author| author.uses).eq(uses)
    }
}
