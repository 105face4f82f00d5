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
    /// The incarnation of that entry.
    pub incarnation: Incarnation,
    /// The version that the entry has applied; `None` if it has applied none since its start.
    pub applied: Option<ConfigVersion>,
    /// How long the leader may hold the call if there is no newer version, in milliseconds.
    pub wait_ms: u64,
}

/// A change of one configuration key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// The key.
    pub key: Name,
    /// The new value; `None` removes the key.
    pub value: Option<String>,
}

/// The update that brings an entry to the current version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigUpdate {
    /// The applied version is the current one, as confirmed by a quorum.
    Current,
    /// The changes since the applied version, oldest first.
    Changes(Vec<ConfigChange>),
    /// All values, because the entry has no version or the changes since its version are no longer
    /// kept.
    Whole(BTreeMap<Name, String>),
}

/// Result of [`method::WATCH_CONFIG`](crate::method::WATCH_CONFIG).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigReply {
    /// The current version.
    pub version: ConfigVersion,
    /// The update from the applied to the current version.
    pub update: ConfigUpdate,
}
