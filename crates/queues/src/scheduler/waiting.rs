//! Steps that wait without progress, and the reason.
//!
//! The leader logs the reason, to distinguish steps that wait for resources, for a permit, for the
//! rest of their gang, or for the leader itself.

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::place::count_fitting;
use crate::scheduler::ranking::Lateness;
use crate::scheduler::ranking::Rank;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::steps::StepView;

/// A step is reported after it has made no progress for this long.
const REPORT_AFTER_MS: u64 = 3_000;
/// The largest number of steps in one report that are there because they have waited longest.
const LONGEST_REPORTED_MAX: usize = 4;
/// The largest number of further steps in one report, which are there because of their width.
const WIDEST_REPORTED_MAX: usize = 4;

/// Why the tasks of a step are not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The job is not committed.
    Commit,
    /// Starts of the step are proposed and not committed.
    Proposal,
    /// No known worker could run it even if empty.
    NoWorker,
    /// No worker that could run it has a permit, not even an expired one: no request that named
    /// such a worker has been answered yet, or the policy has denied or refused those workers.
    NoPermit,
    /// All allowed workers with enough free resources need a fresh permit.
    ExpiredPermit,
    /// No allowed worker that accepts tasks has enough free resources.
    Room,
    /// Members of the last run of its gang are still on workers.
    FormerRun,
    /// The quota of its tenant leaves no room for a task, or for all members of its gang.
    Quota,
    /// Its tasks could start remote from their data, and wait for workers near it.
    Locality,
    /// Its tasks have to be isolated, and it has no turn to use workers for that.
    Isolation,
    /// Some allowed worker has enough free resources for a member of its gang, but the gang cannot
    /// be placed: the resources do not suffice for all members or are reserved for others, permits
    /// have expired, or workers rejected a start of the step and are paused.
    Gang,
    /// An allowed worker has enough free resources, but they are reserved for a gang, the worker is
    /// at the step's limit for one worker, it rejected a start of the step and is paused, the step's
    /// queue or another one is quarantined, or the step has not been tried since the resources were
    /// freed. If none of these holds, the leader has a fault.
    Withheld,
}

/// A step without progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingStep {
    /// The key of the step.
    pub step: StepKey,
    /// The number of tasks that wait or whose start is proposed.
    pub tasks: usize,
    /// How long the step has made no progress.
    pub waits_ms: u64,
    /// Why the step waits.
    pub reason: WaitReason,
    /// Whether the step can meet the deadline of its job.
    pub lateness: Lateness,
    /// Whether its tenant has used up its share of the service.
    pub is_over_share: bool,
    /// The number of waiting steps that are placed before it.
    pub steps_ahead: usize,
    /// Whether a permit request for the step is unanswered.
    pub is_asking: bool,
    /// How long a permit request has been needed that no policy client has taken.
    pub request_due_ms: Option<u64>,
    /// The time until its reservation begins, if it holds one.
    pub reserved_in_ms: Option<u64>,
    /// The number of workers that accept tasks, have enough free resources and are allowed, with a
    /// fresh or an expired permit.
    pub workers_with_room: usize,
    /// The number of tasks that would fit on these workers, without regard to reservations.
    pub tasks_that_fit: u64,
    /// The number of tasks that would fit on all allowed workers if these were empty.
    pub tasks_that_fit_if_empty: u64,
}

/// When each waiting step last made progress.
#[derive(Debug, Default)]
pub struct WaitTracker {
    /// The number of waiting tasks at the last progress of the step, and the time of that progress.
    since: FxHashMap<StepKey, (usize, Millis)>,
}

/// A step that has waited long enough for a report.
#[derive(Clone, Copy, Debug)]
struct LongWait {
    step: StepKey,
    tasks: usize,
    waits_ms: u64,
}

impl WaitTracker {
    /// Takes the current number of waiting tasks of each ready step; a lower number counts as
    /// progress.
    fn update(&mut self, waiting: impl Iterator<Item = (StepKey, usize)>, now: Millis) {
        let mut since = FxHashMap::default();
        for (step, tasks) in waiting {
            let known = self.since.get(&step).copied();
            let entry = known.filter(|(before, _)| *before <= tasks);
            since.insert(step, entry.unwrap_or((tasks, now)));
        }
        self.since = since;
    }

    /// The steps to report: those that have waited longest, and those with the most tasks.
    fn to_report(&self, now: Millis) -> Vec<LongWait> {
        let waits = self.since.iter().map(|(step, (tasks, since))| LongWait {
            step: *step,
            tasks: *tasks,
            waits_ms: now.since(*since),
        });
        let mut long: Vec<LongWait> = waits
            .filter(|wait| wait.waits_ms >= REPORT_AFTER_MS)
            .collect();
        long.sort_unstable_by_key(|wait| (u64::MAX - wait.waits_ms, wait.step));
        let rest = long.split_off(long.len().min(LONGEST_REPORTED_MAX));
        let mut widest = rest;
        widest.sort_unstable_by_key(|wait| (usize::MAX - wait.tasks, wait.step));
        widest.truncate(WIDEST_REPORTED_MAX);
        long.extend(widest);
        long
    }
}

impl Scheduler {
    /// The steps to report because they make no progress. Must be called at regular intervals.
    pub fn find_waiting_steps(&mut self, now: Millis) -> Vec<WaitingStep> {
        let mut waits = std::mem::take(&mut self.waits);
        let ready = self.steps.values().filter(|view| view.is_ready);
        let waiting = ready.map(|view| (view.key, view.waiting.len() + view.proposed.len()));
        waits.update(waiting.filter(|(_, tasks)| *tasks > 0), now);
        let reported = waits.to_report(now);
        self.waits = waits;
        reported
            .into_iter()
            .filter_map(|wait| self.waiting_step(wait, now))
            .collect()
    }

    fn waiting_step(&self, wait: LongWait, now: Millis) -> Option<WaitingStep> {
        let view = self.steps.get(&wait.step)?;
        let room = self.count_room(view, now);
        let rank = Rank::of(view, now);
        let others = self
            .steps
            .values()
            .filter(|other| !other.waiting.is_empty() && !other.is_at_quota);
        self.count_checks(self.steps.len());
        let ahead = others.filter(|other| Rank::of(other, now) < rank);
        Some(WaitingStep {
            step: view.key,
            tasks: wait.tasks,
            waits_ms: wait.waits_ms,
            reason: wait_reason(view, &room, self.is_at_quota(view)),
            lateness: rank.lateness,
            is_over_share: rank.is_over_share,
            steps_ahead: ahead.count(),
            is_asking: view.permits.has_request(),
            request_due_ms: view.permits.needed_since().map(|since| now.since(since)),
            reserved_in_ms: self
                .rounds
                .reservation_begins(view.key)
                .map(|begins| begins.since(now)),
            workers_with_room: room.fresh + room.expired,
            tasks_that_fit: room.tasks,
            tasks_that_fit_if_empty: room.tasks_if_empty,
        })
    }

    /// Counts the workers that could run the step, and the tasks that would fit there.
    fn count_room(&self, view: &StepView, now: Millis) -> RoomCount {
        let mut room = RoomCount::default();
        let need = view.spec().resources;
        self.count_checks(self.workers.len());
        for (index, worker) in self.workers.iter() {
            if !view.can_run_on(worker) {
                continue;
            }
            room.suited += 1;
            let permission = self.permission(view, index, now);
            if !matches!(permission, Permission::Granted | Permission::Expired) {
                continue;
            }
            room.allowed += 1;
            if !worker.accepts_tasks(now) {
                continue;
            }
            let free = worker.free();
            room.tasks += u64::from(count_fitting(need, free));
            room.tasks_if_empty += u64::from(count_fitting(need, worker.record.capacity));
            let has_room = usize::from(need.fits_in(&free));
            match permission {
                Permission::Granted => room.fresh += has_room,
                _ => room.expired += has_room,
            }
        }
        room
    }
}

/// The workers that could run a step, and the tasks that would fit there.
#[derive(Clone, Copy, Debug, Default)]
struct RoomCount {
    /// Workers that could run a task if they were empty.
    suited: usize,
    /// Suited workers that the policy allows, also with an expired permit.
    allowed: usize,
    /// Allowed workers with room for a task and a fresh permit.
    fresh: usize,
    /// Allowed workers with room for a task and an expired permit.
    expired: usize,
    /// Tasks that fit on the allowed workers now.
    tasks: u64,
    /// Tasks that would fit on the allowed workers if these were empty.
    tasks_if_empty: u64,
}

fn wait_reason(view: &StepView, room: &RoomCount, is_at_quota: bool) -> WaitReason {
    let members = view.spec().count as usize;
    let is_gang = view.spec().is_gang;
    if !view.is_committed {
        WaitReason::Commit
    } else if !view.proposed.is_empty() {
        WaitReason::Proposal
    } else if room.suited == 0 {
        WaitReason::NoWorker
    } else if is_gang && view.waiting.len() < members {
        WaitReason::FormerRun
    } else if is_at_quota {
        WaitReason::Quota
    } else if view.is_without_turn {
        WaitReason::Isolation
    } else if view.locality.is_waiting() {
        WaitReason::Locality
    } else if room.allowed == 0 {
        WaitReason::NoPermit
    } else if room.fresh + room.expired == 0 {
        WaitReason::Room
    } else if is_gang {
        WaitReason::Gang
    } else if room.fresh == 0 {
        WaitReason::ExpiredPermit
    } else {
        WaitReason::Withheld
    }
}
