//! What the leader keeps for each worker while it leads.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::message::ReplyToken;

/// A sync that waits for a command or its time.
#[derive(Clone, Debug)]
pub(crate) struct HeldSync {
    pub(crate) token: ReplyToken,
    pub(crate) sequence: u64,
    pub(crate) until: Millis,
}

/// A report that was proposed and not applied yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingReport {
    pub(crate) sequence: u64,
    pub(crate) since: Millis,
    pub(crate) ended: Vec<AttemptKey>,
}

/// The volatile part of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) incarnation: Incarnation,
    /// When the lease has certainly ended.
    pub(crate) lease_until: Millis,
    /// Since when an expiry has been proposed.
    pub(crate) expiring: Option<Millis>,
    pub(crate) last_sequence: u64,
    pub(crate) held: VecDeque<HeldSync>,
    pub(crate) pending: Vec<PendingReport>,
    /// Ended attempts that were applied and are acknowledged with the next answer.
    pub(crate) acknowledged: Vec<AttemptKey>,
    pub(crate) wants_full: bool,
    /// Whether the worker has no lease and gets one as soon as it is connected.
    pub(crate) owes_lease: bool,
    /// When each command was sent last.
    pub(crate) sent: BTreeMap<AttemptKey, Sent>,
    /// The share in percent that tasks are limited to.
    pub(crate) throttled: BTreeMap<TaskId, u8>,
}

/// The last command for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Sent {
    pub(crate) kind: SentKind,
    /// When it was sent first.
    pub(crate) since: Millis,
    /// When it was sent last.
    pub(crate) at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SentKind {
    Start,
    Stop,
    Throttle(u8),
}

impl Session {
    pub(crate) fn new(incarnation: Incarnation, sequence: u64, lease_until: Millis) -> Session {
        Session {
            incarnation,
            lease_until,
            expiring: None,
            last_sequence: sequence,
            held: VecDeque::new(),
            pending: Vec::new(),
            acknowledged: Vec::new(),
            wants_full: false,
            owes_lease: true,
            sent: BTreeMap::new(),
            throttled: BTreeMap::new(),
        }
    }

    /// Begins with another run of the worker; the deadline of the lease stays.
    pub(crate) fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.last_sequence = 0;
        self.pending.clear();
        self.acknowledged.clear();
        self.wants_full = false;
        self.owes_lease = true;
        self.sent.clear();
    }
}

/// A sync of a worker or a run that is being registered.
#[derive(Clone, Debug)]
pub(crate) struct Joining {
    pub(crate) sync: WorkerSync,
    pub(crate) token: ReplyToken,
    pub(crate) since: Millis,
}

/// All workers of one leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sessions {
    pub(crate) by_worker: BTreeMap<WorkerId, Session>,
    pub(crate) joining: BTreeMap<Name, Joining>,
}
