//! Statistics of the cluster, from which the control process sets its metrics.
//!
//! [`ClusterStats`] is a snapshot of the current state. Computing it takes one pass over the
//! workers, the jobs, and the tasks of jobs that are active or have placed tasks. [`Events`]
//! accumulates what has happened since it was last taken.

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

/// Maximum number of waits kept until they are taken: about three seconds' worth at 3,000
/// placements per second.
const WAITS_MAX: usize = 10_000;

/// The kind and the priority of a job, by which waiting times are grouped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobClass {
    /// The kind: `service`, `batch` or `gang`.
    pub kind: &'static str,
    /// The priority: `normal` or `urgent`.
    pub priority: &'static str,
}

impl JobClass {
    /// All combinations of kind and priority.
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

/// The tasks of one job class that are currently waiting to be placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingTasks {
    /// Number of these tasks.
    pub tasks: u64,
    /// Longest wait so far among them, in milliseconds.
    pub longest_ms: u64,
}

/// Number of placed tasks by phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Placed, and not reported by the worker yet.
    pub starting: u64,
    /// Reported as running by the worker.
    pub running: u64,
    /// Being stopped: a stop was requested, or the job is no longer active.
    pub stopping: u64,
    /// On workers whose lease has ended, where they may still run.
    pub unreachable: u64,
}

/// Number of workers by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// Connected, and accepting tasks.
    pub open: u64,
    /// Connected, and drained by an operator: no new tasks are placed on them.
    pub draining: u64,
    /// Registered, without a full report yet.
    pub reporting: u64,
    /// Their lease has expired, and no operator has declared them lost.
    pub expired: u64,
    /// Expired, and declared lost by an operator.
    pub lost: u64,
    /// Quarantined because many distinct tasks failed on them; also counted in the fields above.
    pub quarantined: u64,
}

/// Used resources and capacity, summed over a set of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Packing {
    /// Resources held by attempts.
    pub used: Resources,
    /// Total resources of the workers.
    pub capacity: Resources,
}

/// A snapshot of the cluster's statistics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterStats {
    /// Waiting tasks of active jobs; classes without any are absent.
    pub waiting: BTreeMap<JobClass, WaitingTasks>,
    /// Placed tasks by phase.
    pub tasks: TaskCounts,
    /// Workers by state.
    pub workers: WorkerCounts,
    /// Packing of workers that accept tasks.
    pub open: Packing,
    /// Packing of all workers except those declared lost.
    pub all: Packing,
    /// Number of worker syncs held for a delayed reply.
    pub held_syncs: u64,
}

/// The wait of one task that ended with its placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// The class of the task's job.
    pub class: JobClass,
    /// Time in milliseconds from the creation of the task, or the end of its previous attempt, to
    /// the placement.
    pub wait_ms: u64,
}

/// Events since the last call of [`Leader::take_events`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Waits that ended with a placement.
    pub waits: Vec<Wait>,
    /// Number of ended waits that are not in `waits` because its maximum length was reached.
    pub dropped_waits: u64,
    /// Number of tasks preempted by urgent jobs.
    pub displacements: u64,
    /// Number of worker leases that expired.
    pub expired_leases: u64,
    /// Number of plans that were confirmed and took effect.
    pub confirmed_plans: u64,
    /// Number of confirmations that were refused when their command was applied.
    pub refused_plans: u64,
}

impl Leader {
    /// Computes a snapshot of the statistics. To be called at most about once a second, because of
    /// its cost.
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
        stats.workers.quarantined = self.pending_decisions.quarantined.len() as u64;
        let sessions = self.sessions.by_worker.values();
        stats.held_syncs = sessions
            .map(|session| session.held_syncs.len() as u64)
            .sum();
        stats
    }

    /// Returns the events since the last call, and clears them.
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
                _ if !ctx.state.should_run(task) => self.tasks.stopping += 1,
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
        if worker.accepts_tasks() {
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
    /// Records the waits that a group of placements ended. To be called right after the group was
    /// applied.
    pub(crate) fn record_waits(&mut self, state: &State, group: &[Placement]) {
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

    /// Counts a stop request as a preemption if the state has accepted it as one.
    pub(crate) fn record_preemption(&mut self, state: &State, request: &StopRequest) {
        let task = state.tasks().get(request.task);
        let is_preempted = task.is_some_and(|task| {
            let stop = task.stop.map(|stop| stop.reason);
            task.attempt == request.attempt && stop == Some(StopReason::Displaced)
        });
        if is_preempted && request.reason == StopReason::Displaced {
            self.displacements += 1;
        }
    }
}
