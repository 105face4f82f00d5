//! IDs that callers and operators choose and that carry the time of their first use.
//!
//! The format is `<unix_ms>-<text>`. The receiver keeps a record of an ID for a limited time; the
//! time in the ID lets it refuse an older one, of which it may have dropped the record, instead of
//! doing the work a second time.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The maximum length of the text part in bytes.
pub const TIMED_ID_TEXT_MAX_BYTES: usize = 64;

/// Why a text is not a valid timed ID.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TimedIdError {
    /// There is no `-` to separate the time from the text.
    #[error("expected `<unix_ms>-<text>`, got `{0}`")]
    NoSeparator(String),
    /// The part before the first `-` is not an unsigned 64-bit integer.
    #[error("`{0}` is not a time in milliseconds since the Unix epoch")]
    BadTime(String),
    /// The text part is empty or longer than [`TIMED_ID_TEXT_MAX_BYTES`]; holds its length.
    #[error("the text part of an ID must have 1 to {TIMED_ID_TEXT_MAX_BYTES} bytes, got {0}")]
    BadLength(usize),
    /// The text part has a character other than ASCII letters, digits, `-`, `_` and `.`.
    #[error("`{0}` is not allowed in an ID; use ASCII letters, digits, `-`, `_` and `.`")]
    BadCharacter(char),
}

fn parse(text: &str) -> Result<(u64, Arc<str>), TimedIdError> {
    let Some((time, rest)) = text.split_once('-') else {
        return Err(TimedIdError::NoSeparator(text.to_owned()));
    };
    let unix_ms = time
        .parse()
        .map_err(|_| TimedIdError::BadTime(time.to_owned()))?;
    if rest.is_empty() || rest.len() > TIMED_ID_TEXT_MAX_BYTES {
        return Err(TimedIdError::BadLength(rest.len()));
    }
    if let Some(bad) = rest.chars().find(|&c| !is_allowed(c)) {
        return Err(TimedIdError::BadCharacter(bad));
    }
    Ok((unix_ms, Arc::from(rest)))
}

fn is_allowed(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}

macro_rules! timed_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name {
            unix_ms: u64,
            text: Arc<str>,
        }

        impl $name {
            /// Creates an ID from its parts; fails if `text` is not a valid text part.
            pub fn new(unix_ms: u64, text: &str) -> Result<$name, TimedIdError> {
                format!("{unix_ms}-{text}").parse()
            }

            /// When the ID was first used, in milliseconds since the Unix epoch, on the clock of
            /// the caller or operator that chose it.
            pub fn unix_ms(&self) -> u64 {
                self.unix_ms
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}-{}", self.unix_ms, self.text)
            }
        }

        impl FromStr for $name {
            type Err = TimedIdError;

            fn from_str(text: &str) -> Result<$name, TimedIdError> {
                parse(text).map(|(unix_ms, text)| $name { unix_ms, text })
            }
        }

        impl TryFrom<String> for $name {
            type Error = TimedIdError;

            fn try_from(text: String) -> Result<$name, TimedIdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.to_string()
            }
        }
    };
}

timed_id!(
    /// Identifies one request of an operator for a plan or for the confirmation of a plan; a retry
    /// carries the same ID.
    OperationId
);
timed_id!(
    /// Identifies one non-idempotent request of a caller; a retry carries the same ID.
    RequestId
);
