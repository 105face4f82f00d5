//! An index of workers by free capacity.
//!
//! For each resource, workers are grouped into buckets by their free amount, on a scale that is
//! exact for small amounts and has eight steps for each doubling above. The bit sets are
//! cumulative: set `k` holds the workers with at least the amount of bucket `k`. A search visits
//! the buckets of one resource in ascending order and intersects each with the sets of the other
//! resources, so its cost depends on the number of non-empty buckets and hardly on the number of
//! workers. A bucket may contain workers with slightly less than the requested amount, so the
//! caller must compare exact amounts.

use std::ops::ControlFlow;

use sapphirepost_types::Resources;

use crate::bitset::SlotSet;
use crate::bitset::WORD_BITS;
use crate::bitset::bits_of;

/// The binary logarithm of the number of steps for each doubling.
const STEP_BITS: u32 = 3;

/// The number of buckets of one resource. They distinguish amounts below 2^34 units; larger ones
/// share the last bucket.
const LEVELS: usize = 256;

const RESOURCES: usize = 3;

/// The position of one resource in [`amounts`].
pub(crate) type ResourceIndex = usize;

/// Returns the amounts as an array, for loops over resources.
pub(crate) fn amounts(resources: &Resources) -> [u64; RESOURCES] {
    [
        resources.millicores,
        resources.memory_mib,
        u64::from(resources.accelerators),
    ]
}

fn level_of(amount: u64) -> usize {
    let steps = 1 << STEP_BITS;
    if amount < steps {
        return amount as usize;
    }
    let exponent = amount.ilog2();
    let fraction = (amount >> (exponent - STEP_BITS)) & (steps - 1);
    let level = (u64::from(exponent - STEP_BITS) + 1) * steps + fraction;
    (level as usize).min(LEVELS - 1)
}

/// The buckets of one resource, by level.
#[derive(Clone)]
struct Buckets {
    /// `LEVELS` cumulative bit sets of `stride` words each.
    at_least: Vec<u64>,
    /// The number of workers in each bucket, not cumulative.
    counts: [u32; LEVELS],
}

/// Workers by free capacity; see the module documentation.
#[derive(Clone)]
pub(crate) struct FreeIndex {
    /// The number of words of each bit set.
    stride: usize,
    buckets: [Buckets; RESOURCES],
}

impl FreeIndex {
    pub(crate) fn new() -> FreeIndex {
        let empty = Buckets {
            at_least: vec![0; LEVELS],
            counts: [0; LEVELS],
        };
        FreeIndex {
            stride: 1,
            buckets: [empty.clone(), empty.clone(), empty],
        }
    }

    /// Grows the bit sets to hold at least `slots` slots.
    pub(crate) fn grow(&mut self, slots: usize) {
        let stride = slots.div_ceil(WORD_BITS).max(1);
        if stride <= self.stride {
            return;
        }
        // Powers of two keep reallocations rare while workers register one by one.
        let stride = stride.next_power_of_two();
        for buckets in &mut self.buckets {
            let mut wider = vec![0; LEVELS * stride];
            for (level, words) in buckets.at_least.chunks(self.stride).enumerate() {
                wider[level * stride..level * stride + words.len()].copy_from_slice(words);
            }
            buckets.at_least = wider;
        }
        self.stride = stride;
    }

    pub(crate) fn insert(&mut self, slot: usize, free: &Resources) {
        for (buckets, amount) in self.buckets.iter_mut().zip(amounts(free)) {
            let level = level_of(amount);
            buckets.counts[level] += 1;
            set_levels(&mut buckets.at_least, self.stride, slot, 0, level + 1, true);
        }
    }

    pub(crate) fn remove(&mut self, slot: usize, free: &Resources) {
        for (buckets, amount) in self.buckets.iter_mut().zip(amounts(free)) {
            let level = level_of(amount);
            buckets.counts[level] -= 1;
            set_levels(
                &mut buckets.at_least,
                self.stride,
                slot,
                0,
                level + 1,
                false,
            );
        }
    }

    pub(crate) fn update(&mut self, slot: usize, old: &Resources, new: &Resources) {
        let pairs = amounts(old).into_iter().zip(amounts(new));
        for (buckets, (old, new)) in self.buckets.iter_mut().zip(pairs) {
            let (from, to) = (level_of(old), level_of(new));
            if from == to {
                continue;
            }
            buckets.counts[from] -= 1;
            buckets.counts[to] += 1;
            let (low, high) = (from.min(to) + 1, from.max(to) + 1);
            set_levels(
                &mut buckets.at_least,
                self.stride,
                slot,
                low,
                high,
                to > from,
            );
        }
    }

    /// Visits the workers in `mask` that may have enough free capacity for `need`, in ascending
    /// order of their bucket of the resource `by`, until `visit` breaks. `rotation` selects the
    /// word at which the visit of each bucket starts, so that equal workers are not always
    /// visited in the same order.
    pub(crate) fn visit(
        &self,
        need: &Resources,
        by: ResourceIndex,
        mask: &SlotSet,
        rotation: usize,
        mut visit: impl FnMut(usize) -> ControlFlow<()>,
    ) {
        let need = amounts(need).map(level_of);
        let (first, second) = ((by + 1) % RESOURCES, (by + 2) % RESOURCES);
        let first = self.level(first, need[first]);
        let second = self.level(second, need[second]);
        for level in need[by]..LEVELS {
            if self.buckets[by].counts[level] == 0 {
                continue;
            }
            let here = self.level(by, level);
            for step in 0..self.stride {
                let word = (step + rotation) % self.stride;
                let above = match level + 1 {
                    LEVELS => 0,
                    above => self.level(by, above)[word],
                };
                let bits = here[word] & !above & first[word] & second[word] & mask.word(word);
                for bit in bits_of(bits) {
                    if visit(word * WORD_BITS + bit).is_break() {
                        return;
                    }
                }
            }
        }
    }

    fn level(&self, resource: ResourceIndex, level: usize) -> &[u64] {
        &self.buckets[resource].at_least[level * self.stride..(level + 1) * self.stride]
    }
}

fn set_levels(
    at_least: &mut [u64],
    stride: usize,
    slot: usize,
    low: usize,
    high: usize,
    member: bool,
) {
    let bit = 1 << (slot % WORD_BITS);
    for level in low..high {
        let word = &mut at_least[level * stride + slot / WORD_BITS];
        match member {
            true => *word |= bit,
            false => *word &= !bit,
        }
    }
}
