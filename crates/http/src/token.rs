//! The shared secret that peers and operators present.

use cyclamenloft_types::{Error, ErrorKind, Result};
use http::{HeaderMap, HeaderName, header};
use std::{fmt, path::Path};
use subtle::ConstantTimeEq;

/// Minimum length of a token.
const MIN_TOKEN_BYTES: usize = 16;

/// A shared secret. It is never printed.
#[derive(Clone)]
pub struct Token(Box<str>);

impl Token {
    /// Reads a token from a file. Surrounding white space is ignored.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadSetting`] naming the file.
    pub fn from_file(path: &Path) -> Result<Self> {
        let bad = |what: String| {
            Error::new(ErrorKind::BadSetting, format!("token file {}: {what}", path.display()))
        };
        let text = std::fs::read_to_string(path).map_err(|e| bad(e.to_string()))?;
        Self::try_from(text.trim()).map_err(|e| bad(e.detail.into()))
    }

    /// Returns the value of the `Authorization` header that presents this token.
    #[must_use]
    pub fn header_value(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Checks that a request presents this token, in constant time.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unauthorized`] if it doesn't.
    pub fn check(&self, headers: &HeaderMap) -> Result<()> {
        self.check_in(headers, &header::AUTHORIZATION)
    }

    /// Checks that the header `name` presents this token, in constant time. Use it
    /// for requests whose `Authorization` header belongs to the caller.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unauthorized`] if it doesn't.
    pub fn check_in(&self, headers: &HeaderMap, name: &HeaderName) -> Result<()> {
        let expected = self.header_value();
        let presented = headers.get(name).map_or(&[][..], |v| v.as_bytes());
        if bool::from(expected.as_bytes().ct_eq(presented)) {
            return Ok(());
        }
        Err(Error::new(ErrorKind::Unauthorized, "token missing or wrong"))
    }
}

impl TryFrom<&str> for Token {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self> {
        if raw.len() < MIN_TOKEN_BYTES || !raw.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Error::new(
                ErrorKind::BadSetting,
                format!("expected at least {MIN_TOKEN_BYTES} visible ASCII characters"),
            ));
        }
        Ok(Self(raw.into()))
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
