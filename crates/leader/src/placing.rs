//! The placement as the leader sees it.

use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkerMode {
    /// It takes tasks.
    Ready,
    /// It keeps its tasks and takes no more.
    Draining,
    /// It has no contact; its tasks hold their room and it takes no more.
    Disconnected,
}

/// One worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerView {
    /// The worker.
    pub id: WorkerId,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Its rack.
    pub rack: Name,
    /// All that it has for tasks.
    pub capacity: Resources,
    /// Whether it takes new tasks.
    pub mode: WorkerMode,
}

/// The kind of a job, with times on the clock of `now`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPolicy {
    /// Runs until cancelled and is kept at its size.
    Service,
    /// Runs to its end.
    Batch {
        /// When the last task must have finished.
        deadline: Option<Millis>,
        /// The declared run time of one task.
        run_time_ms: u64,
    },
    /// Runs to its end; all tasks start together or none does.
    Gang {
        /// The declared run time of one task.
        run_time_ms: u64,
    },
}

/// One task that the job wants to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskView {
    /// The task.
    pub id: TaskId,
    /// How many times it was displaced before.
    pub displaced: u8,
    /// When the running attempt started, if the task runs.
    pub started: Option<Millis>,
}

/// One job with the tasks that it wants to run; ended tasks are left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// Its name.
    pub name: Name,
    /// The team whose quota is charged.
    pub team: Name,
    /// The kind with its own fields.
    pub policy: JobPolicy,
    /// How urgently it starts.
    pub priority: Priority,
    /// What one task needs.
    pub resources: Resources,
    /// What a checkpoint of one task costs in milliseconds; `None` if it cannot checkpoint.
    pub checkpoint_cost_ms: Option<u64>,
    /// When the job was confirmed.
    pub submitted: Millis,
    /// The tasks.
    pub tasks: Vec<TaskView>,
}

/// How an attempt ended, or why it holds no room any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TaskEnd {
    /// It ended by itself with success.
    Finished,
    /// It ended by itself with an error.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its worker is certain not to run it any more.
    Lost,
    /// The placement was not accepted by the replicated state.
    Rejected,
    /// It is not wanted any more.
    Cancelled,
}

/// A task that starts on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The job.
    pub job: JobId,
    /// The task.
    pub task: TaskId,
    /// The worker.
    pub worker: WorkerId,
}

/// A running task that must stop for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Displacement {
    /// The task.
    pub task: TaskId,
    /// Whether it writes a checkpoint first.
    pub checkpoint: bool,
}

/// A task to limit because its worker uses more than it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throttle {
    /// The task.
    pub task: TaskId,
    /// Where it runs.
    pub worker: WorkerId,
    /// Percent of its declared processors.
    pub percent: u8,
}

/// What one call decided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Tasks that start; all tasks of a gang stand one after the other.
    pub placements: Vec<Placement>,
    /// Running tasks that must stop.
    pub displacements: Vec<Displacement>,
    /// Workers that are set aside, or are no longer.
    pub set_aside: Vec<(WorkerId, bool)>,
    /// Tasks to limit.
    pub throttles: Vec<Throttle>,
}

/// Decides which waiting task starts where.
pub trait Placing {
    /// Adds a worker or replaces what is known of it; its tasks stay bound.
    fn upsert_worker(&mut self, worker: WorkerView);
    /// Forgets a worker.
    fn remove_worker(&mut self, worker: WorkerId);
    /// Sets the quota of a team; `None` lifts the limit.
    fn set_quota(&mut self, team: &Name, limit: Option<Resources>);
    /// Adds a job or replaces what is known of it: tasks that are new wait, tasks that are
    /// missing do not wait any more, bound tasks stay bound.
    fn submit(&mut self, now: Millis, job: JobView);
    /// Stops placing the tasks of a job.
    fn cancel(&mut self, now: Millis, job: JobId);
    /// Records that a task holds room on a worker.
    fn bind(&mut self, task: TaskId, worker: WorkerId, resources: Resources);
    /// Frees the room of a task; unless the end is final, the task waits again.
    fn release(&mut self, now: Millis, task: TaskId, end: TaskEnd);
    /// Records the observed use of a worker.
    fn report_usage(&mut self, now: Millis, worker: WorkerId, usage: Resources);
    /// Decides about waiting tasks, about `budget` of them at most.
    fn decide(&mut self, now: Millis, budget: usize) -> Decisions;
    /// Says why a job waits, runs where it runs, or was refused; a line each.
    fn explain(&self, job: JobId) -> Vec<String>;
}
