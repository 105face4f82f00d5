//! Names of jobs, teams, workers, racks, failure domains, services and other objects.
//!
//! A name has 1 to 63 characters out of `a-z`, `0-9`, `-`, `.` and `_`, and starts with a letter
//! or a digit, so that paths, headers, logs and scenario files need no quotes around it.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The maximum length of a name in bytes.
pub const NAME_MAX_BYTES: usize = 63;

/// Why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`NAME_MAX_BYTES`]; holds its length in bytes.
    #[error("a name must have at most {NAME_MAX_BYTES} bytes, got {0}")]
    TooLong(usize),
    /// The text has a character other than `a-z`, `0-9`, `-`, `.` and `_`.
    #[error("`{0}` is not allowed in a name; use a-z, 0-9, `-`, `.` and `_`")]
    BadCharacter(char),
    /// The text starts with `-`, `.` or `_`.
    #[error("a name must start with a letter or a digit, got `{0}`")]
    BadStart(char),
}

/// A valid name. Clones share the text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    /// Creates a name from `text` if it is valid.
    pub fn new(text: &str) -> Result<Name, NameError> {
        check(text)?;
        Ok(Name(Arc::from(text)))
    }

    /// The text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn check(text: &str) -> Result<(), NameError> {
    let Some(first) = text.chars().next() else {
        return Err(NameError::Empty);
    };
    if text.len() > NAME_MAX_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    if let Some(bad) = text.chars().find(|&c| !is_allowed(c)) {
        return Err(NameError::BadCharacter(bad));
    }
    if !first.is_ascii_alphanumeric() {
        return Err(NameError::BadStart(first));
    }
    Ok(())
}

fn is_allowed(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '.' | '_')
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Name, NameError> {
        Name::new(text)
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Name, NameError> {
        Name::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.as_ref().to_owned()
    }
}
