//! Failures of commands and their exit codes.

use thiserror::Error;

/// Why a command did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum Failure {
    /// The command line or a setting is invalid; no request was sent.
    #[error("{0}")]
    Usage(String),
    /// The system refused the request; nothing was changed.
    #[error("refused: {0}")]
    Refused(String),
    /// An object named in the request does not exist; nothing was changed.
    #[error("not found: {0}")]
    NotFound(String),
    /// The outcome is unknown: the change may have taken effect.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
    /// The change was accepted, but not every entry confirmed in time that it has applied it.
    #[error("accepted, but not confirmed by every entry: {0}")]
    NotConfirmedByAll(String),
    /// No entry responded, or none could reach a leader; nothing was changed.
    #[error("unreachable: {0}")]
    Unreachable(String),
}

impl Failure {
    /// The exit code of the program, as listed in its help text.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Failure::Usage(_) => 2,
            Failure::Refused(_) => 3,
            Failure::NotFound(_) => 4,
            Failure::OutcomeUnknown(_) | Failure::NotConfirmedByAll(_) => 5,
            Failure::Unreachable(_) => 6,
        }
    }
}
