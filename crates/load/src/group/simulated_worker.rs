//! Simulated workers that run nothing: each attempt is reported as finished with the next sync.

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

/// How long the leader may hold a sync as a long poll.
const POLL_WAIT_MS: u64 = 1_000;
const SYNC_OPTIONS: CallOptions = CallOptions {
    total_timeout: Duration::from_secs(4),
    attempt_timeout: Duration::from_secs(4),
    retry: RetryPolicy::AtMostOnce,
};

/// Counts over all simulated workers, and the flag that stops them.
#[derive(Debug, Default)]
pub struct WorkerCounters {
    /// Workers that have received a lease.
    pub connected: AtomicU64,
    /// Start commands received, without repetitions.
    pub started: AtomicU64,
    /// When the last start command was received.
    pub last_start: Mutex<Option<Instant>>,
    /// Set by the experiment to stop the workers.
    pub stop: AtomicBool,
}

/// One simulated worker.
pub struct SimulatedWorker {
    name: Name,
    spec: WorkerSpec,
    counters: Arc<WorkerCounters>,
    sequence: u64,
    send_spec: bool,
    connected: bool,
    /// Reports of ended attempts that the leader has not acknowledged yet.
    ended: Vec<TaskReport>,
}

impl SimulatedWorker {
    /// Creates a worker that registers with its first sync.
    pub fn new(name: Name, spec: WorkerSpec, counters: Arc<WorkerCounters>) -> SimulatedWorker {
        SimulatedWorker {
            name,
            spec,
            counters,
            sequence: 0,
            send_spec: true,
            connected: false,
            ended: Vec::new(),
        }
    }

    /// Sends one sync after the other until the experiment stops the workers.
    pub async fn run(mut self, client: ControlClient) {
        while !self.counters.stop.load(Ordering::Relaxed) {
            let sync = self.next_sync();
            let reply = client.call(method::WORKER_SYNC, &sync, SYNC_OPTIONS).await;
            match reply {
                Ok(reply) => self.handle_reply(reply),
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
            // No attempt is running between two syncs, so the ended attempts are the full list.
            full: true,
            tasks: self.ended.clone(),
            digest: tasks_digest([]),
            usage: None,
            wait_ms: POLL_WAIT_MS,
        }
    }

    fn handle_reply(&mut self, reply: WorkerSyncReply) {
        self.send_spec = reply.send_spec;
        if reply.lease_ms > 0 && !self.connected {
            self.connected = true;
            self.counters.connected.fetch_add(1, Ordering::Relaxed);
        }
        self.ended.retain(|report| {
            !reply
                .acknowledged
                .iter()
                .any(|key| key.task == report.task && key.attempt == report.attempt)
        });
        for command in reply.commands {
            self.execute(command);
        }
    }

    fn execute(&mut self, command: WorkerCommand) {
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
            self.counters.started.fetch_add(1, Ordering::Relaxed);
            let last_start = self.counters.last_start.lock();
            *last_start.unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        }
        self.ended.push(TaskReport {
            task,
            attempt,
            status,
        });
    }
}
