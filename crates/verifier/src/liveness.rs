//! Liveness: no accepted step that could run waits longer than a bound.
//!
//! A step could run while its dependencies are done and workers that take work, carry its label,
//! are allowed and have room are there for one of its tasks, or for all members of a gang. The
//! bound holds from the moment since which this is so without a break, or since the last
//! disturbance of the processes that decide.

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

/// Whether a step may run on a worker.
pub trait Permits {
    /// Whether the placement policy allows it.
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
    /// Whether its job was accepted and is not over.
    is_owed: bool,
    tasks: Vec<TaskState>,
    /// Since when it could run without a break.
    able_since_ms: Option<u64>,
    is_reported: bool,
}

#[derive(Default)]
struct Worker {
    is_open: bool,
    capacity: Resources,
    used: Resources,
    labels: Vec<Arc<str>>,
    runs: BTreeMap<TaskName, Resources>,
}

/// Watches a history while it is made.
pub struct Liveness {
    limits: WaitLimits,
    permits: Box<dyn Permits + Send>,
    steps: BTreeMap<StepName, Step>,
    workers: BTreeMap<Arc<str>, Worker>,
}

impl Liveness {
    /// A history without events.
    pub fn new(limits: WaitLimits, permits: Box<dyn Permits + Send>) -> Liveness {
        Liveness {
            limits,
            permits,
            steps: BTreeMap::new(),
            workers: BTreeMap::new(),
        }
    }

    /// Takes the next event; returns the steps that have waited too long up to it.
    pub fn observe(&mut self, at_ms: u64, seen: Observation) -> Vec<Violation> {
        let violations = self.overdue(at_ms);
        if seen == Observation::Disturbed {
            self.steps
                .values_mut()
                .for_each(|step| step.able_since_ms = None);
        }
        self.apply(seen);
        self.update(at_ms);
        violations
    }

    /// Whether no task of a job runs, or is owed and could run now.
    pub fn is_blocked(&self, job: &str) -> bool {
        let mut steps = self.steps.iter().filter(|(name, _)| *name.job == *job);
        steps.all(|(_, step)| step.able_since_ms.is_none() && !step.has(TaskState::Running))
    }

    /// Takes unclear ends for ends that have to run again, in jobs of which nothing else is left:
    /// either such a job is over, or these tasks are still owed.
    pub fn requeue_unacknowledged(&mut self, at_ms: u64) {
        let open: Vec<Arc<str>> = self
            .steps
            .iter()
            .filter(|(_, step)| step.has(TaskState::Waiting) || step.has(TaskState::Running))
            .map(|(name, _)| name.job.clone())
            .collect();
        for (name, step) in &mut self.steps {
            let tasks = step.tasks.iter_mut();
            let unclear = tasks.filter(|task| **task == TaskState::Unacknowledged);
            if !open.contains(&name.job) {
                unclear.for_each(|task| *task = TaskState::Waiting);
            }
        }
        self.update(at_ms);
    }

    /// The steps that have waited too long, each once.
    pub fn overdue(&mut self, now_ms: u64) -> Vec<Violation> {
        let most_ms = self.limits.total_ms();
        let mut violations = Vec::new();
        for (name, step) in &mut self.steps {
            let Some(since_ms) = step.able_since_ms else {
                continue;
            };
            if step.is_reported || now_ms <= since_ms + most_ms {
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

    fn apply(&mut self, seen: Observation) {
        match seen {
            Observation::Submitted { job, steps } => self.submit(&job, steps),
            Observation::Accepted { job } => self.owe(&job, true),
            Observation::Closed { job } => self.owe(&job, false),
            Observation::WorkerOpen {
                worker,
                capacity,
                labels,
            } => {
                let known = self.workers.entry(worker).or_default();
                known.is_open = true;
                known.capacity = capacity;
                known.labels = labels;
            }
            Observation::WorkerClosed { worker } => {
                self.workers.entry(worker).or_default().is_open = false;
            }
            Observation::Started { worker, task } => {
                self.set(&task, TaskState::Running);
                self.begin(worker, task);
            }
            Observation::Stopped { worker, task, end } => {
                self.set(
                    &task,
                    match end {
                        TaskEnd::Done => TaskState::Done,
                        TaskEnd::Unacknowledged => TaskState::Unacknowledged,
                        TaskEnd::MustRerun => TaskState::Waiting,
                    },
                );
                self.finish(&worker, &task);
            }
            Observation::Disturbed => {}
        }
    }

    fn submit(&mut self, job: &Arc<str>, steps: Vec<StepNeed>) {
        for (number, need) in (0u32..).zip(steps) {
            let name = StepName {
                job: job.clone(),
                step: number,
            };
            let tasks = vec![TaskState::Waiting; need.count as usize];
            self.steps.entry(name).or_insert(Step {
                need,
                is_owed: false,
                tasks,
                able_since_ms: None,
                is_reported: false,
            });
        }
    }

    fn set(&mut self, task: &TaskName, state: TaskState) {
        let step = self.steps.get_mut(&task.step);
        let known = step.and_then(|step| step.tasks.get_mut(task.index as usize));
        // An end that is done stays so whatever a late run does, unless its worker is lost.
        if let Some(known) = known
            && (*known != TaskState::Done || state == TaskState::Unacknowledged)
        {
            *known = state;
        }
    }

    fn owe(&mut self, job: &Arc<str>, is_owed: bool) {
        let steps = self.steps.iter_mut();
        for (_, step) in steps.filter(|(name, _)| name.job == *job) {
            step.is_owed = is_owed;
        }
    }

    fn begin(&mut self, worker: Arc<str>, task: TaskName) {
        let room = self.steps.get(&task.step).map(|step| step.need.resources);
        let room = room.unwrap_or(Resources::ZERO);
        let worker = self.workers.entry(worker).or_default();
        worker.used = worker.used.saturating_add(&room);
        worker.runs.insert(task, room);
    }

    fn finish(&mut self, worker: &Arc<str>, task: &TaskName) {
        let worker = self.workers.entry(worker.clone()).or_default();
        if let Some(room) = worker.runs.remove(task) {
            worker.used = worker.used.saturating_sub(&room);
        }
    }

    fn update(&mut self, at_ms: u64) {
        let able: Vec<bool> = self
            .steps
            .iter()
            .map(|(name, step)| self.could_run(name, step))
            .collect();
        for (step, is_able) in self.steps.values_mut().zip(able) {
            step.able_since_ms = match (is_able, step.able_since_ms) {
                (true, since_ms) => Some(since_ms.unwrap_or(at_ms)),
                (false, _) => None,
            };
        }
    }

    fn could_run(&self, name: &StepName, step: &Step) -> bool {
        let waiting = step.waiting();
        if !step.is_owed || waiting == 0 || !self.are_done(&name.job, &step.need.after) {
            return false;
        }
        if step.need.is_gang && waiting < step.need.count {
            return false;
        }
        let needed = if step.need.is_gang { waiting } else { 1 };
        let mut slots = 0;
        for (id, worker) in &self.workers {
            let most = worker.slots(name, &step.need, needed - slots);
            if most > 0 && self.permits.allows(name, id) {
                slots += most;
            }
            if slots >= needed {
                return true;
            }
        }
        false
    }

    fn are_done(&self, job: &Arc<str>, after: &[u32]) -> bool {
        after.iter().all(|&number| {
            let name = StepName {
                job: job.clone(),
                step: number,
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
    /// How many more tasks of a step it can take, at most `most`.
    fn slots(&self, name: &StepName, need: &StepNeed, most: u32) -> u32 {
        let carries = |label: &Arc<str>| self.labels.contains(label);
        if !self.is_open || !need.label.as_ref().is_none_or(carries) {
            return 0;
        }
        let running = self.runs.keys().filter(|task| task.step == *name).count() as u32;
        let limit = need.per_worker_max.unwrap_or(u32::MAX);
        let mut free = self.capacity.saturating_sub(&self.used);
        let mut slots = 0;
        while slots < most.min(limit.saturating_sub(running)) && need.resources.fits_in(&free) {
            free = free.saturating_sub(&need.resources);
            slots += 1;
        }
        slots
    }
}
