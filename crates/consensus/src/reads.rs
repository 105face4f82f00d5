//! Reads that a quorum confirms.
//!
//! A read is valid at the commit index of its start if, after the start, a quorum still followed
//! this leader. Reads that arrive while a round is under way share the next round.

use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

use crate::entry::Index;
use crate::node::Node;
use crate::node::ProposeError;
use crate::ready::ConfirmedRead;

#[derive(Debug, Default)]
pub(crate) struct Reads {
    round: u64,
    /// The reads of the round under way, with their index; empty if there is none.
    current: Vec<u64>,
    current_index: Index,
    waiting: Vec<u64>,
    confirmed: Vec<ConfirmedRead>,
    aborted: Vec<u64>,
}

impl Reads {
    pub(crate) fn round(&self) -> u64 {
        self.round
    }

    pub(crate) fn abort(&mut self) {
        self.aborted.append(&mut self.current);
        self.aborted.append(&mut self.waiting);
    }

    pub(crate) fn take_confirmed(&mut self) -> Vec<ConfirmedRead> {
        std::mem::take(&mut self.confirmed)
    }

    pub(crate) fn take_aborted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.aborted)
    }

    fn start(&mut self, index: Index) {
        self.round += 1;
        self.current_index = index;
        self.current = std::mem::take(&mut self.waiting);
    }

    fn finish(&mut self) {
        let index = self.current_index;
        let reads = self
            .current
            .drain(..)
            .map(|token| ConfirmedRead { token, index });
        self.confirmed.extend(reads);
    }
}

impl Node {
    /// Starts a read; it ends in [`Ready::reads`](crate::Ready::reads) or
    /// [`Ready::aborted_reads`](crate::Ready::aborted_reads).
    pub fn read_index(&mut self, now: Millis, token: u64) -> Result<(), ProposeError> {
        self.observe(now);
        self.check_leading()?;
        self.reads.waiting.push(token);
        self.start_waiting_reads();
        Ok(())
    }

    /// Starts a round if reads wait, none is under way and all earlier commits are known.
    pub(crate) fn start_waiting_reads(&mut self) {
        let is_idle = self.reads.current.is_empty() && !self.reads.waiting.is_empty();
        if !is_idle || !self.has_committed_in_current_term() {
            return;
        }
        self.reads.start(self.commit_index);
        self.replicate_all(true);
        self.confirm_reads();
    }

    pub(crate) fn confirm_reads(&mut self) {
        let round = self.reads.round;
        let confirmed = |id: MemberId| self.progress.get(&id).map_or(round, |other| other.round);
        let reached = self.membership().quorum_value(confirmed);
        let is_reached = reached >= Some(round) || self.config.faults.unconfirmed_reads;
        if self.reads.current.is_empty() || !is_reached {
            return;
        }
        self.reads.finish();
        self.start_waiting_reads();
    }
}
