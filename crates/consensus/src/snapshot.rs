//! Snapshots in chunks, for members that need compacted entries.
//!
//! A member ignores a snapshot that is not newer than what it has committed, so that it never
//! falls back to an older state.

use bytes::Bytes;
use sapphirepost_types::MemberId;

use crate::entry::Index;
use crate::entry::Snapshot;
use crate::entry::SnapshotMeta;
use crate::membership::MembershipHistory;
use crate::message::Body;
use crate::node::Node;
use crate::progress::Mode;

/// A snapshot that is being received.
#[derive(Debug)]
pub(crate) struct Incoming {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl Node {
    /// Sends the snapshot to a member that needs entries before the start of the log.
    pub(crate) fn start_snapshot(&mut self, to: MemberId) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.mode = Mode::Snapshot {
                snapshot,
                offset: 0,
                awaiting: false,
            };
            progress.inflight.clear();
        }
        self.send_chunk(to);
    }

    pub(crate) fn send_chunk(&mut self, to: MemberId) {
        let chunk_bytes = self.config.snapshot_chunk_bytes;
        let round = self.reads.round();
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let Mode::Snapshot {
            snapshot,
            offset,
            awaiting,
        } = &mut progress.mode
        else {
            return;
        };
        *awaiting = true;
        let start = (*offset as usize).min(snapshot.data.len());
        let end = (start + chunk_bytes).min(snapshot.data.len());
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
        if !self.heard(from, round) {
            return;
        }
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        let Mode::Snapshot {
            snapshot,
            offset,
            awaiting,
        } = &mut progress.mode
        else {
            return;
        };
        // A reply that repeats the known offset answers a chunk that was sent again.
        let is_news = snapshot.meta.index == index && received != *offset;
        if !is_news {
            return;
        }
        *offset = received;
        let is_complete = received >= snapshot.data.len() as u64;
        *awaiting = is_complete;
        if !is_complete {
            self.send_chunk(from);
        }
    }

    pub(crate) fn handle_chunk(
        &mut self,
        from: MemberId,
        meta: SnapshotMeta,
        total_bytes: u64,
        (offset, data): (u64, Bytes),
        round: u64,
    ) {
        if self.log.term(meta.index) == Some(meta.term) {
            // The log holds the last entry of the snapshot, so it holds all of them.
            self.commit_to(meta.index);
        }
        if meta.index <= self.commit_index {
            self.incoming = None;
            return self.send_durable(
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
        self.install_incoming();
        self.send_durable(
            from,
            Body::Accepted {
                matched: index,
                round,
            },
        );
    }

    /// Adds a chunk and returns how much of the snapshot is there.
    fn collect_chunk(&mut self, meta: SnapshotMeta, offset: u64, data: &[u8]) -> u64 {
        let is_same = self
            .incoming
            .as_ref()
            .is_some_and(|incoming| incoming.meta == meta);
        if !is_same {
            self.incoming = None;
        }
        let incoming = self.incoming.get_or_insert_with(|| Incoming {
            meta,
            data: Vec::new(),
        });
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(data);
        }
        incoming.data.len() as u64
    }

    fn install_incoming(&mut self) {
        let Some(incoming) = self.incoming.take() else {
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
