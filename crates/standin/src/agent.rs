//! The logic of one simulated worker, without I/O.
//!
//! A lease starts when the sync that requested it was sent. When the lease expires, `move` tasks
//! stop at once and `keep` tasks continue. Commands are executed only from the reply to the latest
//! sync, and only before the lease granted by that reply expires. Ended attempts are reported
//! until they are acknowledged. An attempt starts only if its number is higher than that of every
//! known attempt of its task.

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

use crate::journal::JournalEvent;
use crate::task::Stopping;
use crate::task::Task;
use crate::task::TaskStart;

/// Configuration of a simulated worker.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The name under which the worker syncs.
    pub worker: Name,
    /// Identifies this start of the worker process.
    pub incarnation: Incarnation,
    /// Capacity and location that the worker reports.
    pub spec: WorkerSpec,
    /// Reported usage, in percent of the resources that its tasks declare. Accelerators always count
    /// in full.
    pub usage_percent: u64,
    /// Time that stopping a task without a checkpoint takes.
    pub stop_ms: u64,
    /// Time that stopping a task with a checkpoint takes.
    pub checkpoint_ms: u64,
    /// Fault: every task fails shortly after its start.
    pub fail_all: bool,
    /// Fault: stop commands are ignored.
    pub ignore_stops: bool,
}

/// State of one simulated worker: its lease, its tasks and the reports that are not yet
/// acknowledged.
#[derive(Debug)]
pub struct Agent {
    config: AgentConfig,
    sequence: u64,
    /// When the latest sync was sent.
    sent_at: Millis,
    lease_until: Millis,
    send_spec: bool,
    send_full: bool,
    tasks: BTreeMap<TaskId, Task>,
    /// Ended attempts whose report is not yet acknowledged.
    ended: BTreeMap<AttemptKey, TaskStatus>,
    /// The highest attempt that was started or stopped, for each task.
    highest: BTreeMap<TaskId, Attempt>,
    journal: Vec<JournalEvent>,
}

impl Agent {
    /// Creates a worker that has not synced yet and holds no lease.
    pub fn new(config: AgentConfig) -> Agent {
        let worker_size = JournalEvent::WorkerSize {
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
            journal: vec![worker_size],
        }
    }

    /// The name under which the worker syncs.
    pub fn name(&self) -> &Name {
        &self.config.worker
    }

    /// Removes and returns the events since the last call.
    pub fn take_journal(&mut self) -> Vec<JournalEvent> {
        std::mem::take(&mut self.journal)
    }

    /// Builds the next sync request. The lease that its reply grants starts at `now`. The entry may
    /// hold the request for up to `wait_ms`.
    pub fn next_sync(&mut self, now: Millis, wait_ms: u64) -> WorkerSync {
        self.tick(now);
        self.sequence += 1;
        self.sent_at = now;
        WorkerSync {
            worker: self.config.worker.clone(),
            incarnation: self.config.incarnation,
            sequence: self.sequence,
            spec: self.send_spec.then(|| self.config.spec.clone()),
            full: self.send_full,
            tasks: self.task_reports(),
            digest: tasks_digest(self.running_attempts()),
            usage: Some(self.usage()),
            wait_ms,
        }
    }

    /// Handles the reply to a sync: renews the lease and executes the commands. A reply to any sync
    /// but the latest is ignored.
    pub fn handle_reply(&mut self, now: Millis, reply: WorkerSyncReply) {
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
            self.execute(now, command);
        }
    }

    /// Advances the time to `now`: ends tasks whose run time, stop or lease is over.
    pub fn tick(&mut self, now: Millis) {
        let ended: Vec<(TaskId, TaskStatus, &'static str)> = self
            .tasks
            .iter()
            .filter_map(|(id, task)| {
                self.final_status(now, task)
                    .map(|(status, reason)| (*id, status, reason))
            })
            .collect();
        for (id, status, reason) in ended {
            self.end_task(now, id, status, reason);
        }
    }

    /// The final status of a task that has ended by `now`, with the reason for the journal. A
    /// `move` task counts as stopped when the lease expires, even if the process notices this late.
    fn final_status(&self, now: Millis, task: &Task) -> Option<(TaskStatus, &'static str)> {
        let must_move = task.on_partition == OnPartition::Move;
        let until = if must_move {
            now.min(self.lease_until)
        } else {
            now
        };
        if let Some(status) = task.final_status(until) {
            let reason = stop_reason(&status);
            return Some((status, reason));
        }
        let is_leased = now < self.lease_until;
        let checkpointed = false;
        let stopped = TaskStatus::Stopped { checkpointed };
        (must_move && !is_leased).then_some((stopped, "lease_end"))
    }

    fn running_attempts(&self) -> impl Iterator<Item = AttemptKey> {
        self.tasks.iter().map(|(id, task)| AttemptKey {
            task: *id,
            attempt: task.attempt,
        })
    }

    fn task_reports(&self) -> Vec<TaskReport> {
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

    fn execute(&mut self, now: Millis, command: WorkerCommand) {
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
                let start = TaskStart {
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

    fn start(&mut self, now: Millis, id: TaskId, start: TaskStart<'_>) {
        let is_known = self
            .highest
            .get(&id)
            .is_some_and(|highest| start.attempt <= *highest);
        // An older attempt that still runs must stop first. The leader sends the start again.
        if is_known || self.tasks.contains_key(&id) {
            return;
        }
        self.highest.insert(id, start.attempt);
        self.journal.push(JournalEvent::TaskStarted {
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
            self.report_unknown_as_stopped(id, attempt);
            return;
        };
        if task.stopping.is_none() {
            let duration_ms = if checkpoint {
                self.config.checkpoint_ms
            } else {
                self.config.stop_ms
            };
            task.stopping = Some(Stopping {
                until: now + duration_ms,
                checkpointed: checkpoint,
            });
        }
        self.tick(now);
    }

    /// Reports an attempt that does not run here as stopped, and prevents a delayed start command
    /// from starting it afterwards.
    fn report_unknown_as_stopped(&mut self, id: TaskId, attempt: Attempt) {
        let highest = self.highest.entry(id).or_insert(attempt);
        *highest = attempt.max(*highest);
        let key = AttemptKey { task: id, attempt };
        self.ended.entry(key).or_insert(TaskStatus::Stopped {
            checkpointed: false,
        });
    }

    fn end_task(&mut self, now: Millis, id: TaskId, status: TaskStatus, reason: &'static str) {
        let Some(task) = self.tasks.remove(&id) else {
            return;
        };
        self.journal.push(JournalEvent::TaskStopped {
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

fn stop_reason(status: &TaskStatus) -> &'static str {
    match status {
        TaskStatus::Running => "running",
        TaskStatus::Finished => "finished",
        TaskStatus::Failed { .. } => "failed",
        TaskStatus::Stopped { .. } => "stopped",
    }
}
