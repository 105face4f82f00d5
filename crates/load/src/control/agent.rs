//! Models the agent of a worker as the leader observes it: its syncs and task reports.

use std::collections::BTreeMap;

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_protocol::worker::TaskReport;
use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_protocol::worker::WorkerCommand;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_protocol::worker::tasks_digest;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;

/// Delay from a reply to the worker's next sync: two network hops and processing on the worker.
const SYNC_DELAY_MS: u64 = 4;

/// The modelled agent of one worker.
pub struct Agent {
    name: Name,
    spec: WorkerSpec,
    sequence: u64,
    send_spec: bool,
    send_full: bool,
    /// When the next sync is due; `None` while the leader holds one as a long poll.
    sync_at: Option<Millis>,
    /// Running attempts with the times at which they end.
    running: BTreeMap<AttemptKey, Millis>,
    /// Reports to send; those of ended attempts are repeated until the leader acknowledges them.
    reports: Vec<TaskReport>,
}

impl Agent {
    /// Creates an agent that registers with its first sync, at `first_sync`.
    pub fn new(name: Name, spec: WorkerSpec, first_sync: Millis) -> Agent {
        Agent {
            name,
            spec,
            sequence: 0,
            send_spec: true,
            send_full: true,
            sync_at: Some(first_sync),
            running: BTreeMap::new(),
            reports: Vec::new(),
        }
    }

    /// Returns whether the next sync is due; false while the leader holds one.
    pub fn is_sync_due(&self, now: Millis) -> bool {
        self.sync_at.is_some_and(|at| at <= now)
    }

    /// Returns the number of running attempts.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Ends the attempts whose run time is over. If there are any, the next sync is due at once.
    pub fn finish_ended_attempts(&mut self, now: Millis) {
        let due = self
            .running
            .iter()
            .filter(|(_, end_time)| **end_time <= now);
        for key in due.map(|(key, _)| *key).collect::<Vec<AttemptKey>>() {
            self.end(key, TaskStatus::Finished);
            self.sync_at = Some(now);
        }
    }

    /// Handles a reply except for its commands, which go to [`Agent::execute`], and schedules the
    /// next sync.
    pub fn handle_reply(&mut self, reply: &WorkerSyncReply, now: Millis) {
        self.sync_at.get_or_insert(now + SYNC_DELAY_MS);
        self.send_spec |= reply.send_spec;
        self.send_full |= reply.send_full;
        self.reports.retain(|report| {
            let key = AttemptKey {
                task: report.task,
                attempt: report.attempt,
            };
            !report.status.is_ended() || !reply.acknowledged.contains(&key)
        });
    }

    /// Builds the next sync.
    pub fn sync(&mut self) -> WorkerSync {
        self.sequence += 1;
        self.sync_at = None;
        let full = std::mem::take(&mut self.send_full);
        let mut tasks = self.reports.clone();
        self.reports.retain(|report| report.status.is_ended());
        if full {
            tasks.retain(|report| report.status.is_ended());
            tasks.extend(self.running.keys().map(|key| running(*key)));
        }
        WorkerSync {
            worker: self.name.clone(),
            incarnation: Incarnation(1),
            sequence: self.sequence,
            spec: std::mem::take(&mut self.send_spec).then(|| self.spec.clone()),
            full,
            tasks,
            digest: tasks_digest(self.running.keys().copied()),
            usage: None,
            wait_ms: 1_000,
        }
    }

    /// Executes a command. A batch task that starts runs for `run_ms`, a service until it is
    /// stopped.
    pub fn execute(&mut self, command: &WorkerCommand, now: Millis, run_ms: u64) {
        match command {
            WorkerCommand::Start {
                task,
                attempt,
                run_time_ms,
                ..
            } => {
                let key = AttemptKey {
                    task: *task,
                    attempt: *attempt,
                };
                let is_known = self.running.contains_key(&key)
                    || self.reports.iter().any(|report| report.task == *task);
                if is_known {
                    return;
                }
                let end_time = run_time_ms.map_or(Millis(u64::MAX), |_| now + run_ms);
                self.running.insert(key, end_time);
                self.reports.push(running(key));
            }
            WorkerCommand::Stop {
                task,
                attempt,
                checkpoint,
            } => {
                let key = AttemptKey {
                    task: *task,
                    attempt: *attempt,
                };
                let checkpointed = *checkpoint;
                self.end(key, TaskStatus::Stopped { checkpointed });
            }
            WorkerCommand::Throttle { .. } => {}
        }
    }

    fn end(&mut self, key: AttemptKey, status: TaskStatus) {
        if self.running.remove(&key).is_none() {
            return;
        }
        self.reports.retain(|report| report.task != key.task);
        self.reports.push(TaskReport {
            task: key.task,
            attempt: key.attempt,
            status,
        });
    }
}

fn running(key: AttemptKey) -> TaskReport {
    TaskReport {
        task: key.task,
        attempt: key.attempt,
        status: TaskStatus::Running,
    }
}
