//! A simulated worker that follows the protocol: it fences attempts, stops tasks with
//! `OnPartition::Move` when its lease ends, and reports ended attempts until they are acknowledged.

use std::collections::BTreeMap;

use rand::Rng;
use rand_pcg::Pcg64;
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
use sapphirepost_types::Name;
use sapphirepost_types::OnPartition;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_verifier::Event;
use sapphirepost_verifier::Timed;

/// Longest time that a worker takes to stop a task when its lease has ended. With the step of the
/// simulation added, it stays below the stop time that the leader assumes.
const STOP_MAX_MS: u64 = 900;
const SYNC_TIMEOUT_MS: u64 = 2_000;

struct Running {
    resources: Resources,
    on_partition: OnPartition,
    ends_at_ms: Option<(u64, bool)>,
    stop_at_ms: Option<u64>,
    reported: bool,
}

struct OutstandingSync {
    sent_at_ms: u64,
    keys: Vec<AttemptKey>,
}

pub struct SimWorker {
    pub name: Name,
    pub spec: WorkerSpec,
    pub incarnation: u64,
    /// How much slower its clock runs, in thousandths; its leases last longer by as much.
    pub clock_slow_permille: u64,
    /// Whether every task that it starts fails.
    pub fails_all_tasks: bool,
    /// Whether only tasks with the payload `fail` fail, unless `fails_all_tasks` is set.
    pub no_random_failures: bool,
    pub is_lost: bool,
    /// Maximum number of unanswered syncs when it has something to report.
    pub outstanding_max: usize,
    pub usage: Option<Resources>,
    pub throttled: BTreeMap<TaskId, u8>,
    pub paused_until_ms: u64,
    pub partitioned_until_ms: u64,
    /// Until when all replies to it are lost.
    pub replies_lost_until_ms: u64,
    sequence: u64,
    running: BTreeMap<AttemptKey, Running>,
    fences: BTreeMap<TaskId, Attempt>,
    ended: BTreeMap<AttemptKey, TaskStatus>,
    /// Unanswered syncs by their sequence numbers.
    outstanding: BTreeMap<u64, OutstandingSync>,
    /// Whether a task has started or ended since the last sync was sent.
    has_updates: bool,
    lease_until_ms: u64,
    must_send_spec: bool,
    must_send_full: bool,
    is_paused: bool,
}

impl SimWorker {
    pub fn new(name: Name, spec: WorkerSpec, clock_slow_permille: u64) -> SimWorker {
        SimWorker {
            name,
            spec,
            incarnation: 1,
            clock_slow_permille,
            fails_all_tasks: false,
            no_random_failures: false,
            is_lost: false,
            outstanding_max: 3,
            usage: None,
            throttled: BTreeMap::new(),
            paused_until_ms: 0,
            partitioned_until_ms: 0,
            replies_lost_until_ms: 0,
            sequence: 0,
            running: BTreeMap::new(),
            fences: BTreeMap::new(),
            ended: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            has_updates: false,
            lease_until_ms: 0,
            must_send_spec: true,
            must_send_full: true,
            is_paused: false,
        }
    }

    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    pub fn has_unacknowledged(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Restarts the VM. Its tasks are lost; unacknowledged ends are kept.
    pub fn restart_vm(&mut self, now_ms: u64, history: &mut Vec<Timed>) {
        let keys: Vec<AttemptKey> = self.running.keys().copied().collect();
        for key in keys {
            self.record_stopped(now_ms, key, false, history);
        }
        self.running.clear();
        self.fences.clear();
        self.restart_agent();
    }

    /// Restarts the agent as a new incarnation. Its tasks keep running.
    pub fn restart_agent(&mut self) {
        self.incarnation += 1;
        self.sequence = 0;
        self.outstanding.clear();
        self.must_send_spec = true;
        self.must_send_full = true;
    }

    pub fn lose_vm(&mut self, now_ms: u64, history: &mut Vec<Timed>) {
        self.is_lost = true;
        self.running.clear();
        let worker = self.name.clone();
        history.push(Timed {
            at_ms: now_ms,
            event: Event::WorkerLost { worker },
        });
    }

    pub fn step(
        &mut self,
        now_ms: u64,
        rng: &mut Pcg64,
        history: &mut Vec<Timed>,
    ) -> Option<WorkerSync> {
        if self.is_lost {
            return None;
        }
        if now_ms < self.paused_until_ms {
            self.pause(now_ms, history);
            return None;
        }
        self.resume(now_ms, history);
        if now_ms >= self.lease_until_ms {
            self.stop_movable_tasks(now_ms, rng);
        }
        self.end_due(now_ms, history);
        let timeout_ms = SYNC_TIMEOUT_MS;
        self.outstanding
            .retain(|_, sync| now_ms < sync.sent_at_ms + timeout_ms);
        let is_due = match self.has_updates {
            true => self.outstanding.len() < self.outstanding_max,
            false => self.outstanding.is_empty(),
        };
        is_due.then(|| self.build_sync(now_ms))
    }

    /// Records that tasks do not run while the VM is paused.
    fn pause(&mut self, now_ms: u64, history: &mut Vec<Timed>) {
        if self.is_paused {
            return;
        }
        self.is_paused = true;
        for key in self.running.keys() {
            history.push(stopped_event(now_ms, &self.name, *key, false));
        }
    }

    /// After a pause, checks the lease before tasks continue.
    fn resume(&mut self, now_ms: u64, history: &mut Vec<Timed>) {
        if !self.is_paused {
            return;
        }
        self.is_paused = false;
        let is_leased = now_ms < self.lease_until_ms;
        let keys: Vec<AttemptKey> = self.running.keys().copied().collect();
        for key in keys {
            let task = &self.running[&key];
            if is_leased || task.on_partition == OnPartition::Keep {
                history.push(started_event(now_ms, &self.name, key, task.resources));
            } else {
                self.running.remove(&key);
                let status = TaskStatus::Stopped {
                    checkpointed: false,
                };
                self.ended.insert(key, status);
            }
        }
    }

    fn stop_movable_tasks(&mut self, now_ms: u64, rng: &mut Pcg64) {
        for task in self.running.values_mut() {
            if task.on_partition == OnPartition::Move && task.stop_at_ms.is_none() {
                task.stop_at_ms = Some(now_ms + rng.random_range(0..STOP_MAX_MS));
            }
        }
    }

    fn end_due(&mut self, now_ms: u64, history: &mut Vec<Timed>) {
        let due: Vec<(AttemptKey, TaskStatus)> = self
            .running
            .iter()
            .filter_map(|(key, task)| Some((*key, status_due(task, now_ms)?)))
            .collect();
        for (key, status) in due {
            self.running.remove(&key);
            self.record_stopped(now_ms, key, status == TaskStatus::Finished, history);
            self.ended.insert(key, status);
            self.has_updates = true;
        }
    }

    fn record_stopped(
        &self,
        now_ms: u64,
        key: AttemptKey,
        finished: bool,
        history: &mut Vec<Timed>,
    ) {
        if !self.is_paused {
            history.push(stopped_event(now_ms, &self.name, key, finished));
        }
    }

    fn build_sync(&mut self, now_ms: u64) -> WorkerSync {
        self.sequence += 1;
        let running = self.running.iter();
        let listed: Vec<AttemptKey> = running
            .filter(|(_, task)| self.must_send_full || !task.reported)
            .map(|(key, _)| *key)
            .collect();
        let ended = self.ended.iter().map(|(key, status)| report(*key, status));
        let tasks = listed
            .iter()
            .map(|key| report(*key, &TaskStatus::Running))
            .chain(ended)
            .collect();
        self.has_updates = false;
        let outstanding = OutstandingSync {
            sent_at_ms: now_ms,
            keys: listed,
        };
        self.outstanding.insert(self.sequence, outstanding);
        WorkerSync {
            worker: self.name.clone(),
            incarnation: Incarnation(self.incarnation),
            sequence: self.sequence,
            spec: self.must_send_spec.then(|| self.spec.clone()),
            full: self.must_send_full,
            tasks,
            digest: tasks_digest(self.running.keys().copied()),
            usage: self.usage,
            wait_ms: 1_000,
        }
    }

    pub fn receive_reply(
        &mut self,
        now_ms: u64,
        reply: WorkerSyncReply,
        rng: &mut Pcg64,
        history: &mut Vec<Timed>,
    ) {
        let is_reply_lost = now_ms < self.replies_lost_until_ms;
        if is_reply_lost || self.is_lost || self.is_paused || now_ms < self.paused_until_ms {
            return;
        }
        let Some(outstanding) = self.outstanding.remove(&reply.sequence) else {
            return;
        };
        if reply.sequence == self.sequence {
            self.must_send_spec = reply.send_spec;
            self.must_send_full = reply.send_full;
        }
        for key in outstanding.keys {
            if let Some(task) = self.running.get_mut(&key) {
                task.reported = true;
            }
        }
        for key in reply.acknowledged {
            self.ended.remove(&key);
        }
        let lease_ms = reply.lease_ms * (1_000 + self.clock_slow_permille) / 1_000;
        self.lease_until_ms = self.lease_until_ms.max(outstanding.sent_at_ms + lease_ms);
        if now_ms >= outstanding.sent_at_ms + lease_ms {
            return;
        }
        for command in reply.commands {
            self.execute(now_ms, command, rng, history);
        }
    }

    fn execute(
        &mut self,
        now_ms: u64,
        command: WorkerCommand,
        rng: &mut Pcg64,
        history: &mut Vec<Timed>,
    ) {
        match command {
            WorkerCommand::Start {
                task,
                attempt,
                resources,
                on_partition,
                payload,
                run_time_ms,
                ..
            } => {
                let key = AttemptKey { task, attempt };
                if !self.raise_fence(key) {
                    return;
                }
                let fails_by_chance = !self.no_random_failures && rng.random_range(0..50) == 0;
                let fails = self.fails_all_tasks || payload == "fail" || fails_by_chance;
                let ends_at_ms = match (fails, run_time_ms) {
                    (true, _) => Some((now_ms + rng.random_range(10..300), false)),
                    (false, Some(run_time_ms)) => Some((now_ms + run_time_ms, true)),
                    (false, None) => None,
                };
                history.push(started_event(now_ms, &self.name, key, resources));
                let running = Running {
                    resources,
                    on_partition,
                    ends_at_ms,
                    stop_at_ms: None,
                    reported: false,
                };
                self.running.insert(key, running);
                self.has_updates = true;
            }
            WorkerCommand::Stop { task, attempt, .. } => {
                let key = AttemptKey { task, attempt };
                match self.running.get_mut(&key) {
                    Some(running) if running.stop_at_ms.is_none() => {
                        running.stop_at_ms = Some(now_ms + rng.random_range(0..200));
                    }
                    Some(_) => {}
                    None => {
                        self.raise_fence(key);
                        let status = TaskStatus::Stopped {
                            checkpointed: false,
                        };
                        self.ended.entry(key).or_insert(status);
                        self.has_updates = true;
                    }
                }
            }
            WorkerCommand::Throttle { task, percent, .. } => {
                self.throttled.insert(task, percent);
            }
        }
    }

    fn raise_fence(&mut self, key: AttemptKey) -> bool {
        let fence = self.fences.entry(key.task).or_default();
        let is_newer = key.attempt > *fence;
        *fence = key.attempt.max(*fence);
        is_newer
    }
}

fn status_due(task: &Running, now_ms: u64) -> Option<TaskStatus> {
    if let Some((ends_at_ms, success)) = task.ends_at_ms
        && now_ms >= ends_at_ms
    {
        let reason = "exit code 1".to_owned();
        return Some(match success {
            true => TaskStatus::Finished,
            false => TaskStatus::Failed { reason },
        });
    }
    let is_stopped = task
        .stop_at_ms
        .is_some_and(|stop_at_ms| now_ms >= stop_at_ms);
    is_stopped.then_some(TaskStatus::Stopped { checkpointed: true })
}

fn report(key: AttemptKey, status: &TaskStatus) -> TaskReport {
    TaskReport {
        task: key.task,
        attempt: key.attempt,
        status: status.clone(),
    }
}

fn started_event(at_ms: u64, worker: &Name, key: AttemptKey, resources: Resources) -> Timed {
    let event = Event::TaskStarted {
        worker: worker.clone(),
        task: key.task,
        attempt: key.attempt,
        resources,
    };
    Timed { at_ms, event }
}

fn stopped_event(at_ms: u64, worker: &Name, key: AttemptKey, finished: bool) -> Timed {
    let event = Event::TaskStopped {
        worker: worker.clone(),
        task: key.task,
        attempt: key.attempt,
        finished,
    };
    Timed { at_ms, event }
}
