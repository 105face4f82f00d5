//! The in-memory part of the log.
//!
//! Entries start after `base_index`. `stable` is the last index known to be synced; entries from
//! `first_unsaved` on have not been returned by [`Log::take_unsaved`] for storage yet.

use std::collections::VecDeque;
use std::ops::RangeInclusive;

use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::PersistentState;
use crate::entry::Record;
use crate::entry::Snapshot;
use crate::entry::Term;

#[derive(Debug)]
pub(crate) struct Log {
    base_index: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
    snapshot: Option<Snapshot>,
    stable: Index,
    first_unsaved: Index,
    /// Index of a received snapshot whose reset record has not been returned for storage yet.
    pending_reset: Option<Index>,
}

impl Log {
    pub(crate) fn new(restored: PersistentState) -> Log {
        let meta = restored.snapshot.as_ref().map(|snapshot| &snapshot.meta);
        let (base_index, base_term) = meta.map_or((0, 0), |meta| (meta.index, meta.term));
        let entries = VecDeque::from(restored.entries);
        let last = base_index + entries.len() as u64;
        Log {
            base_index,
            base_term,
            entries,
            snapshot: restored.snapshot,
            stable: last,
            first_unsaved: last + 1,
            pending_reset: None,
        }
    }

    pub(crate) fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn stable(&self) -> Index {
        self.stable
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// The term of the entry at `index`, or `None` if it is compacted or does not exist.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(position as usize)
    }

    /// Whether a log that ends with the given entry is at least as up to date as this one, as Raft
    /// defines it: it then contains every entry of this log that may be committed.
    pub(crate) fn is_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    /// The first entries of `range` with a total size of at most `max_bytes`, but at least one entry
    /// if there is any.
    pub(crate) fn slice(&self, range: RangeInclusive<Index>, max_bytes: usize) -> Vec<Entry> {
        let mut size_bytes = 0;
        let mut batch = Vec::new();
        for index in range {
            let Some(entry) = self.get(index) else { break };
            size_bytes += entry.size_bytes();
            if size_bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "gap in the log");
        self.entries.push_back(entry);
    }

    pub(crate) fn truncate_after(&mut self, index: Index) {
        let keep = index.saturating_sub(self.base_index) as usize;
        self.entries.truncate(keep);
        self.stable = self.stable.min(index);
        self.first_unsaved = self.first_unsaved.min(index + 1);
    }

    /// Marks entries up to `index` as synced. Ignored if the entry at `index` has been replaced by one
    /// of another term since it was passed to the storage.
    pub(crate) fn mark_stable(&mut self, index: Index, term: Term) {
        if self.term(index) == Some(term) {
            self.stable = self.stable.max(index);
        }
    }

    /// Drops the entries that a snapshot of this member covers, except for the last `trailing` ones,
    /// as far as these have at most `trailing_bytes`.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, trailing: u64, trailing_bytes: usize) {
        let first_kept = snapshot.meta.index.saturating_sub(trailing) + 1;
        let upto = self.start_of_tail(first_kept..=snapshot.meta.index, trailing_bytes);
        while self.base_index < upto {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        // The snapshot is durable, even if the disk had no room for the last entries that it covers.
        self.stable = self.stable.max(snapshot.meta.index);
        self.snapshot = Some(snapshot);
    }

    /// The index before the longest tail of `range` whose entries have at most `max_bytes`.
    fn start_of_tail(&self, range: RangeInclusive<Index>, max_bytes: usize) -> Index {
        let mut size_bytes = 0;
        let mut start = *range.end();
        for index in range.rev() {
            size_bytes += self.get(index).map_or(0, Entry::size_bytes);
            if size_bytes > max_bytes {
                break;
            }
            start = index - 1;
        }
        start
    }

    /// Replaces the whole log with a received snapshot.
    pub(crate) fn reset(&mut self, snapshot: Snapshot) {
        self.base_index = snapshot.meta.index;
        self.base_term = snapshot.meta.term;
        self.entries.clear();
        self.stable = 0;
        self.first_unsaved = self.base_index + 1;
        self.pending_reset = Some(self.base_index);
        self.snapshot = Some(snapshot);
    }

    /// Returns the records that have not been passed to the storage yet.
    pub(crate) fn take_unsaved(&mut self) -> Vec<Record> {
        let reset = self
            .pending_reset
            .take()
            .map(|index| Record::Reset { index });
        let entries = (self.first_unsaved..=self.last_index()).filter_map(|index| self.get(index));
        let records = reset
            .into_iter()
            .chain(entries.cloned().map(Record::Entry))
            .collect();
        self.first_unsaved = self.last_index() + 1;
        records
    }
}
