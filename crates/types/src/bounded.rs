//! Decodes lists up to a largest length, since the decoded form may take many times the memory of the
//! text.

use serde::{
    Deserialize, Deserializer,
    de::{Error, IgnoredAny, SeqAccess, Visitor},
};
use std::{fmt, marker::PhantomData};

/// Decodes a list of at most `MAX` items. Of a longer one, no more items are kept.
///
/// # Errors
///
/// Returns an error that names `MAX` and the length of the list.
pub fn bounded_list<'de, const MAX: usize, T, D>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    deserializer.deserialize_seq(Bounded::<MAX, T>(PhantomData))
}

struct Bounded<const MAX: usize, T>(PhantomData<T>);

impl<'de, const MAX: usize, T: Deserialize<'de>> Visitor<'de> for Bounded<MAX, T> {
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {MAX} items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<T>, A::Error> {
        let too_long =
            |len| A::Error::custom(format_args!("expected at most {MAX} items, found {len}"));
        // A binary format states the length.
        if let Some(len) = seq.size_hint().filter(|len| *len > MAX) {
            return Err(too_long(len));
        }
        let mut items = Vec::new();
        while items.len() < MAX {
            match seq.next_element()? {
                Some(item) => items.push(item),
                None => return Ok(items),
            }
        }
        let mut len = MAX;
        while seq.next_element::<IgnoredAny>()?.is_some() {
            len += 1;
        }
        if len > MAX { Err(too_long(len)) } else { Ok(items) }
    }
}
