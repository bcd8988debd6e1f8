//! The state machine of the tests, and the checker of the outcomes that clients
//! got.

use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::{Error, ErrorKind, LogIndex, Result};
use std::collections::BTreeMap;

/// A list of numbers, with filler to make states large.
#[derive(Clone, Default)]
pub struct List {
    pub values: Vec<u64>,
    pub filler: Vec<u8>,
}

/// Command that adds a number to the list, with filler bytes.
pub type Add = (u64, Vec<u8>);

impl StateMachine for List {
    type Command = Add;
    type Response = LogIndex;

    fn apply(&mut self, index: LogIndex, (value, filler): &Add) -> LogIndex {
        self.values.push(*value);
        self.filler.extend(filler);
        index
    }

    fn encode(&self) -> Vec<u8> {
        let values = self.values.iter().flat_map(|v| v.to_le_bytes());
        let count = (self.values.len() as u64).to_le_bytes();
        count.into_iter().chain(values).chain(self.filler.iter().copied()).collect()
    }

    fn decode(bytes: &[u8]) -> Result<Self> {
        let truncated = || Error::new(ErrorKind::Corrupt, "list is cut short");
        let number = |b: &[u8]| u64::from_le_bytes(b.try_into().unwrap());
        let (count, rest) = bytes.split_at_checked(8).ok_or_else(truncated)?;
        let (values, filler) =
            rest.split_at_checked(number(count) as usize * 8).ok_or_else(truncated)?;
        Ok(Self { values: values.chunks(8).map(number).collect(), filler: filler.into() })
    }
}

/// The outcome of a client's proposal of one value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Accepted,
    /// Definitely not accepted.
    Refused,
    Unknown,
}

impl Outcome {
    pub fn of(result: &Result<LogIndex>) -> Self {
        match result {
            Ok(_) => Self::Accepted,
            Err(e) if matches!(e.kind, ErrorKind::NotLeader | ErrorKind::NoQuorum) => Self::Refused,
            Err(e) if matches!(e.kind, ErrorKind::ChangeUnknown | ErrorKind::DiskFailed) => {
                Self::Unknown
            }
            Err(e) => panic!("unexpected answer {e}"),
        }
    }
}

/// The outcomes that clients got and the states that replicas showed.
#[derive(Default)]
pub struct History {
    next: u64,
    outcomes: BTreeMap<u64, Outcome>,
    /// Accepted values, each with the number of values that were accepted
    /// before it was proposed.
    accepted: Vec<(u64, usize)>,
    /// The longest applied state that any replica has shown.
    longest: Vec<u64>,
}

impl History {
    /// Returns a new value and the number of values that were accepted before
    /// it.
    pub fn begin(&mut self) -> (u64, usize) {
        self.next += 1;
        // The outcome is unknown until the proposal returns.
        self.outcomes.insert(self.next, Outcome::Unknown);
        (self.next, self.accepted.len())
    }

    pub fn end(&mut self, (value, before): (u64, usize), outcome: Outcome) {
        self.outcomes.insert(value, outcome);
        if outcome == Outcome::Accepted {
            self.accepted.push((value, before));
        }
    }

    pub fn accepted(&self) -> usize {
        self.accepted.len()
    }

    /// Checks a replica's applied state against all earlier ones: of any two,
    /// one must be a prefix of the other.
    pub fn observe(&mut self, values: &[u64]) {
        let common = values.len().min(self.longest.len());
        assert_eq!(values[..common], self.longest[..common], "applied state reverted");
        if values.len() > common {
            self.longest = values.into();
        }
    }

    /// Checks the final state of all replicas against the outcomes that clients
    /// got.
    pub fn check(&mut self, values: &[u64]) {
        self.observe(values);
        assert_eq!(values.len(), self.longest.len(), "applied entries were lost");
        let mut positions = BTreeMap::new();
        for (position, value) in values.iter().enumerate() {
            assert!(positions.insert(*value, position).is_none(), "{value} was applied twice");
        }
        for (value, outcome) in &self.outcomes {
            let there = positions.contains_key(value);
            assert!(there || *outcome != Outcome::Accepted, "{value} was accepted but lost");
            assert!(!there || *outcome != Outcome::Refused, "{value} was refused but applied");
        }
        let mut greatest = Vec::new();
        for (value, before) in &self.accepted {
            let position = positions[value];
            let earlier = before.checked_sub(1).map(|i| greatest[i]);
            assert!(
                earlier.is_none_or(|e| e < position),
                "{value} was applied before a value that was accepted earlier"
            );
            greatest.push(greatest.last().copied().unwrap_or(0).max(position));
        }
    }
}
