//! Looks at workers: which ends are applied, when to look next, and what a look shows.
//!
//! A look is held open by the worker until a run ends, so it reports ends at once and renews the
//! lease meanwhile. While ends are being committed no look is sent: the worker would answer at
//! once with the same ends.

use std::sync::Arc;

use sapphirepost_types::Millis;

use crate::command::QueueCommand;
use crate::command::RunEnd;
use crate::ids::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::messages::PollReply;
use crate::scheduler::messages::StopReason;
use crate::scheduler::messages::WorkerRequest;
use crate::scheduler::messages::WorkerRequestKind;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::WorkerIndex;

/// How long a worker with runs holds a look open in a small cluster.
const WAIT_BUSY_MIN_MS: u64 = 350;
/// How long a worker with runs holds a look open at most. A silent worker is noticed only after
/// the wait, and its lease has to be renewed several times meanwhile.
const WAIT_BUSY_MAX_MS: u64 = 900;
/// What each worker adds to the wait, since looks are most of the calls of a large cluster.
const WAIT_BUSY_PER_WORKER_MS: u64 = 2;
/// How long a worker without runs holds a look open.
const WAIT_IDLE_MS: u64 = 1_500;
/// The pause after a look that could not be sent.
const RETRY_MS: u64 = 150;
/// A worker that is silent for this long, runs nothing and sends no reports is forgotten.
const FORGET_MS: u64 = 15_000;

/// The looks at one worker.
#[derive(Debug)]
pub struct Looks {
    /// Whether a look is under way.
    is_under_way: bool,
    /// When the next look is due.
    due: Millis,
    /// Ends up to this number are applied, so the worker may forget them.
    applied_ends: u64,
    /// Ends up to this number are proposed.
    proposed_ends: u64,
    /// Whether the end of the lease is proposed.
    is_expiry_proposed: bool,
}

impl Looks {
    /// No look yet.
    pub fn new(applied_ends: u64, now: Millis) -> Looks {
        Looks {
            is_under_way: false,
            due: now,
            applied_ends,
            proposed_ends: applied_ends,
            is_expiry_proposed: false,
        }
    }

    /// Whether ends are being committed.
    fn is_committing(&self) -> bool {
        self.proposed_ends > self.applied_ends
    }
}

impl Scheduler {
    /// Sends the looks that became due by an answer or a commit.
    pub(crate) fn send_due_looks(&mut self, now: Millis) {
        for index in std::mem::take(&mut self.look_candidates) {
            self.look_if_due(index, now);
        }
    }

    /// Sends all looks that are due.
    pub(crate) fn tick_looks(&mut self, now: Millis) {
        for index in self.workers.indexes() {
            self.look_if_due(index, now);
        }
    }

    /// How long a worker with runs holds a look open.
    fn busy_wait_ms(&self) -> u64 {
        let wait_ms = self.workers.len() as u64 * WAIT_BUSY_PER_WORKER_MS;
        wait_ms.clamp(WAIT_BUSY_MIN_MS, WAIT_BUSY_MAX_MS)
    }

    /// Ends what is certainly over on silent workers.
    pub(crate) fn tick_leases(&mut self, now: Millis) {
        for index in self.workers.indexes() {
            self.expire_if_over(index, now);
        }
    }

    fn look_if_due(&mut self, index: WorkerIndex, now: Millis) {
        let (term, lease_ms) = (self.config.term, self.config.lease_ms);
        let busy_wait_ms = self.busy_wait_ms();
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let looks = &mut worker.looks;
        if looks.is_under_way || looks.is_committing() || now < looks.due {
            return;
        }
        looks.is_under_way = true;
        let has_answered = worker.contact.is_reachable();
        let wait_ms = match (has_answered, worker.runs.is_empty()) {
            (false, _) => 0,
            (true, true) => WAIT_IDLE_MS,
            (true, false) => busy_wait_ms,
        };
        // A look at a silent worker asks for no lease: it may arrive late, and the end of the last
        // lease must stay certain.
        let until_ms = if has_answered {
            worker.contact.lease_until_ms(now, lease_ms)
        } else {
            None
        };
        let kind = WorkerRequestKind::Poll {
            until_ms,
            acknowledged: worker.looks.applied_ends,
            wait_ms,
        };
        let order = WorkerRequest::new(&worker.record, term, now, kind);
        self.actions.push(crate::Action::Send(order));
    }

    fn expire_if_over(&mut self, index: WorkerIndex, now: Millis) {
        let (lease_ms, hand_over_ms) = (self.config.lease_ms, self.config.hand_over_ms);
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        if worker.contact.is_reachable() || worker.looks.is_expiry_proposed {
            return;
        }
        if !worker.contact.is_lease_over(now, lease_ms, hand_over_ms) {
            return;
        }
        let id = worker.record.id.clone();
        let silent_ms = worker.contact.silent_ms(now);
        if worker.runs.is_empty() {
            let unreported_ms = now.since(worker.reported);
            if silent_ms > FORGET_MS && unreported_ms > FORGET_MS {
                worker.looks.is_expiry_proposed = true;
                let checkpoints = Vec::new();
                self.propose(QueueCommand::RemoveWorker {
                    worker: id,
                    checkpoints,
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
        worker.looks.is_expiry_proposed = true;
        let checkpoints = worker.checkpoints();
        self.propose(QueueCommand::Expire {
            worker: id,
            checkpoints,
        });
    }

    /// A look had no answer.
    pub(crate) fn look_missed(&mut self, index: WorkerIndex, sent: Millis, now: Millis) {
        if let Some(worker) = self.workers.get_mut(index) {
            worker.looks.is_under_way = false;
            worker.looks.due = if worker.contact.is_reachable() {
                now
            } else {
                now + RETRY_MS
            };
            worker.contact.missed(sent);
        }
        self.look_candidates.push(index);
    }

    /// A look was answered.
    pub(crate) fn looked(
        &mut self,
        index: WorkerIndex,
        sent: Millis,
        reply: PollReply,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        worker.contact.answered(reply.clock_ms, now);
        worker.looks.is_under_way = false;
        worker.looks.due = now;
        worker.looks.is_expiry_proposed = false;
        self.look_candidates.push(index);
        let id = worker.record.id.clone();
        let applied = worker.looks.applied_ends;
        let new_ends = reply.ends.iter().filter(|(number, _)| *number > applied);
        let ends: Vec<RunEnd> = new_ends.map(|(_, end)| end.clone()).collect();
        let upto = reply.ends.iter().map(|(number, _)| *number).max();
        self.note_rows(index, sent, &reply, &ends, now);
        if let Some(upto) = upto.filter(|upto| *upto > applied) {
            if let Some(worker) = self.workers.get_mut(index) {
                worker.looks.proposed_ends = upto;
                // A start that is proposed from now on follows the ends in the log.
                for end in &ends {
                    worker.release_room(end.task, end.run);
                }
            }
            self.propose(QueueCommand::End {
                worker: id,
                upto,
                ends,
            });
        }
        self.rounds.is_due = true;
    }

    /// Compares what runs on a worker with what should.
    fn note_rows(
        &mut self,
        index: WorkerIndex,
        sent: Millis,
        reply: &PollReply,
        ends: &[RunEnd],
        now: Millis,
    ) {
        let stop_ms = self.config.stop_ms;
        let mut never_began: Vec<(TaskKey, u32)> = Vec::new();
        let mut strays: Vec<(TaskKey, u32)> = Vec::new();
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        for row in &reply.running {
            self.jobs_without_progress.remove(&row.task.step.job);
            match worker.runs.get_mut(&row.task) {
                Some(run) if run.run == row.run => run.note(row, now),
                _ => strays.push((row.task, row.run)),
            }
        }
        let is_listed = |task: &TaskKey, run: u32| {
            reply
                .running
                .iter()
                .any(|row| row.task == *task && row.run == run)
                || ends.iter().any(|end| end.task == *task && end.run == run)
        };
        for (task, run) in &worker.runs {
            let is_certain = match run.stage {
                // The look carried this leader's term, so orders of earlier ones have no effect.
                RunStage::Unknown => true,
                RunStage::StopAnswered { at } => sent > at + stop_ms,
                _ => false,
            };
            if is_certain && !is_listed(task, run.run) {
                never_began.push((*task, run.run));
            }
        }
        let id: Arc<str> = worker.record.id.clone();
        never_began.sort_unstable();
        for (task, run) in never_began {
            self.propose(QueueCommand::Release {
                worker: id.clone(),
                task,
                run,
            });
        }
        for (task, run) in strays {
            self.order_stop(index, (task, run), StopReason::Stray, now);
        }
    }

    /// The end of a lease was committed; a worker that stays silent is forgotten later.
    pub(crate) fn expiry_applied(&mut self, id: &str) {
        if let Some(worker) = self.workers.by_id_mut(id) {
            worker.looks.is_expiry_proposed = false;
        }
    }

    /// Ends were committed, so the next look acknowledges them.
    pub(crate) fn ends_applied(&mut self, id: &str, upto: u64, now: Millis) {
        let Some(index) = self.workers.index(id) else {
            return;
        };
        self.look_candidates.push(index);
        if let Some(worker) = self.workers.get_mut(index) {
            worker.looks.applied_ends = worker.looks.applied_ends.max(upto);
            worker.looks.proposed_ends = worker.looks.proposed_ends.max(upto);
            worker.looks.due = now;
        }
    }
}
