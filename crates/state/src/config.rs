//! The versioned configuration.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use sapphirepost_protocol::config::ConfigChange;
use sapphirepost_protocol::config::ConfigUpdate;
use sapphirepost_protocol::operator::ConfigRecord;
use sapphirepost_types::ConfigVersion;
use sapphirepost_types::Name;
use sapphirepost_types::OperationId;
use sapphirepost_types::PlanId;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of changes in the history: about four days at the design rate of 1,100 changes
/// a day.
pub const HISTORY_MAX: usize = 4_096;
/// Maximum size of the keys and values in the history, in bytes. Without this limit, a history of
/// large values could take [`HISTORY_MAX`] times their size.
pub const HISTORY_MAX_BYTES: usize = 8 << 20;
/// Maximum number of configuration keys.
pub const KEYS_MAX: usize = 10_000;
/// Maximum size of one value, in bytes.
pub const VALUE_MAX_BYTES: usize = 64 << 10;

/// The configuration, its version and its recent changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    version: ConfigVersion,
    values: BTreeMap<Name, String>,
    history: VecDeque<ConfigRecord>,
    history_bytes: usize,
    changed_by: Option<PlanId>,
}

impl Config {
    /// The current version; it increases by one with each change.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The current value of each key.
    pub fn values(&self) -> &BTreeMap<Name, String> {
        &self.values
    }

    /// The plan that made the newest change; `None` before the first change.
    pub fn changed_by(&self) -> Option<PlanId> {
        self.changed_by
    }

    /// The changes in the history, newest first.
    pub fn history(&self) -> impl Iterator<Item = &ConfigRecord> {
        self.history.iter().rev()
    }

    /// The update that brings a copy at version `applied` up to date. A copy without a version, one
    /// older than the history and one newer than the configuration get the whole configuration.
    pub fn update_since(&self, applied: Option<ConfigVersion>) -> ConfigUpdate {
        match applied {
            Some(applied) if applied == self.version => ConfigUpdate::Current,
            Some(applied) if self.history_covers(applied) => {
                ConfigUpdate::Changes(self.changes_since(applied))
            }
            _ => ConfigUpdate::Whole(self.values.clone()),
        }
    }

    fn history_covers(&self, applied: ConfigVersion) -> bool {
        let oldest = self.history.front().map(|record| record.version);
        applied < self.version && oldest.is_some_and(|oldest| oldest <= applied.next())
    }

    fn changes_since(&self, applied: ConfigVersion) -> Vec<ConfigChange> {
        let newest_by_key: BTreeMap<&Name, &Option<String>> = self
            .history
            .iter()
            .filter(|record| record.version > applied)
            .map(|record| (&record.key, &record.new))
            .collect();
        newest_by_key
            .into_iter()
            .map(|(key, value)| ConfigChange {
                key: key.clone(),
                value: value.clone(),
            })
            .collect()
    }

    pub(crate) fn set(
        &mut self,
        key: &Name,
        value: &Option<String>,
        operation: &OperationId,
        plan: PlanId,
        at_unix_ms: u64,
    ) -> ConfigVersion {
        let old = match value {
            Some(value) => self.values.insert(key.clone(), value.clone()),
            None => self.values.remove(key),
        };
        self.version = self.version.next();
        self.changed_by = Some(plan);
        self.record(ConfigRecord {
            version: self.version,
            key: key.clone(),
            old,
            new: value.clone(),
            operation: operation.clone(),
            at_unix_ms,
        });
        self.version
    }

    fn record(&mut self, record: ConfigRecord) {
        self.history_bytes += record_bytes(&record);
        self.history.push_back(record);
        while self.history.len() > HISTORY_MAX || self.history_bytes > HISTORY_MAX_BYTES {
            let Some(oldest) = self.history.pop_front() else {
                break;
            };
            self.history_bytes -= record_bytes(&oldest);
        }
    }
}

fn record_bytes(record: &ConfigRecord) -> usize {
    let old = record.old.as_ref().map_or(0, String::len);
    let new = record.new.as_ref().map_or(0, String::len);
    record.key.len() + old + new
}
