//! The entries that were in contact with the control processes recently.

use std::collections::BTreeMap;

use sapphirepost_types::EntryId;
use serde::Deserialize;
use serde::Serialize;

/// How long an entry is kept after its last recorded contact, in milliseconds. Until then it is
/// expected to come back and counts as one that may lack a configuration version.
pub const ENTRY_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// When each entry was last in contact. This is not the configured roster of entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryContacts {
    seen_unix_ms: BTreeMap<EntryId, u64>,
}

impl EntryContacts {
    /// The last recorded contact of each entry, in milliseconds since the Unix epoch. Not every
    /// contact is recorded, so the actual last contact may be later.
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
