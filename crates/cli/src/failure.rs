//! Failures and the exit codes that tell them apart.

use thiserror::Error;

/// Why a command did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum Failure {
    /// The command line or a setting is wrong; nothing was sent.
    #[error("{0}")]
    Usage(String),
    /// The system refused; nothing was changed.
    #[error("refused: {0}")]
    Refused(String),
    /// What was named does not exist; nothing was changed.
    #[error("not found: {0}")]
    NotFound(String),
    /// The change may have taken effect.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The change is accepted, but some entries have not confirmed it.
    #[error("accepted, but not confirmed by every entry: {0}")]
    NotEverywhere(String),
    /// No entry answered, or none could reach a leader; nothing was changed.
    #[error("unreachable: {0}")]
    Unreachable(String),
}

impl Failure {
    /// The exit code of the program.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Failure::Usage(_) => 2,
            Failure::Refused(_) => 3,
            Failure::NotFound(_) => 4,
            Failure::Unknown(_) | Failure::NotEverywhere(_) => 5,
            Failure::Unreachable(_) => 6,
        }
    }
}
