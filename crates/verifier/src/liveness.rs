//! Liveness: a step of an accepted job that could run is started within a bounded time.
//!
//! A step could run while its dependencies are done and there are workers for one of its waiting
//! tasks, or for all tasks of a gang, that accept tasks, have its label, are permitted by the
//! placement policy, have enough free resources and do not yet run as many tasks of the step as one
//! worker may. The time is counted from the start of the current period in which this holds, or
//! from the last disturbance of the control plane if that is later.

mod observation;

use std::collections::BTreeMap;
use std::sync::Arc;

use sapphirepost_types::Resources;

pub use self::observation::Observation;
pub use self::observation::StepName;
pub use self::observation::StepNeed;
pub use self::observation::TaskEnd;
pub use self::observation::TaskName;
pub use self::observation::WaitLimits;
use crate::violation::Invariant;
use crate::violation::Violation;

/// The placement policy, which decides on which workers a step may run.
pub trait Permits {
    /// Whether the policy allows the step to run on the worker.
    fn allows(&self, step: &StepName, worker: &str) -> bool;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TaskState {
    Waiting,
    Running,
    Done,
    Unacknowledged,
}

struct Step {
    need: StepNeed,
    /// Whether its job was accepted and has neither ended nor been cancelled.
    is_active: bool,
    tasks: Vec<TaskState>,
    /// The start of the current period in which it could run; `None` if it cannot run now.
    runnable_since_ms: Option<u64>,
    is_reported: bool,
}

#[derive(Default)]
struct Worker {
    accepts_tasks: bool,
    capacity: Resources,
    used: Resources,
    labels: Vec<Arc<str>>,
    runs: BTreeMap<TaskName, Resources>,
}

/// Checks a history while it is being recorded.
pub struct Liveness {
    limits: WaitLimits,
    permits: Box<dyn Permits + Send>,
    steps: BTreeMap<StepName, Step>,
    workers: BTreeMap<Arc<str>, Worker>,
}

impl Liveness {
    /// Creates a check of a history that has no events yet.
    pub fn new(limits: WaitLimits, permits: Box<dyn Permits + Send>) -> Liveness {
        Liveness {
            limits,
            permits,
            steps: BTreeMap::new(),
            workers: BTreeMap::new(),
        }
    }

    /// Processes the next event of the history and returns a violation for each step that had
    /// waited too long by then.
    pub fn observe(&mut self, at_ms: u64, observation: Observation) -> Vec<Violation> {
        let violations = self.overdue(at_ms);
        if observation == Observation::Disturbed {
            self.steps
                .values_mut()
                .for_each(|step| step.runnable_since_ms = None);
        }
        self.apply(observation);
        self.update(at_ms);
        violations
    }

    /// Whether the job has no running task and no step that could run now.
    pub fn is_blocked(&self, job: &str) -> bool {
        let mut steps = self.steps.iter().filter(|(name, _)| *name.job == *job);
        steps.all(|(_, step)| step.runnable_since_ms.is_none() && !step.has(TaskState::Running))
    }

    /// Counts tasks with an unacknowledged end as waiting again if no other task of their job waits
    /// or runs: unless the end of such a job is reported, these tasks have to run again.
    pub fn requeue_unacknowledged(&mut self, at_ms: u64) {
        let open: Vec<Arc<str>> = self
            .steps
            .iter()
            .filter(|(_, step)| step.has(TaskState::Waiting) || step.has(TaskState::Running))
            .map(|(name, _)| name.job.clone())
            .collect();
        for (name, step) in &mut self.steps {
            let tasks = step.tasks.iter_mut();
            let unacknowledged = tasks.filter(|task| **task == TaskState::Unacknowledged);
            if !open.contains(&name.job) {
                unacknowledged.for_each(|task| *task = TaskState::Waiting);
            }
        }
        self.update(at_ms);
    }

    /// Returns a violation for each step that has waited too long and was not returned before.
    pub fn overdue(&mut self, now_ms: u64) -> Vec<Violation> {
        let max_wait_ms = self.limits.total_ms();
        let mut violations = Vec::new();
        for (name, step) in &mut self.steps {
            let Some(since_ms) = step.runnable_since_ms else {
                continue;
            };
            if step.is_reported || now_ms <= since_ms + max_wait_ms {
                continue;
            }
            step.is_reported = true;
            let waiting = step.waiting();
            violations.push(Violation {
                invariant: Invariant::Liveness,
                at_ms: now_ms,
                detail: format!(
                    "{waiting} of {} tasks of step {} of job {} could run since {since_ms} ms and \
                     do not",
                    step.need.count, name.step, name.job
                ),
            });
        }
        violations
    }

    fn apply(&mut self, observation: Observation) {
        match observation {
            Observation::Submitted { job, steps } => self.submit(&job, steps),
            Observation::Accepted { job } => self.set_active(&job, true),
            Observation::Closed { job } => self.set_active(&job, false),
            Observation::WorkerOpen {
                worker,
                capacity,
                labels,
            } => {
                let known = self.workers.entry(worker).or_default();
                known.accepts_tasks = true;
                known.capacity = capacity;
                known.labels = labels;
            }
            Observation::WorkerClosed { worker } => {
                self.workers.entry(worker).or_default().accepts_tasks = false;
            }
            Observation::Started { worker, task } => {
                self.set_task_state(&task, TaskState::Running);
                self.record_start(worker, task);
            }
            Observation::Stopped { worker, task, end } => {
                self.set_task_state(
                    &task,
                    match end {
                        TaskEnd::Done => TaskState::Done,
                        TaskEnd::Unacknowledged => TaskState::Unacknowledged,
                        TaskEnd::MustRerun => TaskState::Waiting,
                    },
                );
                self.record_end(&worker, &task);
            }
            Observation::Disturbed => {}
        }
    }

    fn submit(&mut self, job: &Arc<str>, steps: Vec<StepNeed>) {
        for (index, need) in (0u32..).zip(steps) {
            let name = StepName {
                job: job.clone(),
                step: index,
            };
            let tasks = vec![TaskState::Waiting; need.count as usize];
            self.steps.entry(name).or_insert(Step {
                need,
                is_active: false,
                tasks,
                runnable_since_ms: None,
                is_reported: false,
            });
        }
    }

    fn set_task_state(&mut self, task: &TaskName, state: TaskState) {
        let step = self.steps.get_mut(&task.step);
        let known = step.and_then(|step| step.tasks.get_mut(task.index as usize));
        // A task that is done stays done, whatever a late run of it does, unless its worker was
        // lost before the end was acknowledged.
        if let Some(known) = known
            && (*known != TaskState::Done || state == TaskState::Unacknowledged)
        {
            *known = state;
        }
    }

    fn set_active(&mut self, job: &Arc<str>, is_active: bool) {
        let steps = self.steps.iter_mut();
        for (_, step) in steps.filter(|(name, _)| name.job == *job) {
            step.is_active = is_active;
        }
    }

    fn record_start(&mut self, worker: Arc<str>, task: TaskName) {
        let resources = self.steps.get(&task.step).map(|step| step.need.resources);
        let resources = resources.unwrap_or(Resources::ZERO);
        let worker = self.workers.entry(worker).or_default();
        worker.used = worker.used.saturating_add(&resources);
        worker.runs.insert(task, resources);
    }

    fn record_end(&mut self, worker: &Arc<str>, task: &TaskName) {
        let worker = self.workers.entry(worker.clone()).or_default();
        if let Some(resources) = worker.runs.remove(task) {
            worker.used = worker.used.saturating_sub(&resources);
        }
    }

    fn update(&mut self, at_ms: u64) {
        let runnable: Vec<bool> = self
            .steps
            .iter()
            .map(|(name, step)| self.is_runnable(name, step))
            .collect();
        for (step, is_runnable) in self.steps.values_mut().zip(runnable) {
            step.runnable_since_ms = match (is_runnable, step.runnable_since_ms) {
                (true, since_ms) => Some(since_ms.unwrap_or(at_ms)),
                (false, _) => None,
            };
        }
    }

    fn is_runnable(&self, name: &StepName, step: &Step) -> bool {
        let waiting = step.waiting();
        if !step.is_active || waiting == 0 || !self.are_done(&name.job, &step.need.after) {
            return false;
        }
        if step.need.is_gang && waiting < step.need.count {
            return false;
        }
        let needed = if step.need.is_gang { waiting } else { 1 };
        let mut slots = 0;
        for (id, worker) in &self.workers {
            let count = worker.slots(name, &step.need, needed - slots);
            if count > 0 && self.permits.allows(name, id) {
                slots += count;
            }
            if slots >= needed {
                return true;
            }
        }
        false
    }

    fn are_done(&self, job: &Arc<str>, after: &[u32]) -> bool {
        after.iter().all(|&index| {
            let name = StepName {
                job: job.clone(),
                step: index,
            };
            let step = self.steps.get(&name);
            step.is_some_and(|step| step.tasks.iter().all(|task| *task == TaskState::Done))
        })
    }
}

impl Step {
    fn has(&self, state: TaskState) -> bool {
        self.tasks.contains(&state)
    }

    fn waiting(&self) -> u32 {
        let waiting = self
            .tasks
            .iter()
            .filter(|task| **task == TaskState::Waiting);
        waiting.count() as u32
    }
}

impl Worker {
    /// The number of further tasks of the step that the worker can run, at most `max`.
    fn slots(&self, name: &StepName, need: &StepNeed, max: u32) -> u32 {
        let has_label = |label: &Arc<str>| self.labels.contains(label);
        if !self.accepts_tasks || !need.label.as_ref().is_none_or(has_label) {
            return 0;
        }
        let running = self.runs.keys().filter(|task| task.step == *name).count() as u32;
        let limit = need.per_worker_max.unwrap_or(u32::MAX);
        let mut free = self.capacity.saturating_sub(&self.used);
        let mut slots = 0;
        while slots < max.min(limit.saturating_sub(running)) && need.resources.fits_in(&free) {
            free = free.saturating_sub(&need.resources);
            slots += 1;
        }
        slots
    }
}
