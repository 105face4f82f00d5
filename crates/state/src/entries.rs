//! The entries that were in contact lately.

use std::collections::BTreeMap;

use sapphirepost_types::EntryId;
use serde::Deserialize;
use serde::Serialize;

/// How long an entry without contact is expected to come back.
pub const ENTRY_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// The entries with their last contact.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryContacts {
    seen_unix_ms: BTreeMap<EntryId, u64>,
}

impl EntryContacts {
    /// The entries with the time of their last recorded contact.
    pub fn last_contacts(&self) -> &BTreeMap<EntryId, u64> {
        &self.seen_unix_ms
    }

    pub(crate) fn record_contact(&mut self, entry: EntryId, now_unix_ms: u64) {
        self.seen_unix_ms.insert(entry, now_unix_ms);
    }

    pub(crate) fn prune(&mut self, now_unix_ms: u64) {
        self.seen_unix_ms
            .retain(|_, seen| seen.saturating_add(ENTRY_RETENTION_MS) >= now_unix_ms);
    }
}
