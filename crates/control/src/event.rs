//! What reaches the core thread.

use serde_json::Value;

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

/// Room for calls; more are refused as busy.
const CALLS_MAX: usize = 8_192;
/// Room that calls leave free, so that a flood of them does not delay elections and commits.
const RESERVED: usize = 2_048;

/// One input of the core thread.
pub enum Event {
    /// A message of another member.
    Step(Box<Step<Message>>),
    /// An operator's request.
    Operator(Box<OperatorRequest>, Responder<OperatorReply>),
    /// A worker's sync.
    WorkerSync(Box<WorkerSync>, Responder<WorkerSyncReply>),
    /// Claims of an entry.
    Claims(ClaimBatch, Responder<ClaimReply>),
    /// An entry asks for a newer configuration.
    WatchConfig(WatchConfig, Responder<ConfigReply>),
    /// A call about queues.
    Queue(Box<QueueCall>, Responder<QueueReply>),
    /// The answer to an order to a worker.
    OrderAnswered(Box<WorkerRequest>, Result<WorkerReply, WorkerRequestError>),
    /// Somebody wants to see the state.
    Dump(Box<dyn FnOnce(Value) + Send>),
    /// Records are synced; the messages may be sent now.
    Persisted(Persisted, Vec<OutgoingMessage>),
    /// A snapshot of this member is saved.
    SnapshotSaved(Snapshot),
    /// A snapshot of this member found no room on the disk.
    SnapshotSkipped(String),
    /// Records wait for room on the disk.
    StorageFull(String),
    /// The records that waited for room are written.
    StorageHasRoom,
    /// A write or sync failed; the process has to stop.
    StorageFailed(String),
    /// The process is asked to stop gracefully.
    Shutdown,
}

/// The sending side of the ring to the core thread.
#[derive(Clone)]
pub struct EventRing(flume::Sender<Event>);

impl EventRing {
    /// A ring and its receiving side.
    pub fn new() -> (EventRing, flume::Receiver<Event>) {
        let (sender, receiver) = flume::bounded(CALLS_MAX + RESERVED);
        (EventRing(sender), receiver)
    }

    /// Hands a call over, or gives it back if there are too many.
    pub fn call(&self, event: Event) -> Result<(), Box<Event>> {
        if self.0.len() >= CALLS_MAX {
            return Err(Box::new(event));
        }
        self.0
            .try_send(event)
            .map_err(|error| Box::new(error.into_inner()))
    }

    /// Hands a message over; it is dropped if there is no room, which consensus tolerates.
    pub fn message(&self, event: Event) {
        let _ = self.0.try_send(event);
    }

    /// Hands over what must not get lost, and waits for room. Returns whether the core thread
    /// still runs.
    pub fn required(&self, event: Event) -> bool {
        self.0.send(event).is_ok()
    }
}
