//! Which steps wait without progress, and why.
//!
//! The log of a leader then tells a step that waits for room from one that waits for a permit, for
//! the rest of its gang, or for the leader itself.

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use smallvec::SmallVec;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::steps::StepView;

/// A step that makes no progress for this long is reported.
const REPORT_AFTER_MS: u64 = 3_000;
/// Steps that one survey reports at most; the ones that wait longest come first.
const REPORTED_MAX: usize = 4;

/// What keeps the tasks of a step from a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The job is not committed.
    Commit,
    /// Starts of the step are proposed and not committed.
    Proposal,
    /// No known worker may ever run it.
    NoWorker,
    /// The policy was not asked, or has denied all workers that it was asked about.
    NoPermit,
    /// A worker with room needs a fresh permit.
    ExpiredPermit,
    /// No worker that may run it has room.
    Room,
    /// Members of the last run of its gang are still on workers.
    FormerRun,
    /// There is not enough room for all members of its gang, or it is kept for others.
    Gang,
    /// A worker with room may run it, but the room is kept for a gang or the worker has as many
    /// tasks of the step as it may have. Without either it is a fault of the leader.
    Withheld,
}

/// A step without progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingStep {
    /// The step.
    pub step: StepKey,
    /// Its tasks that wait.
    pub tasks: usize,
    /// How long none of them was started.
    pub waits_ms: u64,
    /// Why.
    pub reason: WaitReason,
    /// Whether a question about it is under way.
    pub is_asking: bool,
    /// Workers with room that may run it, with a fresh permit if need be.
    pub workers_with_room: usize,
}

/// Since when steps make no progress.
#[derive(Debug, Default)]
pub struct Waits {
    /// The tasks that waited when the step last made progress, and when that was.
    since: FxHashMap<StepKey, (usize, Millis)>,
}

impl Waits {
    /// Takes how many tasks of each due step wait.
    fn note(&mut self, waiting: impl Iterator<Item = (StepKey, usize)>, now: Millis) {
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
    /// The steps that make no progress, as far as they are reported. To be called at equal
    /// intervals.
    pub fn find_waiting_steps(&mut self, now: Millis) -> Vec<WaitingStep> {
        let mut waits = std::mem::take(&mut self.waits);
        let due = self.steps.values().filter(|view| view.is_due);
        let waiting = due.map(|view| (view.key, view.waiting.len() + view.proposed.len()));
        waits.note(waiting.filter(|(_, tasks)| *tasks > 0), now);
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
            if !view.suits(worker) {
                continue;
            }
            suited += 1;
            let has_room = worker.is_open(now) && view.spec().resources.fits_in(&worker.free());
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
            is_asking: view.permits.is_asking(),
            workers_with_room: fresh + expired,
        }
    }
}
