//! The table of all keys that a configuration may hold, for the operators'
//! page and for shells that complete keys.

use crate::{context::Context, deployment::Deployment, section::Section};
use serde::Serialize;

/// One key that a configuration may hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeyRow {
    /// The dotted key; `<service>` and the like stand for a name.
    pub key: Box<str>,
    /// Type of the value: integer, duration, boolean or string.
    pub kind: Box<str>,
    /// Range or words that are accepted.
    pub expected: Box<str>,
    /// The value where no file gives one; absent where there is none.
    pub default: Option<Box<str>>,
}

/// Every key that a configuration may hold.
#[must_use]
pub fn known_keys() -> Vec<KeyRow> {
    let cx = Context::recording();
    Section::root(&cx, None).read(Deployment::read);
    cx.into_rows()
}

/// The word that serde spells `value` as.
pub(crate) fn default_text(value: &impl Serialize) -> Option<String> {
    toml::Value::try_from(value).ok()?.as_str().map(str::to_owned)
}
