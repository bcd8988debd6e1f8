//! The table of all configuration keys, for the operators' documentation and
//! for shell completion.
use crate::{context::Context, deployment::Deployment, section::Section};
use serde::Serialize;

/// One configuration key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeyRow {
    /// The dotted key; `<service>` and the like stand for a name.
    pub key: Box<str>,
    /// Type of the value: integer, duration, boolean or string.
    pub kind: Box<str>,
    /// Accepted range or values.
    pub expected: Box<str>,
    /// The default value, if there is one.
    pub default: Option<Box<str>>,
}

/// Returns every key that a configuration may contain.
#[must_use]
pub fn known_keys() -> Vec<KeyRow> {
    let cx = Context::recording();
    Section::root(&cx, None).read(Deployment::read);
    cx.into_rows()
}

/// Returns the serde name of the enum variant `value`.
pub(crate) fn default_text(value: &impl Serialize) -> Option<String> {
    toml::Value::try_from(value).ok()?.as_str().map(str::to_owned)
}
