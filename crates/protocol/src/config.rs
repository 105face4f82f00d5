//! Distribution of the configuration to entries.

use std::collections::BTreeMap;

use sapphirepost_types::ConfigVersion;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// Parameters of [`method::WATCH_CONFIG`](crate::method::WATCH_CONFIG).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchConfig {
    /// The entry that polls.
    pub entry: EntryId,
    /// The incarnation of that entry. The leader does not use it.
    pub incarnation: Incarnation,
    /// The version that the entry has applied; `None` if it has applied none since its start.
    pub applied: Option<ConfigVersion>,
    /// How long the leader may hold the call if there is no newer version, in milliseconds; the
    /// leader reduces a longer time to its own limit.
    pub wait_ms: u64,
}

/// The change of one configuration key since an earlier version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// The configuration key that was set or removed.
    pub key: Name,
    /// The current value; `None` if the key was removed.
    pub value: Option<String>,
}

/// The update that brings an entry to the current version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigUpdate {
    /// The applied version is the current one, as confirmed by a quorum.
    Current,
    /// The keys that changed since the applied version, each once with its current value.
    Changes(Vec<ConfigChange>),
    /// All values, because the entry has no version or the changes since its version are no longer
    /// kept.
    Whole(BTreeMap<Name, String>),
}

/// Result of [`method::WATCH_CONFIG`](crate::method::WATCH_CONFIG).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigReply {
    /// The current version, which the entry has applied once it has applied `update`.
    pub version: ConfigVersion,
    /// The update from the applied to the current version.
    pub update: ConfigUpdate,
}
