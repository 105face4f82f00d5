//! Tasks: the units of a job, each with its newest attempt.

use std::collections::BTreeMap;

use sapphirepost_types::Attempt;
use sapphirepost_types::JobId;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Maximum number of times that one task is preempted.
pub const PREEMPTIONS_MAX: u8 = 3;
/// Number of distinct workers on which a task has to fail until it fails for good.
pub const FAILED_WORKERS_MAX: usize = 3;
/// Total number of failures until a task fails for good, for clusters that have fewer workers than
/// [`FAILED_WORKERS_MAX`].
pub const FAILURES_MAX: u32 = 6;
/// Maximum size of a recorded failure reason, in bytes; longer ones are truncated.
pub const FAILURE_REASON_MAX_BYTES: usize = 256;

/// The lifecycle phase of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Phase {
    /// No attempt is placed; the task waits to be placed.
    Waiting,
    /// The current attempt is placed on a worker that has not reported it yet.
    Starting(WorkerId),
    /// The worker reported the current attempt as running.
    Running(WorkerId),
    /// The task ended and is not placed again.
    Ended {
        /// Whether the task succeeded.
        success: bool,
    },
}

/// Why an attempt is stopped although its job is active.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum StopReason {
    /// The task is preempted for an urgent job and waits again.
    Displaced,
    /// The worker is drained; the task waits again.
    Drained,
    /// Another task of the gang ended early or is stopped; all tasks wait and start together again.
    GangBroken,
    /// The service has more replicas than specified; the task is removed.
    Surplus,
}

/// The requested stop of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Why the attempt is stopped.
    pub reason: StopReason,
    /// Whether the worker writes a checkpoint before it stops the attempt.
    pub checkpoint: bool,
}

/// The record of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The newest attempt; 0 before the task was placed for the first time.
    pub attempt: Attempt,
    /// The lifecycle phase, with the worker while an attempt is placed.
    pub phase: Phase,
    /// The requested stop of the current attempt, if any.
    pub stop: Option<Stop>,
    /// Whether the worker's lease has ended while the task, which is kept on a partition, may still
    /// run there.
    pub unreachable: bool,
    /// Whether the task was added to a service to replace unreachable replicas.
    pub additional: bool,
    /// Number of failed attempts. For a service, an attempt that ends by itself counts as failed.
    pub failures: u32,
    /// The reason that a worker reported for the newest failure, truncated to
    /// [`FAILURE_REASON_MAX_BYTES`].
    pub last_failure: Option<String>,
    /// The distinct workers on which it failed, at most [`FAILED_WORKERS_MAX`].
    pub failed_on: SmallVec<[WorkerId; 3]>,
    /// Number of times that the task was preempted, at most [`PREEMPTIONS_MAX`].
    pub displacements: u8,
    /// When the newest attempt was placed, in milliseconds since the Unix epoch; 0 before the
    /// first.
    pub placed_unix_ms: u64,
    /// When the task last began to wait for a placement, in milliseconds since the Unix epoch: when
    /// it was added or when its previous attempt ended.
    #[serde(default)]
    pub waiting_since_unix_ms: u64,
}

impl Task {
    pub(crate) fn new(job: JobId, additional: bool, now_unix_ms: u64) -> Task {
        Task {
            job,
            attempt: Attempt::default(),
            phase: Phase::Waiting,
            stop: None,
            unreachable: false,
            additional,
            failures: 0,
            last_failure: None,
            failed_on: SmallVec::new(),
            displacements: 0,
            placed_unix_ms: 0,
            waiting_since_unix_ms: now_unix_ms,
        }
    }

    /// The worker on which the current attempt is placed.
    pub fn worker(&self) -> Option<WorkerId> {
        match self.phase {
            Phase::Starting(worker) | Phase::Running(worker) => Some(worker),
            Phase::Waiting | Phase::Ended { .. } => None,
        }
    }

    /// Whether it waits to be placed.
    pub fn is_waiting(&self) -> bool {
        self.phase == Phase::Waiting
    }

    /// Whether it ended and is not placed again.
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    /// Whether it is being stopped because its service has more replicas than specified.
    pub fn is_surplus(&self) -> bool {
        self.stop
            .is_some_and(|stop| stop.reason == StopReason::Surplus)
    }

    pub(crate) fn count_failure(&mut self, worker: WorkerId) {
        self.failures += 1;
        if !self.failed_on.contains(&worker) && self.failed_on.len() < FAILED_WORKERS_MAX {
            self.failed_on.push(worker);
        }
    }

    pub(crate) fn set_failure_reason(&mut self, reason: &str) {
        let end = reason.floor_char_boundary(FAILURE_REASON_MAX_BYTES);
        self.last_failure = Some(reason[..end].to_owned());
    }

    /// Whether it has failed so often that it fails for good. Callers exempt services.
    pub(crate) fn has_exhausted_attempts(&self) -> bool {
        self.failed_on.len() >= FAILED_WORKERS_MAX || self.failures >= FAILURES_MAX
    }
}

/// The tasks of all jobs that have not been dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tasks {
    next: TaskId,
    records: BTreeMap<TaskId, Task>,
}

impl Tasks {
    /// The task with the given ID, unless it was removed.
    pub fn get(&self, id: TaskId) -> Option<&Task> {
        self.records.get(&id)
    }

    /// All tasks in the order of their IDs.
    pub fn iter(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        self.records.iter().map(|(id, task)| (*id, task))
    }

    /// Number of tasks, including ended ones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no task, not even an ended one.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(crate) fn get_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.records.get_mut(&id)
    }

    pub(crate) fn add(&mut self, task: Task) -> TaskId {
        let id = self.next;
        self.next = id.next();
        self.records.insert(id, task);
        id
    }

    pub(crate) fn remove(&mut self, id: TaskId) {
        self.records.remove(&id);
    }
}
