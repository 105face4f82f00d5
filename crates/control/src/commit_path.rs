//! Where the time of a commit goes: how long a command takes for each hop of its way through the
//! group.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use prometheus_client::metrics::histogram::Histogram;

use sapphirepost_consensus::Body;
use sapphirepost_consensus::Index;
use sapphirepost_consensus::OutgoingMessage;
use sapphirepost_process::metrics::Metrics;

use crate::core_load;

/// Time between two log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two measurements of how late the network thread is.
const LATENESS_INTERVAL: Duration = Duration::from_millis(20);

/// A hop of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hop {
    /// On the leader, from a queue command to its proposal.
    Collect,
    /// On the leader, from a proposal to the sync of its own log, as the core thread learns of it.
    OwnSync,
    /// On the leader, from a proposal to the knowledge that it is committed.
    Quorum,
    /// On a follower, from the receipt of entries to their acknowledgement.
    Acknowledge,
    /// From a request to the storage thread to the end of its sync.
    Storage,
    /// The wait of an event of the group for the core thread.
    GroupEvent,
    /// The wait of a message in the queue for its receiver.
    PeerQueue,
    /// The call that carries a message.
    PeerCall,
    /// How late the thread that carries the messages wakes up for a timer.
    GroupThread,
}

impl Hop {
    /// The names of the metrics, in the order of the variants.
    const NAMES: [&str; 9] = [
        "collect",
        "own_sync",
        "quorum",
        "acknowledge",
        "storage",
        "group_event",
        "peer_queue",
        "peer_call",
        "group_thread",
    ];
}

/// Measures how late the threads of the present runtime wake up.
pub(crate) async fn measure_lateness(hops: Hops) {
    loop {
        let due = Instant::now() + LATENESS_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        hops.record(Hop::GroupThread, due.elapsed());
    }
}

/// The times of one hop: as a metric, and of the present report interval.
#[derive(Debug)]
struct HopTimes {
    seconds: Histogram,
    count: AtomicU64,
    sum_us: AtomicU64,
    longest_us: AtomicU64,
}

/// The times of all hops, which several threads record.
#[derive(Clone, Debug)]
pub(crate) struct Hops(Arc<[HopTimes; Hop::NAMES.len()]>);

impl Hops {
    pub(crate) fn register(metrics: &Metrics) -> Hops {
        Hops(Arc::new(Hop::NAMES.map(|name| {
            let name = format!("control_commit_{name}_seconds");
            let help = "Time that a commit took for this part of its way";
            HopTimes {
                seconds: metrics.register(&name, help, core_load::seconds()),
                count: AtomicU64::new(0),
                sum_us: AtomicU64::new(0),
                longest_us: AtomicU64::new(0),
            }
        })))
    }

    pub(crate) fn record(&self, hop: Hop, took: Duration) {
        let times = &self.0[hop as usize];
        let took_us = took.as_micros() as u64;
        times.seconds.observe(took.as_secs_f64());
        times.count.fetch_add(1, Ordering::Relaxed);
        times.sum_us.fetch_add(took_us, Ordering::Relaxed);
        times.longest_us.fetch_max(took_us, Ordering::Relaxed);
    }

    /// The count, mean and longest time in microseconds of a hop since the last call.
    fn take(&self, hop: Hop) -> [u64; 3] {
        let times = &self.0[hop as usize];
        let count = times.count.swap(0, Ordering::Relaxed);
        let sum_us = times.sum_us.swap(0, Ordering::Relaxed);
        let longest_us = times.longest_us.swap(0, Ordering::Relaxed);
        [count, sum_us / count.max(1), longest_us]
    }

    fn log(&self, counts: &Counts) {
        let Counts {
            is_leading,
            appends,
            rejections,
        } = *counts;
        let [collected, collect, collect_max] = self.take(Hop::Collect);
        let [_, own_sync, own_sync_max] = self.take(Hop::OwnSync);
        let [commits, quorum, quorum_max] = self.take(Hop::Quorum);
        let [acknowledged, acknowledge, acknowledge_max] = self.take(Hop::Acknowledge);
        let [writes, storage, storage_max] = self.take(Hop::Storage);
        let [_, group_event, group_event_max] = self.take(Hop::GroupEvent);
        let [messages, peer_queue, peer_queue_max] = self.take(Hop::PeerQueue);
        let [_, peer_call, peer_call_max] = self.take(Hop::PeerCall);
        let [_, group_thread, group_thread_max] = self.take(Hop::GroupThread);
        log::info!(
            is_leading, appends, rejections, collected, commits, acknowledged, writes, messages,
            collect_us = collect, collect_max_us = collect_max,
            own_sync_us = own_sync, own_sync_max_us = own_sync_max,
            quorum_us = quorum, quorum_max_us = quorum_max,
            acknowledge_us = acknowledge, acknowledge_max_us = acknowledge_max,
            storage_us = storage, storage_max_us = storage_max,
            group_event_us = group_event, group_event_max_us = group_event_max,
            peer_queue_us = peer_queue, peer_queue_max_us = peer_queue_max,
            peer_call_us = peer_call, peer_call_max_us = peer_call_max,
            group_thread_us = group_thread, group_thread_max_us = group_thread_max; "commit path"
        );
    }
}

/// What a member has counted in a report interval.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    is_leading: bool,
    /// Received messages with entries.
    appends: u64,
    /// Messages of the leader whose entries do not follow the own log.
    rejections: u64,
}

/// A request to the storage thread that is not done.
#[derive(Debug)]
struct Write {
    number: u64,
    last_index: Index,
    sent_at: Instant,
    /// When the oldest entries of the leader in it were received.
    received_at: Option<Instant>,
}

/// Follows entries through the core thread.
#[derive(Debug)]
pub(crate) struct CommitPath {
    hops: Hops,
    writes: VecDeque<Write>,
    /// Proposals that are not synced to the own log, by index.
    unsynced: VecDeque<(Index, Instant)>,
    /// Proposals that are not known to be committed, by index.
    uncommitted: VecDeque<(Index, Instant)>,
    /// When the oldest entries were received that are not on their way to the storage thread.
    received_at: Option<Instant>,
    counts: Counts,
    reported_at: Instant,
    /// How long the last write took.
    last_write: Duration,
}

impl CommitPath {
    pub(crate) fn new(hops: Hops) -> CommitPath {
        CommitPath {
            hops,
            writes: VecDeque::new(),
            unsynced: VecDeque::new(),
            uncommitted: VecDeque::new(),
            received_at: None,
            counts: Counts::default(),
            reported_at: Instant::now(),
            last_write: Duration::ZERO,
        }
    }

    /// How long the last write to the own disk took, in milliseconds.
    pub(crate) fn last_write_ms(&self) -> u64 {
        self.last_write.as_millis() as u64
    }

    pub(crate) fn hops(&self) -> &Hops {
        &self.hops
    }

    /// Forgets the proposals of an earlier role.
    pub(crate) fn change_role(&mut self) {
        self.unsynced.clear();
        self.uncommitted.clear();
        self.received_at = None;
    }

    pub(crate) fn proposed(&mut self, index: Index) {
        let now = Instant::now();
        self.unsynced.push_back((index, now));
        self.uncommitted.push_back((index, now));
    }

    /// Records that entries of the leader were received at this time.
    pub(crate) fn received(&mut self, at: Instant) {
        self.counts.appends += 1;
        self.received_at.get_or_insert(at);
    }

    /// Records messages that are about to be sent.
    pub(crate) fn sending(&mut self, messages: &[OutgoingMessage]) {
        let is_rejection = |sent: &&OutgoingMessage| {
            let body = &sent.message.body;
            matches!(body, Body::Rejected { .. })
        };
        self.counts.rejections += messages.iter().filter(is_rejection).count() as u64;
    }

    /// Records a request to the storage thread, after which the log ends at `last_index`.
    pub(crate) fn write_sent(&mut self, number: u64, last_index: Index) {
        self.writes.push_back(Write {
            number,
            last_index,
            sent_at: Instant::now(),
            received_at: self.received_at.take(),
        });
    }

    /// Records that all writes up to `number` were synced at `synced_at`; their messages are handed
    /// to the network now.
    pub(crate) fn written(&mut self, number: u64, synced_at: Instant) {
        while let Some(write) = self.writes.pop_front_if(|write| write.number <= number) {
            let took = synced_at.saturating_duration_since(write.sent_at);
            self.hops.record(Hop::Storage, took);
            self.last_write = took;
            if let Some(received_at) = write.received_at {
                self.hops.record(Hop::Acknowledge, received_at.elapsed());
            }
            record_up_to(
                &mut self.unsynced,
                write.last_index,
                &self.hops,
                Hop::OwnSync,
            );
        }
    }

    pub(crate) fn committed(&mut self, index: Index) {
        record_up_to(&mut self.uncommitted, index, &self.hops, Hop::Quorum);
    }

    /// Ends a round of the core thread, and logs the times of the last interval if it is over.
    pub(crate) fn end_round(&mut self, is_leading: bool) {
        // Entries that caused no write are known already, or are rejected.
        self.received_at = None;
        let now = Instant::now();
        if now - self.reported_at >= REPORT_INTERVAL {
            self.reported_at = now;
            self.counts.is_leading = is_leading;
            self.hops.log(&std::mem::take(&mut self.counts));
        }
    }
}

fn record_up_to(proposals: &mut VecDeque<(Index, Instant)>, index: Index, hops: &Hops, hop: Hop) {
    while let Some((_, at)) = proposals.pop_front_if(|(proposed, _)| *proposed <= index) {
        hops.record(hop, at.elapsed());
    }
}
