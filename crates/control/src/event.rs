//! The input of the core thread, and the bounded channels that carry it.
//!
//! Events of the group have a channel of their own and are handled first. Behind the replies of
//! many workers and the calls of many callers, a leader would see the replies of the other members
//! too late and stop leading.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flume::RecvTimeoutError;
use flume::Selector;
use flume::TrySendError;
use serde_json::Value;

use sapphirepost_consensus::Index;
use sapphirepost_consensus::Message;
use sapphirepost_consensus::OutgoingMessage;
use sapphirepost_consensus::Persisted;
use sapphirepost_consensus::Snapshot;
use sapphirepost_process::rpc::Responder;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimReply;
use sapphirepost_protocol::config::ConfigReply;
use sapphirepost_protocol::config::WatchConfig;
use sapphirepost_protocol::consensus::Step;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_queues::scheduler::WorkerReply;
use sapphirepost_queues::scheduler::WorkerRequest;
use sapphirepost_queues::scheduler::WorkerRequestError;
use sapphirepost_types::Millis;

use crate::core_load::EventKind;

/// The number of queued events from which on calls are refused as busy.
const CALLS_MAX: usize = 8_192;
/// Channel capacity that calls cannot use, for the replies of workers.
const RESERVED_CAPACITY: usize = 2_048;
/// The capacity of the channel for events of the group.
const GROUP_EVENTS_MAX: usize = 4_096;

/// One input of the core thread.
pub enum Event {
    /// A consensus message from another member.
    Step(Box<Step<Message>>),
    /// An operator's request.
    Operator(Box<OperatorRequest>, Responder<OperatorReply>),
    /// A worker's sync.
    WorkerSync(Box<WorkerSync>, Responder<WorkerSyncReply>),
    /// Claims of an entry process on request IDs, and the outcomes of earlier ones.
    Claims(ClaimBatch, Responder<ClaimReply>),
    /// A long poll of an entry process for a newer configuration.
    WatchConfig(WatchConfig, Responder<ConfigReply>),
    /// A call about queues, or the request of a process to join the group.
    Queue(Box<QueueCall>, Responder<QueueReply>),
    /// A call about queues from the program that this member runs in. A follower answers it itself
    /// where it can.
    LocalQueue(Box<QueueCall>, Responder<QueueReply>),
    /// The leader has answered a report of this worker, which the program has relayed to it.
    ReportRelayed(Arc<str>),
    /// The reply to a request to a worker, or why there is none.
    WorkerReplied(Box<WorkerRequest>, Result<WorkerReply, WorkerRequestError>),
    /// The program that this member runs in may ask the leader for its index. Answered with the
    /// time to pass on with it, or an error if it is of no use now.
    LeaderIndexWanted(Responder<Millis>),
    /// The leader had applied the log up to this index at some time after this one.
    LeaderIndexKnown(Index, Millis),
    /// A request for a dump of this member; the function receives it.
    Dump(Box<dyn FnOnce(Value) + Send>),
    /// The output of the consensus node up to this number is durable, so the messages that had to
    /// wait for that may be sent.
    Persisted(Persisted, Vec<OutgoingMessage>),
    /// A snapshot that this member has taken is saved.
    SnapshotSaved(Snapshot),
    /// A snapshot that this member has taken is not saved because the disk is out of space; with
    /// the error.
    SnapshotSkipped(String),
    /// Records or a received snapshot wait because the disk is out of space; with the error.
    StorageFull(String),
    /// What waited for disk space is written.
    StorageHasSpace,
    /// A write or sync failed, with this error; the process has to stop.
    StorageFailed(String),
    /// The process is asked to stop gracefully.
    Shutdown,
}

impl Event {
    /// What the event is about.
    pub(crate) fn kind(&self) -> EventKind {
        match self {
            Event::Step(_)
            | Event::Persisted(..)
            | Event::SnapshotSaved(_)
            | Event::SnapshotSkipped(_)
            | Event::StorageFull(_)
            | Event::StorageHasSpace
            | Event::StorageFailed(_)
            | Event::LeaderIndexWanted(_)
            | Event::LeaderIndexKnown(..)
            | Event::Shutdown => EventKind::Group,
            Event::WorkerReplied(..) => EventKind::WorkerReply,
            Event::Queue(call, _) | Event::LocalQueue(call, _) => match **call {
                QueueCall::Report { .. } | QueueCall::Left { .. } => EventKind::WorkerReport,
                QueueCall::WaitForQuestion { .. } => EventKind::PolicyPoll,
                // A follower whose question waits cannot take reads off the leader.
                QueueCall::LeaderIndex => EventKind::Group,
                _ => EventKind::Call,
            },
            Event::ReportRelayed(_) => EventKind::WorkerReport,
            _ => EventKind::Call,
        }
    }
}

/// An event in the channel.
struct QueuedEvent {
    event: Event,
    queued_at: Instant,
}

impl QueuedEvent {
    fn new(event: Event) -> QueuedEvent {
        QueuedEvent {
            event,
            queued_at: Instant::now(),
        }
    }
}

/// The receiving side of the channels to the core thread.
pub struct EventReceiver {
    group: flume::Receiver<QueuedEvent>,
    others: flume::Receiver<QueuedEvent>,
}

impl EventReceiver {
    /// Waits for an event, and returns it with the time at which it was sent. An event of the group
    /// comes before any other.
    pub fn recv_timeout(&self, timeout: Duration) -> Result<(Event, Instant), RecvTimeoutError> {
        if let Some(queued) = self.try_recv() {
            return Ok(queued);
        }
        let selected = Selector::new()
            .recv(&self.group, |received| received)
            .recv(&self.others, |received| received)
            .wait_timeout(timeout);
        match selected {
            Ok(Ok(queued)) => Ok((queued.event, queued.queued_at)),
            Ok(Err(_)) => Err(RecvTimeoutError::Disconnected),
            Err(_) => Err(RecvTimeoutError::Timeout),
        }
    }

    /// Returns an event that is already there, with the time at which it was sent. An event of the
    /// group comes before any other.
    pub fn try_recv(&self) -> Option<(Event, Instant)> {
        let queued = self.group.try_recv().or_else(|_| self.others.try_recv());
        let queued = queued.ok()?;
        Some((queued.event, queued.queued_at))
    }

    /// The number of events in the channels.
    pub fn len(&self) -> usize {
        self.group.len() + self.others.len()
    }

    /// Whether there is no event.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The sending side of the channels to the core thread.
#[derive(Clone)]
pub struct EventSender {
    group: flume::Sender<QueuedEvent>,
    others: flume::Sender<QueuedEvent>,
}

impl EventSender {
    /// Creates the channels and returns both sides.
    pub fn new() -> (EventSender, EventReceiver) {
        let (group_sender, group) = flume::bounded(GROUP_EVENTS_MAX);
        let (other_sender, others) = flume::bounded(CALLS_MAX + RESERVED_CAPACITY);
        let sender = EventSender {
            group: group_sender,
            others: other_sender,
        };
        (sender, EventReceiver { group, others })
    }

    /// Sends a call, or returns it if too many events are queued or the core thread has ended.
    pub fn try_send_call(&self, event: Event) -> Result<(), Box<Event>> {
        let channel = self.channel(&event);
        if channel.len() >= CALLS_MAX {
            return Err(Box::new(event));
        }
        channel
            .try_send(QueuedEvent::new(event))
            .map_err(|error| Box::new(error.into_inner().event))
    }

    /// Sends an event, or drops it if its channel is full. Consensus tolerates the loss of its
    /// messages.
    pub fn send_or_drop(&self, event: Event) {
        let _ = self.channel(&event).try_send(QueuedEvent::new(event));
    }

    /// Asks the core thread for a graceful stop, without blocking. While the channel is full, a
    /// thread of its own waits for room. Fails if that thread cannot be started.
    pub fn request_shutdown(&self) -> io::Result<()> {
        let shutdown = QueuedEvent::new(Event::Shutdown);
        if let Err(TrySendError::Full(queued)) = self.group.try_send(shutdown) {
            let sender = self.clone();
            thread::Builder::new()
                .name("shutdown".to_owned())
                .spawn(move || sender.send_blocking(queued.event))?;
        }
        Ok(())
    }

    /// Sends an event that must not get lost, and blocks while its channel is full. Returns
    /// whether the core thread still runs.
    pub fn send_blocking(&self, event: Event) -> bool {
        self.channel(&event).send(QueuedEvent::new(event)).is_ok()
    }

    fn channel(&self, event: &Event) -> &flume::Sender<QueuedEvent> {
        match event.kind() {
            EventKind::Group => &self.group,
            _ => &self.others,
        }
    }
}
