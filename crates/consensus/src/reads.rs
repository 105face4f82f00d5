//! Linearizable reads, confirmed by a quorum as in the ReadIndex protocol of Raft.
//!
//! A round of reads may be served from the state at the commit index at its start once a quorum has
//! confirmed, after the start, that it still follows this leader. Reads that arrive while a round is
//! in progress share the next round.

use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

use crate::entry::Index;
use crate::node::Node;
use crate::node::ProposeError;
use crate::ready::ConfirmedRead;
use crate::replication::Least;

#[derive(Debug, Default)]
pub(crate) struct Reads {
    /// Number of the last round that was started.
    round: u64,
    /// Tokens of the reads in the current round; empty if no round is in progress.
    active: Vec<u64>,
    /// Commit index at the start of the current round.
    active_index: Index,
    /// Tokens of the reads that wait for the next round.
    waiting: Vec<u64>,
    confirmed: Vec<ConfirmedRead>,
    aborted: Vec<u64>,
}

impl Reads {
    pub(crate) fn round(&self) -> u64 {
        self.round
    }

    /// Aborts all reads, also those that are confirmed and not returned yet.
    pub(crate) fn abort(&mut self) {
        let confirmed = self.confirmed.drain(..).map(|read| read.token);
        self.aborted.extend(confirmed);
        self.aborted.append(&mut self.active);
        self.aborted.append(&mut self.waiting);
    }

    /// Returns the confirmed reads that the entries up to `applied` suffice for.
    pub(crate) fn take_confirmed(&mut self, applied: Index) -> Vec<ConfirmedRead> {
        self.confirmed
            .extract_if(.., |read| read.index <= applied)
            .collect()
    }

    pub(crate) fn take_aborted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.aborted)
    }

    fn start(&mut self, index: Index) {
        self.round += 1;
        self.active_index = index;
        self.active = std::mem::take(&mut self.waiting);
    }

    fn finish(&mut self) {
        let index = self.active_index;
        let reads = self
            .active
            .drain(..)
            .map(|token| ConfirmedRead { token, index });
        self.confirmed.extend(reads);
    }
}

impl Node {
    /// Starts a read. Its result is reported under `token` in
    /// [`Ready::reads`](crate::Ready::reads) or
    /// [`Ready::aborted_reads`](crate::Ready::aborted_reads).
    pub fn read_index(&mut self, now: Millis, token: u64) -> Result<(), ProposeError> {
        self.advance_clock(now);
        self.check_leading()?;
        self.reads.waiting.push(token);
        self.start_waiting_reads();
        Ok(())
    }

    /// Starts a round if reads are waiting, no round is in progress, and the leader has committed an
    /// entry of its own term and so knows everything that was committed before.
    pub(crate) fn start_waiting_reads(&mut self) {
        let needs_round = self.reads.active.is_empty() && !self.reads.waiting.is_empty();
        if !needs_round || !self.has_committed_in_current_term() {
            return;
        }
        self.reads.start(self.commit_index);
        self.replicate_all(Least::Contact);
        self.confirm_reads();
    }

    pub(crate) fn confirm_reads(&mut self) {
        let round = self.reads.round;
        let confirmed = |id: MemberId| self.progress.get(&id).map_or(round, |other| other.round);
        let reached = self.membership().quorum_value(confirmed);
        let is_reached = reached >= Some(round) || self.config.faults.unconfirmed_reads;
        if self.reads.active.is_empty() || !is_reached {
            return;
        }
        self.reads.finish();
        self.start_waiting_reads();
    }
}
