//! Tasks: one unit of a job with its current attempt.

use std::collections::BTreeMap;

use sapphirepost_types::Attempt;
use sapphirepost_types::JobId;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// How often one task is displaced at most.
pub const PREEMPTIONS_MAX: u8 = 3;
/// On how many distinct workers a task fails before it is given up.
pub const FAILED_WORKERS_MAX: usize = 3;
/// How often a task fails in all before it is given up, for clusters with few workers.
pub const FAILURES_MAX: u32 = 6;
/// The longest kept reason of a failure in bytes.
pub const FAILURE_REASON_MAX_BYTES: usize = 256;

/// Where a task is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Phase {
    /// It holds no room.
    Waiting,
    /// It is placed on a worker that has not reported it yet.
    Starting(WorkerId),
    /// Its worker reported it as running.
    Running(WorkerId),
    /// It ended and is not placed again.
    Ended {
        /// Whether it ended with success.
        success: bool,
    },
}

/// Why an attempt of a job that still runs is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum StopReason {
    /// Urgent work needs the room; the task waits again.
    Displaced,
    /// Its worker is drained; the task waits again.
    Drained,
    /// Another task of the gang ended early; all tasks wait and start together.
    GangBroken,
    /// The service has more replicas than it wants; the task is removed.
    Surplus,
}

/// A stop that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Why.
    pub reason: StopReason,
    /// Whether a checkpoint is written first.
    pub checkpoint: bool,
}

/// One task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// The job.
    pub job: JobId,
    /// The newest attempt; 0 before the first.
    pub attempt: Attempt,
    /// Where it is in its life.
    pub phase: Phase,
    /// The stop that was asked for the current attempt.
    pub stop: Option<Stop>,
    /// Whether its worker has no contact, while the task may run there.
    pub unreachable: bool,
    /// Whether it was added in place of replicas without contact.
    pub additional: bool,
    /// How often it failed.
    pub failures: u32,
    /// What its worker said about the last failure.
    pub last_failure: Option<String>,
    /// The distinct workers that it failed on.
    pub failed_on: SmallVec<[WorkerId; 3]>,
    /// How often it was displaced.
    pub displacements: u8,
    /// When the current attempt was placed, in milliseconds since the Unix epoch.
    pub placed_unix_ms: u64,
    /// Since when it waits or waited for its newest placement: its job was confirmed or grew, or
    /// the attempt before ended; in milliseconds since the Unix epoch.
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

    /// The worker that holds room for the current attempt.
    pub fn worker(&self) -> Option<WorkerId> {
        match self.phase {
            Phase::Starting(worker) | Phase::Running(worker) => Some(worker),
            Phase::Waiting | Phase::Ended { .. } => None,
        }
    }

    /// Whether it waits for room.
    pub fn is_waiting(&self) -> bool {
        self.phase == Phase::Waiting
    }

    /// Whether it ended and is not placed again.
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    /// Whether it was asked to leave because the service has more replicas than it wants.
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

    pub(crate) fn has_exhausted_attempts(&self) -> bool {
        self.failed_on.len() >= FAILED_WORKERS_MAX || self.failures >= FAILURES_MAX
    }
}

/// All tasks of jobs that are remembered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tasks {
    next: TaskId,
    records: BTreeMap<TaskId, Task>,
}

impl Tasks {
    /// A task.
    pub fn get(&self, id: TaskId) -> Option<&Task> {
        self.records.get(&id)
    }

    /// All tasks in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        self.records.iter().map(|(id, task)| (*id, task))
    }

    /// How many tasks are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no task is remembered.
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
