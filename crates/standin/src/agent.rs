//! The logic of one stand-in worker, without I/O.
//!
//! The lease is counted from when a sync was sent. When it ends, `move` tasks stop at once and
//! `keep` tasks run on. Commands are carried out only while the lease that came with them lasts,
//! and only from the reply to the newest sync. Ended attempts are reported until acknowledged; an
//! attempt that is not higher than the highest known one of its task is not started.

use std::collections::BTreeMap;

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_protocol::worker::TaskReport;
use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_protocol::worker::WorkerCommand;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_protocol::worker::tasks_digest;
use sapphirepost_types::Attempt;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::OnPartition;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;

use crate::journal::Entry;
use crate::task::Start;
use crate::task::Stopping;
use crate::task::Task;

/// What a worker is and how it behaves.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The worker.
    pub worker: Name,
    /// This run of it.
    pub incarnation: Incarnation,
    /// What it has.
    pub spec: WorkerSpec,
    /// The used share of the declared resources in percent.
    pub usage_percent: u64,
    /// The time that a stop takes.
    pub stop_ms: u64,
    /// The time that a checkpoint takes.
    pub checkpoint_ms: u64,
    /// Whether every task fails.
    pub fail_all: bool,
    /// Whether stop commands are ignored.
    pub ignore_stops: bool,
}

/// One worker.
#[derive(Debug)]
pub struct Agent {
    config: AgentConfig,
    sequence: u64,
    sent_at: Millis,
    lease_until: Millis,
    send_spec: bool,
    send_full: bool,
    tasks: BTreeMap<TaskId, Task>,
    ended: BTreeMap<AttemptKey, TaskStatus>,
    highest: BTreeMap<TaskId, Attempt>,
    journal: Vec<Entry>,
}

impl Agent {
    /// A worker that has not synced yet.
    pub fn new(config: AgentConfig) -> Agent {
        let size = Entry::WorkerSize {
            worker: config.worker.clone(),
            capacity: config.spec.capacity,
        };
        Agent {
            config,
            sequence: 0,
            sent_at: Millis::ZERO,
            lease_until: Millis::ZERO,
            send_spec: true,
            send_full: true,
            tasks: BTreeMap::new(),
            ended: BTreeMap::new(),
            highest: BTreeMap::new(),
            journal: vec![size],
        }
    }

    /// The name of the worker.
    pub fn name(&self) -> &Name {
        &self.config.worker
    }

    /// Takes what happened since the last call.
    pub fn take_journal(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.journal)
    }

    /// The next sync; the lease that its answer grants counts from `now`.
    pub fn sync(&mut self, now: Millis, wait_ms: u64) -> WorkerSync {
        self.tick(now);
        self.sequence += 1;
        self.sent_at = now;
        WorkerSync {
            worker: self.config.worker.clone(),
            incarnation: self.config.incarnation,
            sequence: self.sequence,
            spec: self.send_spec.then(|| self.config.spec.clone()),
            full: self.send_full,
            tasks: self.reports(),
            digest: tasks_digest(self.running()),
            usage: Some(self.usage()),
            wait_ms,
        }
    }

    /// Takes the answer to a sync.
    pub fn reply(&mut self, now: Millis, reply: WorkerSyncReply) {
        if reply.sequence != self.sequence {
            return;
        }
        self.send_spec = reply.send_spec;
        self.send_full = reply.send_full;
        for task in self.tasks.values_mut() {
            task.is_reported = true;
        }
        for key in &reply.acknowledged {
            self.ended.remove(key);
        }
        let lease_until = self.sent_at + reply.lease_ms;
        self.lease_until = self.lease_until.max(lease_until);
        self.tick(now);
        if now >= lease_until {
            return;
        }
        for command in reply.commands {
            self.carry_out(now, command);
        }
    }

    /// Lets time pass: tasks end, stops complete, the lease runs out.
    pub fn tick(&mut self, now: Millis) {
        let ends: Vec<(TaskId, TaskStatus, &'static str)> = self
            .tasks
            .iter()
            .filter_map(|(id, task)| self.end_of(now, task).map(|(end, why)| (*id, end, why)))
            .collect();
        for (id, status, reason) in ends {
            self.end(now, id, status, reason);
        }
    }

    /// How a task has ended by `now`. A `move` task does not run beyond the lease, even if the
    /// end of the lease is noticed late.
    fn end_of(&self, now: Millis, task: &Task) -> Option<(TaskStatus, &'static str)> {
        let must_move = task.on_partition == OnPartition::Move;
        let until = if must_move {
            now.min(self.lease_until)
        } else {
            now
        };
        if let Some(status) = task.end(until) {
            let reason = reason_of(&status);
            return Some((status, reason));
        }
        let is_leased = now < self.lease_until;
        let checkpointed = false;
        let stopped = TaskStatus::Stopped { checkpointed };
        (must_move && !is_leased).then_some((stopped, "lease_end"))
    }

    fn running(&self) -> impl Iterator<Item = AttemptKey> {
        self.tasks.iter().map(|(id, task)| AttemptKey {
            task: *id,
            attempt: task.attempt,
        })
    }

    fn reports(&self) -> Vec<TaskReport> {
        let running = self
            .tasks
            .iter()
            .filter(|(_, task)| self.send_full || !task.is_reported)
            .map(|(id, task)| TaskReport {
                task: *id,
                attempt: task.attempt,
                status: TaskStatus::Running,
            });
        let ended = self.ended.iter().map(|(key, status)| TaskReport {
            task: key.task,
            attempt: key.attempt,
            status: status.clone(),
        });
        running.chain(ended).collect()
    }

    fn usage(&self) -> Resources {
        let percent = self.config.usage_percent;
        let mut usage = Resources::ZERO;
        for task in self.tasks.values() {
            usage.millicores += task.resources.millicores * percent / 100;
            usage.memory_mib += task.resources.memory_mib * percent / 100;
            usage.accelerators += task.resources.accelerators;
        }
        usage
    }

    fn carry_out(&mut self, now: Millis, command: WorkerCommand) {
        match command {
            WorkerCommand::Start {
                task,
                attempt,
                job,
                resources,
                on_partition,
                payload,
                run_time_ms,
            } => {
                let must_fail = self.config.fail_all;
                let start = Start {
                    attempt,
                    job,
                    resources,
                    on_partition,
                    payload: &payload,
                    run_time_ms,
                    must_fail,
                };
                self.start(now, task, start);
            }
            WorkerCommand::Stop {
                task,
                attempt,
                checkpoint,
            } => self.stop(now, task, attempt, checkpoint),
            WorkerCommand::Throttle {
                task,
                attempt,
                percent,
            } => {
                let known = self.tasks.get_mut(&task);
                if let Some(known) = known.filter(|known| known.attempt == attempt) {
                    known.throttle(now, percent);
                }
            }
        }
    }

    fn start(&mut self, now: Millis, id: TaskId, start: Start<'_>) {
        let is_known = self
            .highest
            .get(&id)
            .is_some_and(|highest| start.attempt <= *highest);
        // An older attempt that still runs must have stopped first; the start is repeated.
        if is_known || self.tasks.contains_key(&id) {
            return;
        }
        self.highest.insert(id, start.attempt);
        self.journal.push(Entry::TaskStarted {
            worker: self.config.worker.clone(),
            task: id,
            attempt: start.attempt,
            job: start.job.clone(),
            resources: start.resources,
        });
        self.tasks.insert(id, Task::new(now, start));
    }

    fn stop(&mut self, now: Millis, id: TaskId, attempt: Attempt, checkpoint: bool) {
        if self.config.ignore_stops {
            return;
        }
        let known = self.tasks.get_mut(&id);
        let Some(task) = known.filter(|known| known.attempt == attempt) else {
            self.confirm_unknown(id, attempt);
            return;
        };
        if task.stopping.is_none() {
            let takes_ms = if checkpoint {
                self.config.checkpoint_ms
            } else {
                self.config.stop_ms
            };
            task.stopping = Some(Stopping {
                until: now + takes_ms,
                checkpointed: checkpoint,
            });
        }
        self.tick(now);
    }

    /// Reports an attempt that does not run here as stopped, and fences its late start.
    fn confirm_unknown(&mut self, id: TaskId, attempt: Attempt) {
        let highest = self.highest.entry(id).or_insert(attempt);
        *highest = attempt.max(*highest);
        let key = AttemptKey { task: id, attempt };
        self.ended.entry(key).or_insert(TaskStatus::Stopped {
            checkpointed: false,
        });
    }

    fn end(&mut self, now: Millis, id: TaskId, status: TaskStatus, reason: &'static str) {
        let Some(task) = self.tasks.remove(&id) else {
            return;
        };
        self.journal.push(Entry::TaskStopped {
            worker: self.config.worker.clone(),
            task: id,
            attempt: task.attempt,
            finished: status == TaskStatus::Finished,
            reason: reason.to_owned(),
            late_ms: now.since(self.lease_until),
        });
        let attempt = task.attempt;
        self.ended.insert(AttemptKey { task: id, attempt }, status);
    }
}

fn reason_of(status: &TaskStatus) -> &'static str {
    match status {
        TaskStatus::Running => "running",
        TaskStatus::Finished => "finished",
        TaskStatus::Failed { .. } => "failed",
        TaskStatus::Stopped { .. } => "stopped",
    }
}
