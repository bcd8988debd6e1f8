//! Words of the configuration that stand for the variants of an enum. The
//! words are those of the enum's serde form, so that an enum of another
//! package that gains a variant needs no change here.

use serde::{
    Deserialize, Serialize,
    de::{self, IntoDeserializer as _, value::StrDeserializer},
};
use std::fmt;

/// An enum without fields whose variants serde spells as words.
pub(crate) trait UnitEnum: Serialize + for<'de> Deserialize<'de> {}

impl<T: Serialize + for<'de> Deserialize<'de>> UnitEnum for T {}

/// The variant that `word` stands for.
pub(crate) fn parse<T: UnitEnum>(name: &str) -> Option<T> {
    read(name).ok()
}

/// The words of `T`, for "expected ..." in messages.
pub(crate) fn quoted_names<T: UnitEnum>() -> String {
    // No enum spells a variant as the empty word.
    let names = read::<T>("").err().map_or(&[][..], |e| e.expected);
    let quoted: Vec<String> = names.iter().map(|name| format!("{name:?}")).collect();
    match quoted.split_last() {
        Some((last, rest)) if !rest.is_empty() => format!("{} or {last}", rest.join(", ")),
        _ => quoted.concat(),
    }
}

fn read<T: UnitEnum>(name: &str) -> Result<T, UnknownVariant> {
    let deserializer: StrDeserializer<'_, UnknownVariant> = name.into_deserializer();
    T::deserialize(deserializer)
}

/// Keeps the words that serde would have accepted.
#[derive(Debug)]
struct UnknownVariant {
    expected: &'static [&'static str],
}

impl fmt::Display for UnknownVariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected one of {}", self.expected.join(", "))
    }
}

impl std::error::Error for UnknownVariant {}

impl de::Error for UnknownVariant {
    fn custom<T: fmt::Display>(_: T) -> Self {
        Self { expected: &[] }
    }

    fn unknown_variant(_: &str, expected: &'static [&'static str]) -> Self {
        Self { expected }
    }
}
