//! Volatile data that the leader keeps for each worker during its term.

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

/// A sync whose reply is delayed until there is something to send or `until` has passed.
#[derive(Clone, Debug)]
pub(crate) struct HeldSync {
    pub(crate) token: ReplyToken,
    pub(crate) sequence: u64,
    pub(crate) until: Millis,
}

/// A report that was proposed and is not applied yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingReport {
    pub(crate) sequence: u64,
    pub(crate) since: Millis,
    /// Ended attempts to acknowledge once the report is applied.
    pub(crate) ended: Vec<AttemptKey>,
}

/// The session of one worker with this leader.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) incarnation: Incarnation,
    /// When the lease has certainly ended and the worker has stopped its tasks.
    pub(crate) lease_until: Millis,
    /// When the expiry of the worker was proposed; `None` if no proposal is pending.
    pub(crate) expiry_proposed_at: Option<Millis>,
    pub(crate) last_sequence: u64,
    pub(crate) held_syncs: VecDeque<HeldSync>,
    pub(crate) pending_reports: Vec<PendingReport>,
    /// Attempts whose end is applied or would change nothing; the next reply acknowledges them.
    pub(crate) to_acknowledge: Vec<AttemptKey>,
    pub(crate) wants_full_report: bool,
    /// Whether the worker has no valid lease and gets one as soon as it is connected.
    pub(crate) needs_lease: bool,
    /// The last command sent for each attempt, until a report confirms it or the attempt no longer
    /// holds resources.
    pub(crate) sent_commands: BTreeMap<AttemptKey, SentCommand>,
    /// Tasks whose processor usage is limited, with the limit in percent of what they declared.
    pub(crate) throttled: BTreeMap<TaskId, u8>,
}

/// The last command sent for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SentCommand {
    pub(crate) kind: CommandKind,
    /// When a command of this kind was first sent for the attempt.
    pub(crate) since: Millis,
    /// When it was last sent.
    pub(crate) at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandKind {
    Start,
    Stop,
    Throttle(u8),
}

impl Session {
    pub(crate) fn new(incarnation: Incarnation, sequence: u64, lease_until: Millis) -> Session {
        Session {
            incarnation,
            lease_until,
            expiry_proposed_at: None,
            last_sequence: sequence,
            held_syncs: VecDeque::new(),
            pending_reports: Vec::new(),
            to_acknowledge: Vec::new(),
            wants_full_report: false,
            needs_lease: true,
            sent_commands: BTreeMap::new(),
            throttled: BTreeMap::new(),
        }
    }

    /// Resets the session for a new incarnation of the worker. The deadline of the lease, a
    /// proposed expiry, held syncs and throttles are kept.
    pub(crate) fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.last_sequence = 0;
        self.pending_reports.clear();
        self.to_acknowledge.clear();
        self.wants_full_report = false;
        self.needs_lease = true;
        self.sent_commands.clear();
    }
}

/// The sync of a worker whose registration is proposed; processed once the registration is applied.
#[derive(Clone, Debug)]
pub(crate) struct PendingRegistration {
    pub(crate) sync: WorkerSync,
    pub(crate) token: ReplyToken,
    pub(crate) since: Millis,
}

/// Sessions of all registered workers, and registrations in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sessions {
    pub(crate) by_worker: BTreeMap<WorkerId, Session>,
    pub(crate) registrations: BTreeMap<Name, PendingRegistration>,
}
