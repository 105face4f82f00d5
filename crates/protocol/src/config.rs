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
    /// The entry that asks.
    pub entry: EntryId,
    /// The run of that entry.
    pub incarnation: Incarnation,
    /// The version that the entry has applied; `None` after its start.
    pub applied: Option<ConfigVersion>,
    /// The longest time to hold the call, in milliseconds.
    pub wait_ms: u64,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// The key.
    pub key: Name,
    /// The new value; `None` removes the key.
    pub value: Option<String>,
}

/// What brings an entry up to date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigUpdate {
    /// The applied version is the current one, confirmed by a quorum.
    Current,
    /// The changes since the applied version.
    Changes(Vec<ConfigChange>),
    /// The whole configuration, where the changes are no longer kept.
    Whole(BTreeMap<Name, String>),
}

/// Result of [`method::WATCH_CONFIG`](crate::method::WATCH_CONFIG).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigReply {
    /// The current version.
    pub version: ConfigVersion,
    /// What changed.
    pub update: ConfigUpdate,
}
