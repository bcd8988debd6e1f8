//! The part of the log that is kept in memory.

use crate::entry::Entry;
use cyclamenloft_types::{LogIndex, Term};
use std::collections::VecDeque;

/// Contiguous entries after a base index that a snapshot covers.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
}

impl Log {
    pub fn new(base: LogIndex, base_term: Term, entries: Vec<Entry>) -> Self {
        Self { base, base_term, entries: entries.into() }
    }

    /// Returns the index before the first entry in memory.
    pub fn base(&self) -> LogIndex {
        self.base
    }

    pub fn last_index(&self) -> LogIndex {
        self.base + self.entries.len() as u64
    }

    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        index.checked_sub(self.base + 1).map(|p| p as usize)
    }

    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    /// Returns the term of the entry at `index` if the log still has it.
    pub fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Appends an entry, which must have the next index.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entries at `index` and after.
    pub fn truncate(&mut self, index: LogIndex) {
        if let Some(position) = self.position(index) {
            self.entries.truncate(position);
        }
    }

    /// Drops the entries up to and including `index` from memory.
    pub fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term(index) else { return };
        self.entries.drain(..(index - self.base) as usize);
        self.base = index;
        self.base_term = term;
    }

    /// Removes all entries; the next entry has the index after `index`.
    pub fn reset(&mut self, index: LogIndex, term: Term) {
        *self = Self::new(index, term, Vec::new());
    }

    /// Returns the entries from `index` on that fit into `max_bytes`, but at
    /// least one.
    pub fn slice(&self, index: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let Some(position) = self.position(index) else { return Vec::new() };
        let mut bytes = 0;
        let fits = |e: &&Entry| {
            let is_first = bytes == 0;
            bytes += e.approx_bytes();
            is_first || bytes <= max_bytes
        };
        self.entries.iter().skip(position).take_while(fits).cloned().collect()
    }

    /// Returns the first index of the consecutive entries that have the same
    /// term as the entry at `index`.
    pub fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let Some(term) = self.term(index) else { return self.base + 1 };
        let mut first = index;
        while first > self.base + 1 && self.term(first - 1) == Some(term) {
            first -= 1;
        }
        first
    }
}
