//! Index newtypes and counters.
//!
//! Ids that the replicated state assigns (`WorkerId`, `TaskId`, `JobId`) are dense indices and
//! are never reused, so that an old message cannot name a new object.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// A text that is not the `Display` form of the expected id.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("expected `{prefix}` followed by a number, got `{text}`")]
pub struct ParseIdError {
    /// The prefix that the id type prints.
    pub prefix: &'static str,
    /// The rejected text.
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
            /// The next value.
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
    /// A worker VM known to the replicated state.
    WorkerId,
    u32,
    "worker"
);
numeric_id!(
    /// One task of a job.
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
    /// A recorded plan.
    PlanId,
    u64,
    "plan"
);
numeric_id!(
    /// An entry of the roster.
    EntryId,
    u16,
    "entry"
);
numeric_id!(
    /// A control process; drawn at random when its data folder is created.
    MemberId,
    u64,
    "member"
);
numeric_id!(
    /// The number of one start of a task; a higher attempt fences the lower ones.
    Attempt,
    u32,
    "attempt"
);
numeric_id!(
    /// One run of a process; a restarted process draws a higher one.
    Incarnation,
    u64,
    "incarnation"
);
numeric_id!(
    /// The version of the whole configuration.
    ConfigVersion,
    u64,
    "config"
);
numeric_id!(
    /// The version of one object (a job, a worker, a quota) that a plan may rest on.
    ObjectVersion,
    u64,
    "v"
);
