//! Checks a run against the rules of a replicated log, without using the code under test.

use std::collections::BTreeMap;

use sapphirepost_consensus::Entry;
use sapphirepost_consensus::Index;
use sapphirepost_consensus::Node;
use sapphirepost_consensus::Payload;
use sapphirepost_consensus::Term;
use sapphirepost_types::MemberId;

pub type Verdict = Result<(), String>;

/// The state machine of the tests: a digest over all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shown {
    pub index: Index,
    pub digest: u64,
}

impl Shown {
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

/// A committed entry.
struct Committed {
    term: Term,
    digest: u64,
    /// The lowest term in which a member knew of the commit. An entry of an earlier term may be
    /// committed in a later one, and a leader of a term in between need not have it.
    known_in: Term,
}

/// What has been seen in a run.
#[derive(Default)]
pub struct Checker {
    leaders: BTreeMap<Term, MemberId>,
    committed: BTreeMap<Index, Committed>,
    states: BTreeMap<Index, u64>,
    /// The greatest index that a caller knows to be in effect.
    pub known: Index,
    pub acknowledged: usize,
    pub reads: usize,
}

impl Checker {
    pub fn terms_with_leader(&self) -> usize {
        self.leaders.len()
    }

    /// At most one leader in a term; it has everything that was committed before.
    pub fn leads(&mut self, node: &Node) -> Verdict {
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
            .filter(|(_, known)| known.known_in < node.term());
        let lacking = earlier.find(|(index, known)| {
            let found = node.term_at(**index);
            let is_compacted = found.is_none() && **index <= node.commit_index();
            found != Some(known.term) && !is_compacted
        });
        match lacking {
            Some((index, _)) => Err(format!(
                "leader {} lacks committed entry {index}",
                node.id()
            )),
            None => Ok(()),
        }
    }

    /// An index is committed with one content only. `term` is the term of the member.
    pub fn commits(&mut self, member: MemberId, term: Term, entry: &Entry) -> Verdict {
        let digest = entry_digest(entry);
        let found = Committed {
            term: entry.term,
            digest,
            known_in: term,
        };
        let first = self.committed.entry(entry.index).or_insert(found);
        first.known_in = first.known_in.min(term);
        if (first.term, first.digest) != (entry.term, digest) {
            return Err(format!("{member} commits another entry at {}", entry.index));
        }
        Ok(())
    }

    /// A state depends on its index only, and a member never goes back.
    pub fn state(&mut self, member: MemberId, before: Index, now: Shown) -> Verdict {
        if now.index <= before {
            return Err(format!(
                "{member} goes from state {before} back to {}",
                now.index
            ));
        }
        let first = *self.states.entry(now.index).or_insert(now.digest);
        if first != now.digest {
            return Err(format!("{member} has a different state at {}", now.index));
        }
        Ok(())
    }

    /// A read shows everything that was known to be in effect when it started.
    pub fn read(&mut self, known_at_start: Index, shown: Index) -> Verdict {
        if shown < known_at_start {
            return Err(format!(
                "a read shows {shown} although {known_at_start} was in effect"
            ));
        }
        self.known = self.known.max(shown);
        self.reads += 1;
        Ok(())
    }

    /// A caller was told that its command is in effect.
    pub fn acknowledge(&mut self, index: Index) {
        self.known = self.known.max(index);
        self.acknowledged += 1;
    }

    /// Logs that agree on one entry agree on all earlier ones.
    pub fn compare_logs(&self, a: &Node, b: &Node) -> Verdict {
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
                "{} and {} differ at {index} but not later",
                a.id(),
                b.id()
            ));
        }
        Ok(())
    }
}
