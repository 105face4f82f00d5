//! Steps that wait without progress, and the reason.
//!
//! The leader logs the reason, to distinguish steps that wait for resources, for a permit, for the
//! rest of their gang, or for the leader itself.

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use smallvec::SmallVec;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::steps::StepView;

/// A step is reported after it has made no progress for this long.
const REPORT_AFTER_MS: u64 = 3_000;
/// The largest number of steps in one report; those that have waited longest come first.
const REPORTED_MAX: usize = 4;

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
    /// Some allowed worker has enough free resources for a member of its gang, but the gang cannot
    /// be placed: the resources do not suffice for all members or are reserved for others, permits
    /// have expired, or workers rejected a start of the step and are paused.
    Gang,
    /// An allowed worker has enough free resources, but they are reserved for a gang, the worker is
    /// at the step's limit for one worker, or it rejected a start of the step and is paused. If
    /// none of these holds, the leader has a fault.
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
    /// Whether a permit request for the step is unanswered.
    pub is_asking: bool,
    /// The number of workers that accept tasks, have enough free resources and are allowed, with a
    /// fresh or an expired permit.
    pub workers_with_room: usize,
}

/// When each waiting step last made progress.
#[derive(Debug, Default)]
pub struct WaitTracker {
    /// The number of waiting tasks at the last progress of the step, and the time of that progress.
    since: FxHashMap<StepKey, (usize, Millis)>,
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

    /// The steps that have waited long, the longest first.
    fn longest(&self, now: Millis) -> SmallVec<[(u64, StepKey); 8]> {
        let waits = self
            .since
            .iter()
            .map(|(step, (_, since))| (now.since(*since), *step));
        let mut long: SmallVec<[_; 8]> = waits
            .filter(|(waits_ms, _)| *waits_ms >= REPORT_AFTER_MS)
            .collect();
        long.sort_unstable_by_key(|(waits_ms, step)| (u64::MAX - waits_ms, *step));
        long.truncate(REPORTED_MAX);
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
        let longest = waits.longest(now);
        self.waits = waits;
        let views = longest
            .into_iter()
            .filter_map(|(waits_ms, step)| Some((waits_ms, self.steps.get(&step)?)));
        views
            .map(|(waits_ms, view)| self.waiting_step(view, waits_ms, now))
            .collect()
    }

    fn waiting_step(&self, view: &StepView, waits_ms: u64, now: Millis) -> WaitingStep {
        let (mut fresh, mut expired, mut suited, mut allowed) = (0, 0, 0, 0);
        for (index, worker) in self.workers.iter() {
            if !view.can_run_on(worker) {
                continue;
            }
            suited += 1;
            let has_room =
                worker.accepts_tasks(now) && view.spec().resources.fits_in(&worker.free());
            match self.permission(view, index, now) {
                Permission::Granted => {
                    allowed += 1;
                    fresh += usize::from(has_room);
                }
                Permission::Expired => {
                    allowed += 1;
                    expired += usize::from(has_room);
                }
                Permission::Denied | Permission::Unknown => {}
            }
        }
        let members = view.spec().count as usize;
        let is_gang = view.spec().is_gang;
        let reason = if !view.is_committed {
            WaitReason::Commit
        } else if !view.proposed.is_empty() {
            WaitReason::Proposal
        } else if suited == 0 {
            WaitReason::NoWorker
        } else if is_gang && view.waiting.len() < members {
            WaitReason::FormerRun
        } else if allowed == 0 {
            WaitReason::NoPermit
        } else if fresh + expired == 0 {
            WaitReason::Room
        } else if is_gang {
            WaitReason::Gang
        } else if fresh == 0 {
            WaitReason::ExpiredPermit
        } else {
            WaitReason::Withheld
        };
        WaitingStep {
            step: view.key,
            tasks: view.waiting.len() + view.proposed.len(),
            waits_ms,
            reason,
            is_asking: view.permits.has_request(),
            workers_with_room: fresh + expired,
        }
    }
}
