//! The index of free room.
//!
//! For each resource, workers are grouped into buckets by their free amount on a scale that is
//! exact for small amounts and has eight steps to each doubling above. Bucket sets are
//! cumulative: set `k` holds the workers with at least the amount of bucket `k`. A search walks
//! the buckets of one resource, the tightest first, and intersects each with the sets of the
//! other resources, so its cost depends on the number of non-empty buckets and hardly on the
//! number of workers. A bucket can hold workers with slightly too little; the caller compares
//! exact amounts.

use std::ops::ControlFlow;

use sapphirepost_types::Resources;

use crate::bitset::SlotSet;
use crate::bitset::WORD_BITS;
use crate::bitset::bits_of;

/// Steps to each doubling, as a power of two.
const STEP_BITS: u32 = 3;

/// Buckets of one resource; enough for amounts below 2^34 units.
const LEVELS: usize = 256;

const RESOURCES: usize = 3;

/// The position of one resource in [`amounts`].
pub(crate) type ResourceIndex = usize;

/// The amounts as an array, for loops over resources.
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

/// The buckets of one resource.
#[derive(Clone)]
struct Buckets {
    /// `LEVELS` sets of `stride` words each.
    at_least: Vec<u64>,
    /// How many workers are in each bucket alone.
    counts: [u32; LEVELS],
}

/// Workers by free room.
#[derive(Clone)]
pub(crate) struct FreeIndex {
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

    /// Makes room for `slots` slots.
    pub(crate) fn grow(&mut self, slots: usize) {
        let stride = slots.div_ceil(WORD_BITS).max(1);
        if stride <= self.stride {
            return;
        }
        // Doubling keeps the copies rare while workers register one by one.
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

    /// Visits the workers of `mask` that may have room for `need`, those with the least free
    /// amount of the resource `by` first, until `visit` breaks. `rotation` selects where a
    /// bucket's walk starts, so that equal workers are not always met in the same order.
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
