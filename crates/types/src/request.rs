//! Classes and outcomes of callers' requests.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The class of a request. Each class has its own admission limits and default deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Takes milliseconds. Of the slots of an upstream that the entries use, one in four, rounded
    /// down, is reserved for this class.
    Lookup,
    /// The class of a request that names none.
    Standard,
    /// May take minutes.
    Recalculation,
}

impl RequestClass {
    /// All classes, the shortest first.
    pub const ALL: [RequestClass; 3] = [
        RequestClass::Lookup,
        RequestClass::Standard,
        RequestClass::Recalculation,
    ];

    fn as_str(self) -> &'static str {
        match self {
            RequestClass::Lookup => "lookup",
            RequestClass::Standard => "standard",
            RequestClass::Recalculation => "recalculation",
        }
    }
}

/// The error for a text that is not the name of a request class.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("expected `lookup`, `standard` or `recalculation`, got `{0}`")]
pub struct ParseClassError(pub String);

impl fmt::Display for RequestClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RequestClass {
    type Err = ParseClassError;

    fn from_str(text: &str) -> Result<RequestClass, ParseClassError> {
        RequestClass::ALL
            .into_iter()
            .find(|class| class.as_str() == text)
            .ok_or_else(|| ParseClassError(text.to_owned()))
    }
}

/// The outcome of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// An upstream sent a complete answer.
    Done,
    /// The request was not run; the answer may say when to retry.
    Refused,
    /// It is not known whether the request ran.
    Unknown,
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RequestOutcome::Done => "done",
            RequestOutcome::Refused => "refused",
            RequestOutcome::Unknown => "unknown",
        })
    }
}
