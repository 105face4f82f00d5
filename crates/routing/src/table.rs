//! The table of upstreams and its exchange among entries.
//!
//! An announcement replaces an older one by incarnation and then sequence. Times travel as ages.
//! A removed upstream leaves a tombstone, so that a late message does not bring it back. The
//! table starts as unknown: right after a restart an empty table does not mean "no upstreams".

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

/// How long a removed upstream's last sequence is remembered.
const TOMBSTONE_MS: u64 = 30_000;
/// Removal is suspended while nothing at all was heard for this long, because then the entry
/// itself is cut off rather than every upstream gone.
const DEAF_MS: u64 = 2_500;
/// Digests of two tables may differ for this many rounds while differences are under way.
const MISMATCHES_MAX: u32 = 2;

#[derive(Clone, Debug)]
struct Record {
    announcement: Announcement,
    heard: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    incarnation: Incarnation,
    sequence: u64,
    removed: Millis,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    incarnation: Option<Incarnation>,
    send_all: bool,
    mismatches: u32,
}

/// The upstreams that this entry knows of.
#[derive(Clone, Debug)]
pub struct UpstreamTable {
    records: BTreeMap<Name, Record>,
    tombstones: BTreeMap<Name, Tombstone>,
    peers: BTreeMap<EntryId, Peer>,
    changed: BTreeSet<Name>,
    refreshed: BTreeSet<Name>,
    started: Option<Millis>,
    learnt: bool,
    last_news: Millis,
    silence_ms: u64,
    learn_ms: u64,
    ask_on_gap: bool,
}

impl UpstreamTable {
    /// An empty table that is not known yet.
    pub fn new(silence_ms: u64, learn_ms: u64, ask_on_gap: bool) -> UpstreamTable {
        UpstreamTable {
            records: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            peers: BTreeMap::new(),
            changed: BTreeSet::new(),
            refreshed: BTreeSet::new(),
            started: None,
            learnt: false,
            last_news: Millis::ZERO,
            silence_ms,
            learn_ms,
            ask_on_gap,
        }
    }

    /// Sets the entries with which the table is exchanged.
    pub fn set_peers(&mut self, peers: &[EntryId]) {
        self.peers.retain(|id, _| peers.contains(id));
        for &id in peers {
            self.peers.entry(id).or_insert_with(|| Peer {
                send_all: true,
                ..Peer::default()
            });
        }
    }

    /// Whether the table can be trusted to name the upstreams: a peer has sent a table with
    /// content, or every upstream has had the time to announce itself.
    pub fn is_known(&self, now: Millis) -> bool {
        self.learnt
            || self
                .started
                .is_some_and(|started| now.since(started) >= self.learn_ms)
    }

    /// The announcements.
    pub fn announcements(&self) -> impl Iterator<Item = &Announcement> {
        self.records.values().map(|record| &record.announcement)
    }

    /// The announcement of `name`.
    pub fn get(&self, name: &Name) -> Option<&Announcement> {
        self.records.get(name).map(|record| &record.announcement)
    }

    /// Milliseconds since an entry received the announcement of `name`.
    pub fn age_ms(&self, now: Millis, name: &Name) -> Option<u64> {
        self.records.get(name).map(|record| now.since(record.heard))
    }

    /// Takes an announcement from the upstream itself. Returns whether the content has changed.
    pub fn announce(&mut self, now: Millis, announcement: Announcement) -> bool {
        self.start(now);
        self.last_news = now;
        let aged = AgedAnnouncement {
            announcement,
            age_ms: 0,
        };
        self.merge(now, aged, true)
    }

    /// Takes differences from a peer. Returns the reply and whether any content has changed.
    pub fn gossip(&mut self, now: Millis, gossip: Gossip) -> (GossipReply, bool) {
        self.start(now);
        let mut changed = false;
        for aged in gossip.changed {
            changed |= self.merge_news(now, aged);
        }
        for refresh in gossip.refreshed {
            self.refresh(now, refresh);
        }
        let gap = self.note_peer(gossip.from, gossip.incarnation, gossip.digest);
        let table = if gossip.want_all {
            self.whole(now)
        } else {
            Vec::new()
        };
        let want_all = gap && self.ask_on_gap;
        (GossipReply { table, want_all }, changed)
    }

    /// Takes a peer's reply. Returns whether any content has changed.
    pub fn reply(&mut self, now: Millis, from: EntryId, reply: GossipReply) -> bool {
        self.learnt |= !reply.table.is_empty();
        let mut changed = false;
        for aged in reply.table {
            changed |= self.merge_news(now, aged);
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.send_all |= reply.want_all;
        }
        changed
    }

    /// A message to the peer was lost, so the next one carries the whole table.
    pub fn unreachable(&mut self, peer: EntryId) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.send_all = true;
        }
    }

    /// Messages for all peers with what changed since the last call.
    pub fn differences(
        &mut self,
        now: Millis,
        from: EntryId,
        incarnation: Incarnation,
    ) -> Vec<(EntryId, Gossip)> {
        self.start(now);
        let names = std::mem::take(&mut self.changed);
        let changed = self.aged(now, &names);
        let names = std::mem::take(&mut self.refreshed);
        let refreshed: Vec<Refresh> = names
            .iter()
            .filter_map(|name| self.refresh_of(now, name))
            .collect();
        let digest = self.digest();
        let want_all = !self.is_known(now);
        let whole = self.whole(now);
        self.peers
            .iter_mut()
            .map(|(&id, peer)| {
                let all = std::mem::take(&mut peer.send_all);
                let gossip = Gossip {
                    from,
                    incarnation,
                    changed: if all { whole.clone() } else { changed.clone() },
                    refreshed: if all { Vec::new() } else { refreshed.clone() },
                    digest,
                    want_all,
                };
                (id, gossip)
            })
            .collect()
    }

    /// Removes upstreams that were silent for too long. Returns their names.
    pub fn expire(&mut self, now: Millis) -> Vec<Name> {
        self.tombstones
            .retain(|_, tombstone| now.since(tombstone.removed) < TOMBSTONE_MS);
        if now.since(self.last_news) >= DEAF_MS {
            return Vec::new();
        }
        let silent: Vec<Name> = self
            .records
            .iter()
            .filter(|(_, record)| now.since(record.heard) >= self.silence_ms)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &silent {
            self.remove(now, name);
        }
        silent
    }

    /// A digest of the content, without sequence numbers and ages.
    pub fn digest(&self) -> u64 {
        self.announcements()
            .map(content_digest)
            .fold(0, u64::wrapping_add)
    }

    fn start(&mut self, now: Millis) {
        self.started.get_or_insert(now);
    }

    fn remove(&mut self, now: Millis, name: &Name) {
        if let Some(record) = self.records.remove(name) {
            let tombstone = Tombstone {
                incarnation: record.announcement.incarnation,
                sequence: record.announcement.sequence,
                removed: now,
            };
            self.tombstones.insert(name.clone(), tombstone);
        }
    }

    fn merge_news(&mut self, now: Millis, aged: AgedAnnouncement) -> bool {
        if aged.age_ms >= self.silence_ms {
            return false;
        }
        if self.is_newer(&aged.announcement) {
            self.last_news = now;
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
            heard: now - aged.age_ms,
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

    fn refresh(&mut self, now: Millis, refresh: Refresh) {
        let Some(record) = self.records.get_mut(&refresh.name) else {
            return;
        };
        let known = &mut record.announcement;
        if known.incarnation != refresh.incarnation || known.sequence >= refresh.sequence {
            return;
        }
        known.sequence = refresh.sequence;
        record.heard = record.heard.max(now - refresh.age_ms);
        self.last_news = now;
    }

    /// Whether the table of the peer has differed for longer than differences travel.
    fn note_peer(&mut self, from: EntryId, incarnation: Incarnation, digest: u64) -> bool {
        let own = self.digest();
        let Some(peer) = self.peers.get_mut(&from) else {
            return false;
        };
        if peer.incarnation.replace(incarnation) != Some(incarnation) {
            peer.send_all = true;
        }
        if digest == own {
            peer.mismatches = 0;
            return false;
        }
        peer.mismatches += 1;
        let gap = peer.mismatches > MISMATCHES_MAX;
        if gap {
            peer.mismatches = 0;
        }
        gap
    }

    fn refresh_of(&self, now: Millis, name: &Name) -> Option<Refresh> {
        let record = self.records.get(name)?;
        Some(Refresh {
            name: name.clone(),
            incarnation: record.announcement.incarnation,
            sequence: record.announcement.sequence,
            age_ms: now.since(record.heard),
        })
    }

    fn whole(&self, now: Millis) -> Vec<AgedAnnouncement> {
        self.records
            .values()
            .map(|record| aged(now, record))
            .collect()
    }

    fn aged(&self, now: Millis, names: &BTreeSet<Name>) -> Vec<AgedAnnouncement> {
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
        age_ms: now.since(record.heard),
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
