//! A worker's agent as far as the leader sees it.

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

/// Between a reply to a worker and its next sync: two hops and the worker's own work.
const GAP_MS: u64 = 4;

/// One worker's agent.
pub struct Agent {
    name: Name,
    spec: WorkerSpec,
    sequence: u64,
    send_spec: bool,
    send_full: bool,
    /// When its next sync is sent; `None` while one is held.
    sync_at: Option<Millis>,
    /// Running attempts with their ends.
    running: BTreeMap<AttemptKey, Millis>,
    reports: Vec<TaskReport>,
}

impl Agent {
    /// An agent that registers with its first sync.
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

    /// Whether the next sync is to be sent.
    pub fn is_sync_due(&self, now: Millis) -> bool {
        self.sync_at.is_some_and(|at| at <= now)
    }

    /// How many attempts run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Notes attempts that have ended by themselves; the next sync is then due at once.
    pub fn finish_due(&mut self, now: Millis) {
        let due = self.running.iter().filter(|(_, ends)| **ends <= now);
        for key in due.map(|(key, _)| *key).collect::<Vec<AttemptKey>>() {
            self.end(key, TaskStatus::Finished);
            self.sync_at = Some(now);
        }
    }

    /// Takes a reply without its commands; the next sync follows.
    pub fn read_reply(&mut self, reply: &WorkerSyncReply, now: Millis) {
        self.sync_at.get_or_insert(now + GAP_MS);
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

    /// The next sync.
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

    /// Carries out a command; a batch task that starts runs for `run_ms`.
    pub fn obey(&mut self, command: &WorkerCommand, now: Millis, run_ms: u64) {
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
                let ends = run_time_ms.map_or(Millis(u64::MAX), |_| now + run_ms);
                self.running.insert(key, ends);
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
