//! Transfer of snapshots, in chunks, to members that need entries that are already compacted.
//!
//! A member ignores a snapshot that is not newer than its commit index, so that its state never
//! goes back to an older one.

use bytes::Bytes;
use sapphirepost_types::MemberId;

use crate::entry::Index;
use crate::entry::Snapshot;
use crate::entry::SnapshotMeta;
use crate::membership::MembershipHistory;
use crate::message::Body;
use crate::node::Node;
use crate::progress::ReplicationMode;

/// A snapshot of which only a part has been received.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl Node {
    /// Starts to send the latest snapshot to a member that needs entries before the start of the log.
    pub(crate) fn start_snapshot(&mut self, to: MemberId) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.mode = ReplicationMode::Snapshot {
                snapshot,
                offset: 0,
                awaiting: false,
            };
            progress.inflight.clear();
        }
        self.send_chunk(to);
    }

    pub(crate) fn send_chunk(&mut self, to: MemberId) {
        self.send_part(to, self.config.snapshot_chunk_bytes);
    }

    /// Sends a chunk without data, whose reply confirms the contact and the read round. The chunk
    /// before it is on its way.
    pub(crate) fn send_empty_chunk(&mut self, to: MemberId) {
        self.send_part(to, 0);
    }

    fn send_part(&mut self, to: MemberId, max_bytes: usize) {
        let round = self.reads.round();
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let ReplicationMode::Snapshot {
            snapshot,
            offset,
            awaiting,
        } = &mut progress.mode
        else {
            return;
        };
        *awaiting = true;
        let start = (*offset as usize).min(snapshot.data.len());
        let end = (start + max_bytes).min(snapshot.data.len());
        let body = Body::SnapshotChunk {
            meta: snapshot.meta.clone(),
            total_bytes: snapshot.data.len() as u64,
            offset: start as u64,
            data: snapshot.data.slice(start..end),
            round,
        };
        self.send(to, body);
    }

    pub(crate) fn handle_snapshot_reply(
        &mut self,
        from: MemberId,
        index: Index,
        received: u64,
        round: u64,
    ) {
        if !self.record_contact(from, round) {
            return;
        }
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        let ReplicationMode::Snapshot {
            snapshot,
            offset,
            awaiting,
        } = &mut progress.mode
        else {
            return;
        };
        // A reply with the known offset answers a retransmitted chunk.
        let is_new = snapshot.meta.index == index && received != *offset;
        if !is_new {
            return;
        }
        *offset = received;
        let is_complete = received >= snapshot.data.len() as u64;
        *awaiting = is_complete;
        if !is_complete {
            self.send_chunk(from);
        }
    }

    pub(crate) fn handle_snapshot_chunk(
        &mut self,
        from: MemberId,
        meta: SnapshotMeta,
        total_bytes: u64,
        (offset, data): (u64, Bytes),
        round: u64,
    ) {
        if self.log.term(meta.index) == Some(meta.term) {
            // The log contains the last entry of the snapshot, so it contains all of them.
            self.commit_to(meta.index);
        }
        if meta.index <= self.commit_index {
            self.incoming_snapshot = None;
            return self.send_after_persist(
                from,
                Body::Accepted {
                    matched: self.commit_index,
                    round,
                },
            );
        }
        let index = meta.index;
        let received = self.collect_chunk(meta, offset, &data);
        if received < total_bytes {
            return self.send(
                from,
                Body::SnapshotReply {
                    index,
                    received,
                    round,
                },
            );
        }
        self.install_incoming_snapshot();
        self.send_after_persist(
            from,
            Body::Accepted {
                matched: index,
                round,
            },
        );
    }

    /// Appends a chunk and returns how many bytes of the snapshot have been received. A chunk at any
    /// other offset than the next one is ignored; a chunk of another snapshot discards the old one.
    fn collect_chunk(&mut self, meta: SnapshotMeta, offset: u64, data: &[u8]) -> u64 {
        let is_same = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|incoming| incoming.meta == meta);
        if !is_same {
            self.incoming_snapshot = None;
        }
        let incoming = self
            .incoming_snapshot
            .get_or_insert_with(|| IncomingSnapshot {
                meta,
                data: Vec::new(),
            });
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(data);
        }
        incoming.data.len() as u64
    }

    fn install_incoming_snapshot(&mut self) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        let index = incoming.meta.index;
        let snapshot = Snapshot {
            meta: incoming.meta,
            data: Bytes::from(incoming.data),
        };
        self.memberships = MembershipHistory::new(index, snapshot.meta.membership.clone());
        self.log.reset(snapshot.clone());
        self.commit_index = index;
        self.skip_applied(index);
        self.received_snapshot = Some(snapshot);
    }
}
