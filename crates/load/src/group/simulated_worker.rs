//! Workers without tasks of their own: each attempt is reported as finished with the next sync.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_entry::control_client::CallOptions;
use sapphirepost_entry::control_client::ControlClient;
use sapphirepost_entry::control_client::RetryPolicy;
use sapphirepost_protocol::method;
use sapphirepost_protocol::worker::TaskReport;
use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_protocol::worker::WorkerCommand;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_protocol::worker::tasks_digest;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;

const HOLD_MS: u64 = 1_000;
const CALL: CallOptions = CallOptions {
    total_timeout: Duration::from_secs(4),
    attempt_timeout: Duration::from_secs(4),
    retry: RetryPolicy::AtMostOnce,
};

/// What all simulated workers observe.
#[derive(Debug, Default)]
pub struct Observed {
    /// Workers that hold a lease.
    pub connected: AtomicU64,
    /// Attempts that were started.
    pub started: AtomicU64,
    /// When the last attempt was started.
    pub last_start: Mutex<Option<Instant>>,
    /// Ends the workers.
    pub ended: AtomicBool,
}

/// One worker.
pub struct SimulatedWorker {
    name: Name,
    spec: WorkerSpec,
    observed: Arc<Observed>,
    sequence: u64,
    send_spec: bool,
    connected: bool,
    ended: Vec<TaskReport>,
}

impl SimulatedWorker {
    /// A worker that has not synced yet.
    pub fn new(name: Name, spec: WorkerSpec, observed: Arc<Observed>) -> SimulatedWorker {
        SimulatedWorker {
            name,
            spec,
            observed,
            sequence: 0,
            send_spec: true,
            connected: false,
            ended: Vec::new(),
        }
    }

    /// Syncs until the experiment ends.
    pub async fn run(mut self, client: ControlClient) {
        while !self.observed.ended.load(Ordering::Relaxed) {
            let sync = self.next_sync();
            let reply = client.call(method::WORKER_SYNC, &sync, CALL).await;
            match reply {
                Ok(reply) => self.handle(reply),
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }

    fn next_sync(&mut self) -> WorkerSync {
        self.sequence += 1;
        WorkerSync {
            worker: self.name.clone(),
            incarnation: Incarnation(1),
            sequence: self.sequence,
            spec: self.send_spec.then(|| self.spec.clone()),
            // Nothing runs from one sync to the next, so the ended attempts are the full list.
            full: true,
            tasks: self.ended.clone(),
            digest: tasks_digest([]),
            usage: None,
            wait_ms: HOLD_MS,
        }
    }

    fn handle(&mut self, reply: WorkerSyncReply) {
        self.send_spec = reply.send_spec;
        if reply.lease_ms > 0 && !self.connected {
            self.connected = true;
            self.observed.connected.fetch_add(1, Ordering::Relaxed);
        }
        self.ended.retain(|report| {
            !reply
                .acknowledged
                .iter()
                .any(|key| key.task == report.task && key.attempt == report.attempt)
        });
        for command in reply.commands {
            self.carry_out(command);
        }
    }

    fn carry_out(&mut self, command: WorkerCommand) {
        let (task, attempt, status) = match command {
            WorkerCommand::Start { task, attempt, .. } => (task, attempt, TaskStatus::Finished),
            WorkerCommand::Stop { task, attempt, .. } => {
                let checkpointed = false;
                (task, attempt, TaskStatus::Stopped { checkpointed })
            }
            WorkerCommand::Throttle { .. } => return,
        };
        let is_known = self
            .ended
            .iter()
            .any(|report| report.task == task && report.attempt == attempt);
        if is_known {
            return;
        }
        if status == TaskStatus::Finished {
            self.observed.started.fetch_add(1, Ordering::Relaxed);
            let last = self.observed.last_start.lock();
            *last.unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        }
        self.ended.push(TaskReport {
            task,
            attempt,
            status,
        });
    }
}
