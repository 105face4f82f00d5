//! Bit sets of worker slots.

/// The number of slots in one word.
pub(crate) const WORD_BITS: usize = u64::BITS as usize;

/// A set of worker slots, with one bit for each slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SlotSet {
    words: Vec<u64>,
}

impl SlotSet {
    pub(crate) fn insert(&mut self, slot: usize) {
        let word = slot / WORD_BITS;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (slot % WORD_BITS);
    }

    pub(crate) fn remove(&mut self, slot: usize) {
        if let Some(word) = self.words.get_mut(slot / WORD_BITS) {
            *word &= !(1 << (slot % WORD_BITS));
        }
    }

    pub(crate) fn set(&mut self, slot: usize, member: bool) {
        match member {
            true => self.insert(slot),
            false => self.remove(slot),
        }
    }

    pub(crate) fn contains(&self, slot: usize) -> bool {
        self.word(slot / WORD_BITS) & (1 << (slot % WORD_BITS)) != 0
    }

    /// Returns the bits of the 64 slots in one word. Slots beyond the stored words are not members.
    pub(crate) fn word(&self, word: usize) -> u64 {
        self.words.get(word).copied().unwrap_or(0)
    }

    /// Makes this set the intersection of the two sets.
    pub(crate) fn assign_intersection(&mut self, left: &SlotSet, right: &SlotSet) {
        self.words.clear();
        let pairs = left.words.iter().zip(&right.words);
        self.words.extend(pairs.map(|(left, right)| left & right));
    }

    /// Removes all members of `other`.
    pub(crate) fn subtract(&mut self, other: &SlotSet) {
        for (word, other) in self.words.iter_mut().zip(&other.words) {
            *word &= !other;
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.words
            .iter()
            .enumerate()
            .flat_map(|(word, &bits)| bits_of(bits).map(move |bit| word * WORD_BITS + bit))
    }
}

/// Iterates over the positions of the set bits, the lowest first.
pub(crate) fn bits_of(mut bits: u64) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        if bits == 0 {
            return None;
        }
        let bit = bits.trailing_zeros() as usize;
        bits &= bits - 1;
        Some(bit)
    })
}
