//! Division of a runner's slots and connections among the entries.
//!
//! The rule depends on the roster and the runner only, so that entries that cannot communicate
//! still agree. Slots are dealt one at a time, entries of the runner's own failure domain first
//! and each group in an order that a hash of entry and runner gives; with more entries than slots
//! the entries left out differ from runner to runner.

use std::hash::Hash;
use std::hash::Hasher;

use sapphirepost_types::EntryId;
use sapphirepost_types::Name;
use siphasher::sip::SipHasher13;

/// The most slots of a runner that the entries use together.
pub const RUNNER_SLOTS_MAX: u16 = 8;
/// The most connections to a runner that the entries open together.
pub const RUNNER_CONNECTIONS_MAX: u16 = 64;
/// One slot in this many is for lookups only: two of eight.
const SLOTS_PER_LOOKUP_SLOT: u16 = 4;

/// One entry of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterEntry {
    /// The entry.
    pub id: EntryId,
    /// Its failure domain.
    pub failure_domain: Name,
}

/// All entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// The entries.
    pub entries: Vec<RosterEntry>,
}

/// The part of one runner that one entry may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Slots for every class.
    pub general: u16,
    /// Slots for lookups only.
    pub lookup_only: u16,
    /// Connections.
    pub connections: u16,
}

impl Share {
    /// The smaller of each part.
    pub fn min(self, other: Share) -> Share {
        Share {
            general: self.general.min(other.general),
            lookup_only: self.lookup_only.min(other.lookup_only),
            connections: self.connections.min(other.connections),
        }
    }

    /// All slots.
    pub fn slots(self) -> u16 {
        self.general + self.lookup_only
    }
}

impl Roster {
    /// The share of `entry` in a runner that announces `slots` and `connections`.
    pub fn share(
        &self,
        entry: EntryId,
        runner: &Name,
        failure_domain: &Name,
        slots: u16,
        connections: u16,
    ) -> Share {
        let order = self.order(runner, failure_domain);
        let Some(position) = order.iter().position(|&id| id == entry) else {
            return Share::default();
        };
        let slots = slots.min(RUNNER_SLOTS_MAX);
        let general = slots - slots / SLOTS_PER_LOOKUP_SLOT;
        let general_share = dealt(0, general, position, order.len());
        Share {
            general: general_share,
            lookup_only: dealt(general, slots, position, order.len()),
            connections: dealt(
                0,
                connections.min(RUNNER_CONNECTIONS_MAX),
                position,
                order.len(),
            ),
        }
    }

    fn order(&self, runner: &Name, failure_domain: &Name) -> Vec<EntryId> {
        let mut order: Vec<(bool, u64, EntryId)> = self
            .entries
            .iter()
            .map(|entry| {
                let foreign = entry.failure_domain != *failure_domain;
                (foreign, rank(entry.id, runner), entry.id)
            })
            .collect();
        order.sort_unstable();
        order.dedup_by_key(|(_, _, id)| *id);
        order.into_iter().map(|(_, _, id)| id).collect()
    }
}

/// How many of the items `from..to`, dealt in turn to `count` entries, go to `position`.
fn dealt(from: u16, to: u16, position: usize, count: usize) -> u16 {
    (from..to)
        .filter(|&item| usize::from(item) % count == position)
        .count() as u16
}

fn rank(entry: EntryId, runner: &Name) -> u64 {
    let mut hasher = SipHasher13::new();
    entry.0.hash(&mut hasher);
    runner.as_str().hash(&mut hasher);
    hasher.finish()
}

/// The roster in effect, and the next one while a change is under way.
///
/// In the first step every entry uses the smaller of both shares. The second step, without
/// `next`, may follow once every entry has confirmed the first one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterChange {
    /// The roster in effect.
    pub current: Roster,
    /// The roster that will follow.
    pub next: Option<Roster>,
}

impl RosterChange {
    /// A roster without a change.
    pub fn settled(current: Roster) -> RosterChange {
        RosterChange {
            current,
            next: None,
        }
    }

    /// The share of `entry` in a runner; see [`Roster::share`].
    pub fn share(
        &self,
        entry: EntryId,
        runner: &Name,
        failure_domain: &Name,
        slots: u16,
        connections: u16,
    ) -> Share {
        let current = self
            .current
            .share(entry, runner, failure_domain, slots, connections);
        match &self.next {
            Some(next) => {
                current.min(next.share(entry, runner, failure_domain, slots, connections))
            }
            None => current,
        }
    }

    /// All entries of either roster except `me`.
    pub fn peers(&self, me: EntryId) -> Vec<EntryId> {
        let next = self.next.iter().flat_map(|roster| &roster.entries);
        let mut peers: Vec<EntryId> = self
            .current
            .entries
            .iter()
            .chain(next)
            .map(|entry| entry.id)
            .filter(|&id| id != me)
            .collect();
        peers.sort_unstable();
        peers.dedup();
        peers
    }
}
