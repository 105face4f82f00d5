//! Division of an upstream's slots and connections among the entries.
//!
//! The division depends only on the roster and the upstream, so that entries that cannot
//! communicate still agree. Slots are assigned round-robin. Entries in the upstream's failure
//! domain come first, and a hash of entry and upstream orders the entries within each group, so
//! that with more entries than slots the entries without a slot differ from upstream to upstream.

use std::hash::Hash;
use std::hash::Hasher;

use sapphirepost_types::EntryId;
use sapphirepost_types::Name;
use siphasher::sip::SipHasher13;

/// The most slots of an upstream that all entries together use, whatever it announces.
pub const UPSTREAM_SLOTS_MAX: u16 = 8;
/// The most connections to an upstream that all entries together open, whatever it announces.
pub const UPSTREAM_CONNECTIONS_MAX: u16 = 64;
/// One slot in this many is reserved for lookups: two of eight.
const SLOTS_PER_LOOKUP_SLOT: u16 = 4;

/// An entry that takes part in the division of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterEntry {
    /// The ID of the entry, unique in the roster.
    pub id: EntryId,
    /// The failure domain in which the entry runs.
    pub failure_domain: Name,
}

/// The entries that divide the upstreams among themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// All entries; the order does not matter.
    pub entries: Vec<RosterEntry>,
}

/// The part of one upstream's capacity that one entry may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Slots for requests of every class.
    pub general: u16,
    /// Slots reserved for lookups, in addition to `general`.
    pub lookup_only: u16,
    /// Connections that the entry may have open.
    pub connections: u16,
}

impl Share {
    /// The smaller value of each field.
    pub fn min(self, other: Share) -> Share {
        Share {
            general: self.general.min(other.general),
            lookup_only: self.lookup_only.min(other.lookup_only),
            connections: self.connections.min(other.connections),
        }
    }

    /// Slots of both kinds.
    pub fn slots(self) -> u16 {
        self.general + self.lookup_only
    }
}

impl Roster {
    /// The share of `entry` in an upstream that announces `slots` and `connections`; empty if the
    /// entry is not in the roster.
    pub fn share(
        &self,
        entry: EntryId,
        upstream: &Name,
        failure_domain: &Name,
        slots: u16,
        connections: u16,
    ) -> Share {
        let order = self.entry_order(upstream, failure_domain);
        let Some(position) = order.iter().position(|&id| id == entry) else {
            return Share::default();
        };
        let slots = slots.min(UPSTREAM_SLOTS_MAX);
        let general = slots - slots / SLOTS_PER_LOOKUP_SLOT;
        let general_share = round_robin_share(0, general, position, order.len());
        Share {
            general: general_share,
            lookup_only: round_robin_share(general, slots, position, order.len()),
            connections: round_robin_share(
                0,
                connections.min(UPSTREAM_CONNECTIONS_MAX),
                position,
                order.len(),
            ),
        }
    }

    fn entry_order(&self, upstream: &Name, failure_domain: &Name) -> Vec<EntryId> {
        let mut order: Vec<(bool, u64, EntryId)> = self
            .entries
            .iter()
            .map(|entry| {
                let other_domain = entry.failure_domain != *failure_domain;
                (other_domain, rank(entry.id, upstream), entry.id)
            })
            .collect();
        order.sort_unstable();
        order.dedup_by_key(|(_, _, id)| *id);
        order.into_iter().map(|(_, _, id)| id).collect()
    }
}

/// How many of the items `from..to`, assigned round-robin to `count` entries, go to the entry at
/// `position`.
fn round_robin_share(from: u16, to: u16, position: usize, count: usize) -> u16 {
    (from..to)
        .filter(|&item| usize::from(item) % count == position)
        .count() as u16
}

fn rank(entry: EntryId, upstream: &Name) -> u64 {
    let mut hasher = SipHasher13::new();
    entry.0.hash(&mut hasher);
    upstream.as_str().hash(&mut hasher);
    hasher.finish()
}

/// The roster in effect, and the next one while a change is under way.
///
/// A change takes two steps. In the first, with `next` set, every entry uses the smaller of its
/// shares in both rosters. The second, with the new roster alone, may follow once every entry has
/// confirmed the first, so that the entries never use more of an upstream than it has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterChange {
    /// The roster in effect.
    pub current: Roster,
    /// The roster that will replace `current`; `None` if no change is under way.
    pub next: Option<Roster>,
}

impl RosterChange {
    /// A roster with no change under way.
    pub fn settled(current: Roster) -> RosterChange {
        RosterChange {
            current,
            next: None,
        }
    }

    /// The share of `entry` in an upstream; during a change, the smaller of its shares in both
    /// rosters. See [`Roster::share`].
    pub fn share(
        &self,
        entry: EntryId,
        upstream: &Name,
        failure_domain: &Name,
        slots: u16,
        connections: u16,
    ) -> Share {
        let current = self
            .current
            .share(entry, upstream, failure_domain, slots, connections);
        match &self.next {
            Some(next) => {
                current.min(next.share(entry, upstream, failure_domain, slots, connections))
            }
            None => current,
        }
    }

    /// The IDs of all entries of either roster except `own_id`, sorted.
    pub fn peers(&self, own_id: EntryId) -> Vec<EntryId> {
        let next = self.next.iter().flat_map(|roster| &roster.entries);
        let mut peers: Vec<EntryId> = self
            .current
            .entries
            .iter()
            .chain(next)
            .map(|entry| entry.id)
            .filter(|&id| id != own_id)
            .collect();
        peers.sort_unstable();
        peers.dedup();
        peers
    }
}
