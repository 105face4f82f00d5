//! Numeric IDs, versions and counters.
//!
//! The replicated state assigns `WorkerId`, `TaskId`, `JobId` and `PlanId` in ascending order,
//! without gaps, and never reuses one, so that a delayed message cannot refer to a newer object by
//! mistake.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The error for a text that is not the `Display` form of the expected ID.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("expected `{prefix}` followed by a number, got `{text}`")]
pub struct ParseIdError {
    /// The prefix of the expected ID type, for instance `task`.
    pub prefix: &'static str,
    /// The text that was parsed, in full.
    pub text: String,
}

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $prefix:literal) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl $name {
            /// The value after this one.
            pub fn next(self) -> $name {
                $name(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<$name, ParseIdError> {
                text.strip_prefix($prefix)
                    .and_then(|digits| digits.parse().ok())
                    .map($name)
                    .ok_or_else(|| ParseIdError { prefix: $prefix, text: text.to_owned() })
            }
        }
    };
}

numeric_id!(
    /// A worker that has registered with the control processes.
    WorkerId,
    u32,
    "worker"
);
numeric_id!(
    /// A task of a job; it keeps its ID over all its attempts.
    TaskId,
    u32,
    "task"
);
numeric_id!(
    /// A job: a service, a batch or a gang.
    JobId,
    u32,
    "job"
);
numeric_id!(
    /// A plan that an operator may confirm.
    PlanId,
    u64,
    "plan"
);
numeric_id!(
    /// An entry process that is listed in the roster.
    EntryId,
    u16,
    "entry"
);
numeric_id!(
    /// A control process. The number is kept in its data directory. It is drawn at random when the
    /// directory is created, unless the settings specify it.
    MemberId,
    u64,
    "member"
);
numeric_id!(
    /// The number of one attempt to run a task; a higher attempt fences off the lower ones.
    Attempt,
    u32,
    "attempt"
);
numeric_id!(
    /// The number of one incarnation of a process; it is higher after each restart.
    Incarnation,
    u64,
    "incarnation"
);
numeric_id!(
    /// The version of the configuration as a whole; each change increases it.
    ConfigVersion,
    u64,
    "config"
);
numeric_id!(
    /// The version of one object (a job, a worker, a quota) that a plan depends on; 0 if the object
    /// does not exist.
    ObjectVersion,
    u64,
    "v"
);
