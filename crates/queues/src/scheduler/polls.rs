//! Polling of workers: when the next poll is due, which ends are acknowledged, and how reported
//! runs are reconciled with the expected ones.
//!
//! A worker holds a poll open until a run ends or a wait is over, so ends are reported at once and
//! polls renew the lease meanwhile. No poll is sent while ends are being committed, because the
//! worker would report the same ends again at once.

use sapphirepost_types::Millis;

use crate::command::QueueCommand;
use crate::command::RunEnd;
use crate::ids::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::contact_loss::ContactLoss;
use crate::scheduler::messages::PollReply;
use crate::scheduler::messages::StopReason;
use crate::scheduler::messages::WorkerRequest;
use crate::scheduler::messages::WorkerRequestKind;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::WorkerIndex;

/// How long a worker with runs holds a poll open in a small cluster.
const WAIT_BUSY_MIN_MS: u64 = 350;
/// The longest time that a worker with runs holds a poll open. A silent worker is noticed only
/// after this wait, and a lease must be renewed several times before it ends.
const WAIT_BUSY_MAX_MS: u64 = 900;
/// The wait per worker of the cluster, within these limits: polls are most of the requests in a
/// large cluster.
const WAIT_BUSY_PER_WORKER_MS: u64 = 2;
/// How long a worker without runs holds a poll open.
const WAIT_IDLE_MS: u64 = 1_500;
/// The pause before the next poll of a worker that missed a poll when it was already unreachable, or
/// whose poll could not be sent.
const RETRY_MS: u64 = 150;
/// A poll acknowledges ends only this long after the last reply. Until then the worker cannot have
/// started again, and run and ended a task that was meant for the former incarnation; later, the
/// numbers may be those of another incarnation.
const ACKNOWLEDGE_MS: u64 = 300;
/// A worker is removed if it has been silent for this long, holds no runs and sends no reports.
const FORGET_MS: u64 = 15_000;

/// The state of polling one worker.
#[derive(Debug)]
pub struct PollState {
    /// Whether a poll is unanswered.
    is_in_progress: bool,
    /// When the next poll is due.
    due: Millis,
    /// When the last reply to a poll came, if this leader has got one.
    replied: Option<Millis>,
    /// Ends up to this number are applied, so the worker may forget them.
    applied_ends: u64,
    /// Ends up to this number are proposed.
    proposed_ends: u64,
    /// Whether the last reply listed runs that the worker should not have.
    has_unexpected_runs: bool,
    /// Whether the expiry of the lease, or the removal of the worker, is proposed.
    is_expiry_proposed: bool,
}

impl PollState {
    /// A worker that is due for its first poll.
    pub fn new(applied_ends: u64, now: Millis) -> PollState {
        PollState {
            is_in_progress: false,
            due: now,
            replied: None,
            applied_ends,
            proposed_ends: applied_ends,
            has_unexpected_runs: false,
            is_expiry_proposed: false,
        }
    }

    /// Whether a reply to a poll came within the last `period_ms`.
    pub fn has_replied_within(&self, period_ms: u64, now: Millis) -> bool {
        self.replied
            .is_some_and(|replied| now.since(replied) <= period_ms)
    }

    /// Whether a poll is unanswered.
    pub fn is_in_progress(&self) -> bool {
        self.is_in_progress
    }

    /// Whether the last reply listed runs that the worker should not have.
    pub fn has_unexpected_runs(&self) -> bool {
        self.has_unexpected_runs
    }

    /// Whether a poll is to be sent now.
    fn is_due(&self, now: Millis) -> bool {
        !self.is_in_progress && !self.is_committing() && now >= self.due
    }

    /// Whether reported ends are proposed and not yet applied.
    fn is_committing(&self) -> bool {
        self.proposed_ends > self.applied_ends
    }
}

impl Scheduler {
    /// Sends the polls that a reply, a missed poll, a commit or a new worker made due.
    pub(crate) fn send_due_polls(&mut self, now: Millis) {
        for index in std::mem::take(&mut self.poll_candidates) {
            self.poll_if_due(index, now);
        }
    }

    /// Sends all polls that are due.
    pub(crate) fn tick_polls(&mut self, now: Millis) {
        for index in self.workers.indexes() {
            self.poll_if_due(index, now);
        }
    }

    /// How long a worker with runs holds a poll open, by the size of the cluster.
    pub(crate) fn busy_wait_ms(&self) -> u64 {
        let wait_ms = self.workers.len() as u64 * WAIT_BUSY_PER_WORKER_MS;
        wait_ms.clamp(WAIT_BUSY_MIN_MS, WAIT_BUSY_MAX_MS)
    }

    /// For silent workers whose lease is certainly over, proposes the expiry of their runs, or the
    /// removal of those without runs that have been silent for long.
    pub(crate) fn tick_leases(&mut self, now: Millis) {
        for index in self.workers.indexes() {
            self.expire_if_lease_over(index, now);
        }
    }

    fn poll_if_due(&mut self, index: WorkerIndex, now: Millis) {
        // A worker that is given out to be changed counts as changed.
        let worker = self.workers.get(index);
        if !worker.is_some_and(|worker| worker.poll.is_due(now)) {
            return;
        }
        let (term, lease_ms) = (self.config.term, self.config.lease_ms);
        let busy_wait_ms = self.busy_wait_ms();
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        worker.poll.is_in_progress = true;
        let has_answered = worker.lease.is_reachable();
        // The stop of an unexpected run is repeated only after the next poll.
        let is_idle = worker.runs.is_empty() && !worker.poll.has_unexpected_runs;
        let wait_ms = match (has_answered, is_idle) {
            (false, _) => 0,
            (true, true) => WAIT_IDLE_MS,
            (true, false) => busy_wait_ms,
        };
        // A poll of a silent worker requests no lease: it may arrive late, and the expiry of the
        // last lease must stay certain.
        let until_ms = if has_answered {
            worker.lease.lease_until_ms(now, lease_ms)
        } else {
            None
        };
        let is_known = has_answered && worker.poll.has_replied_within(ACKNOWLEDGE_MS, now);
        let acknowledged = if is_known {
            worker.poll.applied_ends
        } else {
            0
        };
        let kind = WorkerRequestKind::Poll {
            until_ms,
            acknowledged,
            wait_ms,
        };
        let request = WorkerRequest::new(&worker.record, worker.fence(term), now, kind);
        self.actions.push(crate::Action::Send(request));
    }

    fn expire_if_lease_over(&mut self, index: WorkerIndex, now: Millis) {
        let config = self.config;
        let is_over = self.workers.get(index).is_some_and(|worker| {
            !worker.lease.is_reachable()
                && !worker.poll.is_expiry_proposed
                && worker.lease.is_lease_over(now, &config)
        });
        if !is_over {
            return;
        }
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let (id, incarnation) = (worker.record.id.clone(), worker.record.incarnation);
        let silent_ms = worker.lease.silent_ms(now);
        if worker.runs.is_empty() {
            let unreported_ms = now.since(worker.reported_at);
            if silent_ms > FORGET_MS && unreported_ms > FORGET_MS {
                worker.poll.is_expiry_proposed = true;
                self.propose(QueueCommand::ForgetWorker {
                    worker: id,
                    incarnation,
                });
            }
            return;
        }
        if worker
            .runs
            .values()
            .any(|run| run.stage == RunStage::Proposed)
        {
            return;
        }
        let mut kept = worker.runs_that_may_be_elsewhere(&config, now);
        // No task of an ended job starts again.
        kept.retain(|task| self.job_steps.contains_key(&task.step.job));
        if kept.len() == worker.runs.len() {
            return;
        }
        worker.poll.is_expiry_proposed = true;
        let checkpoints = worker.checkpoints();
        let lost = worker.lost_runs();
        self.propose(QueueCommand::Expire {
            worker: id,
            incarnation,
            checkpoints,
            lost,
            kept,
        });
    }

    /// Handles a poll that was not sent, was rejected, or got no usable reply.
    pub(crate) fn handle_missed_poll(&mut self, index: WorkerIndex, sent: Millis, now: Millis) {
        if let Some(worker) = self.workers.get_mut(index) {
            worker.poll.is_in_progress = false;
            worker.poll.due = if worker.lease.is_reachable() {
                now
            } else {
                now + RETRY_MS
            };
            worker.lease.record_missed(sent);
        }
        self.poll_candidates.push(index);
    }

    /// Handles a poll that could not be sent for a lack of local resources.
    pub(crate) fn handle_unsent_poll(&mut self, index: WorkerIndex, now: Millis) {
        if let Some(worker) = self.workers.get_mut(index) {
            worker.poll.is_in_progress = false;
            worker.poll.due = now + RETRY_MS;
        }
    }

    /// Handles the reply to a poll.
    pub(crate) fn handle_poll_reply(
        &mut self,
        index: WorkerIndex,
        sent: Millis,
        reply: PollReply,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        if reply.incarnation != worker.record.incarnation {
            self.handle_missed_poll(index, sent, now);
            return self.handle_other_incarnation(index, reply.incarnation, now);
        }
        let was_reachable = worker.lease.is_reachable();
        worker.lease.record_clock(reply.clock_ms, now);
        worker.loss = ContactLoss::default();
        worker.poll.is_in_progress = false;
        worker.poll.due = now;
        worker.poll.replied = Some(now);
        worker.poll.is_expiry_proposed = false;
        self.poll_candidates.push(index);
        let (id, incarnation) = (worker.record.id.clone(), worker.record.incarnation);
        let applied = worker.poll.applied_ends;
        let new_ends = reply.ends.iter().filter(|(number, _)| *number > applied);
        let ends: Vec<RunEnd> = new_ends.map(|(_, end)| end.clone()).collect();
        let upto = reply.ends.iter().map(|(number, _)| *number).max();
        if !was_reachable || !ends.is_empty() {
            self.rounds.note_freed(index);
        }
        self.reconcile_runs(index, sent, &reply, &ends, now);
        if let Some(upto) = upto.filter(|upto| *upto > applied) {
            if let Some(worker) = self.workers.get_mut(index) {
                worker.poll.proposed_ends = upto;
            }
            // A start that is proposed from now on follows these ends in the log, so it can use
            // their resources before they are committed.
            for end in &ends {
                self.workers.release_resources(index, end.task, end.run);
            }
            self.propose(QueueCommand::End {
                worker: id,
                incarnation,
                upto,
                ends,
            });
        }
        self.rounds.is_due |= self.rounds.has_waiting;
    }

    /// Compares the runs that a worker reports with the expected ones: releases runs that never
    /// started, and stops unexpected ones, those of ended jobs, those of tasks that are done and
    /// those of gangs of which another member is over.
    ///
    /// The end of a job or of a member may have been applied before this leader led, so what it has
    /// to stop follows from the state and the report alone.
    fn reconcile_runs(
        &mut self,
        index: WorkerIndex,
        sent: Millis,
        reply: &PollReply,
        ends: &[RunEnd],
        now: Millis,
    ) {
        let stop_ms = self.config.stop_ms;
        let mut never_started: Vec<(TaskKey, u32)> = Vec::new();
        let mut unexpected: Vec<(TaskKey, u32)> = Vec::new();
        let mut to_stop: Vec<((TaskKey, u32), StopReason)> = Vec::new();
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        for reported_task in &reply.running {
            self.unstarted_jobs.remove(&reported_task.task.step.job);
            match worker.runs.get_mut(&reported_task.task) {
                Some(run) if run.run == reported_task.run => {
                    run.update(reported_task, now);
                    if !run.needs_stop(sent, stop_ms) {
                        continue;
                    }
                    let step = reported_task.task.step;
                    let key = (reported_task.task, reported_task.run);
                    if !self.job_steps.contains_key(&step.job) {
                        to_stop.push((key, StopReason::JobEnded));
                    } else if run.is_needless {
                        to_stop.push((key, StopReason::TaskDone));
                    } else if self.steps.get(&step).is_some_and(StepView::is_broken_gang) {
                        to_stop.push((key, StopReason::GangIncomplete));
                    }
                }
                _ => unexpected.push((reported_task.task, reported_task.run)),
            }
        }
        worker.poll.has_unexpected_runs = !unexpected.is_empty();
        worker.forget_ended_late_starts(sent, |task, run| unexpected.contains(&(task, run)));
        let is_listed = |task: &TaskKey, run: u32| {
            reply
                .running
                .iter()
                .any(|reported_task| reported_task.task == *task && reported_task.run == run)
                || ends.iter().any(|end| end.task == *task && end.run == run)
        };
        for (task, run) in &worker.runs {
            let is_certain = match run.stage {
                // The poll carried this leader's term, so requests of earlier leaders have no
                // effect any more.
                RunStage::Unknown => true,
                RunStage::StopAnswered { at } => sent > at + stop_ms,
                _ => false,
            };
            // A run whose end is not listed yet has begun.
            if is_certain && !reply.has_more_ends && !is_listed(task, run.run) {
                never_started.push((*task, run.run));
            }
        }
        let (id, incarnation) = (worker.record.id.clone(), worker.record.incarnation);
        never_started.sort_unstable();
        for (task, run) in never_started {
            self.propose(QueueCommand::Release {
                worker: id.clone(),
                incarnation,
                task,
                run,
            });
        }
        for (run, reason) in to_stop {
            self.stop_run(index, run, reason, now);
        }
        for (task, run) in unexpected {
            self.send_stop(index, (task, run), StopReason::Stray, now);
        }
    }

    /// Handles an applied expiry; a worker that stays silent is removed later.
    pub(crate) fn expiry_applied(&mut self, id: &str) {
        if let Some(worker) = self.workers.by_id_mut(id) {
            worker.poll.is_expiry_proposed = false;
        }
    }

    /// Handles applied ends: the next poll acknowledges them.
    pub(crate) fn ends_applied(&mut self, id: &str, upto: u64, now: Millis) {
        let Some(index) = self.workers.index(id) else {
            return;
        };
        self.poll_candidates.push(index);
        if let Some(worker) = self.workers.get_mut(index) {
            worker.poll.applied_ends = worker.poll.applied_ends.max(upto);
            worker.poll.proposed_ends = worker.poll.proposed_ends.max(upto);
            worker.poll.due = now;
        }
    }
}
