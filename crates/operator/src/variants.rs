//! Words of the configuration that stand for the variants of an enum. The
//! words are those of the enum's serde form, so that an enum of another
//! package that gains a variant needs no change here.

use serde::{
    Deserialize, Serialize,
    de::{self, IntoDeserializer as _, value::StrDeserializer},
};
use std::fmt;

/// An enum without fields whose variants serde spells as words.
pub(crate) trait Variants: Serialize + for<'de> Deserialize<'de> {}

impl<T: Serialize + for<'de> Deserialize<'de>> Variants for T {}

/// The variant that `word` stands for.
pub(crate) fn parse<T: Variants>(word: &str) -> Option<T> {
    read(word).ok()
}

/// The words of `T`, for "expected ..." in messages.
pub(crate) fn listed<T: Variants>() -> String {
    // No enum spells a variant as the empty word.
    let words = read::<T>("").err().map_or(&[][..], |e| e.expected);
    let quoted: Vec<String> = words.iter().map(|word| format!("{word:?}")).collect();
    match quoted.split_last() {
        Some((last, rest)) if !rest.is_empty() => format!("{} or {last}", rest.join(", ")),
        _ => quoted.concat(),
    }
}

fn read<T: Variants>(word: &str) -> Result<T, UnknownWord> {
    let deserializer: StrDeserializer<'_, UnknownWord> = word.into_deserializer();
    T::deserialize(deserializer)
}

/// Keeps the words that serde would have accepted.
#[derive(Debug)]
struct UnknownWord {
    expected: &'static [&'static str],
}

impl fmt::Display for UnknownWord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected one of {}", self.expected.join(", "))
    }
}

impl std::error::Error for UnknownWord {}

impl de::Error for UnknownWord {
    fn custom<T: fmt::Display>(_: T) -> Self {
        Self { expected: &[] }
    }

    fn unknown_variant(_: &str, expected: &'static [&'static str]) -> Self {
        Self { expected }
    }
}
