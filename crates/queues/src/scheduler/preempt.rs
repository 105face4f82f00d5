//! Preemption of tasks with checkpoints in favour of gangs.
//!
//! Long tasks of a less urgent queue can fill the few workers that the placement policy allows for
//! a gang. Tasks with checkpoints resume elsewhere from where they were stopped, so a gang that has
//! waited takes their place. Each task is preempted a limited number of times.

use sapphirepost_types::Millis;
use sapphirepost_types::Resources;
use smallvec::SmallVec;

use crate::ids::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::gangs::Hold;
use crate::scheduler::messages::StopReason;
use crate::scheduler::placement_counts::VisitKind;
use crate::scheduler::ranking::Lateness;
use crate::scheduler::ranking::Rank;
use crate::scheduler::reservations::Reservations;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;

/// How long a gang waits before it preempts tasks.
const PREEMPT_AFTER_MS: u64 = 1_200;
/// How long freed resources are held for the gang.
const HOLD_MS: u64 = 1_500;
/// The pause after an attempt that preempted nothing, since it would not have freed enough.
const RETRY_MS: u64 = 100;
/// How often one task may be preempted under one leader.
const PREEMPTIONS_MAX: u32 = 2;
/// A task that is expected to end within this time is not preempted.
const ENDS_SOON_MS: u64 = 500;

/// How many gang members a worker could take, and the tasks to preempt there for them.
struct PreemptionOption {
    index: WorkerIndex,
    /// The number of members that would fit.
    members: usize,
    /// The tasks to preempt, with their run numbers.
    preempted: Vec<(TaskKey, u32)>,
    /// The processor capacity that the preempted tasks take.
    cost_millicores: u64,
}

impl StepView {
    /// When a blocked gang may next preempt tasks; `None` if it cannot meet its deadline.
    pub(crate) fn preemption_due(&self, now: Millis) -> Option<Millis> {
        let blocked_since = self.blocked_since?;
        let is_in_time = Rank::of(self, now).lateness == Lateness::InTime;
        is_in_time.then(|| (blocked_since + PREEMPT_AFTER_MS).max(self.preempt_retry_at))
    }
}

impl Scheduler {
    /// Preempts tasks for a gang that has waited long enough, if it may do so now. Returns whether
    /// it did.
    pub(crate) fn preempt(
        &mut self,
        view: &mut StepView,
        reservations: &Reservations,
        may_preempt: bool,
        now: Millis,
    ) -> bool {
        view.blocked_since.get_or_insert(now);
        if view.preemption_due(now).is_none_or(|due| now < due) {
            return false;
        }
        view.preempt_retry_at = now + RETRY_MS;
        if !may_preempt {
            return false;
        }
        let members = view.spec().count as usize;
        let mut options = self.preemption_options(view, reservations, members, now);
        options.sort_unstable_by_key(|option| {
            (option.cost_millicores / option.members as u64, option.index)
        });
        let mut workers = Vec::with_capacity(members);
        let mut preempted = Vec::new();
        for option in options {
            let take = option.members.min(members - workers.len());
            workers.extend(std::iter::repeat_n(option.index, take));
            preempted.extend(option.preempted.into_iter().map(|run| (option.index, run)));
            if workers.len() == members {
                break;
            }
        }
        if workers.len() < members {
            return false;
        }
        for (index, run) in preempted {
            if let Some(step) = self.steps.get_mut(&run.0.step) {
                *step.preemption_counts.entry(run.0.index).or_default() += 1;
            }
            self.stop_run(index, run, StopReason::Displaced, now);
        }
        let until = now + HOLD_MS;
        view.hold = Hold { workers, until };
        view.preempt_retry_at = until;
        true
    }

    /// The preemption options on all allowed workers.
    fn preemption_options(
        &self,
        view: &StepView,
        reservations: &Reservations,
        members: usize,
        now: Millis,
    ) -> Vec<PreemptionOption> {
        let allowed = self.possible_workers(view).filter(|(index, worker)| {
            self.count_visits(VisitKind::Preemption, 1);
            let permission = self.permission(view, *index, now);
            let is_allowed = matches!(permission, Permission::Granted | Permission::Expired);
            is_allowed
                && worker.accepts_tasks(now)
                && view.can_run_on(worker)
                && self.may_use(view, *index)
        });
        let options = allowed.filter_map(|(index, worker)| {
            let available = reservations.available(index, worker, view.key, view.usual_ms, now);
            self.preemption_option(view, index, worker, available, members, now)
        });
        options.collect()
    }

    fn preemption_option(
        &self,
        view: &StepView,
        index: WorkerIndex,
        worker: &WorkerView,
        available: Resources,
        members: usize,
        now: Millis,
    ) -> Option<PreemptionOption> {
        let need = view.spec().resources;
        let mut victims: SmallVec<[(TaskKey, u32, Resources); 8]> = worker
            .runs
            .iter()
            .filter(|(task, run)| {
                run.stage == RunStage::Running
                    && !run.ends_by(now + ENDS_SOON_MS, now)
                    && self.may_preempt(view, task, now)
            })
            .map(|(task, run)| (*task, run.run, run.resources))
            .collect();
        victims.sort_unstable_by_key(|(task, _, resources)| (resources.millicores, *task));
        let mut option = PreemptionOption {
            index,
            members: 0,
            preempted: Vec::new(),
            cost_millicores: 0,
        };
        let limit = view
            .spec()
            .per_worker_max
            .map_or(members, |limit| limit as usize);
        let (mut available, mut needed) = (available, need);
        let mut pending = Vec::new();
        let mut pending_millicores = 0;
        let mut victims = victims.into_iter();
        while option.members < limit.min(members) {
            if needed.fits_in(&available) {
                option.members += 1;
                option.preempted.append(&mut pending);
                option.cost_millicores += std::mem::take(&mut pending_millicores);
                needed = needed.saturating_add(&need);
                continue;
            }
            let Some((task, run, freed)) = victims.next() else {
                break;
            };
            available = available.saturating_add(&freed);
            pending.push((task, run));
            pending_millicores += freed.millicores;
        }
        (option.members > 0).then_some(option)
    }

    /// Whether the step may preempt a task. Tasks of steps that count as late are left running: the
    /// whole duration counts for that, so the job of a running task may still be in time, and a
    /// preempted task of a late step waits behind all steps in time.
    fn may_preempt(&self, view: &StepView, task: &TaskKey, now: Millis) -> bool {
        let Some(step) = self.steps.get(&task.step) else {
            return false;
        };
        let preempted = step
            .preemption_counts
            .get(&task.index)
            .copied()
            .unwrap_or(0);
        step.spec().has_checkpoints
            && !step.spec().is_gang
            && Rank::of(step, now).lateness == Lateness::InTime
            && step.queue.priority > view.queue.priority
            && !self.would_preempt_within_share(view, step)
            && preempted < PREEMPTIONS_MAX
    }
}
