//! Names of enum variants in the configuration. The names are those of the
//! enum's serde form, so that a new variant of an enum in another crate needs no
//! change here.

use serde::{
    Deserialize, Serialize,
    de::{self, IntoDeserializer as _, value::StrDeserializer},
};
use std::fmt;

/// An enum without fields whose variants serde represents by name.
pub(crate) trait UnitEnum: Serialize + for<'de> Deserialize<'de> {}

impl<T: Serialize + for<'de> Deserialize<'de>> UnitEnum for T {}

/// Returns the variant with the serde name `name`.
pub(crate) fn parse<T: UnitEnum>(name: &str) -> Option<T> {
    read(name).ok()
}

/// Returns the quoted variant names of `T`, for "expected ..." in messages.
pub(crate) fn quoted_names<T: UnitEnum>() -> String {
    // No enum has a variant with an empty name, so this read fails with the names that
    // serde expected.
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

/// Deserialization error that keeps the variant names that serde expected.
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
