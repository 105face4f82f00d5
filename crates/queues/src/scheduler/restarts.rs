//! Workers that start again under the same ID.
//!
//! The new incarnation knows nothing of the former one, and requests that were meant for the former
//! one may reach it, since a worker compares only its ID. Its runs are therefore not given up at
//! once: a run that may have begun there by such a start goes on if the new incarnation lists it,
//! and a start that may still be carried out late is stopped there first. Once a request of a leader
//! that knows the new incarnation has reached it, requests for the former one are rejected.

use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;

use crate::command::QueueCommand;
use crate::ids::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::SchedulerConfig;
use crate::scheduler::lease::CLOCK_RATE_MIN_PERCENT;
use crate::scheduler::messages::Fence;
use crate::scheduler::messages::StopReason;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::RunView;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;
use crate::state::QueueState;
use crate::worker::WorkerRecord;

/// How long after it was sent a request may still be carried out. It covers a cut of some seconds
/// and a worker that is slow after it.
pub const LATE_REQUEST_MAX_MS: u64 = 15_000;
/// The time after which an unanswered stop of a late start is sent again.
const STOP_RETRY_MS: u64 = 500;

/// A start request of this leader without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenStart {
    /// The task to run.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// When it was sent.
    pub sent: Millis,
}

/// A stop that keeps a start for the former incarnation from being carried out late, of a run that
/// was given up. If the run has begun before the stop, it takes resources until it has ended.
#[derive(Clone, Copy, Debug)]
pub struct LateStartStop {
    task: TaskKey,
    run: u32,
    sent: Millis,
    /// When the stop was answered; the run cannot begin from then on.
    answered: Option<Millis>,
}

impl LateStartStop {
    fn is_unanswered_for(&self, period_ms: u64, now: Millis) -> bool {
        self.answered.is_none() && now.since(self.sent) >= period_ms
    }
}

impl WorkerView {
    /// The fence of requests to this incarnation.
    pub(crate) fn fence(&self, term: u64) -> Fence {
        let restarts = self.restarts;
        Fence { term, restarts }
    }

    /// Whether runs that this leader has given up may take resources that it does not count.
    pub fn has_uncounted_runs(&self) -> bool {
        self.poll.has_unexpected_runs() || !self.late_start_stops.is_empty()
    }

    /// Forgets the stops that a poll sent at `polled` shows to have ended their runs.
    pub fn forget_ended_late_starts(
        &mut self,
        polled: Millis,
        is_running: impl Fn(TaskKey, u32) -> bool,
    ) {
        self.late_start_stops.retain(|stop| {
            let is_over = stop.answered.is_some_and(|at| polled >= at);
            !is_over || is_running(stop.task, stop.run)
        });
    }

    /// Records a start request that is about to be sent.
    pub fn record_open_start(&mut self, task: TaskKey, run: u32, now: Millis) {
        let is_recent = |start: &OpenStart| now.since(start.sent) <= LATE_REQUEST_MAX_MS;
        self.open_starts.retain(is_recent);
        let start = OpenStart {
            task,
            run,
            sent: now,
        };
        self.open_starts.push(start);
    }

    /// Forgets a start request whose outcome is certain.
    pub fn forget_open_start(&mut self, answered: OpenStart) {
        let position = self.open_starts.iter().position(|open| *open == answered);
        if let Some(position) = position {
            self.open_starts.swap_remove(position);
        }
    }

    /// The tasks whose runs may have begun on another incarnation with the same ID, which the
    /// leader does not know yet: no poll of the known one has listed them. Such a run ends with the
    /// longest lease that a worker grants; an earlier leader may have sent its start for some time
    /// after this one took it over. A worker without a number has another ID after a restart.
    pub fn runs_that_may_be_elsewhere(
        &self,
        config: &SchedulerConfig,
        now: Millis,
    ) -> Vec<TaskKey> {
        if self.record.incarnation == Incarnation::default() {
            return Vec::new();
        }
        let lease_ms = config.lease_max_ms * 100 / CLOCK_RATE_MIN_PERCENT;
        let is_unlisted = |(task, run): (&TaskKey, &RunView)| {
            let since = run.unlisted_since?;
            let hand_over_ms = if run.is_adopted {
                config.hand_over_ms
            } else {
                0
            };
            let since = since + hand_over_ms;
            (now.since(since) <= lease_ms).then_some(*task)
        };
        let mut tasks: Vec<TaskKey> = self.runs.iter().filter_map(is_unlisted).collect();
        tasks.sort_unstable();
        tasks
    }

    /// The command for another incarnation that has appeared under the ID of this one. Nothing is
    /// placed on the worker until the command is applied.
    pub fn begin_restart(&mut self, record: WorkerRecord, now: Millis) -> QueueCommand {
        self.lease.record_missed(now);
        self.successor = Some(record.incarnation);
        // A number that was only unknown until now, or is lower, is no sign of a crash.
        let has_crashed = self.record.incarnation != Incarnation::default()
            && record.incarnation > self.record.incarnation
            && !self.is_leaving();
        QueueCommand::RestartWorker {
            record: Box::new(record),
            former: self.record.incarnation,
            checkpoints: self.checkpoints(),
            lost: has_crashed.then(|| self.lost_runs()),
        }
    }
}

impl Scheduler {
    /// Handles a poll that another incarnation than the known one has answered.
    pub(crate) fn handle_other_incarnation(
        &mut self,
        index: WorkerIndex,
        incarnation: Incarnation,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let is_unknown = incarnation == Incarnation::default();
        if is_unknown || worker.successor == Some(incarnation) {
            return;
        }
        let record = if worker.record.incarnation == Incarnation::default() {
            WorkerRecord {
                incarnation,
                ..worker.record.clone()
            }
        } else {
            worker.record.undescribed(incarnation)
        };
        let command = worker.begin_restart(record, now);
        self.propose(command);
    }

    /// Handles a restart that can never be committed.
    pub(crate) fn undo_restart(&mut self, id: &str) {
        if let Some(worker) = self.workers.by_id_mut(id) {
            worker.successor = None;
        }
    }

    /// Handles an applied restart: the new incarnation is tracked like a worker that this leader
    /// has not heard from, with the runs of the former one.
    pub(crate) fn worker_restarted(&mut self, state: &QueueState, id: &str, now: Millis) {
        let Some(known) = state.worker(id).cloned() else {
            return;
        };
        let former = self.workers.remove(id);
        self.restarts = self.restarts.saturating_add(1);
        self.add_worker(&known, Some(now), now);
        self.adopt_runs(state, &known, now);
        let Some(index) = self.index(id) else {
            return;
        };
        for task in known.runs.keys() {
            self.record_placed(index, *task);
        }
        if let Some(former) = former {
            self.stop_late_starts(index, &former, now);
        }
    }

    /// Stops the starts that were meant for the former incarnation and may still be carried out by
    /// the new one, which knows of no earlier stop.
    fn stop_late_starts(&mut self, index: WorkerIndex, former: &WorkerView, now: Millis) {
        let is_late = |start: &&OpenStart| now.since(start.sent) <= LATE_REQUEST_MAX_MS;
        let late: Vec<OpenStart> = former.open_starts.iter().filter(is_late).copied().collect();
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        worker.open_starts.clone_from(&late);
        let mut stops: Vec<(TaskKey, u32)> =
            late.iter().map(|start| (start.task, start.run)).collect();
        stops.sort_unstable();
        stops.dedup();
        for (task, run) in stops {
            let Some(worker) = self.workers.get_mut(index) else {
                return;
            };
            match worker.runs.get_mut(&task).filter(|held| held.run == run) {
                Some(held) => {
                    let reason = StopReason::Unanswered;
                    held.stage = RunStage::Stopping { sent: now, reason };
                }
                None => worker.late_start_stops.push(LateStartStop {
                    task,
                    run,
                    sent: now,
                    answered: None,
                }),
            }
            self.send_stop(index, (task, run), StopReason::Unanswered, now);
        }
    }

    /// Handles the answer to a stop.
    pub(crate) fn late_start_stopped(
        &mut self,
        index: WorkerIndex,
        (task, run): (TaskKey, u32),
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let mut stops = worker.late_start_stops.iter_mut();
        if let Some(stop) = stops.find(|stop| stop.task == task && stop.run == run) {
            stop.answered.get_or_insert(now);
        }
    }

    /// Repeats the unanswered stops of late starts.
    pub(crate) fn tick_late_start_stops(&mut self, now: Millis) {
        for index in self.workers.indexes() {
            let worker = self.workers.get(index);
            if worker.is_none_or(|worker| worker.late_start_stops.is_empty()) {
                continue;
            }
            let Some(worker) = self.workers.get_mut(index) else {
                continue;
            };
            let due = worker.late_start_stops.iter_mut();
            let due = due.filter(|stop| stop.is_unanswered_for(STOP_RETRY_MS, now));
            let due: Vec<(TaskKey, u32)> = due
                .map(|stop| {
                    stop.sent = now;
                    (stop.task, stop.run)
                })
                .collect();
            for run in due {
                self.send_stop(index, run, StopReason::Unanswered, now);
            }
        }
    }
}
