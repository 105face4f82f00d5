//! Checks a simulated run against the safety properties of a replicated log, independently of the
//! code under test.

use std::collections::BTreeMap;

use sapphirepost_consensus::Entry;
use sapphirepost_consensus::Index;
use sapphirepost_consensus::Node;
use sapphirepost_consensus::Payload;
use sapphirepost_consensus::Term;
use sapphirepost_types::MemberId;

pub type CheckResult = Result<(), String>;

/// State machine of the tests: a digest of all applied entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppliedState {
    pub index: Index,
    pub digest: u64,
}

impl AppliedState {
    pub fn apply(&mut self, entry: &Entry) {
        self.index = entry.index;
        self.digest = mix(self.digest ^ entry_digest(entry));
    }
}

fn mix(value: u64) -> u64 {
    (value ^ (value >> 29))
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(17)
}

fn entry_digest(entry: &Entry) -> u64 {
    let seed = mix(entry.index).wrapping_add(mix(entry.term << 20));
    match &entry.payload {
        Payload::Noop => mix(seed ^ 1),
        Payload::Command(bytes) => bytes
            .iter()
            .fold(mix(seed ^ 2), |digest, byte| mix(digest ^ u64::from(*byte))),
        Payload::Membership(membership) => mix(seed ^ 3 ^ membership.members.len() as u64),
    }
}

/// An entry that some member reported as committed.
struct Committed {
    term: Term,
    digest: u64,
    /// Lowest term in which a member knew that the entry is committed. An entry of an earlier term may
    /// be committed in a later one, and leaders of the terms in between need not have it.
    first_known_in: Term,
}

/// Observations of a run, against which later ones are checked.
#[derive(Default)]
pub struct Checker {
    leaders: BTreeMap<Term, MemberId>,
    committed: BTreeMap<Index, Committed>,
    states: BTreeMap<Index, u64>,
    /// The greatest index that a client knows to be applied.
    pub known_index: Index,
    /// Number of commands that were acknowledged to a client.
    pub acknowledged: usize,
    /// Number of reads that were answered.
    pub reads: usize,
}

impl Checker {
    pub fn terms_with_leader(&self) -> usize {
        self.leaders.len()
    }

    /// Checks that a term has at most one leader, and that the leader has every entry that was
    /// committed in an earlier term.
    pub fn check_leader(&mut self, node: &Node) -> CheckResult {
        let first = *self.leaders.entry(node.term()).or_insert(node.id());
        if first != node.id() {
            return Err(format!(
                "{first} and {} lead in term {}",
                node.id(),
                node.term()
            ));
        }
        let mut earlier = self
            .committed
            .iter()
            .filter(|(_, entry)| entry.first_known_in < node.term());
        let missing = earlier.find(|(index, entry)| {
            let found = node.term_at(**index);
            let is_compacted = found.is_none() && **index <= node.commit_index();
            found != Some(entry.term) && !is_compacted
        });
        match missing {
            Some((index, _)) => Err(format!(
                "leader {} lacks committed entry {index}",
                node.id()
            )),
            None => Ok(()),
        }
    }

    /// Checks that all members commit the same entry at an index. `term` is the term of `member`.
    pub fn check_commit(&mut self, member: MemberId, term: Term, entry: &Entry) -> CheckResult {
        let digest = entry_digest(entry);
        let found = Committed {
            term: entry.term,
            digest,
            first_known_in: term,
        };
        let first = self.committed.entry(entry.index).or_insert(found);
        first.first_known_in = first.first_known_in.min(term);
        if (first.term, first.digest) != (entry.term, digest) {
            return Err(format!(
                "{member} committed a different entry at index {}",
                entry.index
            ));
        }
        Ok(())
    }

    /// Checks that all members have the same state at an index, and that the state of a member never
    /// goes back to an earlier index.
    pub fn check_state(
        &mut self,
        member: MemberId,
        before: Index,
        after: AppliedState,
    ) -> CheckResult {
        if after.index <= before {
            return Err(format!(
                "the state of {member} went back from index {before} to {}",
                after.index
            ));
        }
        let first = *self.states.entry(after.index).or_insert(after.digest);
        if first != after.digest {
            return Err(format!(
                "{member} has a different state at index {}",
                after.index
            ));
        }
        Ok(())
    }

    /// Checks that a read returns a state with everything that a client knew to be applied when the
    /// read started.
    pub fn check_read(&mut self, known_at_start: Index, returned_index: Index) -> CheckResult {
        if returned_index < known_at_start {
            return Err(format!(
                "a read returned the state at {returned_index} although {known_at_start} was applied"
            ));
        }
        self.known_index = self.known_index.max(returned_index);
        self.reads += 1;
        Ok(())
    }

    /// Records that a client was told that its command is applied.
    pub fn acknowledge(&mut self, index: Index) {
        self.known_index = self.known_index.max(index);
        self.acknowledged += 1;
    }

    /// Checks that two logs with an equal entry at an index are equal at all earlier indexes.
    pub fn compare_logs(&self, a: &Node, b: &Node) -> CheckResult {
        let last = a.last_index().min(b.last_index());
        let terms = |index| a.term_at(index).zip(b.term_at(index));
        let mut indexes = (1..=last)
            .rev()
            .filter_map(|index| terms(index).map(|pair| (index, pair)));
        if !indexes.by_ref().any(|(_, (left, right))| left == right) {
            return Ok(());
        }
        if let Some((index, _)) = indexes.find(|(_, (left, right))| left != right) {
            return Err(format!(
                "the logs of {} and {} differ at index {index}, but agree at a later one",
                a.id(),
                b.id()
            ));
        }
        Ok(())
    }
}
