//! What operators measure, as values.
//!
//! [`ClusterStats`] is what is true now; it costs one pass over the workers and over the tasks of jobs
//! that are active or hold room. [`Events`] is what happened since it was taken last.

use std::collections::BTreeMap;

use sapphirepost_state::Placement;
use sapphirepost_state::State;
use sapphirepost_state::StopRequest;
use sapphirepost_state::jobs::Job;
use sapphirepost_state::tasks::Phase;
use sapphirepost_state::tasks::StopReason;
use sapphirepost_state::workers::Contact;
use sapphirepost_state::workers::Worker;
use sapphirepost_types::JobKind;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;

use crate::leader::Leader;
use crate::message::Context;

/// The most waits kept until they are taken: about three seconds at 3,000 placements a second.
const WAITS_MAX: usize = 10_000;

/// The work that waiting times are told apart by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobClass {
    /// `service`, `batch` or `gang`.
    pub kind: &'static str,
    /// `normal` or `urgent`.
    pub priority: &'static str,
}

impl JobClass {
    /// Every class.
    pub fn all() -> impl Iterator<Item = JobClass> {
        ["service", "batch", "gang"].into_iter().flat_map(|kind| {
            ["normal", "urgent"]
                .into_iter()
                .map(move |priority| JobClass { kind, priority })
        })
    }

    fn of(job: &Job) -> JobClass {
        JobClass {
            kind: match job.spec.kind {
                JobKind::Service => "service",
                JobKind::Batch { .. } => "batch",
                JobKind::Gang { .. } => "gang",
            },
            priority: match job.spec.priority {
                Priority::Normal => "normal",
                Priority::Urgent => "urgent",
            },
        }
    }
}

/// Tasks that wait now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// How many.
    pub tasks: u64,
    /// The longest wait so far in milliseconds.
    pub longest_ms: u64,
}

/// Tasks of jobs that are active or hold room, by phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Placed and not reported yet.
    pub starting: u64,
    /// Reported as running.
    pub running: u64,
    /// Asked to stop, or of a job that has ended.
    pub stopping: u64,
    /// On workers without contact.
    pub unreachable: u64,
}

/// Workers by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// Connected and taking tasks.
    pub open: u64,
    /// Connected and being emptied.
    pub draining: u64,
    /// Registered without a full report.
    pub reporting: u64,
    /// Without a lease.
    pub expired: u64,
    /// Declared lost by an operator.
    pub lost: u64,
    /// Set aside because many tasks failed on them; counted above as well.
    pub quarantined: u64,
}

/// What workers have and what of it is used, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Packing {
    /// What attempts hold.
    pub used: Resources,
    /// What the workers have.
    pub capacity: Resources,
}

/// What is true now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterStats {
    /// Waiting tasks of active jobs.
    pub waiting: BTreeMap<JobClass, Waiting>,
    /// Tasks that hold room.
    pub tasks: TaskCounts,
    /// Workers.
    pub workers: WorkerCounts,
    /// Packing of open workers.
    pub open: Packing,
    /// Packing of all workers that are not declared lost.
    pub all: Packing,
    /// Syncs that wait for a reply.
    pub held_syncs: u64,
}

/// A wait that ended with a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// The work.
    pub class: JobClass,
    /// From the submission or the last end to the placement, in milliseconds.
    pub wait_ms: u64,
}

/// What happened since the events were taken last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Waits that ended.
    pub waits: Vec<Wait>,
    /// Waits that ended and are not in `waits`, because too many were kept.
    pub dropped_waits: u64,
    /// Tasks asked to stop in favour of urgent work.
    pub displacements: u64,
    /// Leases that ended.
    pub expired_leases: u64,
    /// Plans that were confirmed and took effect.
    pub confirmed_plans: u64,
    /// Confirmations that were refused when they were applied.
    pub refused_plans: u64,
}

impl Leader {
    /// What is true now. To be called at most about once a second.
    pub fn cluster_stats(&self, ctx: &Context<'_>) -> ClusterStats {
        let mut stats = ClusterStats::default();
        for (_, job) in ctx.state.jobs().iter() {
            if job.is_active() || job.placed > 0 {
                stats.count_tasks(ctx, job);
            }
        }
        for (_, worker) in ctx.state.workers().iter() {
            stats.count_worker(worker);
        }
        stats.workers.quarantined = self.deciding.quarantined.len() as u64;
        let sessions = self.sessions.by_worker.values();
        stats.held_syncs = sessions.map(|session| session.held.len() as u64).sum();
        stats
    }

    /// Takes what happened since the last call.
    pub fn take_events(&mut self) -> Events {
        std::mem::take(&mut self.events)
    }
}

impl ClusterStats {
    fn count_tasks(&mut self, ctx: &Context<'_>, job: &Job) {
        let tasks = job.tasks.iter().filter_map(|id| ctx.state.tasks().get(*id));
        for task in tasks {
            match task.phase {
                Phase::Ended { .. } => {}
                Phase::Waiting if !job.is_active() => {}
                Phase::Waiting => {
                    let waiting = self.waiting.entry(JobClass::of(job)).or_default();
                    let wait_ms = ctx.wall_ms().saturating_sub(task.waiting_since_unix_ms);
                    waiting.tasks += 1;
                    waiting.longest_ms = waiting.longest_ms.max(wait_ms);
                }
                _ if task.unreachable => self.tasks.unreachable += 1,
                _ if !ctx.state.is_wanted(task) => self.tasks.stopping += 1,
                Phase::Starting(_) => self.tasks.starting += 1,
                Phase::Running(_) => self.tasks.running += 1,
            }
        }
    }

    fn count_worker(&mut self, worker: &Worker) {
        let counts = &mut self.workers;
        let count = match worker.contact {
            Contact::Connected if worker.draining => &mut counts.draining,
            Contact::Connected => &mut counts.open,
            Contact::Reporting => &mut counts.reporting,
            Contact::Expired { lost: false, .. } => &mut counts.expired,
            Contact::Expired { lost: true, .. } => &mut counts.lost,
        };
        *count += 1;
        if worker.is_open() {
            self.open.add(worker);
        }
        if !matches!(worker.contact, Contact::Expired { lost: true, .. }) {
            self.all.add(worker);
        }
    }
}

impl Packing {
    fn add(&mut self, worker: &Worker) {
        let capacity = &worker.spec.capacity;
        self.used = self.used.checked_add(&worker.used).unwrap_or(self.used);
        self.capacity = self.capacity.checked_add(capacity).unwrap_or(self.capacity);
    }
}

impl Events {
    /// Notes the waits that a group of placements ended, right after it was applied.
    pub(crate) fn note_placed(&mut self, state: &State, group: &[Placement]) {
        for placement in group {
            let Some(task) = state.tasks().get(placement.task) else {
                continue;
            };
            let Some(job) = state.jobs().get(task.job) else {
                continue;
            };
            if self.waits.len() >= WAITS_MAX {
                self.dropped_waits += 1;
                continue;
            }
            self.waits.push(Wait {
                class: JobClass::of(job),
                wait_ms: task
                    .placed_unix_ms
                    .saturating_sub(task.waiting_since_unix_ms),
            });
        }
    }

    /// Notes a displacement if the state carries it.
    pub(crate) fn note_stop(&mut self, state: &State, request: &StopRequest) {
        let task = state.tasks().get(request.task);
        let is_displaced = task.is_some_and(|task| {
            let stop = task.stop.map(|stop| stop.reason);
            task.attempt == request.attempt && stop == Some(StopReason::Displaced)
        });
        if is_displaced && request.reason == StopReason::Displaced {
            self.displacements += 1;
        }
    }
}
