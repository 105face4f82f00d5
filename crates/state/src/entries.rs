//! The entries that were in contact lately, and the addresses of control processes.

use std::collections::BTreeMap;

use sapphirepost_types::EntryId;
use sapphirepost_types::MemberId;
use serde::Deserialize;
use serde::Serialize;

/// How long an entry without contact is expected to come back.
pub const ENTRY_WINDOW_MS: u64 = 24 * 60 * 60 * 1_000;

/// Entries and members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    seen_unix_ms: BTreeMap<EntryId, u64>,
    addresses: BTreeMap<MemberId, String>,
}

impl Roster {
    /// The entries with the time of their last recorded contact.
    pub fn entries(&self) -> &BTreeMap<EntryId, u64> {
        &self.seen_unix_ms
    }

    /// The inner addresses of the control processes.
    pub fn addresses(&self) -> &BTreeMap<MemberId, String> {
        &self.addresses
    }

    pub(crate) fn note_entry(&mut self, entry: EntryId, now_unix_ms: u64) {
        self.seen_unix_ms.insert(entry, now_unix_ms);
    }

    pub(crate) fn set_address(&mut self, member: MemberId, address: &Option<String>) {
        match address {
            Some(address) => self.addresses.insert(member, address.clone()),
            None => self.addresses.remove(&member),
        };
    }

    pub(crate) fn prune(&mut self, now_unix_ms: u64) {
        self.seen_unix_ms
            .retain(|_, seen| seen.saturating_add(ENTRY_WINDOW_MS) >= now_unix_ms);
    }
}
