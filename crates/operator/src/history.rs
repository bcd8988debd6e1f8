//! Who was given which number, in bounded memory.
//!
//! The last [`RECENT`] acceptances are kept in full. Older ones, up to
//! [`REMEMBERED`] in all, are kept as hash, time and index of the author, which
//! is all that is needed to answer a repeated proposal or a conflict. Beyond
//! that a number is known only to be taken.

use crate::state::Accepted;
use cyclamenloft_types::ConfigNumber;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Acceptances kept in full.
pub const RECENT: usize = 1024;
/// Acceptances whose hash, time and author are known: ten days at 6,000 a day.
pub const REMEMBERED: usize = 65_536;

/// What is known about a number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Holder {
    /// Nobody holds it yet.
    Free,
    /// It was given to this configuration.
    Known(Accepted),
    /// It was given too long ago to know to whom.
    Forgotten,
}

/// The acceptances, oldest first; their numbers follow each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct History {
    authors: Authors,
    past: VecDeque<Past>,
    recent: Vec<Accepted>,
}

/// An acceptance in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Past {
    /// Little-endian, as a hash gains nothing from a variable length.
    hash: [u8; 8],
    at_unix_ms: u64,
    author: u32,
}

impl History {
    pub(crate) fn last(&self) -> Option<&Accepted> {
        self.recent.last()
    }

    pub(crate) fn recent(&self) -> &[Accepted] {
        &self.recent
    }

    pub(crate) fn push(&mut self, accepted: Accepted) {
        self.recent.push(accepted);
        if self.recent.len() > RECENT {
            let old = self.recent.remove(0);
            let author = self.authors.enter(&old.author);
            let hash = old.hash.to_le_bytes();
            self.past.push_back(Past { hash, at_unix_ms: old.at_unix_ms, author });
        }
        if self.past.len() + self.recent.len() > REMEMBERED
            && let Some(oldest) = self.past.pop_front()
        {
            self.authors.leave(oldest.author);
        }
    }

    pub(crate) fn holder(&self, number: ConfigNumber) -> Holder {
        let Some(first) = self.recent.first() else {
            return Holder::Free;
        };
        if number == 0 || self.last().is_none_or(|last| number > last.number) {
            return Holder::Free;
        }
        if let Some(at) = number.checked_sub(first.number) {
            let recent = usize::try_from(at).ok().and_then(|at| self.recent.get(at));
            return recent.cloned().map_or(Holder::Forgotten, Holder::Known);
        }
        let back = usize::try_from(first.number - number).ok();
        let past = back.and_then(|back| self.past.len().checked_sub(back));
        match past.and_then(|at| self.past.get(at)) {
            Some(past) => Holder::Known(self.in_full(number, past)),
            None => Holder::Forgotten,
        }
    }

    fn in_full(&self, number: ConfigNumber, past: &Past) -> Accepted {
        Accepted {
            number,
            hash: u64::from_le_bytes(past.hash),
            author: self.authors.name(past.author).into(),
            at_unix_ms: past.at_unix_ms,
        }
    }

    /// Whether numbers follow each other, limits are kept and authors known.
    pub(crate) fn is_sound(&self) -> bool {
        let Some(first) = self.recent.first() else {
            return self.past.is_empty() && self.authors.is_sound(&self.past);
        };
        let follows = |pair: &[Accepted]| pair[0].number.checked_add(1) == Some(pair[1].number);
        self.recent.windows(2).all(follows)
            && self.recent.len() <= RECENT
            && self.past.len() + self.recent.len() <= REMEMBERED
            && (self.past.is_empty() || self.recent.len() == RECENT)
            && (self.past.len() as u64) < first.number
            && self.authors.is_sound(&self.past)
    }
}

/// Names that many acceptances share, each held once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Authors {
    entries: Vec<Author>,
}

/// A name and how many acceptances refer to it; a place at 0 is free.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Author {
    name: Box<str>,
    uses: u32,
}

impl Authors {
    fn enter(&mut self, name: &str) -> u32 {
        let same = self.entries.iter().position(|a| a.uses > 0 && *a.name == *name);
        let free = || self.entries.iter().position(|a| a.uses == 0);
        let at = same.or_else(free).unwrap_or(self.entries.len());
        match self.entries.get_mut(at) {
            Some(author) if author.uses > 0 => author.uses += 1,
            Some(free) => *free = Author { name: name.into(), uses: 1 },
            None => self.entries.push(Author { name: name.into(), uses: 1 }),
        }
        // No more entries than acceptances, and REMEMBERED fits.
        at as u32
    }

    fn leave(&mut self, at: u32) {
        if let Some(author) = self.entries.get_mut(at as usize) {
            author.uses = author.uses.saturating_sub(1);
            if author.uses == 0 {
                author.name = Box::default();
            }
        }
    }

    fn name(&self, at: u32) -> &str {
        self.entries.get(at as usize).map_or("", |author| &author.name)
    }

    fn is_sound(&self, past: &VecDeque<Past>) -> bool {
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
