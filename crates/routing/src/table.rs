//! The table of upstreams and its replication among entries by gossip.
//!
//! Announcements are ordered by incarnation, then sequence; a newer one replaces an older one.
//! Messages carry ages instead of times, because clocks differ. A removed upstream leaves a
//! tombstone, so that a late message does not add it again. The table starts as unknown: right
//! after a restart, an empty table does not mean that there are no upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;

use sapphirepost_protocol::gossip::AgedAnnouncement;
use sapphirepost_protocol::gossip::Announcement;
use sapphirepost_protocol::gossip::Gossip;
use sapphirepost_protocol::gossip::GossipReply;
use sapphirepost_protocol::gossip::Refresh;
use sapphirepost_protocol::gossip::UpstreamStatus;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use siphasher::sip::SipHasher13;

/// The time for which the last incarnation and sequence of a removed upstream are kept.
const TOMBSTONE_MS: u64 = 30_000;
/// After this time without news of any upstream, none is removed: it is more likely that this entry
/// is cut off than that all upstreams are gone.
const ISOLATION_MS: u64 = 2_500;
/// How many consecutive gossip messages of a peer may carry a different digest before its whole
/// table is requested. Digests differ for a few rounds while changes spread.
const DIGEST_MISMATCHES_MAX: u32 = 2;

#[derive(Clone, Debug)]
struct Record {
    announcement: Announcement,
    received_at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    incarnation: Incarnation,
    sequence: u64,
    removed_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    incarnation: Option<Incarnation>,
    send_full_table: bool,
    digest_mismatches: u32,
}

/// The announced upstreams that this entry knows of.
#[derive(Clone, Debug)]
pub struct UpstreamTable {
    records: BTreeMap<Name, Record>,
    tombstones: BTreeMap<Name, Tombstone>,
    peers: BTreeMap<EntryId, Peer>,
    changed: BTreeSet<Name>,
    refreshed: BTreeSet<Name>,
    started_at: Option<Millis>,
    received_table: bool,
    last_update: Millis,
    silence_timeout_ms: u64,
    warm_up_ms: u64,
    request_on_mismatch: bool,
}

impl UpstreamTable {
    /// An empty table. An upstream is removed after `silence_timeout_ms` without an announcement,
    /// and the table counts as known after `warm_up_ms` at the latest. `request_on_mismatch` is
    /// false only in tests: a lasting digest mismatch then has no effect.
    pub fn new(
        silence_timeout_ms: u64,
        warm_up_ms: u64,
        request_on_mismatch: bool,
    ) -> UpstreamTable {
        UpstreamTable {
            records: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            peers: BTreeMap::new(),
            changed: BTreeSet::new(),
            refreshed: BTreeSet::new(),
            started_at: None,
            received_table: false,
            last_update: Millis::ZERO,
            silence_timeout_ms,
            warm_up_ms,
            request_on_mismatch,
        }
    }

    /// Sets the entries that receive gossip. A new peer is sent the whole table.
    pub fn set_peers(&mut self, peers: &[EntryId]) {
        self.peers.retain(|id, _| peers.contains(id));
        for &id in peers {
            self.peers.entry(id).or_insert_with(|| Peer {
                send_full_table: true,
                ..Peer::default()
            });
        }
    }

    /// Whether the table can be assumed to be complete: a peer has sent a table that is not empty,
    /// or every upstream has had the time to announce itself.
    pub fn is_known(&self, now: Millis) -> bool {
        self.received_table
            || self
                .started_at
                .is_some_and(|started_at| now.since(started_at) >= self.warm_up_ms)
    }

    /// The newest announcement of each upstream, sorted by name.
    pub fn announcements(&self) -> impl Iterator<Item = &Announcement> {
        self.records.values().map(|record| &record.announcement)
    }

    /// The newest announcement of the upstream `name`; `None` if it is not in the table.
    pub fn get(&self, name: &Name) -> Option<&Announcement> {
        self.records.get(name).map(|record| &record.announcement)
    }

    /// Milliseconds since an entry received the newest announcement of `name` from the upstream;
    /// `None` if it is not in the table.
    pub fn age_ms(&self, now: Millis, name: &Name) -> Option<u64> {
        self.records
            .get(name)
            .map(|record| now.since(record.received_at))
    }

    /// Merges an announcement received from the upstream itself. Returns whether its content is
    /// new.
    pub fn apply_announcement(&mut self, now: Millis, announcement: Announcement) -> bool {
        self.record_start(now);
        self.last_update = now;
        let aged = AgedAnnouncement {
            announcement,
            age_ms: 0,
        };
        self.merge(now, aged, true)
    }

    /// Merges the changes that a peer sent. Returns the reply and whether any content is new.
    pub fn handle_gossip(&mut self, now: Millis, gossip: Gossip) -> (GossipReply, bool) {
        self.record_start(now);
        let mut changed = false;
        for aged in gossip.changed {
            changed |= self.merge_from_peer(now, aged);
        }
        for refresh in gossip.refreshed {
            self.apply_refresh(now, refresh);
        }
        let out_of_sync = self.update_peer(gossip.from, gossip.incarnation, gossip.digest);
        let table = if gossip.want_all {
            self.full_table(now)
        } else {
            Vec::new()
        };
        let want_all = out_of_sync && self.request_on_mismatch;
        (GossipReply { table, want_all }, changed)
    }

    /// Merges the reply of a peer. Returns whether any content is new.
    pub fn handle_reply(&mut self, now: Millis, from: EntryId, reply: GossipReply) -> bool {
        self.received_table |= !reply.table.is_empty();
        let mut changed = false;
        for aged in reply.table {
            changed |= self.merge_from_peer(now, aged);
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.send_full_table |= reply.want_all;
        }
        changed
    }

    /// Handles the loss of a message to `peer`: the next one carries the whole table.
    pub fn send_failed(&mut self, peer: EntryId) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.send_full_table = true;
        }
    }

    /// The gossip messages for all peers, with the changes since the last call or the whole table.
    pub fn take_gossip(
        &mut self,
        now: Millis,
        from: EntryId,
        incarnation: Incarnation,
    ) -> Vec<(EntryId, Gossip)> {
        self.record_start(now);
        let names = std::mem::take(&mut self.changed);
        let changed = self.announcements_of(now, &names);
        let names = std::mem::take(&mut self.refreshed);
        let refreshed: Vec<Refresh> = names
            .iter()
            .filter_map(|name| self.refresh_for(now, name))
            .collect();
        let digest = self.digest();
        let want_all = !self.is_known(now);
        let full_table = self.full_table(now);
        self.peers
            .iter_mut()
            .map(|(&id, peer)| {
                let send_full = std::mem::take(&mut peer.send_full_table);
                let gossip = Gossip {
                    from,
                    incarnation,
                    changed: if send_full {
                        full_table.clone()
                    } else {
                        changed.clone()
                    },
                    refreshed: if send_full {
                        Vec::new()
                    } else {
                        refreshed.clone()
                    },
                    digest,
                    want_all,
                };
                (id, gossip)
            })
            .collect()
    }

    /// Removes upstreams whose last announcement is too old, and returns their names. None is
    /// removed while this entry seems to be cut off.
    pub fn expire(&mut self, now: Millis) -> Vec<Name> {
        self.tombstones
            .retain(|_, tombstone| now.since(tombstone.removed_at) < TOMBSTONE_MS);
        if now.since(self.last_update) >= ISOLATION_MS {
            return Vec::new();
        }
        let silent: Vec<Name> = self
            .records
            .iter()
            .filter(|(_, record)| now.since(record.received_at) >= self.silence_timeout_ms)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &silent {
            self.remove(now, name);
        }
        silent
    }

    /// A digest of the announced content, without sequence numbers and ages. Equal for entries that
    /// know the same upstreams.
    pub fn digest(&self) -> u64 {
        self.announcements()
            .map(content_digest)
            .fold(0, u64::wrapping_add)
    }

    fn record_start(&mut self, now: Millis) {
        self.started_at.get_or_insert(now);
    }

    fn remove(&mut self, now: Millis, name: &Name) {
        if let Some(record) = self.records.remove(name) {
            let tombstone = Tombstone {
                incarnation: record.announcement.incarnation,
                sequence: record.announcement.sequence,
                removed_at: now,
            };
            self.tombstones.insert(name.clone(), tombstone);
        }
    }

    fn merge_from_peer(&mut self, now: Millis, aged: AgedAnnouncement) -> bool {
        if aged.age_ms >= self.silence_timeout_ms {
            return false;
        }
        if self.is_newer(&aged.announcement) {
            self.last_update = now;
        }
        self.merge(now, aged, false)
    }

    fn merge(&mut self, now: Millis, aged: AgedAnnouncement, direct: bool) -> bool {
        if !self.is_newer(&aged.announcement) {
            return false;
        }
        let name = aged.announcement.name.clone();
        let content = content_digest(&aged.announcement);
        let record = Record {
            announcement: aged.announcement,
            received_at: now - aged.age_ms,
        };
        self.tombstones.remove(&name);
        let old = self.records.insert(name.clone(), record);
        let changed = old.is_none_or(|old| content_digest(&old.announcement) != content);
        if changed {
            self.changed.insert(name);
        } else if direct {
            self.refreshed.insert(name);
        }
        changed
    }

    fn is_newer(&self, announcement: &Announcement) -> bool {
        let new = (announcement.incarnation, announcement.sequence);
        if let Some(record) = self.records.get(&announcement.name) {
            return new
                > (
                    record.announcement.incarnation,
                    record.announcement.sequence,
                );
        }
        match self.tombstones.get(&announcement.name) {
            Some(tombstone) => new > (tombstone.incarnation, tombstone.sequence),
            None => true,
        }
    }

    fn apply_refresh(&mut self, now: Millis, refresh: Refresh) {
        let Some(record) = self.records.get_mut(&refresh.name) else {
            return;
        };
        let known = &mut record.announcement;
        if known.incarnation != refresh.incarnation || known.sequence >= refresh.sequence {
            return;
        }
        known.sequence = refresh.sequence;
        record.received_at = record.received_at.max(now - refresh.age_ms);
        self.last_update = now;
    }

    /// Records the state of a peer. Returns whether its table has differed for longer than changes
    /// take to spread.
    fn update_peer(&mut self, from: EntryId, incarnation: Incarnation, digest: u64) -> bool {
        let own = self.digest();
        let Some(peer) = self.peers.get_mut(&from) else {
            return false;
        };
        if peer.incarnation.replace(incarnation) != Some(incarnation) {
            peer.send_full_table = true;
        }
        if digest == own {
            peer.digest_mismatches = 0;
            return false;
        }
        peer.digest_mismatches += 1;
        let out_of_sync = peer.digest_mismatches > DIGEST_MISMATCHES_MAX;
        if out_of_sync {
            peer.digest_mismatches = 0;
        }
        out_of_sync
    }

    fn refresh_for(&self, now: Millis, name: &Name) -> Option<Refresh> {
        let record = self.records.get(name)?;
        Some(Refresh {
            name: name.clone(),
            incarnation: record.announcement.incarnation,
            sequence: record.announcement.sequence,
            age_ms: now.since(record.received_at),
        })
    }

    fn full_table(&self, now: Millis) -> Vec<AgedAnnouncement> {
        self.records
            .values()
            .map(|record| aged(now, record))
            .collect()
    }

    fn announcements_of(&self, now: Millis, names: &BTreeSet<Name>) -> Vec<AgedAnnouncement> {
        names
            .iter()
            .filter_map(|name| self.records.get(name))
            .map(|record| aged(now, record))
            .collect()
    }
}

fn aged(now: Millis, record: &Record) -> AgedAnnouncement {
    AgedAnnouncement {
        announcement: record.announcement.clone(),
        age_ms: now.since(record.received_at),
    }
}

fn content_digest(announcement: &Announcement) -> u64 {
    let mut hasher = SipHasher13::new();
    announcement.name.hash(&mut hasher);
    announcement.service.hash(&mut hasher);
    announcement.address.hash(&mut hasher);
    announcement.failure_domain.hash(&mut hasher);
    announcement.slots.hash(&mut hasher);
    announcement.connections.hash(&mut hasher);
    announcement.incarnation.hash(&mut hasher);
    (announcement.status == UpstreamStatus::Leaving).hash(&mut hasher);
    hasher.finish()
}
