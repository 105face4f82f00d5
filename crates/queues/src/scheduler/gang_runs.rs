//! Ends runs of gangs that can no longer be complete.
//!
//! The members of a gang work only together, and all of them are started by one command. So if some
//! of them wait again while others are placed, a member of the run is certainly over, and the
//! others wait in vain. This follows from the replicated state, so a new leader, which has not seen
//! why that member is over, comes to the same result.
//!
//! Members that may run are stopped at once; one that an earlier leader started is resolved by the
//! first poll that lists it or not. The gang starts again once all of them are over.

use sapphirepost_types::Millis;

use crate::command::Placement;
use crate::ids::StepKey;
use crate::ids::TaskKey;
use crate::job::Job;
use crate::job::TaskPhase;
use crate::scheduler::Scheduler;
use crate::scheduler::messages::StopReason;
use crate::scheduler::starts::START_ATTEMPTS_MAX;
use crate::scheduler::starts::resume_checkpoint;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::RunView;
use crate::scheduler::workers::WorkerIndex;
use crate::state::QueueState;

/// A run of a gang's member on a worker.
type MemberRun = (WorkerIndex, TaskKey, u32);

impl RunView {
    /// Whether the start may have been carried out and no stop was sent, as far as this leader
    /// knows without the next poll.
    fn may_be_stopped(&self) -> bool {
        matches!(self.stage, RunStage::StartSent { .. } | RunStage::Running)
    }
}

impl StepView {
    /// Whether this is a gang of which a member's run is over while others are not.
    pub(crate) fn is_broken_gang(&self) -> bool {
        self.spec().is_gang && !self.waiting.is_empty() && !self.placed.is_empty()
    }
}

impl Scheduler {
    /// Whether the starts of a step that were just committed can be sent. A gang is started as a
    /// whole or not at all.
    pub(crate) fn can_send_starts(
        &self,
        step: StepKey,
        placements: &[Placement],
        now: Millis,
    ) -> bool {
        let view = self.steps.get(&step);
        if view.is_none_or(|view| !view.spec().is_gang) {
            return true;
        }
        placements.iter().all(|placement| {
            let index = self.index(&placement.worker);
            let worker = index.and_then(|index| self.workers.get(index));
            let has_clock = worker.is_some_and(|worker| worker.lease.clock_ms(now).is_some());
            has_clock && self.may_start(&placement.worker, |task| task.step == step)
        })
    }

    /// Stops the remaining members of a gang's run once the state says that one of them is over.
    pub(crate) fn stop_broken_gang(&mut self, state: &QueueState, step: StepKey, now: Millis) {
        let view = self.steps.get(&step);
        let Some(view) = view.filter(|view| view.is_broken_gang()) else {
            return;
        };
        let Some(job) = state.job(step.job) else {
            return;
        };
        // The command that was applied may have ended other members too.
        let members = placed_members(view).filter(|member| is_placed(job, member));
        let members: Vec<MemberRun> = members.collect();
        self.stop_members(members, now);
    }

    /// Stops the other members of a gang's run when `task` certainly cannot begin or is to be
    /// stopped, before the state says so.
    pub(crate) fn stop_other_members(&mut self, task: TaskKey, run: u32, now: Millis) {
        let view = self.steps.get(&task.step);
        let Some(view) = view.filter(|view| view.spec().is_gang) else {
            return;
        };
        let others = placed_members(view).filter(|member| member.1 != task && member.2 == run);
        let others: Vec<MemberRun> = others.collect();
        self.stop_members(others, now);
    }

    /// Whether an unanswered start that was sent at `sent` may be sent again. The members that began
    /// at once wait for `gang_ms`, which has to cover all attempts; a leader that handles replies
    /// late would start the member after they have given up.
    pub(crate) fn is_retry_useful(&self, step: StepKey, sent: Millis, now: Millis) -> bool {
        let view = self.steps.get(&step);
        let is_gang = view.is_some_and(|view| view.spec().is_gang);
        let attempt_max_ms = self.config.gang_ms / u64::from(START_ATTEMPTS_MAX);
        !is_gang || now.since(sent) < attempt_max_ms
    }

    /// Whether the progress of a gang's run shows that all of its members have begun. A run that
    /// resumes from a checkpoint may report the progress of an earlier one.
    pub(crate) fn has_gang_progress(&self, state: &QueueState, task: TaskKey, run: u32) -> bool {
        let view = self.steps.get(&task.step);
        let job = state
            .job(task.step.job)
            .filter(|job| !job.phase.has_ended());
        let (Some(view), Some(job)) = (view.filter(|view| view.spec().is_gang), job) else {
            return false;
        };
        if resume_checkpoint(job, task).is_some() {
            return false;
        }
        placed_members(view).any(|(index, task, number)| {
            let worker = self.workers.get(index);
            let member = worker.and_then(|worker| worker.runs.get(&task));
            number == run && member.is_some_and(|m| m.run == run && m.progress_percent > 0)
        })
    }

    fn stop_members(&mut self, mut members: Vec<MemberRun>, now: Millis) {
        members.sort_unstable();
        for (index, task, run) in members {
            let worker = self.workers.get(index);
            let known = worker.and_then(|worker| worker.runs.get(&task));
            if known.is_some_and(|known| known.run == run && known.may_be_stopped()) {
                self.stop_run(index, (task, run), StopReason::GangIncomplete, now);
            }
        }
    }
}

fn placed_members(view: &StepView) -> impl Iterator<Item = MemberRun> {
    let placed = view.placed.iter();
    placed.map(|(index, (run, worker))| (*worker, view.key.task(*index), *run))
}

fn is_placed(job: &Job, (_, task, run): &MemberRun) -> bool {
    let step = job.steps.get(usize::from(task.step.step));
    let known = step.and_then(|step| step.tasks.get(task.index as usize));
    known.is_some_and(|known| known.phase == TaskPhase::Placed && known.run == *run)
}
